//! The fold of one work shard: all that its records mean, in offset order. No I/O and no clock.
//!
//! Two processes that have folded the same records hold equal states, whatever they are and
//! whenever they read. See `docs/design/ledger.md` for which record counts when two say different things.

mod check;
mod fold;
mod forget;
mod items;
mod jobs;
mod query;
mod remembered;
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

/// State of a shard after all records before [`Shard::next`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    shard: id::Shard,
    shards: u16,
    next: id::Offset,
    time: Time,
    /// Log time when the fold last looked for what to forget.
    forgotten: u64,
    checkpoint: Option<Checkpointed>,
    collecting: Option<Collecting>,
    #[serde(with = "remembered")]
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

/// An item of any job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// Which job.
    pub job: id::Job,
    /// Which item of it.
    pub item: id::Item,
}

/// An item that may have been sent and may not be sent again, and has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The item's chunk.
    pub chunk: id::Chunk,
    /// The term of the owner that alone may send it.
    pub epoch: id::Epoch,
}

/// The newest complete checkpoint in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpointed {
    /// The state up to and including this offset is in it.
    pub through: id::Offset,
    /// Where its first part stands.
    pub offset: id::Offset,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Collecting {
    writer: tinbank_base::record::Writer,
    through: id::Offset,
    parts: u32,
    /// The part that is to come next.
    next: u32,
    offset: id::Offset,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Due {
    micros: u64,
    job: id::Job,
}

impl Shard {
    /// The state before the first record of a stream. `shards` is the number of shards of the deployment.
    pub fn new(shard: id::Shard, shards: u16) -> Self {
        Self {
            shard,
            shards,
            ..Self::default()
        }
    }

    /// The state before the first record that is left of a stream whose older records are gone without any
    /// checkpoint, which only happens when no process lived to write one for the whole retention.
    pub fn starting_at(shard: id::Shard, shards: u16, first: id::Offset) -> Self {
        Self {
            next: first,
            ..Self::new(shard, shards)
        }
    }

    /// Number of the shard.
    pub fn number(&self) -> id::Shard {
        self.shard
    }

    /// How many shards there are.
    pub fn shards(&self) -> u16 {
        self.shards
    }

    /// Offset of the next record to fold.
    pub fn next(&self) -> id::Offset {
        self.next
    }

    /// Log time in microseconds since 1970: equal for all readers, and no later than two processes say it is.
    pub fn time(&self) -> u64 {
        self.time.micros()
    }

    /// The lease.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// The claims of online requests.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// What the log says of a claim; `None`: the key is free.
    pub fn claim_status(&self, claim: &Claim) -> Option<tinbank_base::frame::request::Claimed> {
        self.claims.status(claim)
    }

    /// How many records could not be decoded.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Whether anything here waits for an owner: items, parts, claims.
    pub fn live(&self) -> bool {
        !self.live_jobs.is_empty()
            || !self.live_works.is_empty()
            || !self.dispatches.is_empty()
            || self.claims.live()
    }

    /// The newest complete checkpoint.
    pub fn checkpoint(&self) -> Option<Checkpointed> {
        self.checkpoint
    }
}
