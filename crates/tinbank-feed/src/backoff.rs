//! Retry pauses and response timeouts: exponential backoff with full jitter, shared by all calls of a process.
//!
//! Jitter keeps hosts that lost the store in the same moment from retrying in step. With a fixed pause, 295 hosts made 570 calls a
//! second that were refused after a power loss, and 1,650 a second half a minute later. Full jitter is from Brooker, "Exponential
//! Backoff and Jitter" (AWS, 2015).

use std::time::{Duration, Instant};

use rand::Rng;

/// Upper bound of the first pause: a few times the usual response time of the store.
const INITIAL_CEILING: Duration = Duration::from_millis(200);
/// Upper bound of all pauses. A recovered store is noticed after half of it on average. Outages last several seconds,
/// and the first call of a process that is answered ends the pauses of all others.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);
/// Lower bound of all pauses.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Longest response timeout, as a multiple of the usual one. A lost response blocks its call for that long. A store
/// under load answers after up to 3 s, four times the usual 700 ms.
const MAX_TIMEOUT_FACTOR: u32 = 8;

/// Consecutive failures of the calls of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    doublings: u32,
    /// Failures before this time count as one with the last failure.
    same_failure_until: Option<Instant>,
}

impl Backoff {
    /// Resets the backoff after a successful call.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records a failed call and returns when to retry it. Concurrent failures count as one: an outage fails all calls that a
    /// process has in flight.
    pub fn failed(&mut self, now: Instant, rng: &mut impl Rng) -> Instant {
        if self.same_failure_until.is_none_or(|until| now >= until) {
            self.doublings = self.same_failure_until.map_or(0, |_| self.doublings + 1);
            self.same_failure_until = Some(now + self.ceiling());
        }
        let longest = self.ceiling();
        now + rng.random_range(MIN_PAUSE..=longest)
    }

    fn ceiling(&self) -> Duration {
        let factor = 2u32.saturating_pow(self.doublings);
        INITIAL_CEILING.saturating_mul(factor).min(MAX_PAUSE)
    }
}

/// The response timeout of one repeated call. It doubles after each timeout, so that a store under load, whose responses take
/// longer than usual, is not asked for the same response again and again.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeout {
    usual: Duration,
    factor: u32,
}

impl ResponseTimeout {
    /// Creates the timeout of a call that usually completes within `usual`.
    pub fn new(usual: Duration) -> Self {
        Self { usual, factor: 1 }
    }

    /// Returns the timeout of the next call.
    pub fn duration(&self) -> Duration {
        self.usual * self.factor
    }

    /// Resets the timeout after a response.
    pub fn on_response(&mut self) {
        self.factor = 1;
    }

    /// Doubles the timeout, up to the maximum.
    pub fn on_timeout(&mut self) {
        self.factor = (self.factor * 2).min(MAX_TIMEOUT_FACTOR);
    }
}
