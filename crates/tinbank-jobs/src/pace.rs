//! How long items take, measured, to tell which can still be done in time.

use std::time::Duration;

/// Weight of the newest run, one part in so many.
const SMOOTHING: u64 = 16;
/// Runs with fewer events say little about the time between events.
const MIN_EVENTS: u64 = 8;
/// An item that is longer than usual still has at least this part of the usual length before it.
const LEAST_PART: u64 = 8;

/// Smoothed measures of the items that ran here.
#[derive(Debug, Default)]
pub struct Pace {
    events: Option<u64>,
    micros_per_event: Option<u64>,
}

impl Pace {
    /// Takes in a run: its events and its time.
    pub fn note(&mut self, events: u64, took: Duration) {
        if events >= MIN_EVENTS {
            let micros = took.as_micros() as u64 / events;
            smooth(&mut self.micros_per_event, micros);
        }
    }

    /// Takes in the number of events of a whole item.
    pub fn completed(&mut self, events: u64) {
        smooth(&mut self.events, events);
    }

    /// How long the rest of an item is likely to take that has `last` events. Nothing while it is not known.
    pub fn rest(&self, last: u64) -> Option<Duration> {
        let events = self.events?;
        let rest = events.saturating_sub(last).max(events / LEAST_PART);
        Some(Duration::from_micros(rest * self.micros_per_event?))
    }
}

fn smooth(value: &mut Option<u64>, newest: u64) {
    *value = Some(match *value {
        None => newest,
        Some(before) => (before * (SMOOTHING - 1) + newest) / SMOOTHING,
    });
}
