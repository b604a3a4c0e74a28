//! Applies entries that were read from the store.

use std::{rc::Rc, time::Instant};

use tinbank_feed::replica::Record;
use tinbank_relay::{
    evacuation,
    listing::{Change, Reading, Scope},
};

use super::View;
use crate::{
    border::store::{Entries, List, ListEntry, Offset},
    measure,
    node::Node,
};

/// The history of a list is limited to its size divided by this number. Followers that lack more changes get the whole list.
const HISTORY_DIVISOR: usize = 4;

/// Applies entries of a list that were read from the store: those written since a position, or the whole list.
pub(super) fn apply_entries(node: &Node, list: List, entries: Entries, from: Option<Offset>) {
    let whole = from.is_none();
    let now = Instant::now();
    let view = &node.view;
    let end = entries.end;
    if list == List::Builds && !continues(view.position(list), from, end) {
        log::info!(from:?, end, position:? = view.position(list); "read of the builds discarded, later ones are known");
        return;
    }
    let changed = match list {
        List::Upstreams => match apply_upstreams(node, entries, from, now) {
            Some(changed) => changed,
            None => {
                log::info!(from:?, position:? = view.position(list); "read of the upstreams discarded, a delegate sent later ones");
                return;
            }
        },
        List::Quarantine => node.quarantine.apply_entries(entries.entries, whole, now),
        List::Builds => node.origins.builds.apply_entries(entries.entries, whole),
        List::Config => {
            apply_evacuations(node, &entries, whole);
            let has_entries = !entries.entries.is_empty();
            let entries = entries.entries.into_iter();
            entries.for_each(|written| apply_config(node, written));
            has_entries || whole
        }
        List::Hosts => apply_hosts(view, entries, whole),
        // Read only during bootstrap.
        List::FirstDelegates => false,
    };
    if let Some(watermark) = view.lists.of(list) {
        watermark.advance(end, changed);
    }
    record_read(node, list, now, changed);
    view.refreshed.notify_waiters();
}

/// Returns whether what was read from an offset, or in full, up to an end leaves out nothing and is not older than what is known.
/// Reads for callers overlap with those that wait for changes.
fn continues(known: Option<Offset>, from: Option<Offset>, end: Offset) -> bool {
    match (known, from) {
        (Some(known), Some(from)) => from <= known && known <= end,
        (Some(known), None) => known <= end,
        (None, from) => from.is_none(),
    }
}

/// Records when a list was read, from the store or from a delegate, and whether it changed.
pub(super) fn record_read(node: &Node, list: List, at: Instant, changed: bool) {
    let view = &node.view;
    match list {
        List::Config => view.config_read_at.set(Some(at)),
        List::Upstreams => {
            view.upstreams_read_at.set(Some(at));
            update_allocator_list(node);
            if changed || node.sharing.lacks_upstreams() {
                node.update_allocator();
            }
        }
        List::Hosts => {
            let is_first = view.peers_read_at.replace(Some(at)).is_none();
            if changed || is_first {
                node.sharing.set_hosts(view.hosts());
            }
            node.feed.on_hosts_read(&node.sharing, Instant::now());
        }
        List::Builds => {
            view.builds_read_at.set(Some(at));
            if changed {
                node.update_allocator();
            }
        }
        List::Quarantine | List::FirstDelegates => {}
    }
}

/// Passes the position of the list of upstreams to the allocator of this host, and which of them are missing.
pub(super) fn update_allocator_list(node: &Node) {
    let replica = node.view.replica();
    if let Some(position) = replica.position() {
        node.sharing.set_list(position, replica.missing());
    }
}

/// Applies which failure domains are evacuated.
fn apply_evacuations(node: &Node, read: &Entries, whole: bool) {
    let mut evacuations = node.view.evacuations.borrow_mut();
    let entries = read.entries.iter();
    let changes = match whole {
        true => evacuations.replace(entries.filter_map(|written| match written {
            ListEntry::Evacuated(domain) => Some(domain.clone()),
            _ => None,
        })),
        false => entries
            .filter_map(|written| match written {
                ListEntry::Evacuated(domain) => evacuations.add(domain.clone()),
                ListEntry::Reinstated(domain) => evacuations.remove(domain.clone()),
                _ => None,
            })
            .collect(),
    };
    drop(evacuations);
    let watermark = &node.view.lists.evacuations;
    watermark.advance(read.end, !changes.is_empty());
    on_evacuation_changes(node, &changes);
}

