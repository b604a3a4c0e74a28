//! What a record changed, so that the driver can act and answer those who wait.

use smallvec::SmallVec;
use tinbank_base::{id, record::claim};

use crate::lease;

/// One change. Records that did not count give none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The lease has a new holder, or none.
    Lease(lease::Change),
    /// A head counts: the job is accepted.
    Committed(id::Job),
    /// A job's chunks in this shard may run.
    Released(id::Job),
    /// A job was cancelled, as seen here: its items in flight have to be cancelled at the upstream.
    Cancelled(id::Job),
    /// Items have ended by completions that count.
    Completed {
        /// Which job.
        job: id::Job,
        /// Which chunk.
        chunk: id::Chunk,
        /// The items.
        items: SmallVec<[id::Item; 8]>,
    },
    /// Items have a dispatch record that counts: its writer may send them, once.
    Dispatched {
        /// Which job.
        job: id::Job,
        /// The items.
        items: SmallVec<[id::Item; 8]>,
    },
    /// All of a job's items in this shard have ended.
    Finished(id::Job),
    /// A shard's part of a job was noted in the shard of its head.
    Part {
        /// Which job.
        job: id::Job,
        /// Which shard has finished.
        shard: id::Shard,
    },
    /// All shards have finished their part of a job; in the shard of its head.
    Ended(id::Job),
    /// A claim is the first for its key.
    Claimed(claim::Key),
    /// A claim was settled.
    Settled(claim::Key),
    /// A chunk was carried forward.
    Carried {
        /// Which job.
        job: id::Job,
        /// Which chunk.
        chunk: id::Chunk,
    },
}

/// The changes of one envelope.
pub type Changes = SmallVec<[Change; 2]>;
