//! Notices that the process did not run for a while.
//!
//! The steady clock, by which all deadlines and ages are kept, goes on while a process is frozen and stands while its host is
//! suspended: then a list that was read ten seconds ago seems to be fresh, and a request seems to have all its time left. The
//! clock that counts from the boot goes on in both cases.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};

/// How often the process looks at the clock, if nothing else does.
pub const TICK: Duration = Duration::from_millis(100);
/// A look that comes this much late means that the process was paused. Source: far above what a slow host causes,
/// below the shortest bound that the platform states.
const PAUSE: Duration = Duration::from_millis(1_000);

/// A moment on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The steady clock.
    pub monotonic: Instant,
    /// Time since the boot, with the time for which the host was suspended.
    pub since_boot: Duration,
}

impl ClockReading {
    /// Now.
    pub fn read() -> Self {
        let since_boot = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(since_boot.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(since_boot.tv_nsec).unwrap_or_default();
        Self {
            monotonic: Instant::now(),
            since_boot: Duration::new(seconds, nanos),
        }
    }

    /// Time from an earlier moment, whichever clock has counted more of it.
    fn since(self, earlier: Self) -> Duration {
        let monotonic = self.monotonic.saturating_duration_since(earlier.monotonic);
        monotonic.max(self.since_boot.saturating_sub(earlier.since_boot))
    }

    /// Time from an earlier moment that the steady clock has not counted.
    pub fn suspended_since(self, earlier: Self) -> Duration {
        let monotonic = self.monotonic.saturating_duration_since(earlier.monotonic);
        let since_boot = self.since_boot.saturating_sub(earlier.since_boot);
        since_boot.saturating_sub(monotonic)
    }
}

/// The last moment at which the process ran, and how often it did not run for a while.
#[derive(Debug)]
pub struct Clock {
    last: Cell<ClockReading>,
    pauses: Cell<u64>,
    /// The longest pause that nobody has acted on.
    unnoticed: Cell<Option<Duration>>,
}

/// Pauses until some moment; another number later means that there was one meanwhile.
pub type Pauses = u64;

impl Clock {
    /// A clock that was looked at now.
    pub fn new(now: ClockReading) -> Self {
        Self {
            last: Cell::new(now),
            pauses: Cell::new(0),
            unnoticed: Cell::new(None),
        }
    }

    /// Looks at the clock. How many pauses there were so far.
    pub fn look(&self, now: ClockReading) -> Pauses {
        let gap = now.since(self.last.replace(now));
        if gap > TICK + PAUSE {
            self.pauses.set(self.pauses.get() + 1);
            self.unnoticed.set(self.unnoticed.get().max(Some(gap)));
        }
        self.pauses.get()
    }

    /// Waits for what comes, and says nothing of it if the process was paused meanwhile: it may have lain there all the time, so
    /// nobody knows how old it is.
    pub async fn discard_if_paused<T>(&self, coming: impl Future<Output = T>) -> Option<T> {
        let before = self.look(ClockReading::read());
        let came = coming.await;
        (self.look(ClockReading::read()) == before).then_some(came)
    }

    /// The pause that nobody has acted on yet, if there was one.
    pub fn take_pause(&self) -> Option<Duration> {
        self.unnoticed.take()
    }
}
