//! Online requests that wait at the allocator until a slot comes free.
//!
//! It answers a load that fills all slots for a moment. A request that waits inside one upstream gets the next slot of that
//! upstream only, and upstreams know no order: of those that were let in for two thirds of a 300 ms target a quarter came
//! late. One that waits here gets the next slot of any upstream, which comes free many times as often.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    frame::{Queue, SlotRequest},
    lease,
};

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub from: SocketAddr,
    pub ask: SlotRequest,
    /// When it has to be told that there is no slot for it.
    until: Instant,
}

impl Waiter {
    fn place(&self) -> Place {
        place(&self.ask, self.until)
    }
}

/// Where a request stands among those that wait: a late one or not, its rank, and when its time is up.
type Place = (bool, u8, Instant);

/// Those that can be in time come first, among them those of higher rank, and among equals those whose time is up first. A
/// late one of high rank stands behind: it would make one late that is not.
fn place(ask: &SlotRequest, until: Instant) -> Place {
    (matches!(ask.queue, Queue::LowPriority(_)), ask.rank, until)
}

/// All requests that wait, those that get a slot next first.
#[derive(Debug, Default)]
pub(crate) struct Waiting(Vec<Waiter>);

impl Waiting {
    /// Takes a request in.
    pub fn add(&mut self, from: SocketAddr, ask: SlotRequest, patience: Duration, now: Instant) {
        let waiter = Waiter {
            from,
            ask,
            until: now + patience,
        };
        let place = self.0.partition_point(|it| it.place() <= waiter.place());
        self.0.insert(place, waiter);
    }

    /// True if the request waits already.
    pub fn has(&self, from: SocketAddr, lease: lease::Id) -> bool {
        let same = |it: &Waiter| it.from == from && it.ask.lease == lease;
        self.0.iter().any(same)
    }

    /// Takes a request out that waits no more.
    pub fn remove(&mut self, from: SocketAddr, lease: lease::Id) {
        self.0.retain(|it| it.from != from || it.ask.lease != lease);
    }

    /// Takes out those for which something does not hold.
    pub fn remove_unless(&mut self, holds: impl Fn(&SlotRequest) -> bool) -> Vec<Waiter> {
        let (kept, removed) = self.take().into_iter().partition(|it| holds(&it.ask));
        self.0 = kept;
        removed
    }

    /// Takes out those whose time is up.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|it| now < it.until);
    }

    /// How many requests of its service would get a slot before this one.
    pub fn ahead_of(&self, ask: &SlotRequest, patience: Duration, now: Instant) -> usize {
        let place = place(ask, now + patience);
        let ahead = self.0.iter().filter(|it| it.ask.service == ask.service);
        ahead.filter(|it| it.place() <= place).count()
    }

    /// The requests that wait, in order.
    pub fn take(&mut self) -> Vec<Waiter> {
        std::mem::take(&mut self.0)
    }

    /// Puts those back that are to go on waiting, in their order.
    pub fn put_back(&mut self, waiters: Vec<Waiter>) {
        self.0 = waiters;
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
