//! Takes in what was read of a list.

use std::{rc::Rc, time::Instant};

use tinbank_relay::{
    evacuation,
    listing::{Change, Changes},
    upstream::Upstream,
};

use super::View;
use crate::{
    border::store::{Entries, List, ListEntry, Offset},
    measure,
    node::Node,
};

/// Part of a list that may have changed since a follower heard of it for the last time, one entry in so many. Beyond that the
/// whole list is told.
const KEPT_CHANGES: usize = 4;

/// Takes in entries of a list that were read at the store: all of them, or those written since the last read.
pub(super) fn take_in(node: &Node, list: List, entries: Entries, whole: bool) {
    let now = Instant::now();
    let view = &node.view;
    let end = entries.end;
    let changed = match list {
        List::Upstreams => take_upstreams(node, entries, whole, now),
        List::Quarantine => node.quarantine.read(entries.entries, whole, now),
        List::Config => {
            take_orders(node, &entries, whole);
            let news = !entries.entries.is_empty();
            let entries = entries.entries.into_iter();
            entries.for_each(|written| take_config(node, written));
            news || whole
        }
        List::Hosts => take_hosts(view, entries, whole),
        // Read only when a host starts.
        List::FirstDelegates => false,
    };
    view.lists.of(list).advance(end, changed);
    note_read(node, list, now, changed);
    view.refreshed.notify_waiters();
}

/// A list was read at some time, here or at a delegate, and says something else than before or not.
pub(super) fn note_read(node: &Node, list: List, at: Instant, changed: bool) {
    let view = &node.view;
    match list {
        List::Config => view.config_read_at.set(Some(at)),
        List::Upstreams => {
            view.upstreams_read_at.set(Some(at));
            if changed || node.sharing.lacks_upstreams() {
                node.update_allocator();
            }
        }
        List::Hosts => {
            let is_first = view.peers_read_at.replace(Some(at)).is_none();
            if changed || is_first {
                node.sharing.peers(view.hosts());
            }
            node.feed.listed(&node.sharing, Instant::now());
        }
        List::Quarantine | List::FirstDelegates => {}
    }
}

/// Takes in which failure domains are to be evacuated.
fn take_orders(node: &Node, read: &Entries, whole: bool) {
    let mut evacuations = node.view.evacuations.borrow_mut();
    let orders = read.entries.iter();
    let changes = match whole {
        true => evacuations.replace(orders.filter_map(|written| match written {
            ListEntry::Evacuated(domain) => Some(domain.clone()),
            _ => None,
        })),
        false => orders
            .filter_map(|written| match written {
                ListEntry::Evacuated(domain) => evacuations.add(domain.clone()),
                ListEntry::Reinstated(domain) => evacuations.remove(domain.clone()),
                _ => None,
            })
            .collect(),
    };
    drop(evacuations);
    let mark = &node.view.lists.evacuations;
    mark.advance(read.end, !changes.is_empty());
    note_evacuations(node, &changes);
}

/// Logs which failure domains are evacuated from now on or not any more, and deals their upstreams out accordingly.
pub(super) fn note_evacuations(node: &Node, changes: &[evacuation::Change]) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        match change {
            evacuation::Change::Evacuated(domain) => {
                log::warn!(failure_domain:% = domain; "failure domain evacuated, its upstreams get nothing new");
            }
            evacuation::Change::Reinstated(domain) => {
                log::warn!(failure_domain:% = domain; "failure domain taken back, its upstreams take requests again");
            }
        }
    }
    node.view.note_reinstated(changes, Instant::now());
    measure::set_evacuated_failure_domains(node.view.evacuated().len());
    node.update_allocator();
}

