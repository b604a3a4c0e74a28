//! What a host tells the others, and what lasts in the store.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tinbank_base::id;

use crate::Fingerprint;

/// Number of an event of an answer.
pub type Position = u64;

/// An upstream has ended under requests that a host had there. The same report may come twice, and from several hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream.
    pub upstream: id::Instance,
    /// The requests; one of all that it ran may be the reason, or none.
    pub requests: SmallVec<[InFlight; 2]>,
}

/// A request that an upstream had when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The request.
    pub request: Fingerprint,
    /// Last event of its answer that had come by then; 0 before the first.
    pub reached: Position,
}

/// What hosts tell each other of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// An upstream has ended under some.
    Ended(Report),
    /// One got further than where upstreams had ended while they ran it.
    Survived(Fingerprint),
}

/// A request that no upstream gets, as it stands in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The request.
    pub request: Fingerprint,
    /// Upstreams that have ended under it.
    pub ended: u32,
    /// The event behind which they did.
    pub reached: Position,
}
