//! Messages to the control task.

use tinbank_base::{
    frame::request::{Count, Request, Response},
    id,
    platform::log,
    record::{claim, work},
};
use tinbank_ledger::{chunk::Chunk, duty::Duty};
use tinbank_log::{reader, writer};
use tokio::sync::oneshot;

use crate::runner::task::{Key, Report};

/// A question to the control task. The answer may take until a record is read back.
#[derive(Debug)]
pub enum Ask {
    /// A request of a peer or of our own HTTP interface, other than for results.
    Request {
        /// What is asked.
        request: Request,
        /// Gets the one answer.
        reply: oneshot::Sender<Response>,
    },
    /// Where the results of some chunks stand.
    Results {
        /// Which job.
        job: id::Job,
        /// Which shard.
        shard: id::Shard,
        /// First chunk wanted.
        from: id::Chunk,
        /// The fold has to have come so far.
        past: id::Offset,
        /// Gets the answer; `None` when the shard is not followed here.
        reply: oneshot::Sender<Option<Plan>>,
    },
}

/// A question for results that waits until the fold has come so far.
#[derive(Debug)]
pub(super) struct PlanWait {
    pub(super) past: id::Offset,
    pub(super) job: id::Job,
    pub(super) from: id::Chunk,
    pub(super) reply: oneshot::Sender<Option<Plan>>,
}

/// Where the results of some chunks of a job stand in a shard.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The chunks, by number.
    pub chunks: Vec<Chunk>,
    /// Counts of the job in the shard.
    pub count: Count,
}

#[derive(Debug)]
pub(super) enum Input {
    /// Something was read from a followed shard.
    Read {
        shard: id::Shard,
        /// Which following it belongs to: a shard may be left and followed again.
        following: u64,
        event: Box<reader::Event<work::Record>>,
    },
    /// An append has ended.
    Appended {
        shard: id::Shard,
        what: What,
        result: Result<id::Offset, writer::Error>,
    },
    /// A chunk was loaded, or not.
    Loaded {
        shard: id::Shard,
        epoch: id::Epoch,
        job: id::Job,
        chunk: id::Chunk,
        result: Result<Vec<work::Item>, String>,
    },
    /// What retention would have taken was carried forward, or not.
    Kept {
        shard: id::Shard,
        /// Offset of the last record that was appended.
        last: Option<id::Offset>,
    },
    /// The tail of a shard is known, for an answer that has to be as new as that.
    Tail {
        shard: id::Shard,
        result: Result<id::Offset, log::Error>,
        wait: Box<Wait>,
    },
    /// The runner has something to say.
    Report(Report),
    /// Someone asks.
    Ask(Ask),
    /// Stop in an orderly way; told when nothing is left.
    Stop(oneshot::Sender<()>),
}

/// What an append was for.
#[derive(Debug)]
pub(super) enum What {
    Lease,
    Duties(Vec<Duty>),
    Outbox(Vec<work::Completed>),
    Dispatch(Vec<Key>),
    /// Someone waits for its readback.
    Wait(Box<Wait>),
    /// Nobody waits: it is repeated until the fold shows it.
    Repeated,
}

/// An answer that waits until the fold has come so far.
#[derive(Debug)]
pub(super) struct Wait {
    pub(super) then: Then,
    pub(super) reply: oneshot::Sender<Response>,
}

/// What is answered when the fold has come far enough.
#[derive(Debug)]
pub(super) enum Then {
    Job(id::Job),
    Committed(id::Job),
    Cancelled(id::Job),
    Claimed(claim::Claim),
    Settled(claim::Settled),
}
