//! The task behind a [`Follower`](super::Follower).

use std::{sync::Arc, time::Duration};

use tinbank_base::{
    digest,
    event::{Kind, Subject},
    frame::request::Response,
    id,
    platform::log::{Bounds, Entry, Log, Stream},
    record::{Envelope, Writer as Identity, config::Record},
};
use tinbank_log::{
    reader::{Event, Reader},
    writer::Writer,
};
use tinbank_timeline::Recorder;
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time,
};

use super::{Command, Progress, Settings, history::History, peers::PeerSource};
use crate::{
    fold::{Fold, Judged, Verdict, checkpoint},
    snapshot::Shared,
};

/// Maximum number of payload bytes per response to a peer. Has to be well below the maximum frame size.
const FRAME_BYTES: usize = 2 << 20;

pub(super) struct Task {
    log: Arc<dyn Log>,
    reader: Reader<Record>,
    recorder: Recorder,
    checkpoints: Option<Writer>,
    settings: Settings,
    shared: Shared,
    progress: watch::Sender<Progress>,
    fold: Fold,
    history: History,
    source: Option<PeerSource>,
    peer_requests: JoinSet<Vec<Entry>>,
    bounds_requests: JoinSet<Option<Bounds>>,
    checkpoint_writes: JoinSet<()>,
    outage_since: Option<time::Instant>,
    check_count: u64,
}

impl Task {
    pub(super) fn new(
        log: Arc<dyn Log>,
        recorder: Recorder,
        checkpoints: Option<Writer>,
        settings: Settings,
        shared: Shared,
        progress: watch::Sender<Progress>,
    ) -> Self {
        Self {
            reader: Reader::new(log.clone(), Stream::Config, 0, settings.reader),
            log,
            recorder,
            checkpoints,
            settings,
            shared,
            progress,
            fold: Fold::default(),
            history: History::new(settings.history_bytes),
            source: None,
            peer_requests: JoinSet::new(),
            bounds_requests: JoinSet::new(),
            checkpoint_writes: JoinSet::new(),
            outage_since: None,
            check_count: 0,
        }
    }

