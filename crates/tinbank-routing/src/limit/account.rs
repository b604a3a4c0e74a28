//! State of one scope at a host: admitted requests, demand and claims.

use std::time::{Duration, Instant};

use tinbank_configuration::limit::Online;

use super::{
    bucket::{Bucket, Rate},
    claim::{Claim, FIRST_ANSWER_TIMEOUT},
    demand::Average,
    scope::LimitKind,
    share,
};

/// A bucket holds the tokens of this period, and at least one request.
const BURST_PERIOD: Duration = Duration::from_secs(1);
/// Time after which the caller may retry if the limit of concurrent requests is reached.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) limits: Online,
    pub(super) requests: Bucket,
    pub(super) tokens: Bucket,
    pub(super) running: u32,
    pub(super) arrivals: Average,
    pub(super) accepted: Average,
    pub(super) over_concurrency: Average,
    pub(super) spent: Average,
    pub(super) claims: [Claim; LimitKind::ALL.len()],
}

impl Account {
    pub(super) fn new(limits: Online, hosts: usize, now: Instant) -> Self {
        Self {
            limits,
            requests: Bucket::new(rate(0.0, min_burst(&limits, hosts)), now),
            tokens: Bucket::new(rate(0.0, 1.0), now),
            running: 0,
            arrivals: Average::new(now),
            accepted: Average::new(now),
            over_concurrency: Average::new(now),
            spent: Average::new(now),
            claims: [Claim::default(); LimitKind::ALL.len()],
        }
    }

    /// Returns the demand, including refused requests.
    pub(super) fn demand(&self, limit_kind: LimitKind, now: Instant) -> f64 {
        let arrivals = self.arrivals.per_second(now);
        match limit_kind {
            LimitKind::Requests => arrivals,
            LimitKind::Tokens => {
                let accepted = self.accepted.per_second(now);
                let arrivals_per_accepted = if accepted > 0.0 {
                    arrivals / accepted
                } else {
                    1.0
                };
                self.spent.per_second(now) * arrivals_per_accepted
            }
            LimitKind::Concurrency => {
                f64::from(self.running) + self.over_concurrency.per_second(now)
            }
        }
    }

    pub(super) fn share(&self, limit_kind: LimitKind, hosts: usize, now: Instant) -> Option<f64> {
        let limit_value = limit_kind.of(&self.limits)?;
        Some(self.claims[limit_kind as usize].share(limit_value.into(), hosts, now))
    }

    /// Returns the demand to claim: 0 while the next request is admitted without a grant.
    pub(super) fn reported_demand(&self, limit_kind: LimitKind, hosts: usize, now: Instant) -> f64 {
        let is_served = limit_kind == LimitKind::Requests
            && is_below_one_per_host(&self.limits, hosts)
            && self.requests.holds(1.0)
            && self.claims[limit_kind as usize].granted(now) <= 0.0;
        if is_served {
            return 0.0;
        }
        self.demand(limit_kind, now)
    }

    /// Updates the demand of all claims. Returns whether any of it is new.
    pub(super) fn update_demand(&mut self, hosts: usize, now: Instant) -> bool {
        let mut is_new = false;
        for limit_kind in LimitKind::ALL {
            if let Some(limit_value) = limit_kind.of(&self.limits) {
                let demand = self.reported_demand(limit_kind, hosts, now);
                is_new |= self.claims[limit_kind as usize].update_demand(
                    demand,
                    limit_value.into(),
                    hosts,
                    now,
                );
            }
        }
        is_new
    }

    /// Returns the time to retry after a refusal, which is early if a grant may arrive.
    fn retry_at(
        &self,
        limit_kind: LimitKind,
        wait: Duration,
        hosts: usize,
        now: Instant,
    ) -> Instant {
        if hosts > 1 && self.claims[limit_kind as usize].awaits_answer(now) {
            return now + wait.min(FIRST_ANSWER_TIMEOUT);
        }
        now + wait
    }

    pub(super) fn refill(&mut self, hosts: usize, now: Instant) {
        if let Some(share) = self.share(LimitKind::Tokens, hosts, now) {
            self.tokens.refill(rate(share, 1.0), now);
        }
        if let Some(share) = self.share(LimitKind::Requests, hosts, now) {
            let min_burst = min_burst(&self.limits, hosts);
            self.requests.refill(rate(share, min_burst), now);
        }
    }

    pub(super) fn check(&mut self, hosts: usize, now: Instant) -> Result<(), (LimitKind, Instant)> {
        self.refill(hosts, now);
        let concurrency_share = self.concurrency_share(hosts, now);
        if concurrency_share.is_some_and(|share| self.running >= share) {
            self.over_concurrency.add(1.0, now);
            return Err((LimitKind::Concurrency, now + CONCURRENCY_RETRY_AFTER));
        }
        if let Some(share) = self.share(LimitKind::Tokens, hosts, now) {
            // The price is known only afterwards, so a request is admitted unless tokens are owed.
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

    /// Returns the number of requests that may run concurrently at this host: at least an even share until the keeper
    /// has answered, so that the first requests of an idle customer are admitted, and at least one, for limits below
    /// the number of hosts.
    fn concurrency_share(&self, hosts: usize, now: Instant) -> Option<u32> {
        let limit_value = LimitKind::Concurrency.of(&self.limits)?;
        let claim = &self.claims[LimitKind::Concurrency as usize];
        let share = claim.share(limit_value.into(), hosts, now);
        let is_granted = claim.granted(now) > 0.0;
        let share = match is_granted {
            true => share,
            false => share.max(share::even_share(limit_value.into(), hosts)),
        };
        Some((share.floor() as u32).max(1))
    }

    pub(super) fn begin(&mut self, now: Instant) {
        self.requests.take(1.0);
        self.accepted.add(1.0, now);
        self.running += 1;
    }

    /// Returns whether the account can be discarded: a new one would admit no more.
    pub(super) fn is_idle(&self, hosts: usize, now: Instant) -> bool {
        if self.running > 0 || !self.claims.iter().all(|claim| claim.is_idle(now)) {
            return false;
        }
        let mut filled = self.clone();
        filled.refill(hosts, now);
        let requests = filled.requests.holds(min_burst(&self.limits, hosts));
        let tokens = filled.tokens.holds(1.0);
        let (no_requests, no_tokens) = (
            self.limits.requests_per_second.is_none(),
            self.limits.tokens_per_second.is_none(),
        );
        (requests || no_requests) && (tokens || no_tokens)
    }
}

fn rate(per_second: f64, min_burst: f64) -> Rate {
    Rate {
        per_second,
        burst: (per_second * BURST_PERIOD.as_secs_f64()).max(min_burst),
    }
}

/// Returns the smallest bucket size: an even share of one second, so that a customer far below its limit is not refused
/// before the keeper answers. With a limit below one request per second and host, two requests are admitted and the
/// keeper is asked only after the second, since most requests there are isolated.
fn min_burst(limits: &Online, hosts: usize) -> f64 {
    if is_below_one_per_host(limits, hosts) {
        return 2.0;
    }
    let even_share = limits
        .requests_per_second
        .map_or(1.0, |limit| share::even_share(limit.into(), hosts));
    (even_share * BURST_PERIOD.as_secs_f64()).max(1.0)
}

/// Returns whether the limit is below one request per second and host.
fn is_below_one_per_host(limits: &Online, hosts: usize) -> bool {
    limits
        .requests_per_second
        .is_some_and(|limit| share::even_share(limit.into(), hosts) < 1.0)
}
