//! Errors returned to the caller when a job is not accepted.

use std::time::{Duration, SystemTime};

use tinbank_base::{
    id,
    outcome::{Code, Failure, Ran},
    record::work::Head,
};
use tinbank_log::writer;

/// Delay after which a caller may retry a job that was rejected for lack of capacity.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(2);

pub(super) fn body_interrupted(error: impl std::fmt::Display) -> Failure {
    Failure::not_run(Code::BadRequest, format!("the body broke off: {error}"))
}

/// Error for a chunk that could not be appended. The job cannot run, since no head refers to the chunk.
pub(super) fn chunk_failed(error: &writer::Error) -> Failure {
    Failure::not_run(
        Code::LogUnavailable,
        format!("the job was not stored: {error}"),
    )
    .retry_at(SystemTime::now() + RETRY_AFTER)
}

pub(super) fn head_failed(head: &Head, error: &writer::Error) -> Failure {
    if error.may_stand() {
        return commit_unknown(head, &error.to_string());
    }
    chunk_failed(error)
}

pub(super) fn commit_unknown(head: &Head, reason: &str) -> Failure {
    let id = id::format_wide(head.job);
    let message = format!("it is not known whether job {id} was accepted: {reason}");
    Failure {
        ran: Ran::Unknown,
        ..Failure::not_run(Code::LogUnavailable, message)
    }
    .help("send it again with the same Idempotency-Key, or ask for the job by its id")
    .retry_at(SystemTime::now() + RETRY_AFTER)
}

/// Error for a job that would exceed the customer's limit of pending items.
pub(super) fn limit_reached(limit: u32, pending: u64) -> Failure {
    let message = format!(
        "the customer may have {limit} pending items, of which {pending} are taken; the job has more than the rest"
    );
    Failure::not_run(Code::LimitReached, message)
        .help("send a smaller job, or come back when earlier jobs have ended")
        .retry_at(SystemTime::now() + RETRY_AFTER)
}
