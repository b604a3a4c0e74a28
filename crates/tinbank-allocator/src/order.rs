//! The order in which waiting requests get free slots.

pub mod fair_share;
pub mod virtual_counter;

use std::{
    cmp::Ordering,
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_base::id;

pub use self::fair_share::FairShare;
use crate::{
    frame::SlotRequest,
    lease::{self, Footprint},
};

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
        self.request.queue.is_low_priority()
    }
}

/// How fast the slots for a request become free.
#[derive(Clone, Copy, Debug)]
pub struct Turnover {
    /// How long a request holds its slot, if that was measured.
    pub slot_time: Option<Duration>,
    /// Number of slots.
    pub slots: usize,
}

impl Turnover {
    /// Returns how long a request waits for a slot if `ahead` others are served before it. Zero before the first measurement,
    /// so that requests are not refused on a guess.
    pub fn wait(&self, ahead: usize) -> Duration {
        self.slot_time.unwrap_or_default() * (ahead + 1) as u32 / self.slots.max(1) as u32
    }
}

/// The place of a queued request.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// The host that sent it.
    pub from: SocketAddr,
    /// Its lease.
    pub lease: lease::Id,
    /// How many requests of its service are served before it.
    pub ahead: usize,
    /// When it stops waiting.
    pub expires_at: Instant,
}

/// Denials of online requests that may have waited, by customer. They tell whether a busy customer is denied or the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Denials {
    /// Number of denials.
    pub total: u32,
    /// Number of customers that had one.
    pub customers: usize,
    /// The customer with the most.
    pub busiest: id::Customer,
    /// Number of its denials.
    pub of_busiest: u32,
}

/// Decides which waiting request gets the next free slot.
pub trait Order: fmt::Debug {
    /// Compares two waiting requests; the lesser one is served first.
    fn compare(&self, a: &Waiter, b: &Waiter) -> Ordering;

    /// Returns how many waiting requests of the same service are served before this one.
    fn count_ahead(&self, waiter: &Waiter, waiting: &[Waiter]) -> usize {
        let same_service = |it: &&Waiter| it.request.service == waiter.request.service;
        let ahead = waiting.iter().filter(same_service);
        ahead
            .filter(|it| self.compare(it, waiter) != Ordering::Greater)
            .count()
    }

    /// Returns the places of those queued requests of a service that are denied once others have displaced them.
    fn places(&self, _service: &str, _waiting: &[Waiter]) -> Vec<Place> {
        Vec::new()
    }

    /// Returns whether a request may join the queue for `slots` slots, which bounds what one customer can queue.
    fn may_wait(&self, _request: &SlotRequest, _waiting: &[Waiter], _slots: usize) -> bool {
        true
    }

    /// Records that a request competes with those in `waiting`. Called before its place is determined.
    fn record_queued(&mut self, _request: &SlotRequest, _waiting: &[Waiter], _now: Instant) {}

    /// Records that a request was granted a slot, with or without waiting. Returns whether this may have changed the order of
    /// the requests that wait.
    fn record_grant(&mut self, _request: &SlotRequest, _now: Instant) -> bool {
        false
    }

    /// Records an online lease that a host reports and that this allocator did not grant.
    fn record_held(&mut self, _service: &str, _footprint: &Footprint, _now: Instant) {}

    /// Returns whether customers are weighed against each other, so that [`Self::excess`] matters.
    fn weighs_customers(&self) -> bool {
        false
    }

    /// Returns how far a customer whose batch items hold this much work is above its share. The items of the customer with
    /// the greatest value are reclaimed first.
    fn excess(&self, _customer: Option<&str>, _held_work: u64) -> u64 {
        0
    }

    /// Returns after which time the caller of a request that can't wait should retry, if this follows from the backlog of
    /// its customer.
    fn return_after(
        &mut self,
        _request: &SlotRequest,
        _waiting: &[Waiter],
        _turnover: Turnover,
        _now: Instant,
    ) -> Option<Duration> {
        None
    }

    /// Returns the denials since the last call, if there were any and their customers are known.
    fn take_denials(&mut self) -> Option<Denials> {
        None
    }

    /// Discards what was recorded, because it may be out of date.
    fn reset(&mut self) {}
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
