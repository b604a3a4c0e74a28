//! Claims of online requests that run at most once. They are stored in the work shard given by
//! hash(customer, idempotency key). See `docs/design/claims.md`.

use std::time::SystemTime;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

use super::Writer;
use crate::{digest::Digest, id, outcome::Failure};

/// Identifier of a claim: the first 128 bits of the digest of customer and idempotency key.
pub type Key = u128;

/// The claim of a request, written before the request is sent.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub key: Key,
    /// Digest of service and body, which a retry has to match.
    pub body: Digest,
    /// The online process that will send the request. If it dies, the outcome is unknown.
    pub claimer: Writer,
    /// Id of the request.
    pub request: id::Request,
    /// When the claimer stops at the latest. The outcome of a claim that is open well after it is unknown.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub deadline: SystemTime,
    /// When the claim may be removed.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub keep_until: SystemTime,
}

/// The stored answer of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    pub key: Key,
    /// The process that made the claim; only that process can settle it.
    pub claimer: Writer,
    /// Id of the claimed request. It prevents a delayed duplicate of an earlier `ran: no` from freeing the claim of a retry.
    pub request: id::Request,
    /// The answer. A failure with `ran: no` frees the key for a retry.
    pub answer: Result<Bytes, Stored>,
}

/// A stored failure. [`Failure`] skips fields when it is serialized, which postcard does not support.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    pub code: crate::outcome::Code,
    pub ran: crate::outcome::Ran,
    pub message: String,
}

impl From<Failure> for Stored {
    fn from(failure: Failure) -> Self {
        Self {
            code: failure.code,
            ran: failure.ran,
            message: failure.message,
        }
    }
}

impl From<Stored> for Failure {
    fn from(stored: Stored) -> Self {
        Self {
            code: stored.code,
            ran: stored.ran,
            message: stored.message,
            help: None,
            retry_at: None,
        }
    }
}
