//! The part of a host that reaches no counter.
//!
//! What all such hosts let in together, while the counters let in the whole limit, stays within a part of the excess: each
//! has one part in as many as there are hosts. For most customers that is less than a request in a window, so hosts differ
//! in when they let the first one in.

use std::{
    collections::HashMap,
    hash::{Hash, Hasher},
    time::Instant,
};

use siphasher::sip::SipHasher13;
use tinbank_base::id;

use crate::{
    bucket::{Bucket, Shape},
    limit::{Limit, Tolerance},
};

/// Part of the excess of a limit that hosts without a counter may use in a window, all together.
const SHARE: f64 = 0.3;

/// What a host lets in on its own.
#[derive(Debug)]
pub struct FallbackLimiter {
    /// By it, hosts differ in when they let a first request in.
    seed: u64,
    tolerance: Tolerance,
    buckets: HashMap<id::Customer, Bucket>,
}

impl FallbackLimiter {
    /// A part that was not used yet.
    pub fn new(seed: u64, tolerance: Tolerance) -> Self {
        Self {
            seed,
            tolerance,
            buckets: HashMap::new(),
        }
    }

    /// True if a request of a customer may pass, which is then counted, at one of so many hosts.
    pub fn try_acquire(&mut self, customer: &str, limit: Limit, hosts: usize, now: Instant) -> bool {
        let window = self.tolerance.window.as_secs_f64();
        let in_window = self.tolerance.excess(limit) * SHARE / hosts.max(1) as f64;
        let shape = Shape {
            rate: in_window / window / 2.0,
            capacity: in_window / 2.0,
        };
        if !self.buckets.contains_key(customer) {
            let start = self.draw(customer) + in_window / 2.0;
            let bucket = Bucket::new(start, now);
            self.buckets.insert(customer.to_owned(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return false;
        };
        if bucket.level(shape, now) < 1.0 {
            return false;
        }
        bucket.take(1.0);
        true
    }

    /// A number from 0 to 1, another one at each host.
    fn draw(&self, customer: &str) -> f64 {
        let mut hasher = SipHasher13::new();
        (self.seed, customer).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }
}
