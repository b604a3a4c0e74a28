//! The envelope that contains the records of an append.

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{clock::Stamp, id};

/// Version of the record format that this build writes.
pub const VERSION: u8 = 1;

/// Writer of an envelope: one start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Writer {
    pub process: id::Process,
    pub incarnation: id::Incarnation,
}

/// The records of an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<R> {
    pub writer: Writer,
    /// Number of the writer's append to this stream, from 1. The fold drops a number that it has already seen as a duplicate.
    pub sequence: u64,
    /// Time and causal order.
    pub stamp: Stamp,
    pub records: Vec<R>,
}

/// Error of decoding a payload. A fold counts and skips such a payload, so that it does not block the stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The payload is empty.
    #[error("the record is empty")]
    Empty,
    /// The payload has a version that this build can't read.
    #[error("the record has version {0}, this build reads up to {VERSION}")]
    Version(u8),
    /// The payload can't be decoded.
    #[error("the record can't be decoded: {0}")]
    Malformed(String),
}

impl<R: Serialize> Envelope<R> {
    /// Encodes the envelope, preceded by its version.
    pub fn encode(&self) -> Bytes {
        let buffer = vec![VERSION];
        postcard::to_extend(self, buffer)
            .expect("records hold only types that postcard can write")
            .into()
    }
}

impl<R: DeserializeOwned> Envelope<R> {
    /// Decodes an envelope written by [`Envelope::encode`].
    ///
    /// # Errors
    /// Returns an error for any malformed or foreign payload; never panics.
    pub fn decode(payload: &[u8]) -> Result<Self, Error> {
        let (version, body) = payload.split_first().ok_or(Error::Empty)?;
        if *version != VERSION {
            return Err(Error::Version(*version));
        }
        let (envelope, rest) =
            postcard::take_from_bytes(body).map_err(|error| Error::Malformed(error.to_string()))?;
        if !rest.is_empty() {
            return Err(Error::Malformed(format!("{} bytes too many", rest.len())));
        }
        Ok(envelope)
    }
}
