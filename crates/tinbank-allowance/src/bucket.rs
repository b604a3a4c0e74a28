//! A token bucket whose level may fall below zero: what another counter let in is taken from it after the fact.

use std::time::{Duration, Instant};

/// Tokens at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: f64,
    at: Instant,
}

/// How fast a bucket fills, and how far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    /// Tokens a second.
    pub rate: f64,
    /// Most tokens. At least one fits, or nothing would ever pass.
    pub capacity: f64,
}

impl Bucket {
    pub fn new(level: f64, now: Instant) -> Self {
        Self { level, at: now }
    }

    /// The level now. A bucket that was larger before loses what does not fit any more.
    pub fn level(&mut self, shape: Shape, now: Instant) -> f64 {
        let filled = now.saturating_duration_since(self.at).as_secs_f64() * shape.rate;
        self.level = (self.level + filled).min(shape.capacity.max(1.0));
        self.at = self.at.max(now);
        self.level
    }

    /// Takes tokens that were used, whether they are there or not.
    pub fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// When the level was last looked at.
    pub fn last_used(&self) -> Instant {
        self.at
    }

    /// Lowers the level to one that is known better.
    pub fn lower(&mut self, level: f64) {
        self.level = self.level.min(level);
    }
}

/// How long it takes until tokens have come in.
pub(crate) fn time_for(tokens: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64(tokens.max(0.0) / rate).unwrap_or(Duration::MAX)
}
