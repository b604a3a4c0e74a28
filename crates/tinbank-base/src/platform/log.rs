//! The platform's append-only log.

use std::{
    fmt,
    time::{Instant, SystemTime},
};

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id;

/// A log stream of this system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stream {
    /// Configuration; read by every process.
    Config,
    /// Leases of the processes that send orders to engines, see `tinbank-fleet`.
    Fleet,
    /// A work shard; read only by its owner.
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

/// An entry of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub offset: id::Offset,
    pub payload: Bytes,
}

/// Result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Entries in offset order; empty if none was appended before the read's deadline.
    pub entries: Vec<Entry>,
    /// Offset of the next read.
    pub next: id::Offset,
    /// Offset of the next append at the time of the answer. A reader has reached the tail when `next == tail`.
    pub tail: id::Offset,
}

/// Range of the offsets that a stream retains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Offset of the oldest retained entry.
    pub first: id::Offset,
    /// Offset of the next append.
    pub tail: id::Offset,
}

/// Error of a call to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service was unreachable or refused the call, which had no effect.
    #[error("the log is unavailable: {0}")]
    Unavailable(String),
    /// The answer was lost; an append may have taken effect.
    #[error("the log's answer was lost: {0}")]
    Unknown(String),
    /// The append rate was exceeded; the call had no effect.
    #[error("the log takes no more appends until {retry_at:?}")]
    Throttled {
        /// When the service accepts appends again.
        retry_at: SystemTime,
    },
    /// The requested entries were removed by retention.
    #[error("the stream starts at {first}: older records are gone")]
    Trimmed {
        /// Offset of the oldest retained entry.
        first: id::Offset,
    },
    /// The record is too large; the call had no effect.
    #[error("a record of {size} bytes is over the log's limit of {limit}")]
    TooLarge {
        /// Size of the record, in bytes.
        size: usize,
        /// The service's limit, in bytes.
        limit: usize,
    },
    /// The service sent an invalid answer.
    #[error("the log's answer can't be read: {0}")]
    Protocol(String),
}

/// The log service. The offsets of a stream are consecutive and start at 0.
#[async_trait]
pub trait Log: Send + Sync + fmt::Debug {
    /// Appends a record and returns its offset once it is durable.
    ///
    /// # Errors
    /// With [`Error::Unknown`] the record may have been appended, with any other error it was not.
    async fn append(&self, stream: Stream, payload: Bytes) -> Result<id::Offset, Error>;

    /// Reads about `limit` bytes, but at least one entry, starting at `from`. At the tail it waits for entries until `until`,
    /// then returns an empty page.
    async fn read(
        &self,
        stream: Stream,
        from: id::Offset,
        limit: usize,
        until: Instant,
    ) -> Result<Page, Error>;

    /// Returns the range of offsets that the stream currently retains.
    async fn bounds(&self, stream: Stream) -> Result<Bounds, Error>;
}
