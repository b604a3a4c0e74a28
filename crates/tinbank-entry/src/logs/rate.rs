//! Rate limit of log lines, per event.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Most lines of one event that are written in a window. The busiest hosts make some ten decisions a second. With lines
/// of 150 bytes it bounds an event to 6 KB a second.
const MAX_LINES: u32 = 40;
/// Length of the windows in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The line is written.
    Write {
        /// Number of lines of the event that were dropped since the last one written.
        dropped: u32,
    },
    /// The line is dropped.
    Drop,
}

/// Rate limiter that counts lines by the text of their event.
#[derive(Debug, Default)]
pub struct RateLimiter(HashMap<String, Window>);

#[derive(Debug)]
struct Window {
    start: Instant,
    written: u32,
    dropped: u32,
}

impl RateLimiter {
    /// Counts a line and decides whether it is written.
    pub fn check(&mut self, event: &str, now: Instant) -> Decision {
        if !self.0.contains_key(event) {
            let window = Window {
                start: now,
                written: 0,
                dropped: 0,
            };
            self.0.insert(event.to_owned(), window);
        }
        let Some(window) = self.0.get_mut(event) else {
            return Decision::Drop;
        };
        if now >= window.start + WINDOW {
            window.start = now;
            window.written = 0;
        }
        if window.written >= MAX_LINES {
            window.dropped += 1;
            return Decision::Drop;
        }
        window.written += 1;
        Decision::Write {
            dropped: std::mem::take(&mut window.dropped),
        }
    }
}
