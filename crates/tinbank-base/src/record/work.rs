//! Records of the work shards: jobs, items, results, claims and the shard's lease.
//!
//! See `docs/design/ledger.md` for what each record proves and which one counts when two say
//! different things.

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

/// One item of a chunk, as the caller sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The caller's name for it, unique in the job.
    pub custom_id: String,
    /// The JSON body for the service.
    pub body: Bytes,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// Some hundred items of a job, in the shard of hash(job, chunk). A chunk whose job has no head is garbage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Which job.
    pub job: id::Job,
    /// Tells apart the chunks of two intakes of one job: only those of the head that counts are run.
    pub intake: u64,
    /// Which chunk.
    pub chunk: id::Chunk,
    /// Number of its first item in the job.
    pub first: id::Item,
    /// The items.
    pub items: Vec<Item>,
}

/// The commit point of a job, in the shard of hash(job). The first head of a job by offset is the one that counts.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Which job.
    pub job: id::Job,
    /// The intake whose chunks the job is made of.
    pub intake: u64,
    /// Whose job it is.
    pub customer: id::Customer,
    /// Which service runs it.
    pub service: id::Service,
    /// Digest of service, due time and body; a resend has to match.
    pub body: Digest,
    /// How many items it has.
    pub items: id::Item,
    /// How many chunks it has.
    pub chunks: id::Chunk,
    /// The shards that hold its chunks, ascending.
    pub shards: SmallVec<[id::Shard; 8]>,
    /// When it was taken in.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub received: SystemTime,
    /// When it is due.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub due: SystemTime,
    /// How long its results stay readable.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub keep_until: SystemTime,
}

/// Tells a shard that a job's head counts and its chunks there may run. Repeating it is harmless.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Which job.
    pub job: id::Job,
    /// The intake whose chunks count.
    pub intake: u64,
    /// Whose job it is.
    pub customer: id::Customer,
    /// Which service runs it.
    pub service: id::Service,
    /// How many of its chunks this shard holds.
    pub chunks: id::Chunk,
    /// When it is due.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub due: SystemTime,
    /// How long its results stay readable.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub keep_until: SystemTime,
}

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The service's whole answer, as JSON.
    Answer(Bytes),
    /// It can't be done.
    Failed {
        /// Why.
        code: outcome::Code,
        /// Whether it ran.
        ran: outcome::Ran,
        /// What happened, for people.
        message: String,
    },
}

/// The end of one item. The first for an item by offset is the one that counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Number of the item in the job.
    pub item: id::Item,
    /// How many times it was sent to an upstream.
    pub attempts: u16,
    /// How it ended.
    pub outcome: Outcome,
}

/// Completions of items of one chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completed {
    /// Which job.
    pub job: id::Job,
    /// Which chunk.
    pub chunk: id::Chunk,
    /// The ends of its items.
    pub completions: Vec<Completion>,
}

/// Items that may not be repeated, about to be sent. Read back as the first before anything is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Which job.
    pub job: id::Job,
    /// Which chunk.
    pub chunk: id::Chunk,
    /// The term of the owner that sends them.
    pub epoch: id::Epoch,
    /// The items.
    pub items: Vec<id::Item>,
}

/// What a shard says in the head's shard of its part of a job. The first one from each shard counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Which job.
    pub job: id::Job,
    /// Its intake, so that a job taken in again under the same key, long after, is not ended by its predecessor.
    pub intake: u64,
    /// Which shard speaks.
    pub shard: id::Shard,
    /// Items with an answer.
    pub answered: id::Item,
    /// Items that ended as failed.
    pub failed: id::Item,
    /// Items that were cancelled before they ended.
    pub cancelled: id::Item,
}

/// A record of a work shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A step of the shard's lease.
    Lease(Lease),
    /// Items of a job.
    Chunk(Chunk),
    /// The commit point of a job.
    Head(Head),
    /// A job's chunks here may run.
    Release(Release),
    /// A job is stopped: completions after this record don't count. In the head's shard and in each shard of chunks.
    Cancel {
        /// Which job.
        job: id::Job,
    },
    /// Items about to be sent that may not be repeated.
    Dispatch(Dispatch),
    /// Ends of items.
    Completed(Completed),
    /// A shard has finished its part of a job.
    Part(Part),
    /// An online request is claimed.
    Claim(Claim),
    /// A claimed request has ended.
    Settled(Settled),
    /// Part of the shard's state as of `through`, written before retention takes what it stands for.
    Checkpoint(Checkpoint),
    /// A chunk and the ends of its items, written again before retention takes the older records.
    Carried(Carried),
    /// Ends of a chunk's items, written again by themselves because they are too large to go with the chunk.
    Moved(Moved),
}

/// A chunk carried forward: the bodies of its items that are still pending, and the completions that counted
/// up to and including `through`. It moves bodies and results, and changes no item's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Carried {
    /// Its writer's fold up to and including this offset decided which completions are in it.
    pub through: id::Offset,
    /// The chunk; items that have ended keep their name but have an empty body.
    pub chunk: Chunk,
    /// The completions that counted.
    pub completions: Vec<Completion>,
}

/// The completions that counted of one envelope, carried forward. It moves them, and changes no item's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moved {
    /// The chunk's intake.
    pub intake: u64,
    /// Offset of the envelope that they stood in.
    pub from: id::Offset,
    /// The completions.
    pub completed: Completed,
}

/// Part of a shard's state, encoded by `tinbank-ledger`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The fold up to and including this offset is in the checkpoint.
    pub through: id::Offset,
    /// Number of this part, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// Version of the encoding of `state`.
    pub version: u8,
    /// The state.
    pub state: Bytes,
}
