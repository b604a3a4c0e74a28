//! Detects that the process did not run for a while.
//!
//! All deadlines and ages use the monotonic clock. That clock advances while a process is frozen, but stands still while its
//! host is suspended: a list read ten seconds ago would seem fresh, and a request would seem to have all its time left. The
//! boot-time clock advances in both cases.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};

/// How often the process checks the clocks if nothing else does.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How late a check has to be for the process to count as paused: longer than the delays of a slow host. Below the
/// shortest bound that the platform states.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);

/// A point in time on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Time on the monotonic clock.
    pub monotonic: Instant,
    /// Time since boot, including the time the host was suspended.
    pub since_boot: Duration,
}

impl ClockReading {
    /// Reads both clocks.
    pub fn read() -> Self {
        let since_boot = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(since_boot.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(since_boot.tv_nsec).unwrap_or_default();
        Self {
            monotonic: Instant::now(),
            since_boot: Duration::new(seconds, nanos),
        }
    }

    /// Returns the time since an earlier reading, by the clock that advanced further.
    fn elapsed_since(self, earlier: Self) -> Duration {
        let monotonic = self.monotonic.saturating_duration_since(earlier.monotonic);
        monotonic.max(self.since_boot.saturating_sub(earlier.since_boot))
    }

    /// Returns the time since an earlier reading that the monotonic clock did not count.
    pub fn suspended_since(self, earlier: Self) -> Duration {
        let monotonic = self.monotonic.saturating_duration_since(earlier.monotonic);
        let since_boot = self.since_boot.saturating_sub(earlier.since_boot);
        since_boot.saturating_sub(monotonic)
    }
}

/// Detector of pauses of the process.
#[derive(Debug)]
pub struct PauseDetector {
    last_check: Cell<ClockReading>,
    pauses: Cell<PauseCount>,
    /// The longest pause that has not been handled yet.
    unhandled: Cell<Option<Duration>>,
}

/// Number of pauses so far. Two different counts mean that the process was paused in between.
pub type PauseCount = u64;

impl PauseDetector {
    /// Creates a detector whose last check was at `now`.
    pub fn new(now: ClockReading) -> Self {
        Self {
            last_check: Cell::new(now),
            pauses: Cell::new(0),
            unhandled: Cell::new(None),
        }
    }

    /// Checks for a pause since the last check and returns the number of pauses so far.
    pub fn check(&self, now: ClockReading) -> PauseCount {
        let gap = now.elapsed_since(self.last_check.replace(now));
        if gap > CHECK_INTERVAL + PAUSE_THRESHOLD {
            self.pauses.set(self.pauses.get() + 1);
            self.unhandled.set(self.unhandled.get().max(Some(gap)));
        }
        self.pauses.get()
    }

    /// Awaits a result, and returns `None` if the process was paused meanwhile: the result may have been buffered for the
    /// whole pause, so its age is unknown.
    pub async fn discard_if_paused<T>(&self, result: impl Future<Output = T>) -> Option<T> {
        let before = self.check(ClockReading::read());
        let result = result.await;
        (self.check(ClockReading::read()) == before).then_some(result)
    }

    /// Returns the longest pause since the last call, if there was one.
    pub fn take_pause(&self) -> Option<Duration> {
        self.unhandled.take()
    }
}
