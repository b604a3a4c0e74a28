//! When a call that failed is made again: exponential backoff with full jitter, shared by all calls of a process.
//!
//! Hosts that lose the store lose it in the same moment. With a fixed pause they come back in step, and calls that fail
//! are answered by as many again: after a power loss 295 hosts made 570 calls a second that were refused, and 1,650 a
//! second half a minute later. Full jitter is from Brooker, "Exponential Backoff and Jitter" (AWS, 2015).

use std::time::{Duration, Instant};

use rand::Rng;

/// Upper end of the first pause. Source: about a usual answer of a store that is well, some times over.
const FIRST: Duration = Duration::from_millis(200);
/// Upper end of the longest pause. Source: a store that is back is noticed after half of it on average, against outages of
/// several seconds; the first call of a process that is answered ends the pauses of all others.
const LONGEST: Duration = Duration::from_millis(1_600);
/// Lower end of each pause.
const LEAST: Duration = Duration::from_millis(20);

/// Longest time that an answer is waited for, as a multiple of the usual one. Source: an answer of a store under load came
/// 3 s late, four times the usual 700 ms; one that is lost holds its call up for that long.
const MOST_PATIENCE: u32 = 8;

/// The failures in a row of the calls of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    doublings: u32,
    /// Until then further failures are of the same moment as the last one.
    until: Option<Instant>,
}

impl Backoff {
    /// A call was answered.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// A call failed. Says when it may be made again. Several that fail at once count as one failure: a process has
    /// several calls under way, and an outage fails them all.
    pub fn failed(&mut self, now: Instant, draw: &mut impl Rng) -> Instant {
        if self.until.is_none_or(|until| now >= until) {
            self.doublings = self.until.map_or(0, |_| self.doublings + 1);
            self.until = Some(now + self.ceiling());
        }
        let longest = self.ceiling();
        now + draw.random_range(LEAST..=longest)
    }

    fn ceiling(&self) -> Duration {
        let factor = 2u32.saturating_pow(self.doublings);
        FIRST.saturating_mul(factor).min(LONGEST)
    }
}

/// How long one repeated call waits for its answer: twice as long after each one that did not come in time. A fixed time
/// that is too short for a store under load throws each answer away when it is nearly there, and asks for it again.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeout {
    usual: Duration,
    factor: u32,
}

impl ResponseTimeout {
    /// That of a call that usually takes so long at most.
    pub fn new(usual: Duration) -> Self {
        Self { usual, factor: 1 }
    }

    /// How long the next answer is waited for.
    pub fn duration(&self) -> Duration {
        self.usual * self.factor
    }

    /// An answer came.
    pub fn on_response(&mut self) {
        self.factor = 1;
    }

    /// No answer came in time.
    pub fn on_timeout(&mut self) {
        self.factor = (self.factor * 2).min(MOST_PATIENCE);
    }
}
