//! The envelope around the records of one append.

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{clock::Stamp, id};

/// Version of the record format that this build writes.
pub const VERSION: u8 = 1;

/// Who wrote an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Writer {
    /// The process.
    pub process: id::Process,
    /// Its start.
    pub incarnation: id::Incarnation,
}

/// The records of one append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<R> {
    /// Who wrote it.
    pub writer: Writer,
    /// Counts the writer's appends to this stream, from 1. A number that the fold has seen from this writer is a copy.
    pub sequence: u64,
    /// When, in causal order.
    pub stamp: Stamp,
    /// The records, in order.
    pub records: Vec<R>,
}

/// Why a payload can't be read. A fold counts and skips such a record: it must not stop the stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing in it.
    #[error("the record is empty")]
    Empty,
    /// Written by a later version in a form that this one can't read.
    #[error("the record has version {0}, this build reads up to {VERSION}")]
    Version(u8),
    /// Not a record of ours.
    #[error("the record can't be decoded: {0}")]
    Malformed(String),
}

impl<R: Serialize> Envelope<R> {
    /// Encodes the envelope with its version in front.
    pub fn encode(&self) -> Bytes {
        let buffer = vec![VERSION];
        postcard::to_extend(self, buffer)
            .expect("records hold only types that postcard can write")
            .into()
    }
}

impl<R: DeserializeOwned> Envelope<R> {
    /// Decodes what [`Envelope::encode`] wrote.
    ///
    /// # Errors
    /// Every malformed or foreign payload gives an error; none panics.
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
