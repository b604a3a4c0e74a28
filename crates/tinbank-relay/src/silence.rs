//! Timeouts after which an unresponsive upstream is abandoned, so that the request can continue at another one.
//!
//! They handle upstreams that hang without closing their connections. A timeout that is too short runs requests twice and
//! loads the other upstreams; one that is too long delays the caller.

use std::time::{Duration, Instant};

/// Number of average gaps without an event after which an upstream counts as unresponsive.
const MISSED_EVENTS: u32 = 6;
/// Minimum idle timeout in percent of the event gap that the route allows. The remainder is for a slot, a connection and the
/// first event at another upstream.
const MIN_IDLE_PERCENT: u32 = 55;
/// Minimum idle timeout if the route sets no event gap.
const MIN_IDLE: Duration = Duration::from_millis(110);
/// Smoothing of the average gap: the newest gap has the weight 1/8.
const SMOOTHING: u32 = 8;
/// Divisor of the route's target latency that gives the response timeout of an idempotent request. The remaining time is for
/// the answer of another upstream.
const TARGET_DIVISOR: u32 = 2;
/// Minimum response timeout.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// The idle timeout of a stream, adapted to the average gap between its events.
#[derive(Clone, Copy, Debug)]
pub struct IdleTimeout {
    average_gap: Duration,
    min: Duration,
    last_event_at: Instant,
}

impl IdleTimeout {
    /// Creates the timeout of a stream that starts now, on a route that allows `max_gap` between events.
    pub fn new(max_gap: Option<Duration>, now: Instant) -> Self {
        let min = max_gap.map_or(MIN_IDLE, |gap| gap * MIN_IDLE_PERCENT / 100);
        Self {
            average_gap: min / MISSED_EVENTS,
            min,
            last_event_at: now,
        }
    }

    /// Records that an event was received.
    pub fn record_event(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_event_at);
        self.average_gap = (self.average_gap * (SMOOTHING - 1) + gap) / SMOOTHING;
        self.last_event_at = now;
    }

    /// Restarts the timeout when the stream continues at another upstream.
    pub fn restart(&mut self, now: Instant) {
        self.last_event_at = now;
    }

    /// Returns when the upstream counts as unresponsive.
    pub fn deadline(&self) -> Instant {
        self.last_event_at + (self.average_gap * MISSED_EVENTS).max(self.min)
    }
}

/// The response timeout of a request that was sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimeout {
    /// Target time for the start of the answer.
    pub target: Duration,
    /// Whether the request is queued inside the upstream.
    pub is_queued: bool,
    /// Whether the answer misses its target in any case.
    pub is_late: bool,
    /// Average time for which requests of the route hold a slot, if it was measured.
    pub typical_hold: Option<Duration>,
}

impl AttemptTimeout {
    /// Returns when the upstream counts as unresponsive. A queued request may take its full target time or, if it is late
    /// anyway, as long as the requests ahead of it hold their slots.
    pub fn deadline(&self, now: Instant) -> Instant {
        let timeout = match (self.is_queued, self.is_late) {
            (false, _) => self.target / TARGET_DIVISOR,
            (true, false) => self.target,
            (true, true) => self.typical_hold.unwrap_or_default().max(self.target),
        };
        now + timeout.max(MIN_RESPONSE_TIMEOUT)
    }
}
