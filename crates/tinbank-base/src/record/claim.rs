//! Claims of online requests that run at most once. They stand in the work shard of
//! hash(customer, idempotency key). See `docs/design/claims.md`.

use std::time::SystemTime;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

use super::Writer;
use crate::{digest::Digest, id, outcome::Failure};

/// What identifies a claim: the first 128 bits of the digest of customer and idempotency key.
pub type Key = u128;

/// A request claimed before it is sent.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Customer and idempotency key, digested.
    pub key: Key,
    /// Digest of service and body; a resend has to match.
    pub body: Digest,
    /// The online process that will send the request; when it dies, the outcome is unknown.
    pub claimer: Writer,
    /// Id of the request, on the time line.
    pub request: id::Request,
    /// When the claimer stops at the latest; a claim still open well after it has an unknown outcome.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub deadline: SystemTime,
    /// When the claim may be forgotten.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub keep_until: SystemTime,
}

/// The stored answer of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// Which claim.
    pub key: Key,
    /// The claimer that settles it; another's word does not count.
    pub claimer: Writer,
    /// Id of the claimed request. Without it a late copy of an earlier `ran: no` could free the claim of a later try.
    pub request: id::Request,
    /// The answer. A failure with `ran: no` frees the key for another try.
    pub answer: Result<Bytes, Stored>,
}

/// A stored failure. Postcard can't write the JSON form's skipped fields, so it has a form of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Why.
    pub code: crate::outcome::Code,
    /// Whether the work ran.
    pub ran: crate::outcome::Ran,
    /// What happened.
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
