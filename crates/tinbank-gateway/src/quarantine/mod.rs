//! Detection and quarantine of requests, and parts of prompts, that crash upstreams.
//!
//! Hosts broadcast which requests were in flight when an upstream crashed. Each host counts by itself, so that checking a request
//! costs no round trip. The store keeps the quarantined requests, and a host reads them when it starts. See
//! `docs/design/quarantine.md`.

mod broadcast;
mod probe;
mod store;

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Instant};

use log::Level;
use smallvec::SmallVec;
use tinbank_base::id;
use tinbank_quarantine::{
    CrashReport, Fingerprint, InFlight, Kind, Position, Quarantined, Source, Table, Update,
    fingerprint::short,
    table::{Change, Denial, Interruption, Permission},
};
use tokio::{sync::Notify, time};

pub(crate) use self::{
    broadcast::broadcast,
    probe::{record_broken_connection, record_unmarked_end},
    store::write_to_store,
};
use crate::{
    border::{engine::Request, store::ListEntry},
    measure,
    node::Node,
};

/// Source of this host's own observations, for logs.
const OWN: &str = "this host";

/// The suspected and quarantined requests of this host, and pending updates to others.
#[derive(Default)]
pub(crate) struct Quarantine {
    table: RefCell<Table>,
    /// Requests whose connections an upstream closed, while the upstream is being probed.
    interrupted: RefCell<HashMap<id::Instance, probe::Interruptions>>,
    /// Notified when the probe of an upstream has ended.
    probed: Notify,
    /// Notified when there may be pending writes to the store.
    changed: Notify,
    /// Pending updates to other hosts.
    outbox: RefCell<Vec<Update>>,
    /// Notified when the outbox is not empty.
    posted: Notify,
}

impl Quarantine {
    /// Creates the quarantine of a host. `draw` is a random number, by which its trials differ in time from those of others.
    pub fn new(draw: u64) -> Self {
        let jitter = draw as f64 / u64::MAX as f64;
        Self {
            table: RefCell::new(Table::with_trial_jitter(jitter)),
            ..Self::default()
        }
    }

    /// Returns whether a request may be sent. Checked before each send.
    pub fn permission(&self, request: &Request, now: Instant) -> Permission {
        let table = self.table.borrow();
        if !table.has_quarantined() {
            return Permission::Granted;
        }
        let (content, parts) = (request.fingerprint(), request.part_fingerprints());
        table.permission(request.source, content, parts, now)
    }

    /// Returns why a request must not be sent, if so.
    pub fn denial(&self, request: &Request, now: Instant) -> Option<Denial> {
        match self.permission(request, now) {
            Permission::Denied(denial) => Some(denial),
            Permission::Granted | Permission::Trial => None,
        }
    }

    /// Records that a request is sent as the trial of itself, if it is an item, and of the quarantined parts of its prompt. Other hosts
    /// wait for what comes of it.
    pub fn begin_trial(&self, request: &Request, now: Instant) {
        let content = request.fingerprint();
        let mut subjects = request.part_fingerprints().clone();
        subjects.push(content);
        let source = request.source;
        let mut table = self.table.borrow_mut();
        let tried = table.begin_trial(source, &subjects, now);
        drop(table);
        for subject in tried {
            if subject == content {
                log::info!(request:% = request.id, content:% = short(content); "quarantined item sent to try it");
                measure::record_item_trial();
            } else {
                let id = request.part_id(subject).map_or("", |it| it.as_str());
                log::info!(request:% = request.id, id:%, part:% = short(subject); "request sent to try a quarantined part of its prompt");
                measure::record_part_trial();
            }
            self.post(Update::TrialStarted { subject, source });
        }
    }

    /// Records that a request that was sent as a trial did not run.
    pub fn withdraw_trial(&self, request: &Request) {
        let mut table = self.table.borrow_mut();
        let parts = request.part_fingerprints();
        for subject in parts.iter().copied().chain([request.fingerprint()]) {
            table.withdraw_trial(request.source, subject);
        }
        log::info!(request:% = request.id; "trial not run, the next request may try");
    }

