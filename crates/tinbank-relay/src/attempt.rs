//! Retry decisions after failed attempts of a request.

use smallvec::SmallVec;
use tinbank_base::id;

use crate::route::Kind;

/// Failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request did not run: nothing was written, or the upstream said so.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Next step for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try another upstream.
    Retry,
    /// Report to the caller that the request did not run.
    Refuse,
    /// Report to the caller that the request failed and may have run.
    Fail,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    kind: Kind,
    max: u32,
    /// Number of attempts that may have run.
    runs: u32,
    /// Upstreams that are not tried again.
    tried: SmallVec<[id::Instance; 4]>,
}

impl Attempts {
    /// Creates the record of a request that was not sent yet and may run at `max` upstreams.
    pub fn new(kind: Kind, max: u32) -> Self {
        Self {
            kind,
            max: max.max(1),
            runs: 0,
            tried: SmallVec::new(),
        }
    }

    /// Returns the upstreams that were tried.
    pub fn tried(&self) -> &[id::Instance] {
        &self.tried
    }

    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Records a failed attempt.
    pub fn record(&mut self, upstream: id::Instance, failure: Failure) {
        if failure == Failure::Unknown {
            self.runs += 1;
        }
        if !self.tried.contains(&upstream) {
            self.tried.push(upstream);
        }
    }

    /// Returns what to do after the recorded attempts.
    pub fn next(&self) -> Next {
        if self.runs == 0 {
            return Next::Retry;
        }
        if self.kind.is_idempotent() && self.runs < self.max {
            return Next::Retry;
        }
        Next::Fail
    }

    /// Returns whether the request may be sent to another upstream if the current attempt fails after it may have run.
    pub fn can_run_again(&self) -> bool {
        self.kind.is_idempotent() && self.runs + 1 < self.max
    }

    /// Returns what to report if no upstream or no time is left.
    pub fn give_up(&self) -> Next {
        match self.runs {
            0 => Next::Refuse,
            _ => Next::Fail,
        }
    }
}
