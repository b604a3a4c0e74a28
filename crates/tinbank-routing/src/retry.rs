//! Decides whether a request that failed at an upstream is sent to another one. Pure.
//!
//! Only what provably did not run, or may run more than once, is sent again; within the deadline, and under a budget
//! that keeps a failing upstream from multiplying the load. See `docs/design/routing.md`.

use std::time::{Duration, Instant, SystemTime};

use tinbank_base::{
    outcome::{Code, Failure, Ran},
    platform::upstream::{Error, Kind},
};

/// Most times that an online request is sent.
pub const MAX_ATTEMPTS: u16 = 4;

/// Sends again for each request by the budget, in thousandths.
pub const RATIO_MILLIS: u64 = 200;
/// Sends again that are allowed beyond the ratio after a quiet time, in thousandths.
pub const RESERVE_MILLIS: u64 = 10_000;

/// When to ask again if no upstream could take the request.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// When to ask again if the upstreams are full, or the budget of sending again is used up: they need time to recover.
pub const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(2);

const ONE_MILLIS: u64 = 1_000;

/// Tokens for sending again: each request puts in a fraction of one, each further attempt takes a whole one.
///
/// So however many upstreams fail, no more than `1 + RATIO_MILLIS / 1000` times the callers' load reaches them, but
/// for the reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    millis: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            millis: RESERVE_MILLIS,
        }
    }
}

impl Budget {
    /// A request was sent for the first time.
    pub fn deposit(&mut self) {
        self.millis = (self.millis + RATIO_MILLIS).min(RESERVE_MILLIS);
    }

    /// Takes leave to send again; `false` when there is none.
    pub fn withdraw(&mut self) -> bool {
        match self.millis.checked_sub(ONE_MILLIS) {
            Some(rest) => {
                self.millis = rest;
                true
            }
            None => false,
        }
    }
}

/// What the attempts of one request have come to so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// How many times it was sent.
    pub sent: u16,
    /// The worst that is known: once an attempt may have run, the request as a whole may have run.
    pub ran: Ran,
}

/// What to do after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to another upstream.
    Retry,
    /// Tell the caller.
    Stop(Failure),
}

impl Attempts {
    /// A request that was not sent yet.
    pub fn new(repeatable: bool, deadline: Instant) -> Self {
        Self {
            repeatable,
            deadline,
            sent: 0,
            ran: Ran::No,
        }
    }

    /// It is about to be sent.
    pub fn record_sent(&mut self, budget: &mut Budget) {
        if self.sent == 0 {
            budget.deposit();
        }
        self.sent = self.sent.saturating_add(1);
    }

    /// An attempt passed on a part of its answer, so it ran.
    pub fn record_progress(&mut self) {
        self.ran = Ran::Unknown;
    }

    /// An attempt failed. `wall` is the time of day, for what the caller is told.
    pub fn record_failure(
        &mut self,
        error: &Error,
        budget: &mut Budget,
        now: Instant,
        wall: SystemTime,
    ) -> Decision {
        if error.ran != Ran::No {
            self.ran = Ran::Unknown;
        }
        let may_repeat = self.may_repeat(error, now);
        if may_repeat && budget.withdraw() {
            return Decision::Retry;
        }
        let failure = self.failure(error, now);
        let is_over_budget = may_repeat || failure.code == Code::Overloaded;
        let wait = if is_over_budget { OVERLOAD_RETRY_AFTER } else { RETRY_AFTER };
        Decision::Stop(Failure {
            retry_at: self.may_come_back(failure.code).then(|| wall + wait),
            ..failure
        })
    }

    /// No upstream is left for another attempt; `refusal` is what routing said.
    pub fn exhausted(&self, refusal: Failure) -> Failure {
        match self.ran {
            Ran::No => refusal,
            ran => {
                let code = self.unknown_code();
                Failure {
                    code,
                    ran,
                    retry_at: refusal.retry_at.filter(|_| self.may_come_back(code)),
                    ..refusal
                }
            }
        }
    }

    /// Whether asking again is safe and may help: nothing ran, or it may run more than once.
    fn may_come_back(&self, code: Code) -> bool {
        match code {
            Code::Overloaded | Code::NoUpstream => self.ran == Ran::No || self.repeatable,
            Code::UpstreamFailed => self.repeatable,
            _ => false,
        }
    }

    fn may_repeat(&self, error: &Error, now: Instant) -> bool {
        let another_may_help = !matches!(error.kind, Kind::Rejected { .. } | Kind::Timeout);
        let allowed = self.repeatable || (error.ran == Ran::No && self.ran == Ran::No);
        another_may_help && allowed && self.sent < MAX_ATTEMPTS && now < self.deadline
    }

    fn failure(&self, error: &Error, now: Instant) -> Failure {
        let code = match &error.kind {
            Kind::Rejected { .. } => Code::UpstreamRejected,
            Kind::Timeout => Code::Timeout,
            _ if now >= self.deadline => Code::Timeout,
            _ if self.ran != Ran::No => self.unknown_code(),
            Kind::Full => Code::Overloaded,
            _ => Code::NoUpstream,
        };
        Failure {
            ran: self.ran,
            ..Failure::not_run(code, error.to_string())
        }
    }

    fn unknown_code(&self) -> Code {
        if self.repeatable {
            Code::UpstreamFailed
        } else {
            Code::OutcomeUnknown
        }
    }
}
