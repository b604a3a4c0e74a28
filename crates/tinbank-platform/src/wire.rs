//! Names and bodies of the HTTP forms, shared with the stand-ins. See `docs/design/platform.md`.

use serde::{Deserialize, Serialize};
use tinbank_base::{id, platform::weights};

/// Header that carries the id of a request to an upstream.
pub const REQUEST_ID: &str = "x-request-id";
/// Header in which a plain service repeats the id of the request that it answers. It is not
/// `X-Request-Id`, since many HTTP libraries (dropshot among them) put an id of their own there.
pub const ANSWERED_ID: &str = "x-answered-request-id";
/// Header by which an upstream says why it takes no work: [`LEAVING`] or [`FULL`].
pub const UPSTREAM_STATE: &str = "x-upstream-state";
/// Value of [`UPSTREAM_STATE`] of an upstream that is leaving.
pub const LEAVING: &str = "leaving";
/// Value of [`UPSTREAM_STATE`] of an upstream that is full.
pub const FULL: &str = "full";
/// Header with the milliseconds to wait before the next try; finer than `Retry-After`.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";
/// Finish reason of an answer that was cancelled at the engine: its end does not make it whole.
pub const ABORTED: &str = "abort";

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Where the record stands.
    pub offset: id::Offset,
}

/// Answer to a read before the retention (status 410).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trimmed {
    /// Offset of the oldest record kept.
    pub first: id::Offset,
}

/// Answer to a record that is too large (status 413).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TooLarge {
    /// Size of the record, in bytes.
    pub size: usize,
    /// The service's limit, in bytes.
    pub limit: usize,
}

/// Answer of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// Leave to load the artifact once.
    pub ticket: weights::Ticket,
}

/// One chunk of an engine's stream of server-sent events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the request, 32 hexadecimal digits.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Place of the token in the answer, from 0; at the end the number of tokens.
    pub token_index: u32,
    /// Always one.
    pub choices: Vec<Choice>,
}

/// The choice of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// What is new.
    pub delta: Delta,
    /// Why the engine stopped; only on the last chunk.
    pub finish_reason: Option<String>,
}

/// What a chunk adds to the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Text of the token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}
