//! Whether a host that stops still begins requests, which have to end within its grace period. See `docs/design/planned-stop.md`.

use std::time::{Duration, Instant};

use crate::route::Kind;

/// Number of completed requests of a route from which the time of further ones is estimated.
const MIN_SAMPLES: u32 = 8;
/// Number of requests after which the longest time of those before them is forgotten, once as many have followed.
const WINDOW: u32 = 32;
/// Time reserved for a request that may be repeated, in percent of the longest that recent ones took.
const REPEATABLE_PERCENT: u32 = 150;
/// Time reserved for any other request.
const ONCE_PERCENT: u32 = 200;

/// The longest time that recent requests of a route took.
#[derive(Clone, Copy, Debug, Default)]
pub struct LongestTime {
    current: Duration,
    /// Number of requests in `current`.
    samples: u32,
    previous: Option<Duration>,
}

impl LongestTime {
    /// Records how long a request took.
    pub fn record(&mut self, took: Duration) {
        if self.samples == WINDOW {
            *self = Self {
                previous: Some(self.current),
                ..Self::default()
            };
        }
        self.current = self.current.max(took);
        self.samples += 1;
    }

    /// Returns the longest time, or `None` after too few requests.
    pub fn get(self) -> Option<Duration> {
        match self.previous {
            Some(previous) => Some(previous.max(self.current)),
            None => (self.samples >= MIN_SAMPLES).then_some(self.current),
        }
    }
}

/// The time that a host has to finish requests after it was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    /// When the last response must be complete.
    pub ends_at: Instant,
}

impl Grace {
    /// Returns until when a request may be sent to an upstream, so that its response is complete when the grace period ends. Returns
    /// `None` if it must not be sent at all. `deadline` is when the request ends in any case, `longest` the longest time that
    /// recent requests of its route took.
    pub fn latest_start(
        self,
        kind: Kind,
        deadline: Instant,
        longest: Option<Duration>,
    ) -> Option<Instant> {
        if deadline <= self.ends_at {
            return Some(deadline);
        }
        let percent = match kind.is_idempotent() {
            true => REPEATABLE_PERCENT,
            false => ONCE_PERCENT,
        };
        self.ends_at.checked_sub(longest? * percent / 100)
    }
}
