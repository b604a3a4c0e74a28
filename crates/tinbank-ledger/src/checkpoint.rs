//! Encodes a shard's state as checkpoint records and restores it from them.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use tinbank_base::{
    id,
    record::{Envelope, Writer, work},
};

use crate::shard::Shard;

/// Checkpoint encoding version written and read by this build.
pub const VERSION: u8 = 1;

/// Error reading a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The encoding version is not supported.
    #[error("unsupported checkpoint version {0}: this build reads version {VERSION}")]
    Version(u8),
    /// The bytes do not decode to a consistent state.
    #[error("checkpoint through offset {through} can't be decoded: {reason}")]
    Malformed {
        /// Last offset that the checkpoint covers.
        through: id::Offset,
        /// Why decoding or the consistency check failed.
        reason: String,
    },
    /// The state is of another shard, or of a deployment with another number of shards.
    #[error(
        "checkpoint is of shard {found} of {found_of}, but shard {shard} of {shards} was expected"
    )]
    Shard {
        /// Shard in the checkpoint.
        found: id::Shard,
        /// Number of shards in the checkpoint.
        found_of: u16,
        /// Shard being recovered.
        shard: id::Shard,
        /// Number of shards of the deployment.
        shards: u16,
    },
    /// A checkpoint must follow the records it covers, and its part numbers must be below the number of parts.
    #[error(
        "invalid checkpoint part at offset {offset}: part {part} of {parts}, covering records through offset {through}"
    )]
    Place {
        /// Part number, from 0.
        part: u32,
        /// Number of parts in the record.
        parts: u32,
        /// Last offset that the record claims to cover.
        through: id::Offset,
        /// Offset of the record.
        offset: id::Offset,
    },
}

/// Encodes the state as records of at most `max_bytes` bytes of state each, to be appended in order.
///
/// Returns no records for a shard that has not folded any.
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

/// Recovers the state of a stream whose oldest records were deleted by retention.
///
/// Reads from the oldest remaining record until a checkpoint is complete, then returns its state. Folding
/// continues from [`Shard::next`].
#[derive(Clone, Debug)]
pub struct Recovery {
    shard: id::Shard,
    shards: u16,
    first: id::Offset,
    found: BTreeMap<Writer, Series>,
}

/// Parts collected so far of the last checkpoint that a writer started.
#[derive(Clone, Debug)]
struct Series {
    through: id::Offset,
    parts: u32,
    found: BTreeMap<u32, Bytes>,
}

impl Recovery {
    /// Starts at offset `first`, the oldest remaining record of the stream. `shards` is the number of shards of the
    /// deployment.
    pub fn new(shard: id::Shard, shards: u16, first: id::Offset) -> Self {
        Self {
            shard,
            shards,
            first,
            found: BTreeMap::new(),
        }
    }

    /// Reads the envelope at `offset`. Returns the state once a checkpoint is complete that leaves no gap to the
    /// oldest remaining record.
    ///
    /// # Errors
    /// Returns an error for a checkpoint that can't be read. Recovery can continue: a later one may be readable.
    pub fn offer(
        &mut self,
        offset: id::Offset,
        envelope: &Envelope<work::Record>,
    ) -> Result<Option<Shard>, Error> {
        let mut last_error = None;
        for record in &envelope.records {
            let work::Record::Checkpoint(part) = record else {
                continue;
            };
            match self.add_part(offset, envelope.writer, part) {
                Ok(Some(shard)) => return Ok(Some(shard)),
                Ok(None) => {}
                Err(error) => last_error = Some(error),
            }
        }
        last_error.map_or(Ok(None), Err)
    }

    fn add_part(
        &mut self,
        offset: id::Offset,
        writer: Writer,
        part: &work::Checkpoint,
    ) -> Result<Option<Shard>, Error> {
        if part.version != VERSION {
            return Err(Error::Version(part.version));
        }
        if part.through >= offset || part.part >= part.parts {
            return Err(Error::Place {
                part: part.part,
                parts: part.parts,
                through: part.through,
                offset,
            });
        }
        if part.through.saturating_add(1) < self.first {
            return Ok(None);
        }
        let series = self
            .found
            .entry(writer)
            .or_insert_with(|| Series::new(part));
        if (series.through, series.parts) != (part.through, part.parts) {
            *series = Series::new(part);
        }
        series.found.insert(part.part, part.state.clone());
        if series.found.len() < part.parts as usize {
            return Ok(None);
        }
        let shard = self
            .found
            .remove(&writer)
            .map(|series| restore(part.through, series.found.values()))
            .transpose()?;
        shard.map(|shard| self.check_shard(shard)).transpose()
    }

    fn check_shard(&self, shard: Shard) -> Result<Shard, Error> {
        let (found, found_of) = (shard.number(), shard.shards());
        if (found, found_of) == (self.shard, self.shards) {
            return Ok(shard);
        }
        Err(Error::Shard {
            found,
            found_of,
            shard: self.shard,
            shards: self.shards,
        })
    }
}

impl Series {
    fn new(part: &work::Checkpoint) -> Self {
        Self {
            through: part.through,
            parts: part.parts,
            found: BTreeMap::new(),
        }
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
        return Err(malformed(format!(
            "{} unexpected bytes at the end",
            rest.len()
        )));
    }
    if shard.next().checked_sub(1) != Some(through) {
        return Err(malformed(format!(
            "its state continues at offset {}",
            shard.next()
        )));
    }
    match shard.inconsistency() {
        Some(reason) => Err(malformed(reason.to_owned())),
        None => Ok(shard),
    }
}
