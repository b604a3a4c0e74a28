//! Demand of customers at one host, and the byte budget of the messages about it.

use std::time::{Duration, Instant};

use super::bucket::Rate;

/// Time constant of demand averages.
pub const AVERAGING_PERIOD: Duration = Duration::from_secs(1);

/// Byte budget of the fleet for claim requests, and as much again for answers. Each host's part is clamped to
/// [`MIN_HOST_BYTES_PER_SECOND`] and [`MAX_HOST_BYTES_PER_SECOND`].
const FLEET_BYTES_PER_SECOND: f64 = 7_200.0;
/// Smallest byte budget of a host for claim requests, and for answers.
pub const MIN_HOST_BYTES_PER_SECOND: f64 = 100.0;
/// Largest byte budget of a host for claim requests, and for answers.
pub const MAX_HOST_BYTES_PER_SECOND: f64 = 600.0;
/// Bytes of a frame without claims, parts or limits, as counted in the budget.
pub const FRAME_BYTES: f64 = 50.0;
/// Bytes of a claim, as counted in the budget.
pub const CLAIM_BYTES: f64 = 18.0;
/// Bytes of the answer to a claim, as counted in the budget.
pub const PART_BYTES: f64 = 4.0;
/// Bytes of the id of a limit in a recall, as counted in the budget.
pub const LIMIT_BYTES: f64 = 10.0;
/// Maximum number of claims in a frame, so that it and its answer fit into an unfragmented datagram.
pub const MAX_CLAIMS: usize = 40;

/// Returns the byte budget of one host for claim requests, and as much again for answers.
pub fn budget(hosts: usize) -> Rate {
    let per_second = (FLEET_BYTES_PER_SECOND / hosts.max(1) as f64)
        .clamp(MIN_HOST_BYTES_PER_SECOND, MAX_HOST_BYTES_PER_SECOND);
    Rate {
        per_second,
        // Enough for several large frames.
        burst: 2.0 * MAX_HOST_BYTES_PER_SECOND,
    }
}

/// Converts an amount to thousandths, rounded down.
pub fn millis(amount: f64) -> u32 {
    (amount * 1_000.0) as u32
}

/// Converts an amount from thousandths.
pub fn from_millis(millis: u32) -> f64 {
    f64::from(millis) / 1_000.0
}

/// An exponentially weighted rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Average {
    per_second: f64,
    at: Instant,
}

impl Average {
    pub fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
        }
    }

    pub fn add(&mut self, amount: f64, now: Instant) {
        self.per_second = self.per_second(now) + amount / AVERAGING_PERIOD.as_secs_f64();
        self.at = self.at.max(now);
    }

    pub fn per_second(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-passed / AVERAGING_PERIOD.as_secs_f64()).exp()
    }
}
