//! Services that customers call, and the upstreams that run them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tinbank_base::{
    id,
    platform::{hosts::Kind, weights::Artifact},
};

use crate::limit::Online;

/// A service. Its name is the key in the map that contains it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether engines or plain services run it.
    pub kind: Kind,
    /// The pool whose upstreams run it.
    pub pool: id::Pool,
    /// The artifact that an engine must have loaded. Required for engines, absent for plain services.
    #[serde(default)]
    pub artifact: Option<Artifact>,
    /// Maximum length of an answer, in tokens. Default 512.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Timeout of requests for which the caller sets none, in milliseconds. Default 30000.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms", default = "default_timeout")]
    pub timeout: Duration,
    /// Whether requests may run more than once unless the caller specifies otherwise. Default true.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Maximum number of attempts before a batch item fails. Default 4.
    #[serde(default = "default_attempts")]
    pub attempts: u16,
    /// Limits of each customer's online requests to it, in addition to the customer's own. Default none.
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
