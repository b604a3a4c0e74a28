//! How long online requests take, smoothed.

use std::time::Duration;

/// What is assumed before the first request has ended: nobody is turned away on a guess.
const UNKNOWN: Duration = Duration::ZERO;
/// Weight of the newest request, one part in so many: a change shows within a second or two.
const SMOOTHING: u32 = 16;

/// A smoothed time, such as that for which an online request holds its slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedDuration(Option<Duration>);

impl SmoothedDuration {
    /// Takes in a request that was served.
    pub fn record(&mut self, took: Duration) {
        self.0 = Some(match self.0 {
            None => took,
            Some(before) => (before * (SMOOTHING - 1) + took) / SMOOTHING,
        });
    }

    /// The smoothed time, if any was taken in.
    pub fn get(self) -> Option<Duration> {
        self.0
    }

    /// The smoothed time, or none at all.
    pub fn get_or_zero(self) -> Duration {
        self.0.unwrap_or(UNKNOWN)
    }
}
