//! A token bucket whose level may become negative, because requests admitted by other counters are deducted afterwards.

use std::time::{Duration, Instant};

/// Level of a bucket at a point in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: f64,
    updated_at: Instant,
}

/// Refill rate and capacity of a bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BucketConfig {
    /// Tokens per second.
    pub rate: f64,
    /// Maximum number of tokens. Values below one count as one, or no request would ever be admitted.
    pub capacity: f64,
}

impl Bucket {
    pub fn new(level: f64, now: Instant) -> Self {
        Self {
            level,
            updated_at: now,
        }
    }

    /// Refills the bucket and returns its level. Tokens above the capacity are lost.
    pub fn level(&mut self, config: BucketConfig, now: Instant) -> f64 {
        let filled = now.saturating_duration_since(self.updated_at).as_secs_f64() * config.rate;
        self.level = (self.level + filled).min(config.capacity.max(1.0));
        self.updated_at = self.updated_at.max(now);
        self.level
    }

    /// Deducts tokens, even if there are not as many.
    pub fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Returns when the bucket was last refilled.
    pub fn last_updated(&self) -> Instant {
        self.updated_at
    }

    /// Lowers the level to `level` if it is higher.
    pub fn lower_to(&mut self, level: f64) {
        self.level = self.level.min(level);
    }
}

/// Returns how long it takes to refill `tokens`.
pub(crate) fn refill_time(tokens: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64(tokens.max(0.0) / rate).unwrap_or(Duration::MAX)
}
