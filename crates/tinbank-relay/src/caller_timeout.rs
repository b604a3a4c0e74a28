//! Detection of retries by callers, from the time that a request has left compared to the usual timeout of callers.

use std::time::Duration;

/// A request with less than 19/20 of the usual time left is a retry of one that was refused or whose host failed.
const TOLERANCE_DIVISOR: u32 = 20;
/// Number of requests after which the observed timeout is used. Before that, at least the route's limit is assumed, since the
/// first requests after a restart of all hosts are mostly retries.
const MIN_REQUESTS: u32 = 8;

/// The timeout that callers of a route usually set.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerTimeout {
    longest: Duration,
    seen: u32,
}

impl CallerTimeout {
    /// Records a request and returns whether it is likely the caller's first try. `limit` is the time limit of the route.
    pub fn is_first_try(&mut self, time_left: Duration, limit: Duration) -> bool {
        self.longest = self.longest.max(time_left);
        self.seen = self.seen.saturating_add(1);
        let usual = match self.seen < MIN_REQUESTS {
            true => limit.max(self.longest),
            false => self.longest,
        };
        time_left * TOLERANCE_DIVISOR >= usual * (TOLERANCE_DIVISOR - 1)
    }
}