/// Logs evacuated and reinstated failure domains, and updates the allocator.
pub(super) fn on_evacuation_changes(node: &Node, changes: &[evacuation::Change]) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        match change {
            evacuation::Change::Evacuated(domain) => {
                log::warn!(failure_domain:% = domain; "failure domain evacuated, its upstreams get no new requests");
            }
            evacuation::Change::Reinstated(domain) => {
                log::warn!(failure_domain:% = domain; "failure domain reinstated, its upstreams take requests again");
            }
        }
    }
    node.view.record_reinstated(changes, Instant::now());
    measure::set_evacuated_failure_domains(node.view.evacuated().len());
    node.update_allocator();
}

/// Returns which upstreams this host tracks.
pub(super) fn scope(node: &Node, is_own_domain_only: bool) -> Scope {
    match is_own_domain_only {
        true => Scope::Domain(node.settings.failure_domain.clone()),
        false => Scope::All,
    }
}

/// Returns whether the upstreams changed, or `None` if the list is known from a delegate up to another position meanwhile.
fn apply_upstreams(node: &Node, read: Entries, from: Option<Offset>, now: Instant) -> Option<bool> {
    let at = Reading {
        position: read.end,
        now,
    };
    let records = records(read.entries);
    let mut replica = node.view.upstreams.borrow_mut();
    let changes = match from {
        Some(from) => replica.apply_since(from, records, at),
        None => replica.apply_whole(records, scope(node, !node.feed.serves_followers()), at),
    }?;
    drop(replica);
    changes.iter().for_each(log_change);
    Some(!changes.is_empty())
}

/// Returns the records of upstreams among entries of their list.
fn records(entries: Vec<ListEntry>) -> Vec<Record> {
    let records = entries.into_iter().filter_map(|written| match written {
        ListEntry::Upstream(upstream) => Some(Record::Listed(upstream)),
        ListEntry::UpstreamRemoved(name) => Some(Record::Removed(name)),
        _ => None,
    });
    records.collect()
}

/// Applies a page of the upstreams while a starting host reads on.
pub(super) fn apply_page(node: &Node, page: Entries) {
    let at = Reading {
        position: page.end,
        now: Instant::now(),
    };
    let scope = scope(node, !node.feed.serves_followers());
    let records = records(page.entries);
    let mut replica = node.view.upstreams.borrow_mut();
    let changes = replica.apply_page(&records, scope, at);
    drop(replica);
    changes.iter().for_each(log_change);
    record_read(node, List::Upstreams, at.now, true);
    node.view.refreshed.notify_waiters();
}

/// Returns whether the hosts changed.
fn apply_hosts(view: &View, read: Entries, whole: bool) -> bool {
    let mut peers = view.peers.borrow_mut();
    let mut history = view.lists.changed_hosts.borrow_mut();
    let end = read.end;
    if whole {
        peers.clear();
        history.reset(end);
    }
    let mut changed = whole;
    for written in read.entries {
        let address = match written {
            ListEntry::Host(peer) => {
                let address = peer.address;
                let before = peers.insert(address, peer.clone());
                (before != Some(peer)).then_some(address)
            }
            ListEntry::HostRemoved(address) => peers.remove(&address).map(|it| it.address),
            _ => None,
        };
        if let Some(address) = address {
            history.record(end, address);
            changed = true;
        }
    }
    history.truncate(peers.len() / HISTORY_DIVISOR);
    changed
}

pub(super) fn log_change(change: &Change) {
    match change {
        Change::Listed(upstream) => log::info!(
            upstream:% = upstream.instance,
            address:% = upstream.address,
            build:% = upstream.build,
            leaving = upstream.leaving,
            cold = upstream.cold_until.is_some();
            "upstream listed"
        ),
        Change::Missing(instance) => {
            log::info!(upstream:% = instance; "upstream missing since an outage of the store, kept for now");
        }
        Change::Gone(instance) => log::info!(upstream:% = instance; "upstream gone"),
    }
}

/// Applies a configuration, if it is newer.
pub(super) fn apply_config(node: &Node, written: ListEntry) {
    let view = &node.view;
    let ListEntry::Config(config) = written else {
        return;
    };
    let before = view.config();
    let version = before.as_ref().map(|it| it.version);
    if version.is_some_and(|version| version >= config.version) {
        return;
    }
    log::info!(version = config.version, before:? = version; "configuration in force");
    let has_same_limits = before
        .is_some_and(|it| it.cold_starts == config.cold_starts && it.services == config.services);
    *view.config.borrow_mut() = Some(Rc::new(config));
    if !has_same_limits {
        node.update_allocator();
    }
}
