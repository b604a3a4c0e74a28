//! Customers: a template and the parameters filled in.

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
    /// The template it is made from.
    pub template: String,
    /// SHA-256 digests of its callers' keys, in hexadecimal; the keys themselves are kept nowhere.
    #[serde_as(as = "SmallVec<[Hex; 2]>")]
    #[serde(rename = "key_sha256")]
    pub keys: SmallVec<[Digest; 2]>,
    /// Services besides the template's, or in place of those of the same name.
    #[serde(default)]
    pub services: BTreeMap<id::Service, Arc<Service>>,
    /// Streams besides the template's, or in place of those of the same name.
    #[serde(default)]
    pub streams: BTreeMap<String, Stream>,
    /// Limits in place of the template's.
    #[serde(default)]
    pub limits: Limits,
    /// Weight in the sharing of batch capacity, in place of the template's.
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