    /// Returns whether a request must not be sent before the upstreams that interrupted it, or others with parts of its prompt, are
    /// probed.
    pub fn must_wait_for_probes(&self, request: &Request) -> bool {
        let interrupted = self.interrupted.borrow();
        if interrupted.is_empty() {
            return false;
        }
        let content = request.fingerprint();
        let interruptions = self.interruptions(content);
        let table = self.table.borrow();
        if table.must_wait_for_probes(content, interruptions) {
            return true;
        }
        let in_flight = request.in_flight(0);
        let probed = interrupted.iter();
        let probed =
            probed.flat_map(|(upstream, all)| all.iter().map(move |it| (upstream, &it.in_flight)));
        let probed: SmallVec<[(&id::Instance, &InFlight); 8]> = probed.collect();
        table.parts_must_wait_for_probes(&in_flight, &probed, Instant::now())
    }

    /// Waits as long as a request must not be sent, at most until its deadline.
    pub async fn wait_for_probes(&self, request: &Request, deadline: Instant) {
        if !self.must_wait_for_probes(request) {
            return;
        }
        let started = Instant::now();
        loop {
            let probed = self.probed.notified();
            let has_to_wait = self.must_wait_for_probes(request);
            if !has_to_wait || time::timeout_at(deadline.into(), probed).await.is_err() {
                break;
            }
        }
        let waited = started.elapsed();
        measure::record_probe_wait(waited);
        let waited_ms = waited.as_millis() as u64;
        let fingerprint = request.fingerprint();
        let crashed = self.table.borrow().crashes(fingerprint);
        log::info!(request:% = request.id, content:% = short(fingerprint), crashed, waited_ms; "waited for probes of upstreams that may have crashed on the request");
    }

    /// Logs that a request is sent while upstreams that may have crashed on it are being probed.
    pub fn log_unproven(&self, request: &Request, upstream: &id::Instance) {
        if self.interrupted.borrow().is_empty() {
            return;
        }
        let fingerprint = request.fingerprint();
        let probed = self.interruptions(fingerprint).len();
        if probed == 0 {
            return;
        }
        let crashed = self.table.borrow().crashes(fingerprint);
        log::info!(request:% = request.id, content:% = short(fingerprint), upstream:%, crashed, probed; "request sent while upstreams that may have crashed on it are probed");
    }

    /// Returns the interrupted answers to a request whose upstreams are being probed.
    fn interruptions(&self, request: Fingerprint) -> SmallVec<[Interruption; 2]> {
        let mut interruptions = SmallVec::new();
        for (upstream, all) in self.interrupted.borrow().iter() {
            let answers = all.iter().map(|it| &it.in_flight);
            let answers = answers.filter(|it| it.request == request);
            interruptions.extend(answers.map(|it| Interruption {
                upstream: upstream.clone(),
                reached: it.reached,
            }));
        }
        interruptions
    }

    /// Returns the requests that the store has, as last read or written by this host.
    pub fn stored(&self) -> Vec<Quarantined> {
        self.table.borrow().stored()
    }

    /// Applies entries that were read from the store. Returns whether there were any.
    pub fn apply_entries(&self, entries: Vec<ListEntry>, is_whole: bool, now: Instant) -> bool {
        let has_entries = is_whole || !entries.is_empty();
        if is_whole {
            let stored = entries.into_iter().filter_map(|written| match written {
                ListEntry::Quarantined(stored) => Some(stored),
                _ => None,
            });
            self.replace_stored(&stored.collect::<Vec<Quarantined>>(), now);
            return has_entries;
        }
        for written in entries {
            match written {
                ListEntry::Quarantined(stored) => {
                    let change = self.table.borrow_mut().apply_stored(stored, now);
                    self.record_changes(change, "the store");
                }
                ListEntry::QuarantineLifted(request) => {
                    self.table.borrow_mut().apply_removal(request)
                }
                _ => {}
            }
        }
        has_entries
    }

    /// Applies all requests that the store has.
    pub fn replace_stored(&self, stored: &[Quarantined], now: Instant) {
        let changes = self.table.borrow_mut().replace_stored(stored, now);
        self.record_changes(changes, "the store");
    }

    /// Records a crash of an upstream. `by` says who observed it.
    fn record_crash(&self, report: &CrashReport, by: &str) {
        let changes = self.table.borrow_mut().record_crash(report, Instant::now());
        self.record_changes(changes, by);
    }

    /// Records a crash that this host observed, and reports it to the others.
    fn report_crash(&self, report: CrashReport) {
        self.record_crash(&report, OWN);
        self.post(Update::Crashed(report));
    }

    /// Returns whether a trial has begun since the last crash.
    fn is_tried(&self, source: Source, subject: Fingerprint) -> bool {
        self.table.borrow().is_tried(source, subject)
    }

    /// Returns whether a request is a suspect.
    fn is_suspect(&self, request: Fingerprint) -> bool {
        self.table.borrow().is_suspect(request)
    }

