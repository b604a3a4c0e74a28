//! Why an append has no offset.

/// Why an append has no offset. Only [`Error::Unknown`] leaves open whether the records stand in the stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The records are provably not in the stream and never will be.
    #[error("not appended: {0}")]
    NotAppended(String),
    /// The records may stand in the stream, or appear later. A reader that has passed a later envelope of this
    /// writer without finding this one knows that it never counts.
    #[error("it is not known whether envelope {sequence} was appended: {reason}")]
    Unknown {
        /// Number of the envelope.
        sequence: u64,
        /// The last answer.
        reason: String,
    },
    /// The buffer is full; nothing was appended.
    #[error("not appended: {buffered} of {limit} bytes wait for the log already")]
    Full {
        /// Bytes that wait or are in flight.
        buffered: usize,
        /// The bound.
        limit: usize,
    },
    /// The records are larger than one envelope may be; nothing was appended.
    #[error("not appended: {size} bytes are over the limit of {limit} for one append")]
    TooLarge {
        /// Their size in bytes.
        size: usize,
        /// The bound.
        limit: usize,
    },
    /// There are no records.
    #[error("not appended: there are no records")]
    Empty,
    /// The writer has stopped. Whether the records stand in the stream is not known if it stopped while they were in
    /// flight.
    #[error("the log writer has stopped")]
    Stopped,
}

impl Error {
    /// Whether the records may stand in the stream.
    pub fn may_stand(&self) -> bool {
        matches!(self, Self::Unknown { .. } | Self::Stopped)
    }
}
