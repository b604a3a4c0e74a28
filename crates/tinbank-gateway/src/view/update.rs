//! Applies updates that were received from a delegate.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::directory::Peer;
use tinbank_base::id;
use tinbank_feed::message::{Delta, Position, Snapshot, Update};
use tinbank_relay::{listing::Reading, upstream::Upstream};

use super::{
    View,
    entries::{apply_config, on_evacuation_changes, record_changes, record_read, scope},
    watermark::Watermark,
};
use crate::{
    border::store::{List, ListEntry},
    node::Node,
};

/// Applies an update from a delegate. `is_own_domain_only` says whether its upstreams are only those of the own failure domain.
pub(crate) fn apply_update(
    node: &Node,
    update: Update,
    received_at: Instant,
    is_own_domain_only: bool,
) {
    let view = &node.view;
    if let Some(snapshot) = newer(&view.lists.evacuations, update.evacuations) {
        let changes = view.evacuations.borrow_mut().replace(snapshot.entries);
        view.lists.evacuations.advance(snapshot.position, true);
        on_evacuation_changes(node, &changes);
    }
    if let Some(config) = update.config {
        apply_config(node, ListEntry::Config(config));
    }
    let mut upstreams_changed = false;
    if let Some(delta) = newer(view.lists.of(List::Upstreams), update.upstreams) {
        upstreams_changed = apply_upstreams(node, delta, is_own_domain_only);
    }
    if let Some(settled) = update.settled {
        view.lists.of(List::Upstreams).settle(settled);
    }
    if let Some(delta) = newer(view.lists.of(List::Hosts), update.hosts) {
        let changed = apply_hosts(view, delta);
        record_read(node, List::Hosts, received_at, changed);
    }
    if let Some(snapshot) = newer(view.lists.of(List::Quarantine), update.quarantine) {
        node.quarantine
            .replace_stored(&snapshot.entries, received_at);
        view.lists
            .of(List::Quarantine)
            .advance(snapshot.position, true);
    }
    let latest = |known: Option<Instant>, age: Option<Duration>| {
        let read_at = age.and_then(|age| received_at.checked_sub(age));
        known.max(read_at)
    };
    let config_read_at = latest(view.config_read_at.get(), update.age.config);
    view.config_read_at.set(config_read_at);
    let upstreams_read_at = latest(view.upstreams_read_at.get(), update.age.upstreams);
    if let Some(at) = upstreams_read_at {
        record_read(node, List::Upstreams, at, upstreams_changed);
    }
    view.refreshed.notify_waiters();
}

/// Returns whether the upstreams changed.
fn apply_upstreams(
    node: &Node,
    delta: Delta<Upstream, id::Instance>,
    is_own_domain_only: bool,
) -> bool {
    let view = &node.view;
    let position = delta.position;
    let at = Reading {
        position,
        now: Instant::now(),
    };
    let mut listing = view.upstreams.borrow_mut();
    let changes = match delta.is_whole {
        true => {
            listing.set_scope(scope(node, is_own_domain_only));
            view.lists.changed_upstreams.borrow_mut().reset(position);
            listing.apply_snapshot(delta.entries, at)
        }
        false => listing.apply_update(delta.entries, delta.gone, at),
    };
    drop(listing);
    // At the next position, since the delegate may have sent changes that no record describes.
    record_changes(view, &changes, position + 1);
    let watermark = view.lists.of(List::Upstreams);
    watermark.advance(position, !changes.is_empty());
    if !changes.is_empty() {
        // The delegate logs each of them.
        log::info!(position, whole = delta.is_whole, changes = changes.len(); "upstreams received from a delegate");
    }
    !changes.is_empty()
}

/// Returns whether the hosts changed.
fn apply_hosts(view: &View, delta: Delta<Peer, SocketAddr>) -> bool {
    let mut peers = view.peers.borrow_mut();
    let mut history = view.lists.changed_hosts.borrow_mut();
    let position = delta.position;
    if delta.is_whole {
        peers.clear();
        history.reset(position);
    }
    let mut changed = delta.is_whole;
    for address in delta.gone {
        if peers.remove(&address).is_some() {
            history.record(position, address);
            changed = true;
        }
    }
    for peer in delta.entries {
        let address = peer.address;
        if peers.insert(address, peer.clone()) != Some(peer) {
            history.record(position, address);
            changed = true;
        }
    }
    view.lists.of(List::Hosts).advance(position, changed);
    changed
}

/// Returns what a delegate sent of a list, unless this host already knows a later position.
fn newer<T: Positioned>(watermark: &Watermark, received: Option<T>) -> Option<T> {
    let known = watermark.position();
    received.filter(|received| known.is_none_or(|known| received.position() >= known))
}

/// Data at a position of the store.
trait Positioned {
    fn position(&self) -> Position;
}

impl<T> Positioned for Snapshot<T> {
    fn position(&self) -> Position {
        self.position
    }
}

impl<T, K> Positioned for Delta<T, K> {
    fn position(&self) -> Position {
        self.position
    }
}
