//! How long an engine may stand still before a repeatable request goes on elsewhere. Pure.
//!
//! An engine that hangs keeps its connection open, so that only silence tells. See `docs/design/online.md`.

use std::time::{Duration, Instant};

/// Longest silence between two tokens; an engine under load makes one in some ten milliseconds.
pub(super) const BETWEEN_TOKENS: Duration = Duration::from_secs(2);
/// Shortest wait for the first token, which includes the engine's queue.
pub(super) const FIRST_TOKEN: Duration = Duration::from_secs(2);
/// The first token may take this part of the time that is left, so that there is time for another engine.
const FIRST_TOKEN_PART: u32 = 3;

/// Patience with one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Patience {
    /// The request may not be repeated: there is nothing better than to wait.
    Deadline,
    /// Nothing was heard yet; it may take until then.
    First(Instant),
    /// It makes tokens.
    Streaming,
}

impl Patience {
    pub(super) fn new(repeatable: bool, deadline: Instant, now: Instant) -> Self {
        if !repeatable {
            return Self::Deadline;
        }
        let left = deadline.saturating_duration_since(now);
        Self::First(now + (left / FIRST_TOKEN_PART).max(FIRST_TOKEN))
    }

    /// When the next part has to be there.
    pub(super) fn until(self, deadline: Instant, now: Instant) -> Instant {
        match self {
            Self::Deadline => deadline,
            Self::First(until) => until.min(deadline),
            Self::Streaming => deadline.min(now + BETWEEN_TOKENS),
        }
    }

    /// A part came.
    pub(super) fn heard(&mut self) {
        if matches!(self, Self::First(_)) {
            *self = Self::Streaming;
        }
    }
}
