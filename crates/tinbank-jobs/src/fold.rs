//! What a record changes.

use crate::record::{Index, JobId, RunId};

/// What a record did to the table, for those who wait for it and for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A submit call had its verdict.
    Submitted {
        /// The submit call.
        call: u64,
        /// Its job.
        job: JobId,
        /// Whether the job is the system's to keep.
        verdict: Verdict,
    },
    /// An item has its result.
    Finished {
        /// The job.
        job: JobId,
        /// The item.
        index: Index,
    },
    /// An item's text has grown.
    Advanced {
        /// The job.
        job: JobId,
        /// The item.
        index: Index,
        /// The run that the text is from now on.
        run: RunId,
    },
    /// A run does not go on where the item's text stands; what it has is of no use.
    Refused {
        /// The job.
        job: JobId,
        /// The item.
        index: Index,
        /// The run.
        run: RunId,
    },
    /// One more run of an item has failed.
    Failed {
        /// The job.
        job: JobId,
        /// The item.
        index: Index,
    },
    /// A job was ended.
    Ended {
        /// The job.
        job: JobId,
    },
    /// The record came too late, a second time, or for a job that is not known.
    Dropped,
}

/// What became of a submission at its place in the log. It is the same at every host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is accepted.
    Accepted,
    /// A job of this name was accepted before.
    Known,
    /// It does not fit the quota, and will never run.
    OverQuota {
        /// Tokens of its customer that waited on the route.
        waiting: u64,
    },
}
