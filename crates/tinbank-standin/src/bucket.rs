//! Token bucket, for the append rate and the weight store's rate.

use std::time::Duration;

use tokio::time::Instant;

/// Tokens that fill up at a rate. Pure: `now` comes in.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate: f64,
    burst: f64,
    filled: f64,
    at: Instant,
}

impl Bucket {
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate: rate.max(f64::MIN_POSITIVE),
            burst: burst.max(1.0),
            filled: burst.max(1.0),
            at: now,
        }
    }

    /// Takes one token, or says how long till there is one.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.at);
        self.at = now;
        self.filled = (self.filled + passed.as_secs_f64() * self.rate).min(self.burst);
        if self.filled >= 1.0 {
            self.filled -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.filled) / self.rate;
        Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }
}
