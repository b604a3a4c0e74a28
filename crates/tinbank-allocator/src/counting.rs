//! Customers' requests as one host counts them, whichever of its allocators admits them.
//!
//! Other hosts know a counter by the address of its host. If each allocator of a host had a counter of its own, their totals
//! could not be told apart.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allowance::{Counter, Counts, Limit, Reachability, Tolerance, counter::Verdict};
use tinbank_base::id;

use crate::allocator::LEASE_DURATION;

/// The counter of a host, and which hosts use it.
#[derive(Debug)]
pub(crate) struct Counting {
    counter: Counter,
    reachability: Reachability,
    last_contact: Option<Instant>,
}

impl Counting {
    /// Creates a counter that no host has used yet. `incarnation` identifies this start.
    pub fn new(incarnation: id::Incarnation, tolerance: Tolerance) -> Self {
        Self {
            counter: Counter::new(incarnation, tolerance),
            reachability: Reachability::default(),
            last_contact: None,
        }
    }

    /// Records that a host uses an allocator of this host. Starts anew if there was no contact for longer than a lease lasts.
    pub fn record_contact(&mut self, from: SocketAddr, now: Instant) {
        let idle = self.last_contact.is_none_or(|at| now > at + LEASE_DURATION);
        self.last_contact = Some(now);
        if idle {
            self.reachability.reset();
        }
        self.reachability.record_host(from, now);
        let share = self.reachability.share(now);
        self.counter.set_share(share, now);
        if idle && !self.reachability.has_fresh_report(now) {
            self.counter.reset(self.reachability.is_starting(now), now);
        }
    }

    /// Sets how many hosts are listed.
    pub fn set_host_count(&mut self, listed: usize, now: Instant) {
        self.reachability.set_host_count(listed, now);
    }

    /// Applies the counts of another host.
    pub fn apply(&mut self, from: SocketAddr, counts: Counts, now: Instant) {
        self.reachability.record_counts(from, &counts, now);
        self.counter.apply(from, counts, now);
    }

    /// Forgets all counts, for use after a pause of the process.
    pub fn reset(&mut self, now: Instant) {
        self.counter.reset(false, now);
        self.reachability.reset();
    }

    /// Returns whether a customer's request may be admitted. Deducts nothing.
    pub fn check(&mut self, customer: &str, limit: Limit, now: Instant) -> Verdict {
        self.counter.check(customer, limit, now)
    }

    /// Deducts an admitted request.
    pub fn take(&mut self, customer: &str, limit: Limit, now: Instant) {
        self.counter.take(customer, limit, now);
    }

    /// Returns the counts to send to other counters.
    pub fn next_counts(&mut self, now: Instant) -> Option<Counts> {
        self.counter.next_counts(&self.reachability, now)
    }

    /// Returns the hosts that have sent their counts within `age`.
    pub fn recent_senders(&self, age: Duration, now: Instant) -> impl Iterator<Item = SocketAddr> {
        self.reachability.recent_senders(age, now)
    }
}
