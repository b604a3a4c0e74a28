//! Ejects an upstream that keeps failing, and restores it after a single successful probe.
//!
//! See `docs/design/routing.md`.

use std::time::{Duration, Instant};

use tinbank_base::platform::upstream::Kind;

/// Number of consecutive failures after which an upstream is ejected.
pub const EJECTION_THRESHOLD: u32 = 3;
/// Duration of the first ejection. Each consecutive one doubles it.
pub const FIRST_EJECTION: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(15);

/// What the result of a call indicates about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// It answered.
    Healthy,
    /// It may be faulty.
    Failing,
    /// It can't be reached.
    Unreachable,
    /// Nothing, for example since it is full or the caller's deadline passed.
    Neutral,
}

impl Signal {
    /// Returns the signal of a failed call.
    pub fn of(kind: &Kind) -> Self {
        match kind {
            Kind::Connect(_) => Self::Unreachable,
            Kind::Cut(_) | Kind::Crossed(_) | Kind::Failed { .. } => Self::Failing,
            // Deadlines are set by callers, so a timeout is no evidence against the upstream.
            Kind::Timeout | Kind::Leaving | Kind::Full => Self::Neutral,
            Kind::Rejected { .. } => Self::Healthy,
        }
    }
}

/// Effect of a result on the state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// It gets no requests until the given time.
    Ejected(Instant),
    /// It gets requests again.
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
    /// Records the result of one call.
    pub fn record(&mut self, signal: Signal, now: Instant) -> Change {
        match signal {
            Signal::Neutral => Change::None,
            Signal::Healthy => self.on_success(),
            Signal::Failing => self.on_failure(1, now),
            Signal::Unreachable => self.on_failure(EJECTION_THRESHOLD, now),
        }
    }

    /// Returns the end of the ejection, after which one probe may be sent.
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    fn on_success(&mut self) -> Change {
        let was = std::mem::take(self);
        if was.ejected_until.is_some() {
            Change::Returned
        } else {
            Change::None
        }
    }

    fn on_failure(&mut self, weight: u32, now: Instant) -> Change {
        if self.ejected_until.is_some_and(|until| now < until) {
            // The request was sent before the ejection.
            return Change::None;
        }
        self.failures = self.failures.saturating_add(weight);
        let probe_failed = self.ejected_until.is_some();
        if self.failures < EJECTION_THRESHOLD && !probe_failed {
            return Change::None;
        }
        let doubled = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(10));
        let until = now + doubled.min(MAX_EJECTION);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(until);
        Change::Ejected(until)
    }
}
