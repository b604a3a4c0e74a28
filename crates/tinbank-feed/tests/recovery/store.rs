//! Simulated store: it answers calls in order, at a bandwidth shared by all hosts.

use std::time::{Duration, Instant};

/// Latency of an answer.
const DELAY: Duration = Duration::from_millis(4);
/// Bandwidth of all answers together.
const BYTES_A_SECOND: f64 = 80e6;
/// Rate limit. Calls beyond it are refused.
const CALLS_A_SECOND: usize = 16_000;

/// Fault of the store, from the start of the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Outage {
    None,
    /// Refuses all calls for some time.
    Refuses(Duration),
    /// Answers no call for some time.
    Unresponsive(Duration),
    /// Multiplies the latency by a factor, permanently.
    Slow(u32),
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// The response begins at this time.
    At(Instant),
    /// The refusal arrives at this time.
    Refused(Instant),
    /// There is no response.
    Never,
}

pub struct Store {
    outage: Outage,
    began: Instant,
    /// When all earlier answers are sent.
    free_at: Instant,
    second: u64,
    calls_of_second: usize,
    pub calls: usize,
    pub refused: usize,
    pub bytes: usize,
}

impl Store {
    pub fn new(outage: Outage, began: Instant) -> Self {
        Self {
            outage,
            began,
            free_at: began,
            second: 0,
            calls_of_second: 0,
            calls: 0,
            refused: 0,
            bytes: 0,
        }
    }

    /// Handles a call with a response of `bytes`, which is sent in full even after the caller timed out.
    pub fn call(&mut self, now: Instant, bytes: usize) -> Answer {
        self.calls += 1;
        if self.is_refused(now) {
            self.refused += 1;
            return Answer::Refused(now + DELAY);
        }
        if matches!(self.outage, Outage::Unresponsive(time) if now < self.began + time) {
            return Answer::Never;
        }
        self.bytes += bytes;
        self.free_at =
            now.max(self.free_at) + Duration::from_secs_f64(bytes as f64 / BYTES_A_SECOND);
        let delay = match self.outage {
            Outage::Slow(factor) => DELAY * factor,
            _ => DELAY,
        };
        Answer::At(self.free_at + delay)
    }

    fn is_refused(&mut self, now: Instant) -> bool {
        let second = (now - self.began).as_secs();
        if second != self.second {
            self.second = second;
            self.calls_of_second = 0;
        }
        self.calls_of_second += 1;
        let is_down = matches!(self.outage, Outage::Refuses(time) if now < self.began + time);
        is_down || self.calls_of_second > CALLS_A_SECOND
    }
}
