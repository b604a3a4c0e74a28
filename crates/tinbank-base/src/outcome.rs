//! Errors reported to callers, including whether the request may have run.
//!
//! `Ran::No` is a guarantee (see `docs/design/errors.md`): it is only used if nothing was written to an upstream, or if the
//! upstream reported that it did not run the request.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};

/// Whether the work behind a request took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run.
    No,
    /// It may have run.
    Unknown,
    /// It ran, and its result is final.
    Yes,
}

/// Machine-readable error code. Its JSON form is part of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed; the message names the position.
    BadRequest,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The API key does not permit this.
    Forbidden,
    /// The customer has no such service, job or item.
    NotFound,
    /// The body is larger than the limit.
    TooLarge,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The first request with this idempotency key is still running.
    InProgress,
    /// The customer is over one of its limits.
    LimitReached,
    /// There is currently no capacity.
    Overloaded,
    /// No upstream can currently accept the request.
    NoUpstream,
    /// The request needs the platform's log, which is unreachable.
    LogUnavailable,
    /// The process is starting or stopping.
    NotReady,
    /// The deadline passed.
    Timeout,
    /// The upstream failed while it sent the answer.
    UpstreamFailed,
    /// The upstream rejected the request as malformed; a retry won't help.
    UpstreamRejected,
    /// The request was sent, but its outcome is unknown.
    OutcomeUnknown,
    /// The job or request was cancelled.
    Cancelled,
    /// An internal error.
    Internal,
}

impl Code {
    /// Returns the HTTP status for the code.
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

/// The body of every error response to callers and operators.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    pub code: Code,
    pub ran: Ran,
    /// Human-readable description of what happened and where.
    pub message: String,
    /// Suggested action.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub help: Option<String>,
    /// When to retry; sent as `Retry-After`.
    #[serde_as(as = "Option<TimestampMilliSeconds<i64>>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_at: Option<SystemTime>,
}

impl Failure {
    /// Creates a failure of work that did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            ran: Ran::No,
            message: message.into(),
            help: None,
            retry_at: None,
        }
    }

    /// Creates a failure of work that may have run.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Sets the suggested action.
    pub fn help(self, help: impl Into<String>) -> Self {
        Self {
            help: Some(help.into()),
            ..self
        }
    }

    /// Sets the time of the next retry.
    pub fn retry_at(self, at: SystemTime) -> Self {
        Self {
            retry_at: Some(at),
            ..self
        }
    }
}
