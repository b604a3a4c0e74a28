//! The limiter of one host.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use tinbank_base::{
    frame::demand::{Ask, Claim as Told, Grant, Recall},
    id,
};

use super::{
    account::Account,
    bucket::Bucket,
    demand::{CLAIM_BYTES, FRAME_BYTES, MAX_CLAIMS, budget, millis},
    ring::Ring,
    scope::{self, Kind, Scope, LimitKind},
};

/// How often accounts are forgotten that are of no use.
const TIDY_EVERY: Duration = Duration::from_secs(4);
/// An answer that takes longer counts for nothing.
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// A request over a limit. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Which limit.
    pub limit_kind: LimitKind,
    /// Whether it is the customer's, the service's or the stream's.
    pub scope: Kind,
    /// When to ask again.
    pub retry_at: Instant,
}

/// Decides whether requests are within their customers' limits.
#[derive(Clone, Debug)]
pub struct Limiter {
    own: id::Host,
    ring: Ring,
    accounts: BTreeMap<id::Limit, Account>,
    round: u32,
    open: BTreeMap<u32, Open>,
    bytes: Bucket,
    tidy_at: Instant,
    is_urgent: bool,
}

/// An ask that may still be answered.
#[derive(Clone, Debug)]
struct Open {
    keeper: id::Host,
    at: Instant,
    limits: Vec<(id::Limit, LimitKind)>,
}

/// A claim that its keeper should be told of.
struct Due {
    key: id::Limit,
    limit_kind: LimitKind,
    most: u32,
    demand: f64,
}

impl Limiter {
    /// A limiter that knows no other host yet.
    pub fn new(own: id::Host, now: Instant) -> Self {
        Self {
            own,
            ring: Ring::default(),
            accounts: BTreeMap::new(),
            round: 0,
            open: BTreeMap::new(),
            bytes: Bucket::new(budget(1), now),
            tidy_at: now,
            is_urgent: false,
        }
    }

    /// Takes in which hosts share the limits.
    pub fn set_hosts(&mut self, hosts: BTreeSet<id::Host>, now: Instant) {
        self.ring.set(hosts, now);
    }

    /// Lets a request in, or says which limit it is over. What is let in has to be ended by [`Limiter::end`].
    ///
    /// # Errors
    /// The first limit that was reached, and when to ask again.
    pub fn begin(&mut self, scopes: &[Scope], now: Instant) -> Result<(), Refusal> {
        let hosts = self.hosts();
        let mut refusal = None;
        for scope in scopes {
            let account = self.account(scope, now);
            account.arrivals.add(1.0, now);
            let checked = account.check(hosts, now);
            let is_urgent = checked.is_err() && account.want(hosts, now);
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
            let is_urgent = account.want(hosts, now);
            self.is_urgent |= is_urgent;
        }
        Ok(())
    }

    /// A request that was let in has ended.
    pub fn end(&mut self, scopes: &[Scope]) {
        for scope in scopes {
            if let Some(account) = self.accounts.get_mut(&scope.key) {
                account.running = account.running.saturating_sub(1);
            }
        }
    }

    /// Tokens were generated for a request.
    pub fn spend(&mut self, scopes: &[Scope], tokens: u32, now: Instant) {
        for scope in scopes {
            if let Some(account) = self.accounts.get_mut(&scope.key) {
                account.tokens.take(tokens.into());
                account.spent.add(tokens.into(), now);
            }
        }
    }

    /// Whether there is new demand, so that the keepers should be asked at once.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// What the keepers are to be asked now, the most pressing first and no more than the budget of bytes allows. Call
    /// it about twice a second, and when there [is new demand](Self::is_urgent).
    pub fn asks(&mut self, now: Instant) -> Vec<(id::Host, Ask)> {
        self.is_urgent = false;
        self.tidy(now);
        let hosts = self.hosts();
        for account in self.accounts.values_mut() {
            account.want(hosts, now);
        }
        let mut due = self.due(now);
        let pressure = |due: &Due| due.demand / f64::from(due.most);
        due.sort_by(|a, b| pressure(b).total_cmp(&pressure(a)));
        self.bytes.fill(budget(hosts), now);
        let mut asks: Vec<(id::Host, Vec<Due>)> = Vec::new();
        for due in due {
            if self.bytes.check(CLAIM_BYTES, budget(hosts)).is_err() {
                break;
            }
            let Some(keeper) = self.ring.keeper(due.key) else {
                break;
            };
            let known = asks.iter().position(|(known, _)| *known == keeper);
            let frame = if known.is_some() { 0.0 } else { FRAME_BYTES };
            let price = frame + CLAIM_BYTES;
            let is_full = known.is_some_and(|place| asks[place].1.len() >= MAX_CLAIMS);
            if is_full || self.bytes.check(price, budget(hosts)).is_err() {
                continue;
            }
            self.bytes.take(price);
            match known {
                Some(place) => asks[place].1.push(due),
                None => asks.push((keeper, vec![due])),
            }
        }
        asks.into_iter()
            .map(|(keeper, due)| (keeper, self.ask(keeper, &due, now)))
            .collect()
    }

