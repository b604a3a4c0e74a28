//! What the state machine takes in and gives out.

use std::time::Instant;

use bytes::Bytes;
use tinbank_base::{id, platform::log::Stream};

use crate::{budget::Priority, writer::Error};

/// Names one caller's append within this process.
pub type Ticket = u64;

/// Records that a caller wants appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// Whose.
    pub ticket: Ticket,
    /// Where to.
    pub stream: Stream,
    /// The encoded records, one after the other.
    pub records: Bytes,
    /// How many they are.
    pub count: usize,
    /// Which part of the budget they may draw on.
    pub priority: Priority,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// What became of sending an envelope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It lasts at this offset.
    Durable(id::Offset),
    /// It was refused without effect; nothing may be sent before the time given, if any.
    Refused {
        /// Why.
        reason: String,
        /// When the service takes appends again.
        retry_at: Option<Instant>,
    },
    /// It is too large, and had no effect.
    TooLarge {
        /// Its size in bytes.
        size: usize,
        /// The service's limit in bytes.
        limit: usize,
    },
    /// It may have taken effect.
    Unknown(String),
}

/// What the edge has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Build an envelope with this number and send it. The edge keeps it for a [`Action::Resend`].
    Send {
        /// Where to.
        stream: Stream,
        /// Its number.
        sequence: u64,
        /// The encoded records of all members, in order.
        records: Vec<Bytes>,
        /// How many records they are.
        count: usize,
    },
    /// Send the same envelope again.
    Resend {
        /// Where to.
        stream: Stream,
        /// Its number.
        sequence: u64,
    },
    /// Tell a caller what became of its append.
    Resolve {
        /// Whose.
        ticket: Ticket,
        /// The offset, or why there is none.
        result: Result<id::Offset, Error>,
    },
}
