//! From when on an upstream that sends nothing is left, so that the request can go on elsewhere.
//!
//! It answers upstreams that hang without closing their connections. To leave one too early runs a request twice and loads
//! the others; to leave it too late makes a caller wait for nothing.

use std::time::{Duration, Instant};

/// Missing events after which an upstream counts as silent: its usual gap, so many times.
const MISSING_EVENTS: u32 = 6;
/// Shortest silence that ends a resumable stream, in percent of the longest pause that its route allows: the rest is for
/// a slot, a connection and the first event elsewhere.
const LEAST_SILENCE_PERCENT: u32 = 55;
/// Shortest silence where the route names no longest pause.
const LEAST_SILENCE: Duration = Duration::from_millis(110);
/// Weight of the newest gap in the smoothed gap, one part in so many.
const SMOOTHING: u32 = 8;
/// Part of a route's target latency after which an idempotent request without any answer is tried elsewhere, so that the
/// other part is for its answer there.
const PATIENCE_PART: u32 = 2;
/// Shortest time after which such a request is tried elsewhere, where the route names no target.
const LEAST_PATIENCE: Duration = Duration::from_millis(150);

/// The gap between the events of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Gap {
    usual: Duration,
    least: Duration,
    heard_at: Instant,
}

impl Gap {
    /// A stream that begins, on a route with a longest pause between events.
    pub fn new(longest_pause: Option<Duration>, now: Instant) -> Self {
        let least =
            longest_pause.map_or(LEAST_SILENCE, |pause| pause * LEAST_SILENCE_PERCENT / 100);
        Self {
            usual: least / MISSING_EVENTS,
            least,
            heard_at: now,
        }
    }

    /// An event has come.
    pub fn heard(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.heard_at);
        self.usual = (self.usual * (SMOOTHING - 1) + gap) / SMOOTHING;
        self.heard_at = now;
    }

    /// The stream goes on at another upstream.
    pub fn resumed(&mut self, now: Instant) {
        self.heard_at = now;
    }

    /// From when on the upstream counts as silent.
    pub fn silent_at(&self) -> Instant {
        self.heard_at + (self.usual * MISSING_EVENTS).max(self.least)
    }
}

/// A request that was sent and has no answer yet.
#[derive(Clone, Copy, Debug)]
pub struct Unanswered {
    /// Time within which its answer is to begin.
    pub target: Duration,
    /// It waits inside the upstream at first.
    pub is_queued: bool,
    /// Its answer is late in any case.
    pub is_late: bool,
    /// Time for which requests of its route hold their slots, where that was measured.
    pub usually_held: Option<Duration>,
}

impl Unanswered {
    /// From when on the upstream counts as silent. One that has the request wait may take until it would be late, and if it
    /// is late, until the requests ahead have come to their ends.
    pub fn silent_at(&self, now: Instant) -> Instant {
        let patience = match (self.is_queued, self.is_late) {
            (false, _) => self.target / PATIENCE_PART,
            (true, false) => self.target,
            (true, true) => self.usually_held.unwrap_or_default().max(self.target),
        };
        now + patience.max(LEAST_PATIENCE)
    }
}
