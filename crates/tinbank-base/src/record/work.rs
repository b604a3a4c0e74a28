//! Records of the work shards: jobs, items, results, claims and the shard's lease.
//!
//! See `docs/design/ledger.md` for the meaning of each record and for which one is valid if two contradict each other.

use std::time::SystemTime;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};
use smallvec::SmallVec;

use super::{
    claim::{Claim, Settled},
    lease::Lease,
};
use crate::{digest::Digest, id, outcome};

/// An item of a chunk, as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The caller's name for the item, unique in the job.
    pub custom_id: String,
    /// JSON body for the service.
    pub body: Bytes,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// A group of items of a job, in the shard given by hash(job, chunk). A chunk whose job has no head is garbage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    pub job: id::Job,
    /// Id of the submission. If a job is submitted twice, only the chunks of the valid head's submission run.
    pub intake: u64,
    pub chunk: id::Chunk,
    /// Index of its first item in the job.
    pub first: id::Item,
    pub items: Vec<Item>,
}

/// The commit record of a job, in the shard given by hash(job). The first head of a job by offset is the valid one.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub job: id::Job,
    /// Submission that the job's chunks belong to.
    pub intake: u64,
    pub customer: id::Customer,
    pub service: id::Service,
    /// Digest of service, due time and body, which a retry has to match.
    pub body: Digest,
    /// Number of items.
    pub items: id::Item,
    /// Number of chunks.
    pub chunks: id::Chunk,
    /// Shards that contain its chunks, in ascending order.
    pub shards: SmallVec<[id::Shard; 8]>,
    /// When it was submitted.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub received: SystemTime,
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub due: SystemTime,
    /// Until when its results are retained.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub keep_until: SystemTime,
}

/// Marks a job as committed in a shard, so that its chunks there may run. Duplicates have no effect.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    pub job: id::Job,
    /// Submission whose chunks are valid.
    pub intake: u64,
    pub customer: id::Customer,
    pub service: id::Service,
    /// Number of its chunks in this shard.
    pub chunks: id::Chunk,
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub due: SystemTime,
    /// Until when its results are retained.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub keep_until: SystemTime,
}

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Complete JSON answer of the service.
    Answer(Bytes),
    /// The item failed for good.
    Failed {
        code: outcome::Code,
        ran: outcome::Ran,
        /// Human-readable description.
        message: String,
    },
}

/// Completion of an item. The first one of an item by offset is the valid one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Index of the item in the job.
    pub item: id::Item,
    /// Number of times that it was sent to an upstream.
    pub attempts: u16,
    pub outcome: Outcome,
}

/// Completions of items of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completed {
    pub job: id::Job,
    pub chunk: id::Chunk,
    pub completions: Vec<Completion>,
}

/// Intent to send items that may not be repeated. They are sent only after this record was read back as the first one for
/// them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    pub job: id::Job,
    pub chunk: id::Chunk,
    /// Lease term of the owner that sends them.
    pub epoch: id::Epoch,
    pub items: Vec<id::Item>,
}

/// Final counts of a job's items in one shard, written to the head's shard. The first one from each shard is the valid one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    pub job: id::Job,
    /// Submission of the job, so that the counts do not apply to a later job with the same key.
    pub intake: u64,
    /// Shard that the counts are from.
    pub shard: id::Shard,
    /// Items that were answered.
    pub answered: id::Item,
    /// Items that failed.
    pub failed: id::Item,
    /// Items that were cancelled before they ended.
    pub cancelled: id::Item,
}

/// A record of a work shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A change of the shard's lease.
    Lease(Lease),
    Chunk(Chunk),
    Head(Head),
    Release(Release),
    /// Cancels a job: later completions are ignored. Written to the head's shard and to each shard with chunks.
    Cancel {
        job: id::Job,
    },
    Dispatch(Dispatch),
    Completed(Completed),
    Part(Part),
    /// Claim of an online request.
    Claim(Claim),
    /// Result of a claimed request.
    Settled(Settled),
    /// A part of the shard's state, written before retention removes the records that it replaces.
    Checkpoint(Checkpoint),
    /// A chunk and the completions of its items, rewritten before retention removes the older records.
    Carried(Carried),
    /// Completions that are rewritten separately, because they are too large to be in one record with their chunk.
    Moved(Moved),
}

/// A chunk carried forward: the bodies of its pending items, and the valid completions up to and including `through`. It
/// changes no item's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carried {
    /// Last offset of the writer's fold when the record was written.
    pub through: id::Offset,
    /// The chunk. Items that have ended keep their name but have an empty body.
    pub chunk: Chunk,
    /// The valid completions.
    pub completions: Vec<Completion>,
}

/// The valid completions of an envelope, carried forward. It changes no item's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moved {
    /// Submission of the chunk.
    pub intake: u64,
    /// Offset of the original envelope.
    pub from: id::Offset,
    pub completed: Completed,
}

/// Part of a shard's state, encoded by `tinbank-ledger`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Last offset that the checkpoint covers.
    pub through: id::Offset,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Version of the encoding of `state`.
    pub version: u8,
    pub state: Bytes,
}
