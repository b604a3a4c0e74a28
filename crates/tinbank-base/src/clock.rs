//! Hybrid logical clock: stamps that follow wall time and still order every cause before its effect.
//!
//! The clocks of hosts differ, and the timeline must not show a response before its request. See
//! `docs/design/timeline.md`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::id;

/// A position in the causal order of the events of all processes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Largest wall time seen so far, in microseconds since the Unix epoch.
    pub micros: u64,
    /// Orders stamps with the same wall time.
    pub counter: u32,
}

impl Stamp {
    /// Returns the wall time of the stamp.
    pub fn time(self) -> SystemTime {
        UNIX_EPOCH + Duration::from_micros(self.micros)
    }
}

/// The hybrid logical clock of a process. It reads no clock itself; callers pass `now`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hybrid {
    last: Stamp,
}

/// Largest difference by which a peer's stamp may be ahead of the local wall time; beyond it, the peer's clock is wrong.
pub const MAX_AHEAD: Duration = Duration::from_secs(60);

impl Hybrid {
    /// Returns the stamp of a local event or of a message to be sent.
    pub fn tick(&mut self, now: SystemTime) -> Stamp {
        let wall = micros(now);
        self.last = if wall > self.last.micros {
            Stamp {
                micros: wall,
                counter: 0,
            }
        } else {
            self.last.next()
        };
        self.last
    }

    /// Applies the stamp of a received message, so that later local events are ordered after it.
    ///
    /// A stamp more than [`MAX_AHEAD`] ahead is ignored, so that one wrong clock does not advance all others.
    pub fn observe(&mut self, seen: Stamp, now: SystemTime) {
        let limit = micros(now) + MAX_AHEAD.as_micros() as u64;
        if seen.micros <= limit {
            self.last = self.last.max(seen);
        }
    }
}

impl Stamp {
    fn next(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { counter, ..self },
            None => Self {
                micros: self.micros + 1,
                counter: 0,
            },
        }
    }
}

/// Returns the microseconds since the Unix epoch, clamped to the range of `u64`.
pub fn micros(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the incarnation number of a process that starts now. Later starts have larger numbers.
pub fn incarnation(now: SystemTime) -> id::Incarnation {
    micros(now)
}
