//! Demand of customers at one host, and what telling of it may cost. Pure.

use std::time::{Duration, Instant};

use super::bucket::Rate;

/// Time over which demand is averaged.
pub const AVERAGE: Duration = Duration::from_secs(1);

/// Bytes a second that all hosts together spend on asks, and as much again on answers, as long as each host's part is
/// between [`LEAST_BYTES`] and [`MOST_BYTES`]: in a small fleet heartbeats leave more for it.
const FLEET_BYTES: f64 = 7_200.0;
/// Least bytes a second that a host spends on asks, and on answers.
pub const LEAST_BYTES: f64 = 100.0;
/// Most bytes a second that a host spends on asks, and on answers.
pub const MOST_BYTES: f64 = 600.0;
/// Bytes of a frame besides what it is about, as far as they matter for the budget.
pub const FRAME_BYTES: f64 = 50.0;
/// Bytes of a claim.
pub const CLAIM_BYTES: f64 = 18.0;
/// Bytes of the answer to a claim.
pub const PART_BYTES: f64 = 4.0;
/// Bytes of the id of a limit in a recall.
pub const LIMIT_BYTES: f64 = 10.0;
/// Most claims in a frame: they and their answers pass any path unfragmented.
pub const MAX_CLAIMS: usize = 40;

/// What one host may spend on asks, and as much again on answers.
pub fn budget(hosts: usize) -> Rate {
    let per_second = (FLEET_BYTES / hosts.max(1) as f64).clamp(LEAST_BYTES, MOST_BYTES);
    Rate {
        per_second,
        // Enough for some large frames after a quiet time.
        burst: 2.0 * MOST_BYTES,
    }
}

/// An amount in thousandths, as frames carry it; rounded down.
pub fn millis(amount: f64) -> u32 {
    (amount * 1_000.0) as u32
}

/// An amount that a frame carries.
pub fn from_millis(millis: u32) -> f64 {
    f64::from(millis) / 1_000.0
}

/// An average that forgets exponentially.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Average {
    per_second: f64,
    at: Instant,
}

impl Average {
    /// Nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
        }
    }

    /// Takes in an amount.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.per_second = self.per_second(now) + amount / AVERAGE.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// The amount a second.
    pub fn per_second(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-passed / AVERAGE.as_secs_f64()).exp()
    }
}
