//! What becomes of a request after an attempt at an upstream.

use smallvec::SmallVec;
use tinbank_base::id;

use crate::route::Kind;

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It provably did not run: nothing was written, or the upstream says so.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask for another upstream.
    Again,
    /// Tell the caller that the request did not run.
    Refuse,
    /// Tell the caller that it failed, without saying whether it ran.
    Fail,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    kind: Kind,
    max: u32,
    /// Upstreams that may have run it.
    ran: u32,
    /// Upstreams that were tried, and are not tried again.
    tried: SmallVec<[id::Instance; 4]>,
}

impl Attempts {
    /// A request that was not sent yet.
    pub fn new(kind: Kind, max: u32) -> Self {
        Self {
            kind,
            max: max.max(1),
            ran: 0,
            tried: SmallVec::new(),
        }
    }

    /// Upstreams that were tried.
    pub fn tried(&self) -> &[id::Instance] {
        &self.tried
    }

    /// True if the request may have run at some upstream.
    pub fn may_have_run(&self) -> bool {
        self.ran > 0
    }

    /// Takes in an attempt that ended without an answer.
    pub fn note(&mut self, upstream: id::Instance, failure: Failure) {
        if failure == Failure::Unknown {
            self.ran += 1;
        }
        if !self.tried.contains(&upstream) {
            self.tried.push(upstream);
        }
    }

    /// What to do after the last attempt noted.
    pub fn next(&self) -> Next {
        if self.ran == 0 {
            return Next::Again;
        }
        if self.kind.is_idempotent() && self.ran < self.max {
            return Next::Again;
        }
        Next::Fail
    }

    /// True if the request may go to one more upstream though the one that has it now may have run it.
    pub fn could_run_again(&self) -> bool {
        self.kind.is_idempotent() && self.ran + 1 < self.max
    }

    /// How a request ends for which there is no upstream or no time.
    pub fn give_up(&self) -> Next {
        match self.ran {
            0 => Next::Refuse,
            _ => Next::Fail,
        }
    }
}
