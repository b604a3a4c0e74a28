//! An item assigned to the runner, from when its chunk is loaded until its end is reported to the owner.

use std::{sync::Arc, time::SystemTime};

use bytes::Bytes;
use tinbank_base::{id, record::work::Completion};
use tinbank_configuration::service::Service;
use tinbank_ledger::suspect::Policy;
use tokio::sync::{oneshot, watch};

/// Identifies an item and the term of its shard's lease under which it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// Shard of the item's chunk.
    pub shard: id::Shard,
    /// Term of the shard's lease.
    pub epoch: id::Epoch,
    /// Job of the item.
    pub job: id::Job,
    /// Chunk of the item.
    pub chunk: id::Chunk,
    /// Number of the item.
    pub item: id::Item,
}

/// The unit of fair sharing: one customer's work for one service, since each service has its own pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flow {
    /// Customer that owns the work.
    pub customer: id::Customer,
    /// Service that runs the work.
    pub service: id::Service,
}

/// The part of a streamed answer received so far. Kept over attempts, so that a retry can resume.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartialAnswer {
    /// Text of the received tokens.
    pub text: String,
    /// Number of received tokens.
    pub tokens: u32,
}

/// An item assigned to the runner.
#[derive(Clone, Debug)]
pub struct Task {
    /// The item and its lease term.
    pub key: Key,
    /// The flow whose share the item uses.
    pub flow: Flow,
    /// The customer's weight in fair sharing.
    pub weight: u32,
    /// Maximum items of the customer in flight in this process; `None` if unlimited.
    pub concurrency_limit: Option<u32>,
    /// The service that runs the item.
    pub service: Arc<Service>,
    /// Due time of the job.
    pub due: SystemTime,
    /// Request body sent to the upstream.
    pub body: Bytes,
    /// Hash of the prompt's prefix, by [`tinbank_routing::prefix::of_body`].
    pub prefix: u64,
    /// Whether the item may run more than once.
    pub repeatable: bool,
    /// Number of attempts that may have run.
    pub attempts: u16,
    /// Number of attempts that failed. Withdrawal in favour of online requests does not count.
    pub failures: u16,
    /// Number of failures in which the upstream was lost.
    pub losses: u16,
    /// Number of retries so far, including tries that did not run.
    pub retries: u32,
    /// Request ID of the latest attempt.
    pub request: Option<id::Request>,
    /// Answer received so far.
    pub partial_answer: PartialAnswer,
    /// Whether the item is still to be run by this process.
    pub run_mode: watch::Receiver<RunMode>,
}

/// Whether this process still runs the items of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunMode {
    /// Run all items.
    #[default]
    Run,
    /// Finish items already sent; return the others.
    Drain,
    /// Stop all items: the job was cancelled or the lease was lost.
    Abort,
}

impl Task {
    /// Returns whether the item must no longer be sent.
    pub fn is_stopped(&self) -> bool {
        *self.run_mode.borrow() != RunMode::Run
    }

    /// Returns whether the item is suspected of crashing upstreams. A suspect is only sent to an upstream that runs no other
    /// item of this process.
    pub fn is_suspect(&self) -> bool {
        self.losses >= Policy::default().alone_after
    }

    /// Returns whether the item has lost so many upstreams that it must fail.
    pub fn exceeds_loss_limit(&self) -> bool {
        self.losses >= Policy::default().give_up_after
    }
}

/// Messages from the runner to the owner. Each task ends with exactly one `Ended` or `Returned`.
#[derive(Debug)]
pub enum Report {
    /// A non-repeatable item is about to be sent and has to be dispatched in the log first.
    Dispatch {
        /// The item.
        key: Key,
        /// Receives the decision whether the item may be sent.
        reply: oneshot::Sender<Permit>,
    },
    /// The item has ended.
    Ended {
        /// The item.
        key: Key,
        /// The outcome.
        completion: Completion,
    },
    /// The runner stopped working on the item without an outcome.
    Returned {
        /// The item.
        key: Key,
    },
}

/// Whether a non-repeatable item may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The item's dispatch was read back and is the first.
    Send,
    /// The dispatch was not appended; it may be retried later.
    Later,
    /// Another dispatch comes first, or the lease was lost: the item must not be sent.
    Never,
}
