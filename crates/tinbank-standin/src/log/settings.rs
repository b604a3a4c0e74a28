//! Settings of the log.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// How the log behaves.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Where it listens. Default 127.0.0.1:0.
    pub address: SocketAddr,
    /// Appends a second over all streams. Default 300.
    pub appends_per_second: f64,
    /// Appends that may come at once after a pause. Default 30.
    pub burst: f64,
    /// Largest record, in bytes. Default 1 MiB.
    pub max_record_bytes: usize,
    /// Time that an append takes to last, in milliseconds. Default 2.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "append_ms")]
    pub append: Duration,
    /// How long records are kept, in milliseconds. Default a day.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retention_ms")]
    pub retention: Duration,
    /// How many bytes of a stream are kept; the oldest records go first. Default 4 GiB.
    pub retention_bytes: u64,
    /// Longest long poll, in milliseconds. Default 30000.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_wait_ms")]
    pub max_wait: Duration,
    /// Seed of losses that are drawn by probability. Default 0.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: crate::settings::any_port(),
            appends_per_second: 300.0,
            burst: 30.0,
            max_record_bytes: 1 << 20,
            append: Duration::from_millis(2),
            retention: Duration::from_secs(24 * 3_600),
            retention_bytes: 4 << 30,
            max_wait: Duration::from_secs(30),
            seed: 0,
        }
    }
}
