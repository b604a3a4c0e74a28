//! How long an engine may stall before a repeatable request is retried elsewhere.
//!
//! An engine that hangs keeps its connection open, so only a timeout detects it. See `docs/design/online.md`.

use std::time::{Duration, Instant};

/// Timeout between two tokens.
pub(super) const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum timeout of the first token, which includes the time in the engine's queue.
pub(super) const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout of the first token is the time left divided by this, which leaves time for another engine.
const FIRST_TOKEN_DIVISOR: u32 = 3;

/// The stall timeout of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StallTimeout {
    /// The request may not be repeated, so it waits until its deadline.
    Deadline,
    /// No token has arrived; the first one is due by this time.
    FirstToken(Instant),
    /// Tokens are arriving.
    Streaming,
}

impl StallTimeout {
    pub(super) fn new(repeatable: bool, deadline: Instant, now: Instant) -> Self {
        if !repeatable {
            return Self::Deadline;
        }
        let left = deadline.saturating_duration_since(now);
        Self::FirstToken(now + (left / FIRST_TOKEN_DIVISOR).max(MIN_FIRST_TOKEN_TIMEOUT))
    }

    /// Returns the time by which the next part has to arrive.
    pub(super) fn next_part_deadline(self, deadline: Instant, now: Instant) -> Instant {
        match self {
            Self::Deadline => deadline,
            Self::FirstToken(until) => until.min(deadline),
            Self::Streaming => deadline.min(now + TOKEN_TIMEOUT),
        }
    }

    /// Records that a part arrived.
    pub(super) fn on_part(&mut self) {
        if matches!(self, Self::FirstToken(_)) {
            *self = Self::Streaming;
        }
    }
}
