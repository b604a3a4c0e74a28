//! How fast an upstream processes requests, by what hosts measure.

use serde::{Deserialize, Serialize};

/// What a host measured on one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Time from sending the request to the first event of its response, in milliseconds.
    pub first_event_ms: u32,
    /// Mean time between two events, in microseconds; 0 if there was only one.
    pub interval_us: u32,
    /// Number of events after the first.
    pub events: u32,
}

/// The pace of one upstream. A new instance of an upstream starts with an empty one.
#[derive(Clone, Debug, Default)]
pub struct Pace {}