    /// Takes in a keeper's answer.
    pub fn on_grant(&mut self, from: id::Host, grant: &Grant, now: Instant) {
        let is_ours = |open: &Open| {
            open.keeper == from
                && open.limits.len() == grant.parts.len()
                && now < open.at + ANSWER_TIME
        };
        if !self.open.get(&grant.round).is_some_and(is_ours) {
            return;
        }
        let Some(open) = self.open.remove(&grant.round) else {
            return;
        };
        let hosts = self.hosts();
        for ((key, limit_kind), part) in open.limits.iter().zip(&grant.parts) {
            if let Some(account) = self.accounts.get_mut(key) {
                account.fill(hosts, now);
                let claim = &mut account.claims[*limit_kind as usize];
                self.is_urgent |= claim.answer(grant.round, *part, now);
            }
        }
    }

    /// Takes in that a keeper wants to be asked again.
    pub fn on_recall(&mut self, from: id::Host, recall: &Recall, now: Instant) {
        for limit in &recall.limits {
            let Some((key, limit_kind)) = scope::parts(*limit) else {
                continue;
            };
            if self.ring.keeper(key) != Some(from) {
                continue;
            }
            if let Some(account) = self.accounts.get_mut(&key) {
                self.is_urgent |= account.claims[limit_kind as usize].recall(now);
            }
        }
    }

    /// What of a limit this host may use now; `None` if it is not known here.
    pub fn share(&self, scope: &Scope, limit_kind: LimitKind, now: Instant) -> Option<f64> {
        let account = self.accounts.get(&scope.key)?;
        account.share(limit_kind, self.hosts(), now)
    }

    /// Scopes that are remembered.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Hosts that share the limits; we do even if we are not said to serve yet or any more.
    fn hosts(&self) -> usize {
        let hosts = self.ring.hosts();
        hosts.len() + usize::from(!hosts.contains(&self.own))
    }

    fn due(&self, now: Instant) -> Vec<Due> {
        let hosts = self.hosts();
        let mut due = Vec::new();
        for (key, account) in &self.accounts {
            for limit_kind in LimitKind::ALL {
                let Some(most) = limit_kind.of(&account.limits) else {
                    continue;
                };
                let demand = account.wanted(limit_kind, hosts, now);
                let claim = &account.claims[limit_kind as usize];
                if !claim.is_due(demand, most.into(), hosts, now) {
                    continue;
                }
                due.push(Due {
                    key: *key,
                    limit_kind,
                    most,
                    demand,
                });
            }
        }
        due
    }

    fn ask(&mut self, keeper: id::Host, due: &[Due], now: Instant) -> Ask {
        self.round = self.round.wrapping_add(1);
        let round = self.round;
        let claims = due.iter().filter_map(|due| {
            let account = self.accounts.get_mut(&due.key)?;
            let claim = &mut account.claims[due.limit_kind as usize];
            claim.ask(round, due.demand, due.most.into(), now);
            Some(Told {
                limit: scope::limit(due.key, due.limit_kind),
                most: due.most,
                demand_millis: millis(due.demand),
                held_millis: millis(claim.held(now)),
            })
        });
        let claims = claims.collect();
        let open = Open {
            keeper,
            at: now,
            limits: due.iter().map(|due| (due.key, due.limit_kind)).collect(),
        };
        self.open.insert(round, open);
        Ask { round, claims }
    }

    /// Forgets what would be no different if it were made anew.
    fn tidy(&mut self, now: Instant) {
        self.open.retain(|_, open| now < open.at + ANSWER_TIME);
        if now < self.tidy_at {
            return;
        }
        self.tidy_at = now + TIDY_EVERY;
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
