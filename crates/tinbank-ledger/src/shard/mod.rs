//! State of one work shard, folded from its records in offset order. Uses no I/O and no clock.
//!
//! Deterministic: two processes that have folded the same records hold equal states. See `docs/design/ledger.md` for
//! which of two conflicting records takes effect.

mod check;
mod dedupe_serde;
mod expiry;
mod fold;
mod items;
mod jobs;
mod query;
mod time;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tinbank_base::{id, record::claim::Claim};
use tinbank_log::fold::Dedupe;

use crate::{
    claim::Claims,
    job::{Job, Work},
    lease::Lease,
};

use time::Time;

pub use query::{Carry, Item, Ready, Sending};

/// State of a shard after all records before offset [`Shard::next`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    shard: id::Shard,
    shards: u16,
    next: id::Offset,
    time: Time,
    /// Log time of the last search for expired state.
    last_expiry: u64,
    checkpoint: Option<Checkpointed>,
    collecting: Option<Collecting>,
    #[serde(with = "dedupe_serde")]
    dedupe: Dedupe,
    lease: Lease,
    jobs: BTreeMap<id::Job, Job>,
    works: BTreeMap<id::Job, Work>,
    claims: Claims,
    dispatches: BTreeMap<Key, Dispatch>,
    live_jobs: BTreeSet<id::Job>,
    live_works: BTreeSet<id::Job>,
    ready: BTreeMap<id::Customer, BTreeSet<Due>>,
    skipped: u64,
}

/// Identifies an item of any job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    pub job: id::Job,
    /// Item number in the job.
    pub item: id::Item,
}

/// Dispatch of an item that must not be sent twice, until the item ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Chunk of the item.
    pub chunk: id::Chunk,
    /// Term of the owner that may send it.
    pub epoch: id::Epoch,
}

/// The newest complete checkpoint in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpointed {
    /// Last offset that the checkpoint covers.
    pub through: id::Offset,
    /// Offset of its first part.
    pub offset: id::Offset,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Collecting {
    writer: tinbank_base::record::Writer,
    through: id::Offset,
    parts: u32,
    /// Number of the next expected part.
    next: u32,
    offset: id::Offset,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Due {
    micros: u64,
    job: id::Job,
}

impl Shard {
    /// Creates the state before the first record of a stream. `shards` is the number of shards of the deployment.
    pub fn new(shard: id::Shard, shards: u16) -> Self {
        Self {
            shard,
            shards,
            ..Self::default()
        }
    }

    /// Creates an empty state that starts at offset `first`, the oldest remaining record of the stream.
    ///
    /// For a stream whose older records were deleted without a checkpoint, since no process ran during the whole
    /// retention period.
    pub fn starting_at(shard: id::Shard, shards: u16, first: id::Offset) -> Self {
        Self {
            next: first,
            ..Self::new(shard, shards)
        }
    }

    /// Number of this shard.
    pub fn number(&self) -> id::Shard {
        self.shard
    }

    /// Number of shards of the deployment.
    pub fn shards(&self) -> u16 {
        self.shards
    }

    /// Offset of the next record to fold.
    pub fn next(&self) -> id::Offset {
        self.next
    }

    /// Log time in microseconds since 1970, equal for all readers. Can't be advanced by the clock of a single process
    /// once two have written.
    pub fn time(&self) -> u64 {
        self.time.micros()
    }

    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the state of a claim, or `None` if the key is free.
    pub fn claim_status(&self, claim: &Claim) -> Option<tinbank_base::frame::request::Claimed> {
        self.claims.status(claim)
    }

    /// Number of envelopes that could not be decoded.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns whether the shard has unfinished jobs, items or claims, which need an owner.
    pub fn live(&self) -> bool {
        !self.live_jobs.is_empty()
            || !self.live_works.is_empty()
            || !self.dispatches.is_empty()
            || self.claims.live()
    }

    /// Newest complete checkpoint in the stream.
    pub fn checkpoint(&self) -> Option<Checkpointed> {
        self.checkpoint
    }
}
