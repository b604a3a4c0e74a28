//! Online requests that wait at the allocator for a slot.
//!
//! A request that queues inside an upstream gets the next slot of that upstream only, in arrival order. One that queues
//! here gets the next slot of any upstream, so it waits less and more requests meet their target.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    frame::{Queue, SlotRequest},
    lease,
};

/// A queued request.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    pub from: SocketAddr,
    pub request: SlotRequest,
    expires_at: Instant,
}

impl Waiter {
    fn position(&self) -> Position {
        position(&self.request, self.expires_at)
    }
}

/// Sort key of the queue: whether the request is a low-priority one, its rank, and when it expires.
type Position = (bool, u8, Instant);

/// Orders requests that can be on time before late ones, then by rank, then by expiry. A late request of high rank comes
/// behind, since it would make another one late.
fn position(request: &SlotRequest, expires_at: Instant) -> Position {
    (
        matches!(request.queue, Queue::LowPriority(_)),
        request.rank,
        expires_at,
    )
}

/// All queued requests, the next one to be served first.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue(Vec<Waiter>);

impl WaitQueue {
    pub fn add(
        &mut self,
        from: SocketAddr,
        request: SlotRequest,
        max_wait: Duration,
        now: Instant,
    ) {
        let waiter = Waiter {
            from,
            request,
            expires_at: now + max_wait,
        };
        let index = self
            .0
            .partition_point(|it| it.position() <= waiter.position());
        self.0.insert(index, waiter);
    }

    /// Returns whether the request is queued already.
    pub fn contains(&self, from: SocketAddr, lease: lease::Id) -> bool {
        let same = |it: &Waiter| it.from == from && it.request.lease == lease;
        self.0.iter().any(same)
    }

    pub fn remove(&mut self, from: SocketAddr, lease: lease::Id) {
        self.0
            .retain(|it| it.from != from || it.request.lease != lease);
    }

    /// Removes and returns the requests for which the predicate does not hold.
    pub fn remove_unless(&mut self, holds: impl Fn(&SlotRequest) -> bool) -> Vec<Waiter> {
        let (kept, removed) = self.take().into_iter().partition(|it| holds(&it.request));
        self.0 = kept;
        removed
    }

    pub fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|it| now < it.expires_at);
    }

    /// Returns how many requests of the same service would be served before this one.
    pub fn count_ahead(&self, request: &SlotRequest, max_wait: Duration, now: Instant) -> usize {
        let position = position(request, now + max_wait);
        let ahead = self
            .0
            .iter()
            .filter(|it| it.request.service == request.service);
        ahead.filter(|it| it.position() <= position).count()
    }

    /// Takes all queued requests, in order.
    pub fn take(&mut self) -> Vec<Waiter> {
        std::mem::take(&mut self.0)
    }

    /// Puts back the requests that keep waiting, which must be in order.
    pub fn restore(&mut self, waiters: Vec<Waiter>) {
        self.0 = waiters;
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
