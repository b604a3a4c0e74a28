//! Templates, on which operators base customers.

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
    /// The caller waits for the answer to each request.
    Online,
    /// Requests are submitted in bulk as jobs, which are due later.
    Batch,
}

/// A stream of requests: a use of a service with its own traffic type and timeout.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Name of the service that it uses.
    pub service: id::Service,
    /// Type of its traffic.
    pub traffic: Traffic,
    /// Timeout of online requests, or time until batch jobs are due, in milliseconds. Defaults to the timeout of the
    /// service for online requests and to one day for jobs.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "timeout_ms", default)]
    pub timeout: Option<Duration>,
    /// Limits of each customer's online requests of this stream, in addition to those of the service and the customer.
    /// Default none.
    #[serde(default)]
    pub limits: Online,
}

/// Settings shared by all customers that are based on the template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Services by name. Customers without services of their own share this map.
    pub services: Arc<BTreeMap<id::Service, Arc<Service>>>,
    /// Streams by name. Customers without streams of their own share this map.
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
