//! The order in which waiting requests get free slots.

use std::{cmp::Ordering, fmt, net::SocketAddr, time::Instant};

use crate::frame::{Queue, SlotRequest};

/// A queued request.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// The host that sent it.
    pub from: SocketAddr,
    /// The request.
    pub request: SlotRequest,
    /// When it stops waiting.
    pub expires_at: Instant,
}

impl Waiter {
    /// Returns whether the request can't be on time any more.
    pub fn is_late(&self) -> bool {
        matches!(self.request.queue, Queue::LowPriority(_))
    }
}

/// Decides which waiting request gets the next free slot.
pub trait Order: fmt::Debug {
    /// Compares two waiting requests; the lesser one is served first.
    fn compare(&self, a: &Waiter, b: &Waiter) -> Ordering;

    /// Returns whether a request may join the queue, which bounds what one customer can queue.
    fn may_wait(&self, _request: &SlotRequest, _waiting: &[Waiter]) -> bool {
        true
    }

    /// Records that a request joins the queue of those in `waiting`.
    fn record_queued(&mut self, _request: &SlotRequest, _waiting: &[Waiter], _now: Instant) {}

    /// Records that a request was granted a slot, with or without waiting. Returns whether this may have changed the order of
    /// the requests that wait.
    fn record_grant(&mut self, _request: &SlotRequest, _now: Instant) -> bool {
        false
    }
}

/// Serves requests that can be on time before late ones, then by rank, then by expiry. A late request of high rank comes
/// behind, since it would make another one late.
#[derive(Debug, Default)]
pub struct ByExpiry;

impl Order for ByExpiry {
    fn compare(&self, a: &Waiter, b: &Waiter) -> Ordering {
        let key = |it: &Waiter| (it.is_late(), it.request.rank, it.expires_at);
        key(a).cmp(&key(b))
    }
}
