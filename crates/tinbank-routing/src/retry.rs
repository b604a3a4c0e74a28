//! Decides whether a request that failed at an upstream is retried at another one.
//!
//! Only requests that provably did not run or may run more than once are retried, before their deadline and within a
//! budget that keeps failing upstreams from multiplying the load. See `docs/design/routing.md`.

use std::time::{Duration, Instant, SystemTime};

use tinbank_base::{
    outcome::{Code, Failure, Ran},
    platform::upstream::{Error, Kind},
};

/// Maximum number of attempts of an online request.
pub const MAX_ATTEMPTS: u16 = 4;

/// Retries that the budget gains with each request, in thousandths.
pub const RATIO_MILLIS: u64 = 200;
/// Largest number of retries that the budget accumulates, in thousandths.
pub const RESERVE_MILLIS: u64 = 10_000;

/// Time after which the caller may retry if no upstream could take the request.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which the caller may retry if the upstreams are full or the retry budget is exhausted.
pub const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(2);

const ONE_MILLIS: u64 = 1_000;

/// Retry budget: each request deposits a fraction of a token, each retry withdraws a whole one.
///
/// Apart from the reserve, upstreams get at most `1 + RATIO_MILLIS / 1000` times the callers' load.
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
    /// Records that a request is sent for the first time.
    pub fn deposit(&mut self) {
        self.millis = (self.millis + RATIO_MILLIS).min(RESERVE_MILLIS);
    }

    /// Withdraws one retry. Returns `false` if none is left.
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

/// State of the attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    pub deadline: Instant,
    /// Number of attempts so far.
    pub sent: u16,
    /// Whether any attempt may have run.
    pub ran: Ran,
}

/// Decision after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to another upstream.
    Retry,
    /// Return this failure to the caller.
    Stop(Failure),
}

impl Attempts {
    pub fn new(repeatable: bool, deadline: Instant) -> Self {
        Self {
            repeatable,
            deadline,
            sent: 0,
            ran: Ran::No,
        }
    }

    /// Records an attempt that is about to be sent.
    pub fn record_sent(&mut self, budget: &mut Budget) {
        if self.sent == 0 {
            budget.deposit();
        }
        self.sent = self.sent.saturating_add(1);
    }

    /// Records that a part of the answer was passed on, so the request may have run.
    pub fn record_progress(&mut self) {
        self.ran = Ran::Unknown;
    }

    /// Records a failed attempt and decides what follows. `wall` is the wall-clock time, for the caller's time to
    /// retry.
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
        let may_retry_now = self.may_retry_now(error, now);
        if may_retry_now && budget.withdraw() {
            return Decision::Retry;
        }
        let failure = self.failure(error, now);
        let is_overload = may_retry_now || failure.code == Code::Overloaded;
        let wait = if is_overload {
            OVERLOAD_RETRY_AFTER
        } else {
            RETRY_AFTER
        };
        Decision::Stop(Failure {
            retry_at: self.may_retry_later(failure.code).then(|| wall + wait),
            ..failure
        })
    }

    /// Returns the failure for the caller when routing has no upstream left. `refusal` is the failure of routing.
    pub fn exhausted(&self, refusal: Failure) -> Failure {
        match self.ran {
            Ran::No => refusal,
            ran => {
                let code = self.unknown_code();
                Failure {
                    code,
                    ran,
                    retry_at: refusal.retry_at.filter(|_| self.may_retry_later(code)),
                    ..refusal
                }
            }
        }
    }

    /// Returns whether a retry by the caller is safe and may help.
    fn may_retry_later(&self, code: Code) -> bool {
        match code {
            Code::Overloaded | Code::NoUpstream => self.ran == Ran::No || self.repeatable,
            Code::UpstreamFailed => self.repeatable,
            _ => false,
        }
    }

    fn may_retry_now(&self, error: &Error, now: Instant) -> bool {
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
