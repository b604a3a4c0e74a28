//! Rate limiting on a host that can't reach any counter.
//!
//! Counters may admit the whole limit at the same time, so all such hosts together stay within a share of the tolerated
//! excess, divided by the number of hosts. For most customers that is less than one request per window and host, so hosts
//! differ in when they admit the first one.

use std::{
    collections::HashMap,
    hash::{Hash, Hasher},
    time::Instant,
};

use siphasher::sip::SipHasher13;
use tinbank_base::id;

use crate::{
    bucket::{Bucket, BucketConfig},
    limit::{Limit, Tolerance},
};

/// Share of a limit's excess that all hosts without a counter may use per window, together.
const EXCESS_SHARE: f64 = 0.3;

/// Rate limiter of one host, without knowledge of the other hosts.
#[derive(Debug)]
pub struct FallbackLimiter {
    /// Makes hosts differ in when they admit a first request.
    seed: u64,
    tolerance: Tolerance,
    buckets: HashMap<id::Customer, Bucket>,
}

impl FallbackLimiter {
    pub fn new(seed: u64, tolerance: Tolerance) -> Self {
        Self {
            seed,
            tolerance,
            buckets: HashMap::new(),
        }
    }

    /// Returns whether a customer's request is admitted, and counts it if so. `hosts` is the total number of hosts.
    pub fn try_acquire(
        &mut self,
        customer: &str,
        limit: Limit,
        hosts: usize,
        now: Instant,
    ) -> bool {
        let window = self.tolerance.window.as_secs_f64();
        let window_excess = self.tolerance.excess(limit) * EXCESS_SHARE / hosts.max(1) as f64;
        let config = BucketConfig {
            rate: window_excess / window / 2.0,
            capacity: window_excess / 2.0,
        };
        if !self.buckets.contains_key(customer) {
            let initial_level = self.random_fraction(customer) + window_excess / 2.0;
            let bucket = Bucket::new(initial_level, now);
            self.buckets.insert(customer.to_owned(), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(customer) else {
            return false;
        };
        if bucket.level(config, now) < 1.0 {
            return false;
        }
        bucket.take(1.0);
        true
    }

    /// Returns a number from 0 to 1 that differs between hosts and customers.
    fn random_fraction(&self, customer: &str) -> f64 {
        let mut hasher = SipHasher13::new();
        (self.seed, customer).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }
}
