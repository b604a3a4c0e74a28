//! The process's part in sharing what the store holds: it reads the lists for others, or follows a host that does.

mod follower;
mod introduction;
mod server;

use std::{
    cell::{Cell, RefCell},
    time::Instant,
};

use tinbank_feed::Delegation;
use tokio::sync::Notify;

pub(crate) use self::{
    follower::follow,
    introduction::{introduced, name_lead},
    server::serve,
};
use crate::{border::store::List, sharing::Sharing};

/// Up to so many hosts each delegate reads all lists: twenty readers of the heartbeats of some hundred upstreams take the store a
/// tenth of what it moves, and no host waits for another one that is frozen.
const SMALL: usize = 128;

/// Who reads the store for this process.
#[derive(Default)]
pub(crate) struct Feed {
    delegation: RefCell<Delegation>,
    /// This host is the first delegate of its failure domain.
    is_first: Cell<bool>,
    /// There are so few hosts that each delegate reads all lists itself, and waits for no other one.
    is_small: Cell<bool>,
    /// The list of hosts was read once, so others can be followed.
    has_hosts: Cell<bool>,
    /// The store names this host as the first delegate. It begins to read the lists before it has found out whether it still is:
    /// all other hosts wait for that.
    is_named: Cell<bool>,
    /// No delegate tells fresh news.
    alone: Cell<bool>,
    changed: Notify,
}

impl Feed {
    /// True while this host reads the store for others of its failure domain, and runs jobs.
    pub fn is_delegate(&self) -> bool {
        self.delegation.borrow().is_on_duty()
    }

    /// True if others may be told what this host reads.
    pub fn tells_others(&self) -> bool {
        let begins = self.is_named.get() && !self.has_hosts.get();
        self.is_delegate() || begins
    }

    /// Waits until the list of hosts was read.
    pub async fn hosts_known(&self) {
        while !self.has_hosts() {
            self.changed.notified().await;
        }
    }

    /// Waits until this host is the first delegate.
    pub async fn first(&self) {
        while !self.is_first() {
            self.changed.notified().await;
        }
    }

    /// Waits until this host is a delegate.
    pub async fn on_duty(&self) {
        while !self.is_delegate() {
            self.changed.notified().await;
        }
    }

    /// Waits until this host is no delegate.
    pub async fn off_duty(&self) {
        while self.is_delegate() {
            self.changed.notified().await;
        }
    }

    /// Waits until it falls to this host to read a list at the store.
    pub async fn reads(&self, list: List) {
        while !self.is_reader(list) {
            self.changed.notified().await;
        }
    }

    fn is_reader(&self, list: List) -> bool {
        let has_nobody = list == List::Hosts && !self.has_hosts.get();
        let on_duty = match list {
            // They change with each heartbeat of an upstream, so that each reader costs the store as much as all that it tells.
            List::Upstreams | List::Hosts => self.reads_lists(),
            List::Config | List::Quarantine => self.is_delegate(),
            List::FirstDelegates => false,
        };
        let begins = self.is_named.get() && !self.has_hosts.get();
        has_nobody || on_duty || begins || self.alone.get()
    }

    /// True while this host is the first delegate of its failure domain.
    pub fn is_first(&self) -> bool {
        self.is_delegate() && self.is_first.get()
    }

    /// True while this host reads the lists of upstreams and hosts itself. In a large fleet the first delegate does so for the
    /// other ones.
    pub fn reads_lists(&self) -> bool {
        self.is_delegate() && (self.is_first.get() || self.is_small.get())
    }

    /// The store names this host as the first delegate.
    fn named(&self) {
        self.is_named.set(true);
        self.changed.notify_waiters();
    }

    /// True once the list of hosts was read.
    pub fn has_hosts(&self) -> bool {
        self.has_hosts.get()
    }

    /// The list of hosts was read, here or at a delegate.
    pub fn listed(&self, sharing: &Sharing, now: Instant) {
        if self.has_hosts.replace(true) {
            return self.look(sharing, now);
        }
        let in_place = sharing.is_in_place(now);
        self.is_first.set(sharing.is_allocator(now));
        self.is_small.set(sharing.hosts() <= SMALL);
        self.delegation.borrow_mut().begin(in_place);
        log::info!(delegate = in_place; "list of hosts read for the first time");
        self.changed.notify_waiters();
    }

    /// Takes in which hosts are silent now.
    pub fn look(&self, sharing: &Sharing, now: Instant) {
        let in_place = sharing.is_in_place(now);
        if self.delegation.borrow_mut().place(in_place, now) {
            log::info!(delegate = in_place; "duty of this host changes");
            self.changed.notify_waiters();
        }
        let is_first = sharing.is_allocator(now);
        let is_small = sharing.hosts() <= SMALL;
        let was_first = self.is_first.replace(is_first);
        let was_small = self.is_small.replace(is_small);
        if self.is_delegate() && (was_first, was_small) != (is_first, is_small) {
            log::info!(first = is_first, small = is_small; "which delegates read the lists changes");
            self.changed.notify_waiters();
        }
    }

    fn set_alone(&self, alone: bool) {
        if self.alone.replace(alone) == alone {
            return;
        }
        match alone {
            true => log::warn!("no delegate tells fresh news, reading the store here"),
            false => log::info!("a delegate tells fresh news again"),
        }
        self.changed.notify_waiters();
    }
}
