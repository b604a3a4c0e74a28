//! Decides whether a failed attempt is retried. Pure. See `docs/design/items.md`.

use std::time::Duration;

use tinbank_base::{
    outcome::{Code, Ran},
    platform::upstream::{Error, Kind},
    record::work::Outcome,
};

/// Backoff after the first attempt; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// The failures of an item and its retry limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureHistory {
    /// Whether the item may run more than once.
    pub repeatable: bool,
    /// Number of failed attempts that may have run, including the last one.
    pub failures: u16,
    /// Maximum number of failed attempts.
    pub limit: u16,
    /// Whether the item has lost so many upstreams that it must fail.
    pub exceeds_loss_limit: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Retry,
    /// The item ends with this failure.
    Fail(Outcome),
}

/// Decides whether to retry after a failed attempt.
///
/// A rejected request fails at once. Any other attempt that certainly did not run is retried without limit, since the item
/// is not at fault. One that may have run is retried only if the item is repeatable and within its limits.
pub fn decide(error: &Error, history: FailureHistory) -> Verdict {
    if let Kind::Rejected { .. } = error.kind {
        return fail(Code::UpstreamRejected, error);
    }
    if error.ran == Ran::No {
        return Verdict::Retry;
    }
    if !history.repeatable {
        let code = match error.ran {
            Ran::Yes => Code::UpstreamFailed,
            _ => Code::OutcomeUnknown,
        };
        return fail(code, error);
    }
    if history.failures >= history.limit || history.exceeds_loss_limit {
        return fail(Code::UpstreamFailed, error);
    }
    Verdict::Retry
}

/// Returns whether the upstream was lost during the attempt, which makes the item a suspect.
pub fn is_upstream_loss(error: &Error) -> bool {
    matches!(error.kind, Kind::Cut(_))
}

/// Returns the delay before the next attempt, after `retries` retries.
pub fn backoff(retries: u32) -> Duration {
    let doubled = FIRST_BACKOFF * 2_u32.pow(retries.saturating_sub(1).min(16));
    doubled.min(MAX_BACKOFF)
}

fn fail(code: Code, error: &Error) -> Verdict {
    Verdict::Fail(Outcome::Failed {
        code,
        ran: error.ran,
        message: error.to_string(),
    })
}
