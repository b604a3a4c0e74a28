//! How this process gets the lists of the store: it reads them on behalf of other hosts, or follows a host that does.

mod bootstrap;
mod contact;
mod follower;
mod server;

use std::{
    cell::{Cell, RefCell},
    time::Instant,
};

use tinbank_feed::Delegation;
use tokio::sync::Notify;

pub(crate) use self::{
    bootstrap::{bootstrap, register_first_delegate},
    contact::confirm as confirm_contact,
    follower::follow,
    server::serve,
};
use crate::{border::store::List, sharing::Sharing};

/// Largest number of hosts at which each delegate reads all lists. The store bears the load of that many readers, and
/// no host depends on another one. Twenty readers of the heartbeats of some hundred upstreams take a tenth of what the
/// store transfers.
const SMALL_FLEET: usize = 128;

/// Which lists this process reads from the store itself.
#[derive(Default)]
pub(crate) struct Feed {
    delegation: RefCell<Delegation>,
    /// Whether this host is selected as the first delegate of its failure domain.
    is_first: Cell<bool>,
    /// Whether the fleet is so small that each delegate reads all lists itself.
    is_small_fleet: Cell<bool>,
    /// Whether the list of hosts was read once, so that others can be followed.
    has_hosts: Cell<bool>,
    /// Whether the store has this host as the first delegate. It then starts to read the lists before it has verified that it
    /// still is, since all other hosts depend on it.
    is_registered: Cell<bool>,
    /// Whether no delegate sends fresh updates.
    lacks_source: Cell<bool>,
    changed: Notify,
}

impl Feed {
    /// Returns whether this host reads the store for others of its failure domain, and runs jobs.
    pub fn is_delegate(&self) -> bool {
        self.delegation.borrow().is_delegate()
    }

    /// Returns whether this host serves followers with what it reads.
    pub fn serves_followers(&self) -> bool {
        let is_bootstrapping = self.is_registered.get() && !self.has_hosts.get();
        self.is_delegate() || is_bootstrapping
    }

    /// Waits until the list of hosts was read.
    pub async fn wait_for_hosts(&self) {
        while !self.has_hosts() {
            self.changed.notified().await;
        }
    }

    /// Waits until this host is the first delegate.
    pub async fn wait_until_first(&self) {
        while !self.is_first() {
            self.changed.notified().await;
        }
    }

    /// Waits until this host is a delegate.
    pub async fn wait_until_delegate(&self) {
        while !self.is_delegate() {
            self.changed.notified().await;
        }
    }

    /// Waits until this host is not a delegate.
    pub async fn wait_until_not_delegate(&self) {
        while self.is_delegate() {
            self.changed.notified().await;
        }
    }

    /// Waits until this host has to read a list from the store.
    pub async fn wait_until_reader(&self, list: List) {
        while !self.is_reader(list) {
            self.changed.notified().await;
        }
    }

    fn is_reader(&self, list: List) -> bool {
        let knows_nobody = list == List::Hosts && !self.has_hosts.get();
        let by_role = match list {
            // They change with each heartbeat of an upstream, so each reader is a high load on the store.
            List::Upstreams | List::Hosts => self.reads_lists(),
            List::Config | List::Quarantine | List::Builds => self.is_delegate(),
            List::FirstDelegates => false,
        };
        let is_bootstrapping = self.is_registered.get() && !self.has_hosts.get();
        knows_nobody || by_role || is_bootstrapping || self.lacks_source.get()
    }

    /// Returns whether this host is the first delegate of its failure domain.
    pub fn is_first(&self) -> bool {
        self.is_delegate() && self.is_first.get()
    }

    /// Returns whether this host reads the lists of upstreams and hosts itself. In a large fleet, only the first delegate of a
    /// failure domain does.
    pub fn reads_lists(&self) -> bool {
        self.is_delegate() && (self.is_first.get() || self.is_small_fleet.get())
    }

    /// Records that the store has this host as the first delegate.
    fn set_registered(&self) {
        self.is_registered.set(true);
        self.changed.notify_waiters();
    }

    /// Returns whether the list of hosts was read.
    pub fn has_hosts(&self) -> bool {
        self.has_hosts.get()
    }

    /// Records that the list of hosts was read, from the store or from a delegate.
    pub fn on_hosts_read(&self, sharing: &Sharing, now: Instant) {
        if self.has_hosts.replace(true) {
            return self.update_role(sharing, now);
        }
        let is_selected = sharing.is_selected_as_delegate(now);
        self.is_first.set(sharing.is_allocator(now));
        self.is_small_fleet.set(sharing.host_count() <= SMALL_FLEET);
        self.delegation.borrow_mut().initialize(is_selected);
        log::info!(delegate = is_selected; "list of hosts read for the first time");
        self.changed.notify_waiters();
    }

    /// Updates the role of this host, after a change of the hosts or of their responsiveness.
    pub fn update_role(&self, sharing: &Sharing, now: Instant) {
        let is_selected = sharing.is_selected_as_delegate(now);
        if self.delegation.borrow_mut().update(is_selected, now) {
            log::info!(delegate = is_selected; "delegate role of this host changed");
            self.changed.notify_waiters();
        }
        let is_first = sharing.is_allocator(now);
        let is_small_fleet = sharing.host_count() <= SMALL_FLEET;
        let was_first = self.is_first.replace(is_first);
        let was_small_fleet = self.is_small_fleet.replace(is_small_fleet);
        if self.is_delegate() && (was_first, was_small_fleet) != (is_first, is_small_fleet) {
            log::info!(first = is_first, small = is_small_fleet; "selection of delegates that read the lists changed");
            self.changed.notify_waiters();
        }
    }

    fn set_lacks_source(&self, lacks_source: bool) {
        if self.lacks_source.replace(lacks_source) == lacks_source {
            return;
        }
        match lacks_source {
            true => log::warn!("no delegate sends fresh updates, reading the store here"),
            false => log::info!("a delegate sends fresh updates again"),
        }
        self.changed.notify_waiters();
    }
}
