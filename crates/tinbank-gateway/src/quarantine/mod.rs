//! Requests that end upstreams: what this host sees, hears and holds back.
//!
//! Hosts tell each other at once under which requests an upstream has ended, so that each counts for itself and a request
//! costs no round trip. What is held back lasts in the store, which a host reads when it starts. See `docs/design/quarantine.md`.

mod look;
mod record;
mod tell;

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Instant};

use log::Level;
use tinbank_base::id;
use tinbank_quarantine::{
    Fingerprint, Quarantined, Update, Position, Report, Table, fingerprint::short, table::Change,
};
use tokio::sync::Notify;

pub(crate) use self::{look::record_broken_connection, record::write_to_store, tell::broadcast};
use crate::{
    border::{engine::Request, store::ListEntry},
    node::Node,
};

/// Who saw what this host has seen, for logs.
const OWN: &str = "this host";

/// What this host knows of requests that end upstreams.
#[derive(Default)]
pub(crate) struct Quarantine {
    table: RefCell<Table>,
    /// Requests of upstreams that broke off and are being looked at.
    broken: RefCell<HashMap<id::Instance, look::Broken>>,
    /// Told when the store may lack something.
    changed: Notify,
    /// What other hosts are to be told.
    outbox: RefCell<Vec<Update>>,
    /// Told when there is something in it.
    posted: Notify,
}

impl Quarantine {
    /// Until when no upstream gets a request, if it is held back. Asked before each send.
    pub fn quarantined_until(&self, request: &Request, now: Instant) -> Option<Instant> {
        let table = self.table.borrow();
        if !table.holds_any() {
            return None;
        }
        table.held_until(request.fingerprint(), now)
    }

    /// Requests that stand in the store, as this host has read or written it.
    pub fn listed(&self) -> Vec<Quarantined> {
        self.table.borrow().listed()
    }

    /// Takes in what was read from the store. True if there was anything.
    pub fn read(&self, entries: Vec<ListEntry>, is_whole: bool, now: Instant) -> bool {
        let is_news = is_whole || !entries.is_empty();
        if is_whole {
            let listed = entries.into_iter().filter_map(|written| match written {
                ListEntry::Quarantined(held) => Some(held),
                _ => None,
            });
            self.read_all(&listed.collect::<Vec<Quarantined>>(), now);
            return is_news;
        }
        for written in entries {
            match written {
                ListEntry::Quarantined(held) => {
                    let change = self.table.borrow_mut().list(held, now);
                    self.note(change, "the store");
                }
                ListEntry::QuarantineLifted(request) => self.table.borrow_mut().unlist(request),
                _ => {}
            }
        }
        is_news
    }

    /// Takes in all that stands in the store.
    pub fn read_all(&self, listed: &[Quarantined], now: Instant) {
        let changes = self.table.borrow_mut().list_all(listed, now);
        self.note(changes, "the store");
    }

    /// Takes in that an upstream has ended. `by` says who saw it.
    fn blame(&self, report: &Report, by: &str) {
        let changes = self.table.borrow_mut().blame(report, Instant::now());
        self.note(changes, by);
    }

    /// This host has seen an upstream end.
    fn saw_end(&self, report: Report) {
        self.blame(&report, OWN);
        self.post(Update::Ended(report));
    }

    /// True if anything is believed of a request.
    fn suspects(&self, request: Fingerprint) -> bool {
        self.table.borrow().suspects(request)
    }

    fn post(&self, news: Update) {
        self.outbox.borrow_mut().push(news);
        self.posted.notify_one();
    }

    fn note(&self, changes: impl IntoIterator<Item = Change>, by: &str) {
        for change in changes {
            log_change(change, by);
            self.changed.notify_one();
        }
    }
}

/// A request has got a whole answer, so it ends no upstreams. Others hear of it if anybody thought so.
pub(crate) fn record_completion(node: &Rc<Node>, request: &Request) {
    cleared(node, request, |table, request| table.clear(request));
}

/// A request got this far at an upstream, whatever came then.
pub(crate) fn record_progress(node: &Rc<Node>, request: &Request, reached: Position) {
    cleared(node, request, |table, request| table.pass(request, reached));
}

fn cleared(
    node: &Rc<Node>,
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
    node.quarantine.note(change, OWN);
    node.quarantine.post(Update::Survived(request));
}

/// Another host has told something of a request.
pub(crate) fn apply_update(node: &Node, from: SocketAddr, news: Update) {
    let by = from.to_string();
    match news {
        Update::Ended(report) => node.quarantine.blame(&report, &by),
        Update::Survived(request) => {
            let change = node.quarantine.table.borrow_mut().clear(request);
            node.quarantine.note(change, &by);
        }
    }
}

/// Suspicions are noted where they arise: each host hears of all.
fn log_change(change: Change, by: &str) {
    let level = match by {
        OWN => Level::Info,
        _ => Level::Debug,
    };
    match change {
        Change::Suspected(Quarantined {
            request,
            ended,
            reached,
        }) => {
            log::log!(level, content:% = short(request), ended, reached, by; "upstream ended under a request");
        }
        Change::HeldBack(Quarantined {
            request,
            ended,
            reached,
        }) => {
            log::warn!(content:% = short(request), ended, reached, by; "request held back, upstreams end under it");
        }
        Change::Cleared(request) => {
            log::log!(level, content:% = short(request), by; "request cleared, upstreams don't end under it");
        }
    }
}
