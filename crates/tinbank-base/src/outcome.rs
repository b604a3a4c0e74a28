//! What a caller is told when there is no answer, and what is known of whether the work ran.
//!
//! `Ran::No` is a promise (see `docs/design/errors.md`): it is only given where nothing was written
//! to an upstream, or where the upstream itself said that it did not run the request.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

/// Whether the work behind a request took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It provably did not run.
    No,
    /// It may have run.
    Unknown,
    /// It ran, and its answer is final.
    Yes,
}

/// Machine-readable reason of a refusal or failure. The JSON form is part of the callers' interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed; `message` names the place.
    BadRequest,
    /// No key, or one that is not known.
    Unauthorized,
    /// The key is known but may not do this.
    Forbidden,
    /// No such service, job or item for this customer.
    NotFound,
    /// The body is larger than the limit.
    TooLarge,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The first request with this idempotency key is still running.
    InProgress,
    /// The customer is over one of its limits.
    LimitReached,
    /// There is no capacity now.
    Overloaded,
    /// No upstream can take the request now.
    NoUpstream,
    /// The platform's log can't be reached, and the request needs it.
    LogUnavailable,
    /// The process is starting or stopping.
    NotReady,
    /// The deadline passed.
    Timeout,
    /// The upstream failed in the midst of the answer.
    UpstreamFailed,
    /// The upstream refused the request as malformed; asking again won't help.
    UpstreamRejected,
    /// The request was sent and its outcome can't be learned.
    OutcomeUnknown,
    /// The job or request was cancelled.
    Cancelled,
    /// A fault of ours.
    Internal,
}

impl Code {
    /// HTTP status that goes with the code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::InProgress => 409,
            Self::Cancelled => 410,
            Self::TooLarge => 413,
            Self::KeyReused | Self::UpstreamRejected => 422,
            Self::LimitReached => 429,
            Self::Internal => 500,
            Self::UpstreamFailed | Self::OutcomeUnknown => 502,
            Self::Overloaded | Self::NoUpstream | Self::LogUnavailable | Self::NotReady => 503,
            Self::Timeout => 504,
        }
    }
}

/// The one error body that callers and operators see.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    /// Why.
    pub code: Code,
    /// Whether the work ran.
    pub ran: Ran,
    /// What happened and where, for people.
    pub message: String,
    /// What to do about it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub help: Option<String>,
    /// When to ask again; the edge turns it into `Retry-After`.
    #[serde_as(as = "Option<TimestampMilliSeconds<i64>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_at: Option<SystemTime>,
}

impl Failure {
    /// A failure of which it is known that nothing ran.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            ran: Ran::No,
            message: message.into(),
            help: None,
            retry_at: None,
        }
    }

    /// A failure of which it is not known whether the work ran.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Adds what the reader should do.
    pub fn help(self, help: impl Into<String>) -> Self {
        Self {
            help: Some(help.into()),
            ..self
        }
    }

    /// Adds when to ask again.
    pub fn retry_at(self, at: SystemTime) -> Self {
        Self {
            retry_at: Some(at),
            ..self
        }
    }
}
