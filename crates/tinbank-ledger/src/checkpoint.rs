//! Checkpoints: a shard's state as records, and back.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use tinbank_base::{
    id,
    record::{Envelope, Writer, work},
};

use crate::shard::Shard;

/// Version of the encoding that this build writes.
pub const VERSION: u8 = 1;

/// Why a checkpoint can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Written by a later version.
    #[error("the checkpoint has version {0}, this build reads {VERSION}")]
    Version(u8),
    /// Not a state of ours.
    #[error("the checkpoint through {through} can't be decoded: {reason}")]
    Malformed {
        /// Its place.
        through: id::Offset,
        /// What is wrong.
        reason: String,
    },
}

/// The state as records of at most `max_bytes` bytes each, to be appended in order. Empty before the first record.
pub fn records(shard: &Shard, max_bytes: usize) -> Vec<work::Record> {
    let Some(through) = shard.next().checked_sub(1) else {
        return Vec::new();
    };
    let state = Bytes::from(
        postcard::to_stdvec(shard).expect("the state holds only types that postcard can write"),
    );
    let size = max_bytes.max(1);
    let parts = state.len().div_ceil(size) as u32;
    (0..parts)
        .map(|part| {
            let from = part as usize * size;
            let to = (from + size).min(state.len());
            work::Record::Checkpoint(work::Checkpoint {
                through,
                part,
                parts,
                version: VERSION,
                state: state.slice(from..to),
            })
        })
        .collect()
}

/// Finds the state of a stream whose oldest records are gone: reads from the first record left until a checkpoint
/// is complete, then gives the state, to be folded on from [`Shard::next`].
#[derive(Clone, Debug)]
pub struct Recovery {
    first: id::Offset,
    found: BTreeMap<Series, BTreeMap<u32, Bytes>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Series {
    writer: Writer,
    through: id::Offset,
    parts: u32,
}

impl Recovery {
    /// Begins at the first record left.
    pub fn new(first: id::Offset) -> Self {
        Self {
            first,
            found: BTreeMap::new(),
        }
    }

    /// Takes in the next envelope; gives the state once a checkpoint is complete that leaves no gap.
    ///
    /// # Errors
    /// A checkpoint that can't be read is named and passed over; a later one may do.
    pub fn offer(&mut self, envelope: &Envelope<work::Record>) -> Result<Option<Shard>, Error> {
        for record in &envelope.records {
            if let work::Record::Checkpoint(part) = record
                && let Some(shard) = self.part(envelope.writer, part)?
            {
                return Ok(Some(shard));
            }
        }
        Ok(None)
    }

    fn part(&mut self, writer: Writer, part: &work::Checkpoint) -> Result<Option<Shard>, Error> {
        if part.version != VERSION {
            return Err(Error::Version(part.version));
        }
        if part.through.saturating_add(1) < self.first {
            return Ok(None);
        }
        let series = Series {
            writer,
            through: part.through,
            parts: part.parts,
        };
        let parts = self.found.entry(series).or_default();
        parts.insert(part.part, part.state.clone());
        if parts.len() < part.parts as usize {
            return Ok(None);
        }
        let parts = self.found.remove(&series).unwrap_or_default();
        restore(part.through, parts.values()).map(Some)
    }
}

fn restore<'a>(
    through: id::Offset,
    parts: impl Iterator<Item = &'a Bytes>,
) -> Result<Shard, Error> {
    let mut state = BytesMut::new();
    parts.for_each(|part| state.extend_from_slice(part));
    let malformed = |reason: String| Error::Malformed { through, reason };
    let (shard, rest) =
        postcard::take_from_bytes::<Shard>(&state).map_err(|error| malformed(error.to_string()))?;
    if !rest.is_empty() {
        return Err(malformed(format!("{} bytes too many", rest.len())));
    }
    if shard.next().checked_sub(1) != Some(through) {
        return Err(malformed(format!("its state is of {}", shard.next())));
    }
    Ok(shard)
}
