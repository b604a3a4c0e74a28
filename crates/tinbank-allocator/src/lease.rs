//! A lease: the right of one host to have one request at one upstream.

use serde::{Deserialize, Serialize};
use tinbank_base::id;

use crate::{leaving::Evidence, size::Tokens};

/// Number of a lease, assigned by the requesting host and increasing with each request.
pub type Id = u64;

/// When a batch item is due. The item with the greatest value is preempted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Due {
    /// The item can't meet its due time, so all items that can take precedence.
    pub late: bool,
    /// Unix time in milliseconds.
    pub at_ms: u64,
}

/// What a slot is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// A request whose caller waits for the response.
    Online,
    /// A batch item, which online requests may preempt.
    Batch(Due),
}

impl Class {
    pub fn is_batch(self) -> bool {
        matches!(self, Self::Batch(_))
    }
}

/// A lease as reported by its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The lease.
    pub lease: Id,
    /// Upstream it is for.
    pub upstream: id::Instance,
    /// What it is used for.
    pub class: Class,
    /// What it takes of the upstream.
    pub footprint: Footprint,
}

/// What a lease takes of its upstream and of its customer's share. Hosts report it with their holdings, so that a new
/// allocator knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Footprint {
    /// Memory that is reserved for the request, in tokens.
    pub memory: Tokens,
    /// Expected work, in prompt tokens.
    pub work: u64,
    /// The customer that sent the request.
    pub customer: Option<id::Customer>,
}

/// Outcome of the request under a lease, as far as it indicates the health of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream responded as expected.
    Served,
    /// The request ended for a reason unrelated to the upstream's health.
    Inconclusive,
    /// The upstream refused the request without processing it.
    Refused,
    /// The upstream responded with an error of its own, or aborted its response.
    Failed,
    /// The upstream could not be reached, or stopped responding.
    Unresponsive,
    /// The upstream is leaving or gone, as far as the host knows.
    Leaving(Evidence),
}
