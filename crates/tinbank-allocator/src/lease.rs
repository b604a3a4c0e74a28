//! A lease: the right of one host to have one request at one upstream.

use serde::{Deserialize, Serialize};
use tinbank_base::id;

/// Number of a lease, given by the host that asks for it and rising with each ask.
pub type Id = u64;

/// When a batch item is due. The greatest one gives way first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Due {
    /// It can't be done by then any more, so it gives way to all that can.
    pub late: bool,
    /// Milliseconds since 1970.
    pub at_ms: u64,
}

/// What a slot is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// A caller waits for the answer.
    Online,
    /// A batch item; it gives way to online requests.
    Batch(Due),
}

impl Class {
    /// True for batch items.
    pub fn is_batch(self) -> bool {
        matches!(self, Self::Batch(_))
    }
}

/// A lease as its holder tells it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The lease.
    pub lease: Id,
    /// Upstream it is for.
    pub upstream: id::Instance,
    /// What it is used for.
    pub class: Class,
}

/// How the request under a lease ended, as far as it says something about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream answered as it should.
    Served,
    /// The request ended for a reason that says nothing about the upstream.
    Inconclusive,
    /// The upstream refused the request without running it.
    Refused,
    /// The upstream answered with an error of its own, or broke its answer off.
    Failed,
    /// The upstream could not be reached, or fell silent.
    Unresponsive,
    /// The upstream is leaving or gone, by a newer list than the allocator has.
    Leaving,
}
