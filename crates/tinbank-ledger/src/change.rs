//! State changes made by folded records. The driver acts on them and answers waiting requests.

use smallvec::SmallVec;
use tinbank_base::{id, record::claim};

use crate::lease;

/// A change to the state of a shard. Ignored records produce none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The lease has a new holder, or none.
    Lease(lease::Change),
    /// A job was accepted by its first head record.
    Committed(id::Job),
    /// A job's chunks in this shard were released to run.
    Released(id::Job),
    /// A job was cancelled. Its items in flight must be cancelled at the upstream.
    Cancelled(id::Job),
    /// Items ended with their first completion.
    Completed {
        job: id::Job,
        /// Chunk number in the job.
        chunk: id::Chunk,
        /// Item numbers in the job.
        items: SmallVec<[id::Item; 8]>,
    },
    /// A dispatch record was accepted: its writer may send the items once.
    Dispatched {
        job: id::Job,
        /// Item numbers in the job.
        items: SmallVec<[id::Item; 8]>,
    },
    /// All of a job's items in this shard have ended.
    Finished(id::Job),
    /// A shard reported its part of a job as finished to the shard of the job's head.
    Part {
        job: id::Job,
        /// Shard that finished.
        shard: id::Shard,
    },
    /// All shards finished their part of a job. Emitted in the shard of the job's head.
    Ended(id::Job),
    /// A claim was accepted as the first for its key.
    Claimed(claim::Key),
    /// A claim was settled.
    Settled(claim::Key),
    /// A chunk was carried forward to a newer record.
    Carried {
        job: id::Job,
        /// Chunk number in the job.
        chunk: id::Chunk,
    },
}

/// Changes made by one envelope.
pub type Changes = SmallVec<[Change; 2]>;
