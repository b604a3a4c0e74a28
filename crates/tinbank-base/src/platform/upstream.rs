//! Upstreams: model engines, which stream tokens, and plain services, which send a single answer.

use std::{fmt, net::SocketAddr, time::Instant};

use async_trait::async_trait;
use bytes::Bytes;
use futures_core::stream::BoxStream;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::weights;
use crate::{id, outcome::Ran};

/// Destination of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    pub upstream: id::Upstream,
    /// HTTP address.
    pub address: SocketAddr,
}

/// A call to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id that the upstream has to include in every part of its answer.
    pub request: id::Request,
    /// Name of the service, used in the path of plain services.
    pub service: id::Service,
    /// JSON body. For engines it is a chat completion; the adapter sets `stream`.
    pub body: Bytes,
    /// Number of tokens that the caller already has; the engine continues after them.
    pub resume_from: u32,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// A part of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// One token.
    Token {
        /// Index in the answer, from 0.
        index: u32,
        text: String,
    },
    /// The end marker of a complete answer.
    End {
        /// Finish reason of the engine: `stop` or `length`.
        reason: String,
        /// Number of tokens of the complete answer.
        tokens: u32,
    },
}

/// Error of a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("upstream {upstream}: {kind}")]
pub struct Error {
    pub upstream: id::Upstream,
    /// Whether the call ran there.
    pub ran: Ran,
    pub kind: Kind,
}

/// Kind of an [`Error`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Kind {
    /// No connection was made; nothing was written.
    #[error("no connection: {0}")]
    Connect(String),
    /// The upstream is leaving and accepts no new work; it did not run the call.
    #[error("it is leaving")]
    Leaving,
    /// The upstream is full; it did not run the call.
    #[error("it is full")]
    Full,
    /// The answer ended before its end marker.
    #[error("the answer broke off: {0}")]
    Cut(String),
    /// A part of the answer has the id of another request, or a token is out of order.
    #[error("the answer is not ours: {0}")]
    Crossed(String),
    /// The deadline passed.
    #[error("the deadline passed")]
    Timeout,
    /// The upstream rejected the body as malformed (4xx); a retry won't help.
    #[error("it refused the body with status {status}: {message}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Message of the upstream.
        message: String,
    },
    /// The upstream failed while it ran the call (5xx).
    #[error("it failed with status {status}: {message}")]
    Failed {
        /// HTTP status.
        status: u16,
        /// Message of the upstream.
        message: String,
    },
}

/// Load report of an engine, which may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued inside the engine.
    pub waiting: u32,
    /// Number of requests that it runs at once.
    pub slots: u32,
    pub loaded: SmallVec<[weights::Artifact; 2]>,
    pub leaving: bool,
    /// Largest fencing number that it has seen.
    pub fence: id::Fence,
}

/// Desired set of loaded artifacts of an engine. Orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Offset of the lease record under which the order is sent.
    pub fence: id::Fence,
    /// Artifacts that should be loaded; all others are unloaded.
    pub loaded: SmallVec<[weights::Artifact; 2]>,
    /// Tickets for the artifacts that have to be fetched.
    pub tickets: SmallVec<[weights::Ticket; 2]>,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Accepted.
    Taken,
    /// Rejected, since the engine has seen a larger fencing number.
    Stale {
        /// The larger number.
        seen: id::Fence,
    },
}

/// Stream of an answer's parts; the last one is [`Part::End`] or an error.
pub type Parts = BoxStream<'static, Result<Part, Error>>;

/// Access to upstreams.
#[async_trait]
pub trait Upstreams: Send + Sync + fmt::Debug {
    /// Starts a chat completion. Dropping the stream closes the connection; [`Upstreams::cancel`] stops the work.
    async fn chat(&self, target: Target, call: Call) -> Result<Parts, Error>;

    /// Calls a plain service and returns its complete answer.
    async fn call(&self, target: Target, call: Call) -> Result<Bytes, Error>;

    /// Stops the work on a request. Does nothing if the request is unknown or has ended.
    async fn cancel(&self, target: Target, request: id::Request) -> Result<(), Error>;

    /// Requests the engine's load report.
    async fn report(&self, target: Target) -> Result<Report, Error>;

    /// Sends an order.
    async fn order(&self, target: Target, order: Order) -> Result<Verdict, Error>;
}
