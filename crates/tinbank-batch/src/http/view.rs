//! JSON representation of jobs and items.

use std::time::SystemTime;

use bytes::Bytes;
use jiff::Timestamp;
use serde::Serialize;
use serde_json::value::RawValue;
use tinbank_base::{
    frame::request::{Count, Outcome, Status},
    id,
    outcome::{Code, Ran},
    record::work::{self, Head},
};

/// A job.
#[derive(Debug, Serialize)]
pub struct Job {
    /// Job ID.
    pub id: String,
    /// Always `batch`.
    pub object: &'static str,
    /// Service that runs the items.
    pub service: id::Service,
    /// State of the job.
    pub state: JobState,
    /// Number of items by state; absent if only the head was read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub counts: Option<Counts>,
    /// When the job was received.
    pub received: Timestamp,
    /// When the job is due.
    pub due: Timestamp,
    /// Time until which the results stay readable.
    pub keep_until: Timestamp,
}

/// State of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Some items are waiting or running.
    Running,
    /// The job was cancelled, but not all shards have stopped it.
    Cancelling,
    /// The job was cancelled and has stopped.
    Cancelled,
    /// Every item has ended.
    Completed,
}

/// Number of items of a job by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All items.
    pub total: id::Item,
    /// Items that have not ended.
    pub pending: id::Item,
    /// Items that ended with an answer.
    pub answered: id::Item,
    /// Items that failed.
    pub failed: id::Item,
    /// Items stopped by a cancel.
    pub cancelled: id::Item,
}

/// An item.
#[derive(Debug, Serialize)]
pub struct Item {
    /// The caller's ID of the item.
    pub custom_id: String,
    /// State of the item.
    pub state: ItemState,
    /// Number of attempts at upstreams.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u16>,
    /// The service's answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response: Option<Box<RawValue>>,
    /// Reason for the failure.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<Error>,
}

/// State of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// The item is waiting or running.
    Pending,
    /// The item has an answer.
    Answered,
    /// The item failed.
    Failed,
    /// The job was cancelled before the item ended.
    Cancelled,
}

/// Why an item failed.
#[derive(Debug, Serialize)]
pub struct Error {
    /// Machine-readable error code.
    pub code: Code,
    /// Whether the item ran.
    pub ran: Ran,
    /// Human-readable message.
    pub message: String,
}

impl Job {
    /// Creates the representation from a job's head.
    pub fn of(head: &Head, state: JobState, counts: Option<Counts>) -> Self {
        Self {
            id: id::format_wide(head.job),
            object: "batch",
            service: head.service.clone(),
            state,
            counts,
            received: timestamp(head.received),
            due: timestamp(head.due),
            keep_until: timestamp(head.keep_until),
        }
    }
}

impl Counts {
    /// Returns the counts of a newly accepted job, all of whose items are pending.
    pub fn pending(items: id::Item) -> Self {
        Self {
            total: items,
            pending: items,
            ..Self::default()
        }
    }

    /// Sums the counts of shards. Items that no shard has counted yet are pending.
    pub fn sum(items: id::Item, counts: impl IntoIterator<Item = Count>) -> Self {
        let mut sum = Self {
            total: items,
            ..Self::default()
        };
        for count in counts {
            sum.answered += count.answered;
            sum.failed += count.failed;
            sum.cancelled += count.cancelled;
        }
        let ended = sum.answered + sum.failed + sum.cancelled;
        sum.pending = items.saturating_sub(ended);
        sum
    }
}

impl JobState {
    /// Returns the state of a job.
    pub fn of(status: &Status) -> Self {
        let ended = status.parts.len() >= status.head.shards.len();
        match (status.cancelled, ended) {
            (true, true) => Self::Cancelled,
            (true, false) => Self::Cancelling,
            (false, true) => Self::Completed,
            (false, false) => Self::Running,
        }
    }
}

impl Item {
    /// Creates the representation from the outcome reported by the shard's owner.
    pub fn of(outcome: Outcome, job_cancelled: bool) -> Self {
        let custom_id = outcome.custom_id;
        let Some(completion) = outcome.completion else {
            let state = match job_cancelled {
                true => ItemState::Cancelled,
                false => ItemState::Pending,
            };
            return Self {
                custom_id,
                state,
                attempts: None,
                response: None,
                error: None,
            };
        };
        let attempts = Some(completion.attempts);
        match completion.outcome {
            work::Outcome::Answer(answer) => Self {
                custom_id,
                state: ItemState::Answered,
                attempts,
                response: raw(&answer),
                error: None,
            },
            work::Outcome::Failed { code, ran, message } => Self {
                custom_id,
                state: ItemState::Failed,
                attempts,
                response: None,
                error: Some(Error { code, ran, message }),
            },
        }
    }
}

/// Returns an answer as raw JSON; it was validated before it was stored.
fn raw(answer: &Bytes) -> Option<Box<RawValue>> {
    let text = String::from_utf8(answer.to_vec()).ok()?;
    RawValue::from_string(text).ok()
}

/// Converts a time for callers; a time that cannot be represented becomes the Unix epoch.
fn timestamp(time: SystemTime) -> Timestamp {
    Timestamp::try_from(time).unwrap_or(Timestamp::UNIX_EPOCH)
}
