//! Effects of applying a record.

use crate::record::{Index, JobId, RunId, TakeoverId};

/// The effect of a record on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A submission was decided.
    Submitted {
        /// The submit call.
        call: u64,
        /// The job.
        job: JobId,
        /// Whether the job was accepted.
        verdict: Verdict,
    },
    /// The result of an item was recorded.
    Finished {
        /// The job.
        job: JobId,
        /// The item.
        index: Index,
    },
    /// A piece was appended to an item's text.
    Checkpointed {
        /// The job.
        job: JobId,
        /// The item.
        index: Index,
        /// The run that produced the piece.
        run: RunId,
    },
    /// A run of an item is the one whose pieces continue its text from now on.
    RunStarted {
        /// The job.
        job: JobId,
        /// The item.
        index: Index,
        /// The run.
        run: RunId,
    },
    /// A run does not continue the item's text, so its output is discarded.
    Conflict {
        /// The job.
        job: JobId,
        /// The item.
        index: Index,
        /// The run.
        run: RunId,
    },
    /// A failed run of an item was counted.
    Failed {
        /// The job.
        job: JobId,
        /// The item.
        index: Index,
    },
    /// A job was cancelled.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// A host has taken partitions over.
    TakenOver {
        /// The takeover.
        id: TakeoverId,
    },
    /// The record was late, a duplicate, or for an unknown job, and had no effect.
    Dropped,
}

/// The decision on a submission, which depends only on the records before it and so is the same at every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job is accepted.
    Accepted,
    /// A job of this name was accepted before.
    Known,
    /// The job exceeds the quota and will never run.
    OverQuota {
        /// Tokens that the customer has waiting on the route.
        waiting: u64,
    },
    /// The call began before another submission of the job was refused, or too long ago to tell, so the record may be a late copy of
    /// one that its caller knows to be refused. The job will not run by this record, but a new call may submit it.
    Outdated,
}
