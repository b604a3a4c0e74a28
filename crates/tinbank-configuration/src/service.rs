//! Services: what a customer calls, and which upstreams run it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tinbank_base::{
    id,
    platform::{hosts::Kind, weights::Artifact},
};

use crate::limit::Online;

/// What a service is. Names of services are keys of the map that holds it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether engines or plain services run it.
    pub kind: Kind,
    /// The upstreams that may run it are those of this pool.
    pub pool: id::Pool,
    /// What an engine must have loaded; required for engines, absent for plain services.
    #[serde(default)]
    pub artifact: Option<Artifact>,
    /// Longest answer in tokens. Default 512.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Time that a request has when the caller names none, in milliseconds. Default 30000.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms", default = "default_timeout")]
    pub timeout: Duration,
    /// Whether calls may run more than once unless the caller says otherwise. Default true.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// How many times an item is tried before it ends as failed. Default 4.
    #[serde(default = "default_attempts")]
    pub attempts: u16,
    /// Limits of each customer's online requests to it, besides the customer's own. Default none.
    #[serde(default)]
    pub limits: Online,
}

fn default_max_tokens() -> u32 {
    512
}

fn default_timeout() -> Duration {
    Duration::from_secs(30)
}

fn default_repeatable() -> bool {
    true
}

fn default_attempts() -> u16 {
    4
}