    fn measure(&self) {
        let table = self.table.borrow();
        measure::set_quarantined_requests(table.quarantined(Kind::Content));
        measure::set_quarantined_parts(table.quarantined(Kind::Part));
    }

    fn post(&self, update: Update) {
        self.outbox.borrow_mut().push(update);
        self.posted.notify_one();
    }

    fn record_changes(&self, changes: impl IntoIterator<Item = Change>, by: &str) {
        for change in changes {
            log_change(change, by);
            self.changed.notify_one();
        }
    }
}

/// Records that the answer to a request was completed. A suspect is cleared, here and at the other hosts.
pub(crate) fn record_completion(node: &Node, request: &Request) {
    clear_if(node, request, |table, request| table.clear(request));
}

/// Records that an upstream began the answer to a request and did not crash. The parts of its prompt are cleared, here and at the other
/// hosts. See [`Table::record_sound_parts`].
pub(crate) fn record_sound_start(node: &Node, request: &Request, began_at: Instant) {
    if request.shared_parts.is_empty() || node.quarantine.table.borrow().is_empty() {
        return;
    }
    let parts = request.part_fingerprints();
    let changes = node
        .quarantine
        .table
        .borrow_mut()
        .record_sound_parts(parts, began_at);
    for change in changes {
        if let Change::PartCleared(part) = change {
            node.quarantine.post(Update::Cleared(part));
        }
        node.quarantine.record_changes([change], OWN);
    }
}

/// Records how far an interrupted answer got. A suspect is cleared if that is beyond the earlier crashes.
pub(crate) fn record_progress(node: &Node, request: &Request, reached: Position) {
    clear_if(node, request, |table, request| {
        table.record_progress(request, reached)
    });
}

fn clear_if(
    node: &Node,
    request: &Request,
    clear: impl FnOnce(&mut Table, Fingerprint) -> Option<Change>,
) {
    if node.quarantine.table.borrow().is_empty() {
        return;
    }
    let request = request.fingerprint();
    let change = clear(&mut node.quarantine.table.borrow_mut(), request);
    if change.is_none() {
        return;
    }
    node.quarantine.record_changes(change, OWN);
    node.quarantine.post(Update::Cleared(request));
}

/// Applies an update from another host.
pub(crate) fn apply_update(node: &Node, from: SocketAddr, update: Update) {
    let by = from.to_string();
    match update {
        Update::Crashed(report) => node.quarantine.record_crash(&report, &by),
        Update::Cleared(subject) => {
            let change = node.quarantine.table.borrow_mut().clear(subject);
            node.quarantine.record_changes(change, &by);
        }
        Update::TrialStarted { subject, source } => {
            let mut table = node.quarantine.table.borrow_mut();
            table.record_trial(source, subject, Instant::now());
        }
    }
}

/// Logs a change, at a lower level if another host observed it: that host logs it already.
fn log_change(change: Change, by: &str) {
    let level = match by {
        OWN => Level::Info,
        _ => Level::Debug,
    };
    match change {
        Change::Suspected(it) if it.kind == Kind::Part => {
            log::log!(level, part:% = short(it.subject), ended = it.ended, by; "upstream crashed as it began to answer a prompt with a part");
        }
        Change::Quarantined(it) if it.kind == Kind::Part => {
            log::warn!(part:% = short(it.subject), ended = it.ended, failed_trials = it.failed_trials, by; "part of prompts quarantined, it crashes upstreams");
        }
        Change::PartCleared(part) => {
            log::log!(level, part:% = short(part), by; "part of prompts cleared, it does not crash upstreams");
        }
        Change::Quarantined(it) if it.kind == Kind::Item => {
            log::warn!(content:% = short(it.subject), ended = it.ended, reached = it.reached, failed_trials = it.failed_trials, by; "item quarantined between trials, upstreams crashed while they ran it");
        }
        Change::Suspected(Quarantined {
            subject,
            ended,
            reached,
            ..
        }) => {
            log::log!(level, content:% = short(subject), ended, reached, by; "upstream crashed with a request in flight");
        }
        Change::Quarantined(Quarantined {
            subject,
            ended,
            reached,
            ..
        }) => {
            log::warn!(content:% = short(subject), ended, reached, by; "request quarantined, it crashes upstreams");
        }
        Change::Cleared(request) => {
            log::log!(level, content:% = short(request), by; "request cleared, it does not crash upstreams");
        }
    }
}
