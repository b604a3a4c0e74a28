//! The platform's append-only log.

use std::{
    fmt,
    time::{Instant, SystemTime},
};

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id;

/// Name of a log stream of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stream {
    /// Templates and customers; read by every process.
    Config,
    /// Leases of the order holders of `tinbank-fleet`.
    Fleet,
    /// One shard of work; read by its owner only.
    Work(id::Shard),
}

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config => f.write_str("config"),
            Self::Fleet => f.write_str("fleet"),
            Self::Work(shard) => write!(f, "work-{shard:03}"),
        }
    }
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it stands.
    pub offset: id::Offset,
    /// What was appended.
    pub payload: Bytes,
}

/// Part of a stream, as read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Records in offset order; empty when nothing came before the read's deadline.
    pub entries: Vec<Entry>,
    /// Where to read on.
    pub next: id::Offset,
    /// The offset that the next append will get, as the service knew it when it answered. A reader has reached the
    /// tail when `next == tail`.
    pub tail: id::Offset,
}

/// What a stream still holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Offset of the oldest record kept.
    pub first: id::Offset,
    /// The offset that the next append will get.
    pub tail: id::Offset,
}

/// Why a call on the log did not give what was asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The call provably had no effect: the service could not be reached or refused it.
    #[error("the log is unavailable: {0}")]
    Unavailable(String),
    /// The answer was lost; an append may have taken effect.
    #[error("the log's answer was lost: {0}")]
    Unknown(String),
    /// Over the append rate; the call had no effect.
    #[error("the log takes no more appends until {retry_at:?}")]
    Throttled {
        /// When the service takes appends again.
        retry_at: SystemTime,
    },
    /// The records asked for are older than the retention.
    #[error("the stream starts at {first}: older records are gone")]
    Trimmed {
        /// Offset of the oldest record kept.
        first: id::Offset,
    },
    /// The record is larger than the service takes; it had no effect.
    #[error("a record of {size} bytes is over the log's limit of {limit}")]
    TooLarge {
        /// Size of the record, in bytes.
        size: usize,
        /// The service's limit, in bytes.
        limit: usize,
    },
    /// The service answered something that is not its protocol.
    #[error("the log's answer can't be read: {0}")]
    Protocol(String),
}

/// The log service. Offsets of a stream rise by one from 0, without gaps.
#[async_trait]
pub trait Log: Send + Sync + fmt::Debug {
    /// Appends one record and returns its offset once it lasts.
    ///
    /// # Errors
    /// Only [`Error::Unknown`] leaves open whether the record stands in the stream.
    async fn append(&self, stream: Stream, payload: Bytes) -> Result<id::Offset, Error>;

    /// Reads from `from` on, at most about `limit` bytes (at least one record). At the tail it waits for
    /// records till `until`, then returns an empty page.
    async fn read(
        &self,
        stream: Stream,
        from: id::Offset,
        limit: usize,
        until: Instant,
    ) -> Result<Page, Error>;

    /// Tells what the stream holds now.
    async fn bounds(&self, stream: Stream) -> Result<Bounds, Error>;
}
