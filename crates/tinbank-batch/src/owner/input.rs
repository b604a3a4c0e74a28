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

/// A request to the control task. The reply may take until a record is read back.
#[derive(Debug)]
pub enum OwnerRequest {
    /// A request from a peer or this process's HTTP interface, other than for results.
    Request {
        /// The request.
        request: Request,
        /// Receives the reply.
        reply: oneshot::Sender<Response>,
    },
    /// Locates the results of some chunks.
    Results {
        /// Job of the results.
        job: id::Job,
        /// Shard of the results.
        shard: id::Shard,
        /// First requested chunk.
        from: id::Chunk,
        /// Offset that the fold has to reach before the reply.
        past: id::Offset,
        /// Receives the plan. The sender is dropped if the shard is not followed by this process.
        reply: oneshot::Sender<Option<ResultPlan>>,
    },
}

/// A request for results that waits until the fold reaches offset `past`.
#[derive(Debug)]
pub(super) struct PendingPlan {
    pub(super) past: id::Offset,
    pub(super) job: id::Job,
    pub(super) from: id::Chunk,
    pub(super) reply: oneshot::Sender<Option<ResultPlan>>,
}

/// Locations of the results of some chunks of a job in a shard.
#[derive(Clone, Debug, Default)]
pub struct ResultPlan {
    /// The chunks in ascending order.
    pub chunks: Vec<Chunk>,
    /// Counts of the job in the shard.
    pub count: Count,
}

#[derive(Debug)]
pub(super) enum Input {
    /// An event of a followed shard's reader.
    Read {
        shard: id::Shard,
        /// Generation of the reader; events of an earlier one are ignored.
        generation: u64,
        event: Box<reader::Event<work::Record>>,
    },
    /// An append has ended.
    Appended {
        shard: id::Shard,
        purpose: AppendPurpose,
        result: Result<id::Offset, writer::Error>,
    },
    /// Loading of a chunk has succeeded or failed.
    Loaded {
        shard: id::Shard,
        epoch: id::Epoch,
        job: id::Job,
        chunk: id::Chunk,
        result: Result<Vec<work::Item>, String>,
    },
    /// Carrying old records forward has succeeded or failed.
    Carried {
        shard: id::Shard,
        /// Offset of the last appended record; `None` on failure.
        last: Option<id::Offset>,
    },
    /// The tail of a shard was read, for a reply that needs the fold to reach it.
    Tail {
        shard: id::Shard,
        result: Result<id::Offset, log::Error>,
        pending: Box<PendingReply>,
    },
    /// A report from the runner.
    Report(Report),
    /// A request from a peer or this process's HTTP interface.
    OwnerRequest(OwnerRequest),
    /// Stop gracefully; the sender is notified when nothing is left.
    Stop(oneshot::Sender<()>),
}

/// The purpose of an append.
#[derive(Debug)]
pub(super) enum AppendPurpose {
    Lease,
    Duties(Vec<Duty>),
    Outbox(Vec<work::Completed>),
    Dispatch(Vec<Key>),
    /// A requester waits until the record is read back.
    PendingReply(Box<PendingReply>),
    /// No requester waits: the append is repeated until the fold shows its effect.
    Repeated,
}

/// A reply that waits until the fold reaches an offset.
#[derive(Debug)]
pub(super) struct PendingReply {
    pub(super) kind: ReplyKind,
    pub(super) reply: oneshot::Sender<Response>,
}

/// The content of a reply, read from the fold when it is sent.
#[derive(Debug)]
pub(super) enum ReplyKind {
    Job(id::Job),
    Committed(id::Job),
    Cancelled(id::Job),
    Claimed(claim::Claim),
    Settled(claim::Settled),
}
