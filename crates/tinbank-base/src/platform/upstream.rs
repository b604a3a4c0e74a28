//! Upstreams: model engines, which stream tokens, and plain services, which answer once.

use std::{fmt, net::SocketAddr, time::Instant};

use async_trait::async_trait;
use bytes::Bytes;
use futures_core::stream::BoxStream;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::weights;
use crate::{id, outcome::Ran};

/// Where to send a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Which upstream.
    pub upstream: id::Upstream,
    /// Its HTTP address.
    pub address: SocketAddr,
}

/// One call of an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id that the upstream has to show on every part of its answer.
    pub request: id::Request,
    /// Name of the service, for the path of plain services.
    pub service: id::Service,
    /// JSON body. For engines: a chat completion; `stream` is set by the adapter.
    pub body: Bytes,
    /// Number of tokens that the caller already has; the engine goes on after them.
    pub resume_from: u32,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// A part of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// One token.
    Token {
        /// Its place in the answer, from 0.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The end marker: the answer is whole.
    End {
        /// Why the engine stopped: `stop`, `length`.
        reason: String,
        /// How many tokens the whole answer has.
        tokens: u32,
    },
}

/// Why a call gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("upstream {upstream}: {kind}")]
pub struct Error {
    /// Which upstream.
    pub upstream: id::Upstream,
    /// Whether the call ran there.
    pub ran: Ran,
    /// What happened.
    pub kind: Kind,
}

/// What went wrong with a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Kind {
    /// No connection: nothing was written.
    #[error("no connection: {0}")]
    Connect(String),
    /// It said that it takes no new work for it is leaving; it did not run the call.
    #[error("it is leaving")]
    Leaving,
    /// It said that it is full; it did not run the call.
    #[error("it is full")]
    Full,
    /// The answer broke off before its end marker.
    #[error("the answer broke off: {0}")]
    Cut(String),
    /// A part of the answer carried another request's id, or a token came out of order.
    #[error("the answer is not ours: {0}")]
    Crossed(String),
    /// The deadline passed.
    #[error("the deadline passed")]
    Timeout,
    /// It refused the body as malformed (4xx); asking again won't help.
    #[error("it refused the body with status {status}: {message}")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// What it said.
        message: String,
    },
    /// It failed (5xx) in running the call.
    #[error("it failed with status {status}: {message}")]
    Failed {
        /// HTTP status.
        status: u16,
        /// What it said.
        message: String,
    },
}

/// Load and contents of an engine as it reports them, some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests being run.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// What is loaded.
    pub loaded: SmallVec<[weights::Artifact; 2]>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Largest fencing number it has seen.
    pub fence: id::Fence,
}

/// What an engine is told to have loaded: desired state, so that repeating it is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Offset of the lease record under which the order is given.
    pub fence: id::Fence,
    /// Everything that it should have loaded; the rest is to be unloaded.
    pub loaded: SmallVec<[weights::Artifact; 2]>,
    /// Leave for what it has to fetch.
    pub tickets: SmallVec<[weights::Ticket; 2]>,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Taken.
    Taken,
    /// Refused: the engine has seen a larger fencing number.
    Stale {
        /// The larger number.
        seen: id::Fence,
    },
}

/// Parts of an answer as they come; the last is [`Part::End`] or an error.
pub type Parts = BoxStream<'static, Result<Part, Error>>;

/// Access to upstreams.
#[async_trait]
pub trait Upstreams: Send + Sync + fmt::Debug {
    /// Starts a chat completion. Dropping the stream closes the connection; [`Upstreams::cancel`] stops the work.
    async fn chat(&self, target: Target, call: Call) -> Result<Parts, Error>;

    /// Calls a plain service and returns its whole answer.
    async fn call(&self, target: Target, call: Call) -> Result<Bytes, Error>;

    /// Stops the work of a request. Harmless when the request is unknown or has ended.
    async fn cancel(&self, target: Target, request: id::Request) -> Result<(), Error>;

    /// Asks for the engine's load report.
    async fn report(&self, target: Target) -> Result<Report, Error>;

    /// Gives an order.
    async fn order(&self, target: Target, order: Order) -> Result<Verdict, Error>;
}
