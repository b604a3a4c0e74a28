//! What a host tells the others, and what lasts in the store.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tinbank_base::id;

use crate::Fingerprint;

/// An upstream has ended under requests that a host had there. The same report may come twice, and from several hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream.
    pub upstream: id::Instance,
    /// The requests; one of all that it ran may be the reason, or none.
    pub requests: SmallVec<[Fingerprint; 8]>,
}

/// What hosts tell each other of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// An upstream has ended under some.
    Ended(Report),
    /// One got a whole answer, though upstreams had ended while they ran it.
    Survived(Fingerprint),
}

/// A request that no upstream gets, as it stands in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The request.
    pub request: Fingerprint,
    /// Upstreams that have ended under it.
    pub ended: u32,
}
