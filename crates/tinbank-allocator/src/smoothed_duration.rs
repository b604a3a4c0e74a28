//! A duration smoothed by an exponentially weighted moving average.

use std::time::Duration;

/// The newest measurement has a weight of one in this many.
const SMOOTHING: u32 = 16;

/// A smoothed duration, such as the time for which an online request holds its slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedDuration(Option<Duration>);

impl SmoothedDuration {
    /// Records a measurement.
    pub fn record(&mut self, took: Duration) {
        self.0 = Some(match self.0 {
            None => took,
            Some(before) => (before * (SMOOTHING - 1) + took) / SMOOTHING,
        });
    }

    /// Returns the smoothed duration, or `None` before the first measurement.
    pub fn get(self) -> Option<Duration> {
        self.0
    }
}
