//! Templates, which operators share between customers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tinbank_base::id;

use crate::{
    limit::{Limits, Online},
    service::Service,
};

/// Whether a stream carries online requests or batch jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Traffic {
    /// Someone waits for each answer.
    Online,
    /// Due later, in bulk.
    Batch,
}

/// A stream of requests: a use of a service with its own traffic and time.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Which service it uses.
    pub service: id::Service,
    /// What it carries.
    pub traffic: Traffic,
    /// Time that a request of this stream has, in milliseconds, or that a job has until it is due; the service's own
    /// if absent (jobs: a day).
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "timeout_ms", default)]
    pub timeout: Option<Duration>,
    /// Limits of each customer's online requests of this stream, besides those of the service and the customer. Default
    /// none.
    #[serde(default)]
    pub limits: Online,
}

/// What customers made from a template have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Services by name, shared with the customers that have no others.
    pub services: Arc<BTreeMap<id::Service, Arc<Service>>>,
    /// Streams by name, shared likewise.
    #[serde(default)]
    pub streams: Arc<BTreeMap<String, Stream>>,
    /// Limits of each customer.
    #[serde(default)]
    pub limits: Limits,
    /// Weight of each customer in the sharing of batch capacity. Default 1.
    #[serde(default = "default_share")]
    pub share: u32,
}

fn default_share() -> u32 {
    1
}