/// True if something is believed anew.
fn take_upstreams(node: &Node, read: Entries, whole: bool, now: Instant) -> bool {
    let view = &node.view;
    let end = read.end;
    if whole {
        view.is_narrow.set(!node.feed.tells_others());
    }
    let own = &node.settings.failure_domain;
    let is_narrow = view.is_narrow();
    let is_wanted = |it: &Upstream| !is_narrow || it.failure_domain == *own;
    let mut listing = view.upstreams.borrow_mut();
    let entries = read.entries.into_iter();
    let mut changes: Changes = match whole {
        true => {
            let listed = entries.filter_map(|written| match written {
                ListEntry::Upstream(upstream) if is_wanted(&upstream) => Some(upstream),
                _ => None,
            });
            let changes = listing.replace(listed.collect(), now);
            if is_narrow {
                listing.narrow(own);
            }
            changes
        }
        false => entries
            .flat_map(|written| match written {
                ListEntry::Upstream(upstream) if is_wanted(&upstream) => listing.add(upstream),
                ListEntry::UpstreamRemoved(name) => {
                    listing.remove(&name, now).into_iter().collect()
                }
                _ => Changes::new(),
            })
            .collect(),
    };
    let settled = listing.settle(now);
    drop(listing);
    if whole {
        view.lists.changed_upstreams.borrow_mut().restart(end);
    }
    note_changes(view, &changes, end);
    if !settled.is_empty() {
        view.lists.of(List::Upstreams).settle(end);
        // Also those that know the list up to here lack what has changed without a record.
        note_changes(view, &settled, end + 1);
    }
    changes.extend(settled);
    changes.iter().for_each(log_change);
    !changes.is_empty()
}

/// Takes in a page of the upstreams. A host that starts deals out those that it knows while it reads on: the list of a whole fleet
/// has many pages, and the upstreams of one page have room for what comes meanwhile.
pub(super) fn take_page(node: &Node, page: Vec<ListEntry>) {
    let view = &node.view;
    if view.lists.of(List::Upstreams).position().is_some() {
        return;
    }
    let is_narrow = !node.feed.tells_others();
    let own = &node.settings.failure_domain;
    let mut listing = view.upstreams.borrow_mut();
    for written in page {
        if let ListEntry::Upstream(upstream) = written
            && (!is_narrow || upstream.failure_domain == *own)
        {
            listing.add(upstream).iter().for_each(log_change);
        }
    }
    drop(listing);
    note_read(node, List::Upstreams, Instant::now(), true);
    view.refreshed.notify_waiters();
}

/// Keeps what has changed of the upstreams, for hosts that follow this one.
pub(super) fn note_changes(view: &View, changes: &[Change], position: Offset) {
    if changes.is_empty() {
        return;
    }
    let mut history = view.lists.changed_upstreams.borrow_mut();
    for change in changes {
        match change {
            Change::Listed(upstream) => history.note(position, upstream.instance.clone()),
            Change::Gone(instance) => history.note(position, instance.clone()),
            // It is still there for all.
            Change::Missing(_) => {}
        }
    }
    let listed = view.upstreams.borrow().present().count();
    history.keep(listed / KEPT_CHANGES);
}

/// True if another host is listed than before.
fn take_hosts(view: &View, read: Entries, whole: bool) -> bool {
    let mut peers = view.peers.borrow_mut();
    let mut history = view.lists.changed_hosts.borrow_mut();
    let end = read.end;
    if whole {
        peers.clear();
        history.restart(end);
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
            history.note(end, address);
            changed = true;
        }
    }
    history.keep(peers.len() / KEPT_CHANGES);
    changed
}

fn log_change(change: &Change) {
    match change {
        Change::Listed(upstream) => log::info!(
            upstream:% = upstream.instance,
            address:% = upstream.address,
            leaving = upstream.leaving,
            cold = upstream.cold_until.is_some();
            "upstream listed"
        ),
        Change::Missing(instance) => {
            log::info!(upstream:% = instance; "upstream missing since the store was away, kept for now");
        }
        Change::Gone(instance) => log::info!(upstream:% = instance; "upstream gone"),
    }
}

/// Takes in a configuration, if it is a later one.
pub(super) fn take_config(node: &Node, written: ListEntry) {
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
    let same_starts = before.is_some_and(|it| it.cold_starts == config.cold_starts);
    *view.config.borrow_mut() = Some(Rc::new(config));
    if !same_starts {
        node.update_allocator();
    }
}
