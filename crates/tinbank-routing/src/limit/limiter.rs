//! Limiter of one host, which enforces its shares of all limits.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use tinbank_base::{
    frame::demand::{Claim as ClaimFrame, ClaimRequest, Grant, Recall},
    id,
};

use super::{
    account::Account,
    bucket::Bucket,
    demand::{CLAIM_BYTES, FRAME_BYTES, MAX_CLAIMS, budget, millis},
    ring::Ring,
    scope::{self, Kind, LimitKind, Scope},
};

/// Interval at which idle accounts are removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(4);
/// Time after which an answer to a claim request is dropped.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Refusal of a request over a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The limit that was reached.
    pub limit_kind: LimitKind,
    /// Whether it is a limit of the customer, the service or the stream.
    pub scope: Kind,
    /// Time at which the caller may retry.
    pub retry_at: Instant,
}

/// Decides whether requests are within their customers' limits.
#[derive(Clone, Debug)]
pub struct Limiter {
    own: id::Host,
    ring: Ring,
    accounts: BTreeMap<id::Limit, Account>,
    round: u32,
    pending: BTreeMap<u32, PendingRequest>,
    byte_budget: Bucket,
    next_cleanup: Instant,
    is_urgent: bool,
}

/// A claim request that has not been answered.
#[derive(Clone, Debug)]
struct PendingRequest {
    keeper: id::Host,
    at: Instant,
    limits: Vec<(id::Limit, LimitKind)>,
}

/// A claim to be sent to its keeper.
struct DueClaim {
    key: id::Limit,
    limit_kind: LimitKind,
    limit_value: u32,
    demand: f64,
}

impl Limiter {
    pub fn new(own: id::Host, now: Instant) -> Self {
        Self {
            own,
            ring: Ring::default(),
            accounts: BTreeMap::new(),
            round: 0,
            pending: BTreeMap::new(),
            byte_budget: Bucket::new(budget(1), now),
            next_cleanup: now,
            is_urgent: false,
        }
    }

    /// Sets the hosts that share the limits.
    pub fn set_hosts(&mut self, hosts: BTreeSet<id::Host>, now: Instant) {
        self.ring.set(hosts, now);
    }