    pub(super) async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut peers = interval(self.settings.peer_check_interval);
        let mut next_check = time::Instant::now() + self.next_check_delay();
        loop {
            tokio::select! {
                event = self.reader.next() => self.on_event(event),
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                Some(entries) = self.peer_requests.join_next() => self.apply_from_peer(&entries.unwrap_or_default()),
                Some(_) = self.checkpoint_writes.join_next() => {}
                _ = peers.tick() => self.check_peers(),
                () = time::sleep_until(next_check) => {
                    self.request_bounds();
                    next_check = time::Instant::now() + self.next_check_delay();
                }
                Some(Ok(bounds)) = self.bounds_requests.join_next() => self.write_checkpoint_if_due(bounds),
            }
        }
    }

    fn on_event(&mut self, event: Event<Record>) {
        match event {
            Event::Record { entry, .. } | Event::Skipped { entry, .. } => self.on_entry(&entry),
            Event::Tail { next, .. } => self.on_tail(next),
            Event::Trimmed { first } => self.fold.on_trimmed(first),
            Event::Outage { .. } => self.on_outage(),
        }
    }

    fn on_entry(&mut self, entry: &Entry) {
        let before = self.fold.state().next();
        let judged = self.fold.apply(entry);
        if entry.offset == before {
            self.history.push(entry);
        }
        log_verdicts(&judged);
    }

    fn on_tail(&mut self, next: id::Offset) {
        if self.outage_since.take().is_some() {
            self.recorder.note(Subject::default(), Kind::LogBack);
        }
        if self.fold.has_gap() {
            let have = self.fold.state().next();
            log::error!(have, tail = next; "the configuration stream has no complete checkpoint");
            metrics::counter!("tinbank_configuration_incomplete_total").increment(1);
            return;
        }
        self.publish();
        self.set_ready();
    }

    fn on_outage(&mut self) {
        self.publish();
        if self.outage_since.is_none() {
            self.outage_since = Some(time::Instant::now());
            self.recorder.note(Subject::default(), Kind::LogLost);
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Connect { peers, directory } => {
                self.source = Some(PeerSource {
                    own: self.recorder.process(),
                    peers,
                    directory,
                });
            }
            Command::ApplyFromPeer(entries) => self.apply_from_peer(&entries),
            Command::Serve { from, reply } => {
                // The requester may no longer wait for the reply.
                let _ = reply.send(self.serve(from));
            }
        }
    }

    fn apply_from_peer(&mut self, entries: &[Entry]) {
        let before = self.fold.state().next();
        let judged = self.fold.apply_from_peer(entries);
        let next = self.fold.state().next();
        if next == before {
            return;
        }
        for entry in entries.iter().filter(|entry| entry.offset >= before) {
            if !checkpoint::is_synthetic(entry) {
                self.history.push(entry);
            }
        }
        log_verdicts(&judged);
        metrics::counter!("tinbank_configuration_from_peers_total").increment(next - before);
        self.reader.skip_to(next);
        self.publish();
    }

    fn check_peers(&mut self) {
        let Some(source) = &self.source else {
            return;
        };
        let next = self.fold.state().next();
        if self.peer_requests.is_empty()
            && let Some(to) = source.choose_newer(next)
        {
            let request = source
                .clone()
                .request_entries(to, next, self.settings.peer_timeout);
            self.peer_requests.spawn(request);
        }
        let settled = self
            .outage_since
            .is_some_and(|since| since.elapsed() >= self.settings.peer_discovery_time);
        let newest = source.newest_ready_offset();
        if settled && next > 0 && newest.is_some_and(|newest| newest <= next) {
            self.set_ready();
        }
    }

    fn set_ready(&self) {
        self.progress.send_if_modified(|progress| {
            let changed = !progress.ready;
            progress.ready = true;
            changed
        });
    }

    /// Activates the state if it is newer than the active one.
    fn publish(&self) {
        let next = self.fold.state().next();
        if next <= self.progress.borrow().next {
            return;
        }
        self.shared.store(Arc::new(self.fold.state().snapshot()));
        self.progress.send_modify(|progress| progress.next = next);
        self.recorder
            .note(Subject::default(), Kind::Configured { config: next });
        metrics::gauge!("tinbank_configuration_offset").set(next as f64);
    }

    fn serve(&self, from: id::Offset) -> Vec<Response> {
        let next = self.fold.state().next();
        if from >= next {
            return vec![Response::Config(Vec::new())];
        }
        let entries = self
            .history
            .range(from, next)
            .unwrap_or_else(|| self.synthetic_checkpoint());
        frames(entries)
    }

    fn synthetic_checkpoint(&self) -> Vec<Entry> {
        let writer = Identity {
            process: self.recorder.process(),
            incarnation: self.recorder.incarnation(),
        };
        let stamp = self.recorder.stamp();
        self.fold.synthetic_checkpoint(|part| {
            let envelope = Envelope {
                writer,
                sequence: 0,
                stamp,
                records: vec![part],
            };
            envelope.encode()
        })
    }

    /// Requests the bounds of the stream, which [`Task::write_checkpoint_if_due`] then checks.
    fn request_bounds(&mut self) {
        self.check_count += 1;
        if self.checkpoints.is_none() {
            return;
        }
        let log = self.log.clone();
        let timeout = self.settings.reader.answer_timeout;
        self.bounds_requests.spawn(async move {
            let bounds = time::timeout(timeout, log.bounds(Stream::Config)).await;
            bounds.ok()?.ok()
        });
    }

    fn write_checkpoint_if_due(&mut self, bounds: Option<Bounds>) {
        let Some(writer) = self.checkpoints.clone() else {
            return;
        };
        let can_write =
            self.checkpoint_writes.is_empty() && self.reader.at_tail() && !self.fold.has_gap();
        if !can_write || self.fold.state().next() == 0 {
            return;
        }
        let coverage = self.fold.coverage();
        let now = self.recorder.stamp().time();
        // The last checkpoint is only trimmed if the retention is shorter than the settings expect.
        let trimmed = bounds.is_some_and(|bounds| coverage.is_checkpoint_trimmed(bounds.first));
        if trimmed || coverage.is_checkpoint_due(self.settings.checkpoint, now) {
            let parts = checkpoint::parts(self.fold.state());
            self.checkpoint_writes
                .spawn(write_checkpoint(writer, parts));
        }
    }

    /// Returns the time until the next check, with jitter. The jitter is derived from the process and the number of checks,
    /// so that tests are reproducible.
    fn next_check_delay(&self) -> Duration {
        let every = self.settings.checkpoint_check_interval;
        let name = format!("{}/{}", self.recorder.process(), self.check_count);
        let hash = digest::prefix(&digest::of(name.as_bytes()));
        every + every.mul_f64(hash as f64 / u128::MAX as f64)
    }
}

async fn write_checkpoint(writer: Writer, parts: Vec<Record>) {
    let count = parts.len();
    for part in parts {
        if let Err(error) = writer.append(Stream::Config, vec![part]).await {
            log::warn!(error:%; "checkpoint of the configuration was not written completely");
            return;
        }
    }
    log::info!(parts = count; "checkpoint of the configuration written");
}

fn interval(every: Duration) -> time::Interval {
    let mut interval = time::interval(every);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    interval
}

fn frames(entries: Vec<Entry>) -> Vec<Response> {
    let mut frames = vec![Vec::new()];
    let mut bytes = 0;
    for entry in entries {
        bytes += entry.payload.len();
        if bytes > FRAME_BYTES {
            frames.push(Vec::new());
            bytes = entry.payload.len();
        }
        if let Some(frame) = frames.last_mut() {
            frame.push(entry);
        }
    }
    frames.into_iter().map(Response::Config).collect()
}

fn log_verdicts(judged: &[Judged]) {
    for judged in judged {
        let (verdict, reason) = match &judged.verdict {
            Verdict::Accepted { .. } => ("accepted", String::new()),
            Verdict::Overtaken { by, .. } => ("overtaken", by.clone().unwrap_or_default()),
            Verdict::Invalid { findings } => {
                let first = findings.first().map(ToString::to_string);
                ("invalid", first.unwrap_or_default())
            }
            Verdict::Copy => ("copy", String::new()),
        };
        metrics::counter!("tinbank_configuration_changes_total", "verdict" => verdict).increment(1);
        log::info!(
            offset = judged.offset,
            object:% = judged.object,
            author:% = judged.author,
            verdict,
            reason:%;
            "configuration change judged"
        );
    }
}
