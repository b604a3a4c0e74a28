//! Ejects an upstream that keeps failing, and lets it back by a single probe.
//!
//! See `docs/design/routing.md`.

use std::time::{Duration, Instant};

use tinbank_base::platform::upstream::Kind;

/// Failures in a row after which an upstream is ejected.
pub const FAILURES: u32 = 3;
/// Time of the first ejection; each further one in a row doubles it.
pub const FIRST: Duration = Duration::from_millis(500);
/// Longest ejection.
pub const LONGEST: Duration = Duration::from_secs(15);

/// What a result says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// It works.
    Good,
    /// It may be broken.
    Bad,
    /// It can't be reached at all.
    Down,
    /// Nothing: it refused for a reason of its own or of the caller's.
    Neutral,
}

impl Sign {
    /// Reads a failed call.
    pub fn of(kind: &Kind) -> Self {
        match kind {
            Kind::Connect(_) => Self::Down,
            Kind::Cut(_) | Kind::Crossed(_) | Kind::Failed { .. } => Self::Bad,
            // The deadline is the caller's: a short one says nothing of the upstream.
            Kind::Timeout | Kind::Leaving | Kind::Full => Self::Neutral,
            Kind::Rejected { .. } => Self::Good,
        }
    }
}

/// What changed by a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// It gets no work until the time given.
    Ejected(Instant),
    /// It gets work again.
    Returned,
}

/// Health of one upstream as seen by this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Takes in the result of one call.
    pub fn note(&mut self, sign: Sign, now: Instant) -> Change {
        match sign {
            Sign::Neutral => Change::None,
            Sign::Good => self.succeed(),
            Sign::Bad => self.fail(1, now),
            Sign::Down => self.fail(FAILURES, now),
        }
    }

    /// Until when it is ejected; a time in the past means that one probe may go.
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    fn succeed(&mut self) -> Change {
        let was = std::mem::take(self);
        if was.ejected_until.is_some() {
            Change::Returned
        } else {
            Change::None
        }
    }

    fn fail(&mut self, weight: u32, now: Instant) -> Change {
        if self.ejected_until.is_some_and(|until| now < until) {
            // It was sent before the ejection, and tells nothing new.
            return Change::None;
        }
        self.failures = self.failures.saturating_add(weight);
        let probe_failed = self.ejected_until.is_some();
        if self.failures < FAILURES && !probe_failed {
            return Change::None;
        }
        let doubled = FIRST.saturating_mul(1 << self.ejections.min(10));
        let until = now + doubled.min(LONGEST);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(until);
        Change::Ejected(until)
    }
}
