//! Applies updates that were received from a delegate.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::directory::Peer;
use tinbank_feed::message::{Contact, Delta, Position, Snapshot, Update};
use tinbank_relay::listing::Change;

use super::{
    View,
    entries::{
        apply_config, log_change, on_evacuation_changes, record_read, scope, update_allocator_list,
    },
    watermark::Watermark,
};
use crate::{
    border::store::{List, ListEntry},
    node::Node,
};

/// Applies an update from a delegate. `is_own_domain_only` says whether its upstreams are only those of the own failure domain.
pub(crate) fn apply_update(
    node: &Node,
    mut update: Update,
    delegate: SocketAddr,
    received_at: Instant,
    is_own_domain_only: bool,
) {
    let view = &node.view;
    if let Some(snapshot) = newer(&view.lists.evacuations, update.evacuations.take()) {
        let changes = view.evacuations.borrow_mut().replace(snapshot.entries);
        view.lists.evacuations.advance(snapshot.position, true);
        on_evacuation_changes(node, &changes);
    }
    if let Some(config) = update.config.take() {
        apply_config(node, ListEntry::Config(config));
    }
    let upstreams_changed =
        apply_upstreams(node, &mut update, delegate, is_own_domain_only, received_at);
    if let Some(delta) = newer(&view.lists.hosts, update.hosts) {
        let changed = apply_hosts(view, delta);
        record_read(node, List::Hosts, received_at, changed);
    }
    if let Some(snapshot) = newer(&view.lists.quarantine, update.quarantine) {
        node.quarantine
            .replace_stored(&snapshot.entries, received_at);
        view.lists.quarantine.advance(snapshot.position, true);
    }
    if let Some(snapshot) = newer(&view.lists.builds, update.builds) {
        node.origins.builds.replace(snapshot.entries);
        view.lists.builds.advance(snapshot.position, true);
        record_read(node, List::Builds, received_at, true);
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

/// Applies since when the store has answered another host, as requested at `requested_at`.
pub(crate) fn apply_contact(
    node: &Node,
    contact: Contact,
    host: SocketAddr,
    requested_at: Instant,
) {
    let now = Instant::now();
    let Some(period) = contact.period(requested_at, now) else {
        return;
    };
    let mut replica = node.view.upstreams.borrow_mut();
    let changes = replica.record_contact(period, now);
    let is_reliable = replica.listing().is_reliable();
    drop(replica);
    if !is_reliable {
        return;
    }
    log::info!(host:%, answering_for:? = now - period.since, gone = changes.len(); "store contact confirmed, the store was not away");
    changes.iter().for_each(log_change);
    if changes.is_empty() {
        return;
    }
    update_allocator_list(node);
    node.update_allocator();
    node.view.refreshed.notify_waiters();
}

/// Returns whether the upstreams changed.
fn apply_upstreams(
    node: &Node,
    update: &mut Update,
    delegate: SocketAddr,
    is_own_domain_only: bool,
    received_at: Instant,
) -> bool {
    let scope = scope(node, is_own_domain_only);
    let is_whole = update.upstreams.as_ref().is_some_and(|it| it.is_whole);
    let mut replica = node.view.upstreams.borrow_mut();
    let changes = replica.apply_update(update, delegate, scope, received_at);
    let position = replica.position();
    drop(replica);
    let Some(changes) = changes.filter(|it| !it.is_empty()) else {
        return false;
    };
    // The delegate logs each change of its own, but a host may lose upstreams by its list alone.
    let lost = changes.iter().filter(|it| !matches!(it, Change::Listed(_)));
    lost.for_each(log_change);
    log::info!(position:?, whole = is_whole, changes = changes.len(); "upstreams received from a delegate");
    true
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
    view.lists.hosts.advance(position, changed);
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
