//! Notices that the process did not run for a while.

use std::time::{Duration, Instant};

/// How often the process looks at the clock.
pub(crate) const TICK: Duration = Duration::from_millis(100);
/// A tick that comes this much late means that the process was paused. Source: far above what a slow host causes,
/// below the shortest bound that the platform states.
const PAUSE: Duration = Duration::from_millis(1_000);

/// The last time at which the process ran.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    last: Instant,
}

impl Clock {
    pub fn new(now: Instant) -> Self {
        Self { last: now }
    }

    /// Takes in a tick. For how long the process was paused, if it was.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        (gap > TICK + PAUSE).then_some(gap)
    }
}
