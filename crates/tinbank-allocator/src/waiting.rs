//! Online requests that wait at the allocator for a slot.
//!
//! A request that queues inside an upstream gets the next slot of that upstream only, in arrival order. One that queues
//! here gets the next slot of any upstream, so it waits less and more requests meet their target. Of the requests that could queue
//! inside upstreams for two thirds of a 300 ms target, a quarter was late.

use std::{net::SocketAddr, time::Instant};

use crate::{
    frame::SlotRequest,
    lease,
    order::{Order, Waiter},
};

/// All queued requests, in the order in which they arrived.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue(Vec<Waiter>);

impl WaitQueue {
    pub fn add(&mut self, waiter: Waiter) {
        self.0.push(waiter);
    }

    /// Returns whether the request is queued already.
    pub fn contains(&self, from: SocketAddr, lease: lease::Id) -> bool {
        let same = |it: &Waiter| it.from == from && it.request.lease == lease;
        self.0.iter().any(same)
    }

    pub fn remove(&mut self, from: SocketAddr, lease: lease::Id) -> Option<Waiter> {
        let same = |it: &Waiter| it.from == from && it.request.lease == lease;
        let index = self.0.iter().position(same)?;
        Some(self.0.remove(index))
    }

    /// Removes and returns the requests for which the predicate does not hold.
    pub fn remove_unless(&mut self, holds: impl Fn(&SlotRequest) -> bool) -> Vec<Waiter> {
        let all = std::mem::take(&mut self.0);
        let (kept, removed) = all.into_iter().partition(|it| holds(&it.request));
        self.0 = kept;
        removed
    }

    pub fn remove_expired(&mut self, now: Instant) {
        self.0.retain(|it| now < it.expires_at);
    }

    /// Takes all queued requests, the next one to be served first.
    pub fn take(&mut self, order: &dyn Order) -> Vec<Waiter> {
        let mut all = std::mem::take(&mut self.0);
        all.sort_by(|a, b| order.compare(a, b));
        all
    }

    /// Puts back the requests that keep waiting.
    pub fn restore(&mut self, waiters: Vec<Waiter>) {
        self.0 = waiters;
    }

    /// Returns the queued requests.
    pub fn waiters(&self) -> &[Waiter] {
        &self.0
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
