//! Limits of customers, and how exactly they have to hold.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, serde_as};

/// Units of a limit in one request.
const THOUSANDTHS: f64 = 1_000.0;

/// What a customer may send over all hosts together. Kept in thousandths, so that limits compare exactly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Requests a second, in thousandths.
    pub rate_milli: u64,
    /// Requests on top, in thousandths.
    pub burst_milli: u64,
}

impl Limit {
    /// A limit of so many requests a second, and so many on top. Nothing if there is no rate: that means no limit.
    pub fn new(rate: f64, burst: f64) -> Option<Self> {
        let milli = |requests: f64| (requests.max(0.0) * THOUSANDTHS) as u64;
        let limit = Self {
            rate_milli: milli(rate),
            burst_milli: milli(burst),
        };
        (limit.rate_milli > 0).then_some(limit)
    }

    /// Requests a second.
    pub fn rate(self) -> f64 {
        self.rate_milli as f64 / THOUSANDTHS
    }

    /// Requests on top.
    pub fn burst(self) -> f64 {
        self.burst_milli as f64 / THOUSANDTHS
    }
}

/// How exactly limits hold: within any window, a customer's requests may exceed `rate * window + burst` by this share of it
/// and by so many requests. Counters on several hosts hear of each other late, and start anew after a loss of power; what they
/// don't know is paid from here.
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
    /// Requests on top of that.
    pub slack: f64,
}

impl Default for Tolerance {
    /// Limits hold exactly, as far as counters know of each other.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(1),
            overshoot: 0.0,
            slack: 0.0,
        }
    }
}

impl Tolerance {
    /// Requests by which a limit may be exceeded in a window.
    pub fn excess(&self, limit: Limit) -> f64 {
        let within = limit.rate() * self.window.as_secs_f64() + limit.burst();
        within * self.overshoot + self.slack
    }
}
