//! The limiter of one host.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use tinbank_base::id;
use tinbank_configuration::limit::Limits;

use super::{
    bucket::{Bucket, Rate},
    demand::{Announced, Average, Demand, Digest, FRESH},
    share::{self, View},
};

/// A bucket holds what comes in this time, and at least one request.
const BURST: Duration = Duration::from_secs(1);
/// When to ask again if too many run at once.
const AT_ONCE_WAIT: Duration = Duration::from_secs(1);

/// Which limit was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Which {
    /// Requests a second.
    Requests,
    /// Tokens a second.
    Tokens,
    /// Requests at once.
    AtOnce,
}

/// A request over a limit. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Which limit.
    pub which: Which,
    /// When to ask again.
    pub retry_at: Instant,
}

/// Decides whether requests are within their customers' limits.
#[derive(Clone, Debug)]
pub struct Limiter {
    own: id::Host,
    hosts: BTreeSet<id::Host>,
    accounts: BTreeMap<id::Customer, Account>,
    peers: BTreeMap<id::Host, (Instant, Digest)>,
}

#[derive(Clone, Debug)]
struct Account {
    requests: Bucket,
    tokens: Bucket,
    running: u32,
    arrivals: Average,
    accepted: Average,
    crowded: Average,
    spent: Average,
    announced: Announced,
}

impl Limiter {
    /// A limiter of a host that knows no other yet.
    pub fn new(own: id::Host) -> Self {
        Self {
            own,
            hosts: BTreeSet::from([own]),
            accounts: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Takes in which hosts share the limits.
    pub fn set_hosts(&mut self, hosts: impl IntoIterator<Item = id::Host>) {
        self.hosts = hosts.into_iter().collect();
        self.hosts.insert(self.own);
        let hosts = &self.hosts;
        self.peers.retain(|host, _| hosts.contains(host));
    }

    /// Takes in a peer's digest.
    pub fn hear(&mut self, from: id::Host, digest: Digest, now: Instant) {
        if from != self.own {
            self.peers.insert(from, (now, digest));
        }
    }

    /// What the peers are to be told now. Call it about once a second, and send it to all of them.
    pub fn announce(&mut self, now: Instant) -> Digest {
        let mut customers = BTreeMap::new();
        for (customer, account) in &mut self.accounts {
            let demand = account.demand(now);
            account.announced.tell(demand, now);
            if !demand.is_negligible() {
                customers.insert(customer.clone(), demand);
            }
        }
        self.accounts
            .retain(|_, account| account.running > 0 || !account.demand(now).is_negligible());
        Digest { customers }
    }

    /// Lets a request in, or says which limit it is over. What is let in has to be ended by [`Limiter::end`].
    ///
    /// # Errors
    /// The limit that was reached, and when to ask again.
    pub fn begin(&mut self, customer: &str, limits: &Limits, now: Instant) -> Result<(), Refusal> {
        let others = self.others(customer, now);
        let hosts = self.hosts.len();
        let account = self.account(customer, now);
        account.arrivals.add(1.0, now);
        let shares = account.shares(limits, hosts, others, now);
        account.check(&shares, now)?;
        account.requests.take(1.0);
        account.accepted.add(1.0, now);
        account.running += 1;
        Ok(())
    }

    /// A request that was let in has ended.
    pub fn end(&mut self, customer: &str) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.running = account.running.saturating_sub(1);
        }
    }

