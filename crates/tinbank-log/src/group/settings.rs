//! Bounds of groups, and the waits after failures.

use std::time::Duration;

use crate::budget;

/// Bounds of groups and backoff.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Most bytes of records in one envelope; one append may not be larger either.
    pub group_bytes: usize,
    /// Most records in one envelope.
    pub group_records: usize,
    /// Wait after the first failure; it doubles with each further one.
    pub backoff_first: Duration,
    /// Longest wait after a failure.
    pub backoff_longest: Duration,
    /// The budget of appends.
    pub budget: budget::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            group_bytes: 512 << 10,
            group_records: 16_384,
            backoff_first: Duration::from_millis(50),
            backoff_longest: Duration::from_secs(2),
            budget: budget::Settings::default(),
        }
    }
}

impl Settings {
    pub(super) fn wait(&self, failures: u32, jitter: f64) -> Duration {
        backoff(self.backoff_first, self.backoff_longest, failures, jitter)
    }
}

/// Doubles with each failure; the upper half is spread by jitter, so that hosts don't come back in step.
pub fn backoff(first: Duration, longest: Duration, failures: u32, jitter: f64) -> Duration {
    let factor = 1_u32 << failures.min(16);
    let whole = first.saturating_mul(factor).min(longest);
    whole.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
