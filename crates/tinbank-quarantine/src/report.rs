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

/// What sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Source {
    /// A caller, which may give up or be refused.
    Caller,
    /// A job, whose items are owed once they are accepted.
    Item,
}

/// A request that an upstream was running when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The request.
    pub request: Fingerprint,
    /// What sent it.
    pub source: Source,
    /// Last event of its answer that was received before the crash; 0 if there was none.
    pub reached: Position,
    /// The shared parts of its prompt, in order, each first as a part of all customers and then as one of its customer. Empty if the upstream had got beyond the start of its answer, since parts crash
    /// upstreams as they begin.
    pub parts: SmallVec<[Fingerprint; 2]>,
}

impl Source {
    /// Returns what a request of this source is suspected as.
    pub(crate) fn kind(self) -> Kind {
        match self {
            Self::Caller => Kind::Content,
            Self::Item => Kind::Item,
        }
    }
}

/// What is suspected of crashing upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request, known by its content.
    Content,
    /// A shared part of prompts.
    Part,
    /// An item of a job, known by its content.
    Item,
}

/// An observation that a host sends to the other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// An upstream crashed with requests in flight.
    Crashed(CrashReport),
    /// A suspected request completed, or got further than where upstreams had crashed. A suspected part was answered beyond the start.
    Cleared(Fingerprint),
    /// The host sends a quarantined item, or a request with a quarantined part, to try it. Others wait for what comes of it.
    TrialStarted {
        /// The item, or the part.
        subject: Fingerprint,
        /// What sent the request.
        source: Source,
    },
}

/// A quarantined request or part, as the store keeps it. No upstream gets it but in trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The content of the request, or the part.
    pub subject: Fingerprint,
    /// What it is. Items are not stored.
    pub kind: Kind,
    /// Number of upstreams that crashed while they ran it.
    pub ended: u32,
    /// Last event of a request's answer before the crashes; 0 for a part.
    pub reached: Position,
    /// Number of trials of a part or an item that crashed an upstream; 0 for a request.
    pub failed_trials: u32,
}