    /// Tokens were generated for a customer.
    pub fn spend(&mut self, customer: &str, tokens: u32, now: Instant) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.tokens.take(tokens.into());
            account.spent.add(tokens.into(), now);
        }
    }

    /// Requests of a customer that are running here.
    pub fn running(&self, customer: &str) -> u32 {
        self.accounts
            .get(customer)
            .map_or(0, |account| account.running)
    }

    /// Demand of the peers for a customer, if all of them were heard of lately.
    fn others(&self, customer: &str, now: Instant) -> Option<Demand> {
        let peers = self.hosts.iter().filter(|host| **host != self.own);
        peers
            .map(|host| {
                let (heard, digest) = self.peers.get(host)?;
                let fresh = now.saturating_duration_since(*heard) <= FRESH;
                let demand = digest.customers.get(customer).copied();
                fresh.then(|| demand.unwrap_or_default())
            })
            .try_fold(Demand::default(), |sum, demand| Some(sum.plus(demand?)))
    }

    fn account(&mut self, customer: &str, now: Instant) -> &mut Account {
        self.accounts
            .entry(customer.to_owned())
            .or_insert_with(|| Account::new(now))
    }
}

/// Our shares of a customer's limits.
#[derive(Clone, Copy, Debug)]
struct Shares {
    requests: Option<Rate>,
    tokens: Option<Rate>,
    at_once: Option<u32>,
}

impl Account {
    fn new(now: Instant) -> Self {
        // Full by whatever rate it is filled at first: nothing was asked for lately.
        let untouched = Rate {
            per_second: 0.0,
            burst: f64::INFINITY,
        };
        Self {
            requests: Bucket::new(untouched, now),
            tokens: Bucket::new(untouched, now),
            running: 0,
            arrivals: Average::new(now),
            accepted: Average::new(now),
            crowded: Average::new(now),
            spent: Average::new(now),
            announced: Announced::default(),
        }
    }

    /// What is asked for, refused requests included.
    fn demand(&self, now: Instant) -> Demand {
        let arrivals = self.arrivals.per_second(now);
        let accepted = self.accepted.per_second(now);
        let spent = self.spent.per_second(now);
        let asked = if accepted > 0.0 {
            arrivals / accepted
        } else {
            1.0
        };
        Demand {
            requests: arrivals as f32,
            tokens: (spent * asked) as f32,
            at_once: self.running as f32 + self.crowded.per_second(now) as f32,
        }
    }

    fn shares(
        &self,
        limits: &Limits,
        hosts: usize,
        others: Option<Demand>,
        now: Instant,
    ) -> Shares {
        let own = self.demand(now).min(self.announced.settled(now));
        let share = |limit: Option<u32>, of: fn(Demand) -> f32| {
            let view = View {
                hosts,
                own: of(own).into(),
                others: others.map(|others| of(others).into()),
            };
            limit.map(|limit| share::of(limit.into(), &view))
        };
        let at_once = share(limits.online_at_once, |demand| demand.at_once);
        Shares {
            requests: share(limits.requests_per_second, |demand| demand.requests).map(rate),
            tokens: share(limits.tokens_per_second, |demand| demand.tokens).map(rate),
            // Each host lets one in, or a limit below the number of hosts would let nobody in.
            at_once: at_once.map(|share| (share.floor() as u32).max(1)),
        }
    }

    fn check(&mut self, shares: &Shares, now: Instant) -> Result<(), Refusal> {
        let refuse = |which, wait| Refusal {
            which,
            retry_at: now + wait,
        };
        if shares.at_once.is_some_and(|most| self.running >= most) {
            self.crowded.add(1.0, now);
            return Err(refuse(Which::AtOnce, AT_ONCE_WAIT));
        }
        if let Some(rate) = shares.tokens {
            self.tokens.fill(rate, now);
            // The price is known only afterwards: one is let in as long as nothing is owed.
            let owed = self.tokens.check(0.0, rate);
            owed.map_err(|wait| refuse(Which::Tokens, wait))?;
        }
        if let Some(rate) = shares.requests {
            self.requests.fill(rate, now);
            let left = self.requests.check(1.0, rate);
            left.map_err(|wait| refuse(Which::Requests, wait))?;
        }
        Ok(())
    }
}

fn rate(per_second: f64) -> Rate {
    Rate {
        per_second,
        burst: (per_second * BURST.as_secs_f64()).max(1.0),
    }
}
