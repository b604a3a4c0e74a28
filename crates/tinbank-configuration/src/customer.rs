//! Customers: a template with customer-specific parameters.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationSeconds, hex::Hex, serde_as};
use smallvec::SmallVec;
use tinbank_base::{digest::Digest, id};

use crate::{limit::Limits, service::Service, template::Stream};

/// A customer as operators publish it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name of the template that it is based on.
    pub template: String,
    /// SHA-256 digests of its callers' API keys, in hexadecimal. The keys themselves are never stored.
    #[serde_as(as = "SmallVec<[Hex; 2]>")]
    #[serde(rename = "key_sha256")]
    pub keys: SmallVec<[Digest; 2]>,
    /// Additional services; one with the name of a template's service replaces it.
    #[serde(default)]
    pub services: BTreeMap<id::Service, Arc<Service>>,
    /// Additional streams; one with the name of a template's stream replaces it.
    #[serde(default)]
    pub streams: BTreeMap<String, Stream>,
    /// Limits that override the template's.
    #[serde(default)]
    pub limits: Limits,
    /// Weight in the sharing of batch capacity; overrides the template's.
    #[serde(default)]
    pub share: Option<u32>,
    /// How long results stay readable, in seconds. Default 7 days.
    #[serde_as(as = "DurationSeconds<u64>")]
    #[serde(rename = "keep_results_s", default = "default_keep")]
    pub keep_results: Duration,
}

fn default_keep() -> Duration {
    Duration::from_secs(7 * 24 * 3_600)
}
