//! Takes in what a delegate tells of the lists.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::directory::Peer;
use tinbank_base::id;
use tinbank_feed::message::{Part, Position, Snapshot, Update};
use tinbank_relay::upstream::Upstream;

use super::{
    View,
    entries::{note_changes, note_evacuations, note_read, take_config},
    mark::Mark,
};
use crate::{
    border::store::{List, ListEntry},
    node::Node,
};

/// Takes in what a delegate told at some time. What it told of the upstreams is of all of them, or only of those of the own
/// failure domain.
pub(crate) fn take_told(node: &Node, update: Update, told_at: Instant, is_own_domain_only: bool) {
    let view = &node.view;
    if let Some(snapshot) = newer(&view.lists.evacuations, update.evacuations) {
        let changes = view.evacuations.borrow_mut().replace(snapshot.entries);
        view.lists.evacuations.advance(snapshot.position, true);
        note_evacuations(node, &changes);
    }
    if let Some(config) = update.config {
        take_config(node, ListEntry::Config(config));
    }
    let mut upstreams_changed = false;
    if let Some(part) = newer(view.lists.of(List::Upstreams), update.upstreams) {
        upstreams_changed = take_upstreams(node, part, is_own_domain_only);
    }
    if let Some(settled) = update.settled {
        view.lists.of(List::Upstreams).settle(settled);
    }
    if let Some(part) = newer(view.lists.of(List::Hosts), update.hosts) {
        let changed = take_hosts(view, part);
        note_read(node, List::Hosts, told_at, changed);
    }
    if let Some(snapshot) = newer(view.lists.of(List::Quarantine), update.quarantine) {
        node.quarantine.read_all(&snapshot.entries, told_at);
        view.lists
            .of(List::Quarantine)
            .advance(snapshot.position, true);
    }
    let later = |known: Option<Instant>, age: Option<Duration>| {
        let told = age.and_then(|age| told_at.checked_sub(age));
        known.max(told)
    };
    let config_read_at = later(view.config_read_at.get(), update.age.config);
    view.config_read_at.set(config_read_at);
    let upstreams_read_at = later(view.upstreams_read_at.get(), update.age.upstreams);
    if let Some(at) = upstreams_read_at {
        note_read(node, List::Upstreams, at, upstreams_changed);
    }
    view.refreshed.notify_waiters();
}

/// True if something is believed anew.
fn take_upstreams(node: &Node, part: Part<Upstream, id::Instance>, is_own_domain_only: bool) -> bool {
    let view = &node.view;
    let position = part.position;
    let mut listing = view.upstreams.borrow_mut();
    let changes = match part.is_whole {
        true => {
            if is_own_domain_only {
                listing.retain_failure_domain(&node.settings.failure_domain);
            }
            view.is_own_domain_only.set(is_own_domain_only);
            view.lists.changed_upstreams.borrow_mut().restart(position);
            listing.apply_snapshot(part.entries)
        }
        false => listing.apply_update(part.entries, part.gone),
    };
    drop(listing);
    // What the delegate believes without a record counts as changed behind the position.
    note_changes(view, &changes, position + 1);
    let mark = view.lists.of(List::Upstreams);
    mark.advance(position, !changes.is_empty());
    if !changes.is_empty() {
        // The delegate has a line for each.
        log::info!(position, whole = part.is_whole, changes = changes.len(); "upstreams told by a delegate");
    }
    !changes.is_empty()
}

/// True if another host is listed than before.
fn take_hosts(view: &View, part: Part<Peer, SocketAddr>) -> bool {
    let mut peers = view.peers.borrow_mut();
    let mut history = view.lists.changed_hosts.borrow_mut();
    let position = part.position;
    if part.is_whole {
        peers.clear();
        history.restart(position);
    }
    let mut changed = part.is_whole;
    for address in part.gone {
        if peers.remove(&address).is_some() {
            history.note(position, address);
            changed = true;
        }
    }
    for peer in part.entries {
        let address = peer.address;
        if peers.insert(address, peer.clone()) != Some(peer) {
            history.note(position, address);
            changed = true;
        }
    }
    view.lists.of(List::Hosts).advance(position, changed);
    changed
}

/// What a delegate knows of a list, unless more is known already.
fn newer<T: Positioned>(mark: &Mark, told: Option<T>) -> Option<T> {
    let known = mark.position();
    told.filter(|told| known.is_none_or(|known| told.position() >= known))
}

/// What stands at a position of the store.
trait Positioned {
    fn position(&self) -> Position;
}

impl<T> Positioned for Snapshot<T> {
    fn position(&self) -> Position {
        self.position
    }
}

impl<T, K> Positioned for Part<T, K> {
    fn position(&self) -> Position {
        self.position
    }
}
