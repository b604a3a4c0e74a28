//! How fast an upstream that has just started, or has had nothing to do, gets requests.
//!
//! While it is cold it bears a few requests a second, and falls over far above that. Its load does not tell: it has free slots.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The time over which starts are counted. Source: a second by which the bound is stated, and what requests may be early or late on
/// their way.
const WINDOW: Duration = Duration::from_millis(1_200);
/// Part of what a cold upstream bears that one allocator gives it, in percent. Source: for a while there may be two, of which
/// neither knows of the other; together they stay within half as much again.
const SHARE_PERCENT: u32 = 75;

/// Until when an upstream is cold, and what it bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// From then on it bears what its slots say.
    pub until: Instant,
    /// Requests a second that it bears until then.
    pub per_second: u32,
}

/// The requests that a cold upstream was given lately.
#[derive(Debug, Default)]
pub(crate) struct SlowStart {
    given: VecDeque<Instant>,
    /// What another allocator gave it before may still count until then.
    unknown_until: Option<Instant>,
}

impl SlowStart {
    /// True if the upstream bears one more request now.
    pub fn allows(&self, cold: Option<ColdStart>, now: Instant) -> bool {
        let Some(cold) = cold.filter(|it| now < it.until) else {
            return true;
        };
        if self.unknown_until.is_some_and(|until| now < until) {
            return false;
        }
        let most = (cold.per_second * SHARE_PERCENT / 100).max(1);
        let given = self.given.iter().rev();
        let lately = given.take_while(|at| now < **at + WINDOW).count();
        lately < most as usize
    }

    /// The upstream was given a request.
    pub fn note(&mut self, now: Instant) {
        while self.given.front().is_some_and(|at| now >= *at + WINDOW) {
            self.given.pop_front();
        }
        self.given.push_back(now);
    }

    /// The allocator does not know what the upstream was given before.
    pub fn forget(&mut self, now: Instant) {
        self.unknown_until = Some(now + WINDOW);
    }
}
