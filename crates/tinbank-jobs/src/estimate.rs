//! Estimates how long items run, to tell which can still finish before they are due.

use std::time::Duration;

/// The newest sample has a weight of one in this many.
const SMOOTHING: u64 = 16;
/// Runs with fewer events are not used for the time between events.
const MIN_EVENTS: u64 = 8;
/// An item is always assumed to have at least one in this many of the average events left.
const MIN_REMAINING_PART: u64 = 8;

/// Moving averages over the items that ran on this host.
#[derive(Debug, Default)]
pub struct Estimator {
    events: Option<u64>,
    micros_per_event: Option<u64>,
}

impl Estimator {
    /// Records the number of events and the duration of a run.
    pub fn record_run(&mut self, events: u64, duration: Duration) {
        if events >= MIN_EVENTS {
            let micros = duration.as_micros() as u64 / events;
            smooth(&mut self.micros_per_event, micros);
        }
    }

    /// Records the total number of events of a completed item.
    pub fn record_completed(&mut self, events: u64) {
        smooth(&mut self.events, events);
    }

    /// Returns the expected time to finish an item that has `last_event` events, or `None` without samples.
    pub fn remaining(&self, last_event: u64) -> Option<Duration> {
        let events = self.events?;
        let remaining = events
            .saturating_sub(last_event)
            .max(events / MIN_REMAINING_PART);
        Some(Duration::from_micros(remaining * self.micros_per_event?))
    }
}

fn smooth(average: &mut Option<u64>, sample: u64) {
    *average = Some(match *average {
        None => sample,
        Some(before) => (before * (SMOOTHING - 1) + sample) / SMOOTHING,
    });
}
