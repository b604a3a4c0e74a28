//! Hybrid logical clock: stamps that follow wall time and still put every cause before its effect.
//!
//! Clocks of hosts differ; the time line must not show an answer before its question. See
//! `docs/design/timeline.md`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::id;

/// A point in the causal order of events over all processes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Largest wall time seen on the way here, in microseconds since 1970.
    pub micros: u64,
    /// Orders stamps that share a wall time.
    pub counter: u32,
}

impl Stamp {
    /// The wall time of the stamp.
    pub fn time(self) -> SystemTime {
        UNIX_EPOCH + Duration::from_micros(self.micros)
    }
}

/// State of one process's hybrid logical clock. It reads no clock itself: the edge passes `now`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hybrid {
    last: Stamp,
}

/// How far ahead of our wall time a peer's stamp may pull us; beyond it the peer's clock is wrong.
pub const MAX_AHEAD: Duration = Duration::from_secs(60);

impl Hybrid {
    /// Stamps a local event or a message about to be sent.
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

    /// Takes in the stamp of a received message, so that what follows comes after it.
    ///
    /// A stamp more than [`MAX_AHEAD`] ahead is ignored, so that one wrong clock can't drag all others.
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

/// Microseconds since 1970; times before then count as 0, times after the largest number as that one.
pub fn micros(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// A start number for a process: later starts have larger numbers.
pub fn incarnation(now: SystemTime) -> id::Incarnation {
    micros(now)
}
