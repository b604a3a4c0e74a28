//! Limits the request rate of an upstream that has just started or has been idle.
//!
//! A cold upstream handles only a few requests per second and crashes well above that, although its slots are free.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time over which requests are counted: the second that the rate refers to, plus jitter on the way to the upstream.
const WINDOW: Duration = Duration::from_millis(1_200);
/// Percentage of a cold upstream's rate that one allocator uses, since two allocators may be active for a while without
/// knowledge of each other. Together they stay within one and a half times the rate.
const SHARE_PERCENT: u32 = 75;

/// Rate limit of a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// When the upstream is warm, and limited by its slots only.
    pub until: Instant,
    /// Requests per second that it handles until then.
    pub per_second: u32,
}

/// The recent requests of a cold upstream.
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    recent: VecDeque<Instant>,
    /// Until then, requests that another allocator granted before may still count against the rate.
    unknown_until: Option<Instant>,
}

impl SlowStart {
    /// Returns whether the upstream can handle one more request now.
    pub fn allows_request(&self, cold: Option<ColdStart>, now: Instant) -> bool {
        let Some(cold) = cold.filter(|it| now < it.until) else {
            return true;
        };
        if self.unknown_until.is_some_and(|until| now < until) {
            return false;
        }
        let limit = (cold.per_second * SHARE_PERCENT / 100).max(1);
        let recent = self.recent.iter().rev();
        let in_window = recent.take_while(|at| now < **at + WINDOW).count();
        in_window < limit as usize
    }

    /// Records that a request was granted.
    pub fn record_request(&mut self, now: Instant) {
        while self.recent.front().is_some_and(|at| now >= *at + WINDOW) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    /// Blocks requests for one window, because the allocator does not know which ones were granted before.
    pub fn reset(&mut self, now: Instant) {
        self.unknown_until = Some(now + WINDOW);
    }
}
