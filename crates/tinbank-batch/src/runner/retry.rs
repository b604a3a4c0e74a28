//! What to do after an attempt that gave no whole answer. Pure. See `docs/design/items.md`.

use std::time::Duration;

use tinbank_base::{
    outcome::{Code, Ran},
    platform::upstream::{Error, Kind},
    record::work::Outcome,
};

/// Wait after the first attempt; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest wait between two attempts.
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);

/// What is known of an item that is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Past {
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How many of its attempts failed and may have run, the last one included.
    pub failures: u16,
    /// How many times it may be sent at most.
    pub limit: u16,
    /// Whether it took so many upstreams down that it is given up.
    pub hopeless: bool,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try again.
    Again,
    /// It ends as failed.
    End(Outcome),
}

/// Decides after a failed attempt.
///
/// What provably did not run is tried again without being counted, for the item has done nothing wrong; whatever
/// may have run is only tried again if the caller allowed it.
pub fn decide(error: &Error, past: Past) -> Verdict {
    if let Kind::Rejected { .. } = error.kind {
        return end(Code::UpstreamRejected, error);
    }
    if error.ran == Ran::No {
        return Verdict::Again;
    }
    if !past.repeatable {
        let code = match error.ran {
            Ran::Yes => Code::UpstreamFailed,
            _ => Code::OutcomeUnknown,
        };
        return end(code, error);
    }
    if past.failures >= past.limit || past.hopeless {
        return end(Code::UpstreamFailed, error);
    }
    Verdict::Again
}

/// Whether the attempt ended with the upstream itself, which makes the item suspect.
pub fn lost(error: &Error) -> bool {
    matches!(error.kind, Kind::Cut(_))
}

/// How long to wait before the next attempt, after `tries` in a row.
pub fn backoff(tries: u32) -> Duration {
    let doubled = FIRST_BACKOFF * 2_u32.pow(tries.saturating_sub(1).min(16));
    doubled.min(LONGEST_BACKOFF)
}

fn end(code: Code, error: &Error) -> Verdict {
    Verdict::End(Outcome::Failed {
        code,
        ran: error.ran,
        message: error.to_string(),
    })
}
