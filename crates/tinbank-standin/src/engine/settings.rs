//! Settings of an engine.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationMilliSecondsWithFrac, serde_as};
use smallvec::SmallVec;
use tinbank_base::{id, platform::weights::Artifact};

/// How an engine behaves.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Its number on the host list.
    pub upstream: id::Upstream,
    /// Its name on the host list. Default `engine-` and the number.
    pub name: Option<String>,
    /// Pools it belongs to.
    pub pools: SmallVec<[id::Pool; 2]>,
    /// Where it listens. Default 127.0.0.1:0.
    pub address: SocketAddr,
    /// Where it stands. Default `local`.
    pub failure_domain: id::FailureDomain,
    /// Whether it refuses orders with a stale fencing number. Default true.
    pub checks_fence: bool,
    /// How many sequences run at once. Default 8.
    pub slots: u32,
    /// Whether the host list tells the slots. Default true.
    pub lists_slots: bool,
    /// How many sequences wait inside at most; more are refused as "full". Default 1024.
    pub queue: usize,
    /// Time of a step with no sequence in it, in milliseconds. Default 10.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "base_step_ms")]
    pub base_step: Duration,
    /// Time that each sequence adds to a step, in milliseconds. Default 1.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "step_per_sequence_ms")]
    pub step_per_sequence: Duration,
    /// Speed of the prompt's uncached tokens, in tokens a millisecond. Default 8.
    pub prefill_tokens_per_ms: f64,
    /// Size of the prefix cache, in tokens. Default 16384.
    pub prefix_cache_tokens: usize,
    /// Longest answer when the body names no `max_tokens`. Default 128.
    pub max_tokens: u32,
    /// Least age of the load report, in milliseconds; it is at most twice as old. Default 500.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "report_lag_ms")]
    pub report_lag: Duration,
    /// What is loaded at the start.
    pub loaded: SmallVec<[Artifact; 2]>,
    /// Time that loading one artifact takes, in milliseconds. Default 2000.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "load_ms")]
    pub load: Duration,
    /// Seed of losses that are drawn by probability. Default 0.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            upstream: 0,
            name: None,
            pools: SmallVec::new(),
            address: crate::settings::any_port(),
            failure_domain: "local".to_owned(),
            checks_fence: true,
            slots: 8,
            lists_slots: true,
            queue: 1_024,
            base_step: Duration::from_millis(10),
            step_per_sequence: Duration::from_millis(1),
            prefill_tokens_per_ms: 8.0,
            prefix_cache_tokens: 16_384,
            max_tokens: 128,
            report_lag: Duration::from_millis(500),
            loaded: SmallVec::new(),
            load: Duration::from_secs(2),
            seed: 0,
        }
    }
}

impl Settings {
    /// The name on the host list.
    pub fn name(&self) -> String {
        let name = self.name.clone();
        name.unwrap_or_else(|| format!("engine-{}", self.upstream))
    }
}
