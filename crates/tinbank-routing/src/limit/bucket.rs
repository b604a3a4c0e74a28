//! A token bucket whose rate may change at any time. Pure.

use std::time::{Duration, Instant};

/// Longest time that a caller is told to wait.
pub const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// A token bucket. It may be overdrawn where the price of a request is only known afterwards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    level: f64,
    filled_at: Instant,
}

/// Rate and size of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Tokens a second.
    pub per_second: f64,
    /// Most tokens that it holds.
    pub burst: f64,
}

impl Bucket {
    /// A full bucket.
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self {
            level: rate.burst,
            filled_at: now,
        }
    }

    /// Takes in the time that has passed.
    pub fn fill(&mut self, rate: Rate, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + passed * rate.per_second).min(rate.burst);
    }

    /// Whether it holds at least `price`; otherwise how long that takes.
    pub fn check(&self, price: f64, rate: Rate) -> Result<(), Duration> {
        if self.holds(price) {
            return Ok(());
        }
        let seconds = (price - self.level) / rate.per_second;
        let longest = LONGEST_WAIT.as_secs_f64();
        if seconds.is_finite() && seconds < longest {
            return Err(Duration::from_secs_f64(seconds));
        }
        Err(LONGEST_WAIT)
    }

    /// Whether it held at least so many when it was last filled.
    pub fn holds(&self, tokens: f64) -> bool {
        // Rounding of many small fills must not cost a whole token.
        const ROUNDING: f64 = 1e-9;
        self.level + ROUNDING >= tokens
    }

    /// Takes tokens out, below zero if need be.
    pub fn take(&mut self, price: f64) {
        self.level -= price;
    }
}