    /// Admits a request unless it exceeds a limit. Each admitted request has to be ended by [`Limiter::end`].
    ///
    /// # Errors
    /// Returns the first limit that was reached and the time to retry.
    pub fn begin(&mut self, scopes: &[Scope], now: Instant) -> Result<(), Refusal> {
        let hosts = self.hosts();
        let mut refusal = None;
        for scope in scopes {
            let account = self.account(scope, now);
            account.arrivals.add(1.0, now);
            let checked = account.check(hosts, now);
            let is_urgent = checked.is_err() && account.update_demand(hosts, now);
            self.is_urgent |= is_urgent;
            let refused = |(limit_kind, retry_at)| Refusal {
                limit_kind,
                scope: scope.kind,
                retry_at,
            };
            refusal = refusal.or(checked.err().map(refused));
        }
        if let Some(refusal) = refusal {
            return Err(refusal);
        }
        for scope in scopes {
            let account = self.account(scope, now);
            account.begin(now);
            let is_urgent = account.update_demand(hosts, now);
            self.is_urgent |= is_urgent;
        }
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn end(&mut self, scopes: &[Scope]) {
        for scope in scopes {
            if let Some(account) = self.accounts.get_mut(&scope.key) {
                account.running = account.running.saturating_sub(1);
            }
        }
    }

    /// Records tokens generated for a request.
    pub fn spend(&mut self, scopes: &[Scope], tokens: u32, now: Instant) {
        for scope in scopes {
            if let Some(account) = self.accounts.get_mut(&scope.key) {
                account.tokens.take(tokens.into());
                account.spent.add(tokens.into(), now);
            }
        }
    }

    /// Returns whether the keepers should be asked at once, for example due to new demand.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Returns the claim requests to send to keepers now, those with the highest demand relative to the limit first,
    /// within the byte budget. Call it about twice per second, and when it [is urgent](Self::is_urgent).
    pub fn claim_requests(&mut self, now: Instant) -> Vec<(id::Host, ClaimRequest)> {
        self.is_urgent = false;
        self.clean_up(now);
        let hosts = self.hosts();
        for account in self.accounts.values_mut() {
            account.update_demand(hosts, now);
        }
        let mut due = self.due_claims(now);
        let pressure = |due: &DueClaim| due.demand / f64::from(due.limit_value);
        due.sort_by(|a, b| pressure(b).total_cmp(&pressure(a)));
        self.byte_budget.refill(budget(hosts), now);
        let mut claim_requests: Vec<(id::Host, Vec<DueClaim>)> = Vec::new();
        for due in due {
            if self.byte_budget.check(CLAIM_BYTES, budget(hosts)).is_err() {
                break;
            }
            let Some(keeper) = self.ring.keeper(due.key) else {
                break;
            };
            let known = claim_requests
                .iter()
                .position(|(known, _)| *known == keeper);
            let frame = if known.is_some() { 0.0 } else { FRAME_BYTES };
            let price = frame + CLAIM_BYTES;
            let is_full = known.is_some_and(|place| claim_requests[place].1.len() >= MAX_CLAIMS);
            if is_full || self.byte_budget.check(price, budget(hosts)).is_err() {
                continue;
            }
            self.byte_budget.take(price);
            match known {
                Some(place) => claim_requests[place].1.push(due),
                None => claim_requests.push((keeper, vec![due])),
            }
        }
        claim_requests
            .into_iter()
            .map(|(keeper, due)| (keeper, self.build_claim_request(keeper, &due, now)))
            .collect()
    }

    /// Applies a keeper's grant.
    pub fn on_grant(&mut self, from: id::Host, grant: &Grant, now: Instant) {
        let is_ours = |pending: &PendingRequest| {
            pending.keeper == from
                && pending.limits.len() == grant.parts.len()
                && now < pending.at + ANSWER_TIMEOUT
        };
        if !self.pending.get(&grant.round).is_some_and(is_ours) {
            return;
        }
        let Some(pending) = self.pending.remove(&grant.round) else {
            return;
        };
        let hosts = self.hosts();
        for ((key, limit_kind), part) in pending.limits.iter().zip(&grant.parts) {
            if let Some(account) = self.accounts.get_mut(key) {
                account.refill(hosts, now);
                let claim = &mut account.claims[*limit_kind as usize];
                self.is_urgent |= claim.on_answer(grant.round, *part, now);
            }
        }
    }

    /// Applies a keeper's recall, a request to be asked again.
    pub fn on_recall(&mut self, from: id::Host, recall: &Recall, now: Instant) {
        for limit in &recall.limits {
            let Some((key, limit_kind)) = scope::parts(*limit) else {
                continue;
            };
            if self.ring.keeper(key) != Some(from) {
                continue;
            }
            if let Some(account) = self.accounts.get_mut(&key) {
                self.is_urgent |= account.claims[limit_kind as usize].on_recall(now);
            }
        }
    }

    /// Returns the share of a limit that this host may use now, or `None` if the scope has no account or no such limit.
    pub fn share(&self, scope: &Scope, limit_kind: LimitKind, now: Instant) -> Option<f64> {
        let account = self.accounts.get(&scope.key)?;
        account.share(limit_kind, self.hosts(), now)
    }

    /// Returns the number of scopes with state.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the number of hosts that share the limits, including this one even if it is not listed as serving.
    fn hosts(&self) -> usize {
        let hosts = self.ring.hosts();
        hosts.len() + usize::from(!hosts.contains(&self.own))
    }

    fn due_claims(&self, now: Instant) -> Vec<DueClaim> {
        let hosts = self.hosts();
        let mut due = Vec::new();
        for (key, account) in &self.accounts {
            for limit_kind in LimitKind::ALL {
                let Some(limit_value) = limit_kind.of(&account.limits) else {
                    continue;
                };
                let demand = account.reported_demand(limit_kind, hosts, now);
                let claim = &account.claims[limit_kind as usize];
                if !claim.is_due(demand, limit_value.into(), hosts, now) {
                    continue;
                }
                due.push(DueClaim {
                    key: *key,
                    limit_kind,
                    limit_value,
                    demand,
                });
            }
        }
        due
    }

    fn build_claim_request(
        &mut self,
        keeper: id::Host,
        due: &[DueClaim],
        now: Instant,
    ) -> ClaimRequest {
        self.round = self.round.wrapping_add(1);
        let round = self.round;
        let claims = due.iter().filter_map(|due| {
            let account = self.accounts.get_mut(&due.key)?;
            let claim = &mut account.claims[due.limit_kind as usize];
            claim.record_sent(round, due.demand, due.limit_value.into(), now);
            Some(ClaimFrame {
                limit: scope::limit(due.key, due.limit_kind),
                limit_value: due.limit_value,
                demand_millis: millis(due.demand),
                held_millis: millis(claim.granted(now)),
            })
        });
        let claims = claims.collect();
        let pending = PendingRequest {
            keeper,
            at: now,
            limits: due.iter().map(|due| (due.key, due.limit_kind)).collect(),
        };
        self.pending.insert(round, pending);
        ClaimRequest { round, claims }
    }

    /// Removes expired claim requests and idle accounts.
    fn clean_up(&mut self, now: Instant) {
        self.pending
            .retain(|_, pending| now < pending.at + ANSWER_TIMEOUT);
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + CLEANUP_INTERVAL;
        let hosts = self.hosts();
        self.accounts
            .retain(|_, account| !account.is_idle(hosts, now));
    }

    fn account(&mut self, scope: &Scope, now: Instant) -> &mut Account {
        let hosts = self.hosts();
        let account = self
            .accounts
            .entry(scope.key)
            .or_insert_with(|| Account::new(scope.limits, hosts, now));
        account.limits = scope.limits;
        account
    }
}
