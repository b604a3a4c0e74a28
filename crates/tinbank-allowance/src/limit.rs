//! Rate limits of customers, and the tolerance with which they are enforced.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};

/// Units of a limit in one request.
const THOUSANDTHS: f64 = 1_000.0;

/// Rate limit of a customer over all hosts. Stored in thousandths, so that limits compare exactly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Requests per second, in thousandths.
    pub rate_milli: u64,
    /// Burst size in requests, in thousandths.
    pub burst_milli: u64,
}

impl Limit {
    /// Creates a limit of `rate` requests per second and bursts of `burst` requests. Returns `None` if the rate is zero,
    /// which means no limit.
    pub fn new(rate: f64, burst: f64) -> Option<Self> {
        let milli = |requests: f64| (requests.max(0.0) * THOUSANDTHS) as u64;
        let limit = Self {
            rate_milli: milli(rate),
            burst_milli: milli(burst),
        };
        (limit.rate_milli > 0).then_some(limit)
    }

    /// Returns the requests per second.
    pub fn rate(self) -> f64 {
        self.rate_milli as f64 / THOUSANDTHS
    }

    /// Returns the burst size in requests.
    pub fn burst(self) -> f64 {
        self.burst_milli as f64 / THOUSANDTHS
    }
}

/// How far a limit may be exceeded: in any window, by a share of `rate * window + burst` and by a number of requests.
/// Covers the time until counters receive each other's counts, and the state lost when they restart.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tolerance {
    /// Length of the windows, in seconds.
    #[serde_as(as = "DurationSeconds<f64>")]
    #[serde(rename = "window_s")]
    pub window: Duration,
    /// Share by which the limit may be exceeded.
    pub overshoot: f64,
    /// Number of requests by which it may be exceeded on top of that.
    pub slack: f64,
}

impl Default for Tolerance {
    /// No tolerance. Limits are then exceeded only by what counters have not received from each other yet.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(1),
            overshoot: 0.0,
            slack: 0.0,
        }
    }
}

impl Tolerance {
    /// Returns the number of requests by which a limit may be exceeded in a window.
    pub fn excess(&self, limit: Limit) -> f64 {
        let within = limit.rate() * self.window.as_secs_f64() + limit.burst();
        within * self.overshoot + self.slack
    }
}
