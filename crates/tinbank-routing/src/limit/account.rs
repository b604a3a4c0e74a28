//! What a host remembers of a scope: what was let in, what is asked for, and its claims.

use std::time::{Duration, Instant};

use tinbank_configuration::limit::Online;

use super::{
    bucket::{Bucket, Rate},
    claim::{Claim, PATIENCE},
    demand::Average,
    scope::LimitKind,
    share,
};

/// A bucket holds what comes in this time, and at least one request.
const BURST: Duration = Duration::from_secs(1);
/// When to ask again if too many run at once.
const AT_ONCE_WAIT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) limits: Online,
    pub(super) requests: Bucket,
    pub(super) tokens: Bucket,
    pub(super) running: u32,
    pub(super) arrivals: Average,
    pub(super) accepted: Average,
    pub(super) crowded: Average,
    pub(super) spent: Average,
    pub(super) claims: [Claim; LimitKind::ALL.len()],
}

impl Account {
    pub(super) fn new(limits: Online, hosts: usize, now: Instant) -> Self {
        Self {
            limits,
            requests: Bucket::new(rate(0.0, least(&limits, hosts)), now),
            tokens: Bucket::new(rate(0.0, 1.0), now),
            running: 0,
            arrivals: Average::new(now),
            accepted: Average::new(now),
            crowded: Average::new(now),
            spent: Average::new(now),
            claims: [Claim::default(); LimitKind::ALL.len()],
        }
    }

    /// What is asked for, refused requests included.
    pub(super) fn demand(&self, limit_kind: LimitKind, now: Instant) -> f64 {
        let arrivals = self.arrivals.per_second(now);
        match limit_kind {
            LimitKind::Requests => arrivals,
            LimitKind::Tokens => {
                let accepted = self.accepted.per_second(now);
                let asked = if accepted > 0.0 {
                    arrivals / accepted
                } else {
                    1.0
                };
                self.spent.per_second(now) * asked
            }
            LimitKind::Concurrency => f64::from(self.running) + self.crowded.per_second(now),
        }
    }

    pub(super) fn share(&self, limit_kind: LimitKind, hosts: usize, now: Instant) -> Option<f64> {
        let most = limit_kind.of(&self.limits)?;
        Some(self.claims[limit_kind as usize].share(most.into(), hosts, now))
    }

    /// The demand that is worth an ask: none as long as the next request is let in anyhow.
    pub(super) fn wanted(&self, limit_kind: LimitKind, hosts: usize, now: Instant) -> f64 {
        let is_served = limit_kind == LimitKind::Requests
            && is_small(&self.limits, hosts)
            && self.requests.holds(1.0)
            && self.claims[limit_kind as usize].held(now) <= 0.0;
        if is_served {
            return 0.0;
        }
        self.demand(limit_kind, now)
    }

    /// Takes in the demand; returns whether any of it is new.
    pub(super) fn want(&mut self, hosts: usize, now: Instant) -> bool {
        let mut is_new = false;
        for limit_kind in LimitKind::ALL {
            if let Some(most) = limit_kind.of(&self.limits) {
                let demand = self.wanted(limit_kind, hosts, now);
                is_new |= self.claims[limit_kind as usize].want(demand, most.into(), hosts, now);
            }
        }
        is_new
    }

    /// When to ask again after a refusal: soon, if the keeper may let us have more.
    fn retry_at(&self, limit_kind: LimitKind, wait: Duration, hosts: usize, now: Instant) -> Instant {
        if hosts > 1 && self.claims[limit_kind as usize].waits(now) {
            return now + wait.min(PATIENCE);
        }
        now + wait
    }

    pub(super) fn fill(&mut self, hosts: usize, now: Instant) {
        if let Some(share) = self.share(LimitKind::Tokens, hosts, now) {
            self.tokens.fill(rate(share, 1.0), now);
        }
        if let Some(share) = self.share(LimitKind::Requests, hosts, now) {
            let least = least(&self.limits, hosts);
            self.requests.fill(rate(share, least), now);
        }
    }

    pub(super) fn check(&mut self, hosts: usize, now: Instant) -> Result<(), (LimitKind, Instant)> {
        self.fill(hosts, now);
        let at_once = self.at_once(hosts, now);
        if at_once.is_some_and(|most| self.running >= most) {
            self.crowded.add(1.0, now);
            return Err((LimitKind::Concurrency, now + AT_ONCE_WAIT));
        }
        if let Some(share) = self.share(LimitKind::Tokens, hosts, now) {
            // The price is known only afterwards: one is let in as long as nothing is owed.
            let owed = self.tokens.check(0.0, rate(share, 1.0));
            owed.map_err(|wait| {
                (
                    LimitKind::Tokens,
                    self.retry_at(LimitKind::Tokens, wait, hosts, now),
                )
            })?;
        }
        if let Some(share) = self.share(LimitKind::Requests, hosts, now) {
            let left = self.requests.check(1.0, rate(share, 1.0));
            left.map_err(|wait| {
                (
                    LimitKind::Requests,
                    self.retry_at(LimitKind::Requests, wait, hosts, now),
                )
            })?;
        }
        Ok(())
    }

    /// How many may run at once here. Till the keeper has answered that is an even part, so that a quiet customer's first
    /// requests are not refused; each host lets one in, or a limit below the number of hosts would let nobody in.
    fn at_once(&self, hosts: usize, now: Instant) -> Option<u32> {
        let most = LimitKind::Concurrency.of(&self.limits)?;
        let claim = &self.claims[LimitKind::Concurrency as usize];
        let share = claim.share(most.into(), hosts, now);
        let is_granted = claim.held(now) > 0.0;
        let share = match is_granted {
            true => share,
            false => share.max(share::even(most.into(), hosts)),
        };
        Some((share.floor() as u32).max(1))
    }

    pub(super) fn begin(&mut self, now: Instant) {
        self.requests.take(1.0);
        self.accepted.add(1.0, now);
        self.running += 1;
    }

    /// Whether a new account would let in no more than this one.
    pub(super) fn is_idle(&self, hosts: usize, now: Instant) -> bool {
        if self.running > 0 || !self.claims.iter().all(|claim| claim.is_idle(now)) {
            return false;
        }
        let mut filled = self.clone();
        filled.fill(hosts, now);
        let requests = filled.requests.holds(least(&self.limits, hosts));
        let tokens = filled.tokens.holds(1.0);
        let (no_requests, no_tokens) = (
            self.limits.requests_per_second.is_none(),
            self.limits.tokens_per_second.is_none(),
        );
        (requests || no_requests) && (tokens || no_tokens)
    }
}

fn rate(per_second: f64, least: f64) -> Rate {
    Rate {
        per_second,
        burst: (per_second * BURST.as_secs_f64()).max(least),
    }
}

/// Requests that a host may always let in after a quiet time: what an even part of the limit brings in a second, so that a
/// customer far under its limit is not refused while the keeper is asked. With a limit below the number of hosts most
/// requests are the first in a long while at their host: two are let in, and the keeper is asked only after the second.
fn least(limits: &Online, hosts: usize) -> f64 {
    if is_small(limits, hosts) {
        return 2.0;
    }
    let even = limits
        .requests_per_second
        .map_or(1.0, |limit| share::even(limit.into(), hosts));
    (even * BURST.as_secs_f64()).max(1.0)
}

/// Whether the limit is below one request a second and host.
fn is_small(limits: &Online, hosts: usize) -> bool {
    limits
        .requests_per_second
        .is_some_and(|limit| share::even(limit.into(), hosts) < 1.0)
}
