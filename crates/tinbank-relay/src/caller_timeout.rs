//! How long callers wait, learned from what they say, to tell which of them came before.

use std::time::Duration;

/// A request with less than all but one part in so many of the usual time came before: it was refused, or its host was lost.
const FIRST_TRY_PART: u32 = 20;
/// Requests after which what callers say counts; until then the route's own time limit stands in. Source: after all hosts
/// were lost the first requests are those of callers that come again.
const LEARNED: u32 = 8;

/// The time that callers of a route have at first.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerTimeout {
    longest: Duration,
    seen: u32,
}

impl CallerTimeout {
    /// Takes in a request with its time left, on a route with a time limit. True if it is likely the caller's first try.
    pub fn is_first_try(&mut self, time_left: Duration, limit: Duration) -> bool {
        self.longest = self.longest.max(time_left);
        self.seen = self.seen.saturating_add(1);
        let usual = match self.seen < LEARNED {
            true => limit.max(self.longest),
            false => self.longest,
        };
        time_left * FIRST_TRY_PART >= usual * (FIRST_TRY_PART - 1)
    }
}
