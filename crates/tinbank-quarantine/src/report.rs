//! Data that hosts exchange, and that the store keeps.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tinbank_base::id;

use crate::Fingerprint;

/// Number of an event of an answer.
pub type Position = u64;

/// A crash of an upstream, with the requests that one host had in flight there. The same report may arrive twice, and reports of
/// the same crash from several hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The upstream that crashed.
    pub upstream: id::Instance,
    /// The requests in flight. At most one of all that the upstream ran is the cause.
    pub requests: SmallVec<[InFlight; 2]>,
}

/// A request that an upstream was running when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The request.
    pub request: Fingerprint,
    /// Last event of its answer that was received before the crash; 0 if there was none.
    pub reached: Position,
}

/// An observation that a host sends to the other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// An upstream crashed with requests in flight.
    Crashed(CrashReport),
    /// A suspected request completed, or got further than where upstreams had crashed.
    Cleared(Fingerprint),
}

/// A quarantined request, as the store keeps it. No upstream gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The request.
    pub request: Fingerprint,
    /// Number of upstreams that crashed while they ran it.
    pub ended: u32,
    /// Last event of its answer before the crashes.
    pub reached: Position,
}
