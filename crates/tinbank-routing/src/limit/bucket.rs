//! Token bucket whose rate may change at any time.

use std::time::{Duration, Instant};

/// Longest time to wait that a caller is given.
pub const MAX_WAIT: Duration = Duration::from_secs(60);

/// A token bucket. It may be overdrawn if the price of a request is known only afterwards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    level: f64,
    refilled_at: Instant,
}

/// Rate and size of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Tokens per second.
    pub per_second: f64,
    /// Maximum number of tokens that it holds.
    pub burst: f64,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self {
            level: rate.burst,
            refilled_at: now,
        }
    }

    /// Adds tokens for the time since the last refill.
    pub fn refill(&mut self, rate: Rate, now: Instant) {
        let passed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + passed * rate.per_second).min(rate.burst);
    }

    /// Returns an error with the time to wait if it holds less than `price`.
    pub fn check(&self, price: f64, rate: Rate) -> Result<(), Duration> {
        if self.holds(price) {
            return Ok(());
        }
        let seconds = (price - self.level) / rate.per_second;
        let longest = MAX_WAIT.as_secs_f64();
        if seconds.is_finite() && seconds < longest {
            return Err(Duration::from_secs_f64(seconds));
        }
        Err(MAX_WAIT)
    }

    /// Returns whether it held at least this many tokens at the last refill.
    pub fn holds(&self, tokens: f64) -> bool {
        // Tolerates the rounding errors of many small refills.
        const ROUNDING: f64 = 1e-9;
        self.level + ROUNDING >= tokens
    }

    /// Removes tokens, below zero if necessary.
    pub fn take(&mut self, price: f64) {
        self.level -= price;
    }
}
