//! The JSON forms of jobs and items.

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
    /// Its id.
    pub id: String,
    /// Always `batch`.
    pub object: &'static str,
    /// Which service runs it.
    pub service: id::Service,
    /// How far it is.
    pub state: JobState,
    /// Its items by state; absent where only the head was looked at.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub counts: Option<Counts>,
    /// When it was taken in.
    pub received: Timestamp,
    /// When it is due.
    pub due: Timestamp,
    /// How long its results stay readable.
    pub keep_until: Timestamp,
}

/// How far a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Items wait or run.
    Running,
    /// It was cancelled, and some shard has not yet said that it stopped.
    Cancelling,
    /// It was cancelled and has stopped.
    Cancelled,
    /// Every item has ended.
    Completed,
}

/// Items of a job by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All.
    pub total: id::Item,
    /// Not yet ended.
    pub pending: id::Item,
    /// With an answer.
    pub answered: id::Item,
    /// Ended as failed.
    pub failed: id::Item,
    /// Stopped by a cancel.
    pub cancelled: id::Item,
}

/// An item.
#[derive(Debug, Serialize)]
pub struct Item {
    /// The caller's name for it.
    pub custom_id: String,
    /// How far it is.
    pub state: ItemState,
    /// How many times it was sent to an upstream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u16>,
    /// The service's answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response: Option<Box<RawValue>>,
    /// Why there is no answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<Error>,
}

/// How far an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// It waits or runs.
    Pending,
    /// It has an answer.
    Answered,
    /// It can't be done.
    Failed,
    /// The job's cancel came before its end.
    Cancelled,
}

/// Why an item failed.
#[derive(Debug, Serialize)]
pub struct Error {
    /// For machines.
    pub code: Code,
    /// Whether it ran.
    pub ran: Ran,
    /// For people.
    pub message: String,
}

impl Job {
    /// A job as its head says.
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
    /// All items of a job that has just been taken in.
    pub fn pending(items: id::Item) -> Self {
        Self {
            total: items,
            pending: items,
            ..Self::default()
        }
    }

    /// Adds up what the shards have counted. Items that no shard has counted yet are pending.
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
    /// The state of a job.
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
    /// An item as its owner says.
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

/// An answer as it came; it was checked to be JSON before it was stored.
fn raw(answer: &Bytes) -> Option<Box<RawValue>> {
    let text = String::from_utf8(answer.to_vec()).ok()?;
    RawValue::from_string(text).ok()
}

/// A time as callers see it; one that has no such form becomes the epoch.
fn timestamp(time: SystemTime) -> Timestamp {
    Timestamp::try_from(time).unwrap_or(Timestamp::UNIX_EPOCH)
}
