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
    /// The state of another shard, or of a deployment with another number of shards.
    #[error("the checkpoint is of shard {found} of {found_of}, this is shard {shard} of {shards}")]
    Shard {
        /// The shard that it is of.
        found: id::Shard,
        /// The number of shards that it was written with.
        found_of: u16,
        /// The shard that is read.
        shard: id::Shard,
        /// The number of shards of the deployment.
        shards: u16,
    },
    /// A checkpoint stands behind what it holds, and its parts are numbered from 0.
    #[error("part {part} of {parts} through {through} can't stand at offset {offset}")]
    Place {
        /// Number of the part.
        part: u32,
        /// How many parts it claims to have.
        parts: u32,
        /// Up to where it claims to reach.
        through: id::Offset,
        /// Where it stands.
        offset: id::Offset,
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
    shard: id::Shard,
    shards: u16,
    first: id::Offset,
    found: BTreeMap<Writer, Series>,
}

/// The parts of the checkpoint that a writer began last.
#[derive(Clone, Debug)]
struct Series {
    through: id::Offset,
    parts: u32,
    found: BTreeMap<u32, Bytes>,
}

impl Recovery {
    /// Begins at the first record left of a shard's stream. `shards` is the number of shards of the deployment.
    pub fn new(shard: id::Shard, shards: u16, first: id::Offset) -> Self {
        Self {
            shard,
            shards,
            first,
            found: BTreeMap::new(),
        }
    }

    /// Takes in the envelope at `offset`; gives the state once a checkpoint is complete that leaves no gap.
    ///
    /// # Errors
    /// A checkpoint that can't be read is named and passed over; a later one may do.
    pub fn offer(
        &mut self,
        offset: id::Offset,
        envelope: &Envelope<work::Record>,
    ) -> Result<Option<Shard>, Error> {
        let mut fault = None;
        for record in &envelope.records {
            let work::Record::Checkpoint(part) = record else {
                continue;
            };
            match self.part(offset, envelope.writer, part) {
                Ok(Some(shard)) => return Ok(Some(shard)),
                Ok(None) => {}
                Err(error) => fault = Some(error),
            }
        }
        fault.map_or(Ok(None), Err)
    }

    fn part(
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
        let series = self.found.entry(writer).or_insert_with(|| Series::of(part));
        if (series.through, series.parts) != (part.through, part.parts) {
            *series = Series::of(part);
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
        shard.map(|shard| self.ours(shard)).transpose()
    }

    fn ours(&self, shard: Shard) -> Result<Shard, Error> {
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
    fn of(part: &work::Checkpoint) -> Self {
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
        return Err(malformed(format!("{} bytes too many", rest.len())));
    }
    if shard.next().checked_sub(1) != Some(through) {
        return Err(malformed(format!("its state is of {}", shard.next())));
    }
    match shard.fault() {
        Some(fault) => Err(malformed(fault.to_owned())),
        None => Ok(shard),
    }
}
