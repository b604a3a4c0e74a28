//! How many lines of a kind are written in a second.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Lines of one kind in one second. Source: some ten decisions a second a host on the busiest days, with room
/// for the bursts in which the lines are needed; with lines of 150 bytes it bounds a kind to 6 KB a second.
const LINES: u32 = 40;
/// The time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What a line may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pass {
    /// It is written. So many lines of its kind were left out before it.
    Write {
        /// Lines left out since the last one written.
        left_out: u32,
    },
    /// It is left out.
    LeaveOut,
}

/// Counts lines by their kind, which is the text of their event.
#[derive(Debug, Default)]
pub struct Rates(HashMap<String, Rate>);

#[derive(Debug)]
struct Rate {
    since: Instant,
    written: u32,
    left_out: u32,
}

impl Rates {
    /// Takes in a line.
    pub fn pass(&mut self, kind: &str, now: Instant) -> Pass {
        if !self.0.contains_key(kind) {
            let rate = Rate {
                since: now,
                written: 0,
                left_out: 0,
            };
            self.0.insert(kind.to_owned(), rate);
        }
        let Some(rate) = self.0.get_mut(kind) else {
            return Pass::LeaveOut;
        };
        if now >= rate.since + WINDOW {
            rate.since = now;
            rate.written = 0;
        }
        if rate.written >= LINES {
            rate.left_out += 1;
            return Pass::LeaveOut;
        }
        rate.written += 1;
        Pass::Write {
            left_out: std::mem::take(&mut rate.left_out),
        }
    }
}
