//! The count of a host that deals out slots.
//!
//! Each counter has a token bucket a customer for the whole limit, takes from it what it lets in itself, and tells the other
//! counters, which take it from theirs. A bucket may fall below zero by what several let in before they heard of each other;
//! nothing passes until that is made up for, so the delay costs exactness for one round of telling, and not more with time.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_base::id;

use crate::{
    bucket::{Bucket, Shape, time_for},
    counts::{Counts, Taken},
    limit::{Limit, Tolerance},
    reach::Reach,
};

/// Part of the excess of a limit that makes buckets larger. Requests are counted where and when they arrive, some milliseconds
/// from where their customer counts them; without room, a customer at its limit is refused by that. What is in a bucket is there
/// twice at the moment of a cut: with 0.4, a customer had 256 requests of 244 in a window.
const ROOM: f64 = 0.1;
/// Part of the excess of a limit with which a bucket starts at a counter that does not know what was let in before. Whatever
/// that was, it stayed below the limit, so what passes in a window that reaches over the start exceeds it by this much. Source:
/// two losses of all hosts within a window, with a quarter: 245 requests of 244 allowed.
const START: f64 = 0.15;
/// A counter that may give out less than this is cut off with the fewer hosts. Without a new beginning, a third of the hosts
/// that were cut off together kept a third of what was left: with it a customer had 263 requests of 244 in a window.
const MOST: f64 = 0.5;
/// Time for which a process that has just started has surely let nothing in, and no other host either if all were lost: what
/// comes in meanwhile is there when it starts. Source: a process is started again half a second after it was killed. Without it,
/// of 65 refusals of customers in the second after a loss of power most were of customers far below their limits.
const DARK: Duration = Duration::from_millis(400);
/// Times that an entry is told. Source: datagrams are lost now and then, two in a row hardly ever; the next request of the
/// customer tells its total anyway.
const TELLINGS: u8 = 3;
/// For so long after the last news a counter goes on telling, so that its silence says that it is lost or cut off. Source: the
/// windows that are usual; without news for that long there is nothing to be exact about.
const SPEAK_FOR: Duration = Duration::from_secs(5);
/// Most customers in one message: some 25 bytes each, within a datagram. The others are told the next time.
const MOST_TOLD: usize = 200;
/// What a counter has let in while nothing was heard of it for this long has come in again meanwhile, for the most part; its
/// level tells more. After a cut of 6 s between counters, taking the whole difference refused 145 of 961 requests of a customer
/// below its limit.
const SILENT_FOR: Duration = Duration::from_millis(500);
/// After this long without a request a full bucket is forgotten, which is then as if it had never been there.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The limit of a customer of which only others have told so far.
const UNKNOWN: Limit = Limit {
    rate_milli: 0,
    burst_milli: 0,
};

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its customer is within its limit.
    Within,
    /// Its customer has used up its allowance.
    Over(Over),
}

/// A customer above its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Over {
    /// When there is an allowance for this request, if all that were refused before come again first.
    pub returns_in: Duration,
    /// What is left of the allowance, in thousandths of a request.
    pub level_milli: i64,
}

/// Counts for as long as its host deals out slots.
#[derive(Debug)]
pub struct Counter {
    since: id::Incarnation,
    tolerance: Tolerance,
    /// From then on it has heard of all that is let in.
    began_at: Option<Instant>,
    /// For how long before nothing can have been let in.
    dark: Duration,
    /// Part of the limits that this counter may give out.
    share: f64,
    accounts: HashMap<id::Customer, Account>,
    /// Customers whose totals are to be told.
    due: Vec<id::Customer>,
    /// Totals of other counters.
    others: HashMap<SocketAddr, Other>,
    prune_at: Option<Instant>,
    /// Until then it speaks up each time, whether there is news or not.
    news_until: Option<Instant>,
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    limit: Limit,
    total: u64,
    /// How many more times the total is told.
    tellings: u8,
    /// When the allowance comes in for which the last refused request was told to return.
    returns_at: Instant,
}

#[derive(Debug, Default)]
struct Other {
    since: id::Incarnation,
    told_at: Option<Instant>,
    totals: HashMap<id::Customer, u64>,
}

impl Counter {
    /// A counter that knows nothing. `since` names its start.
    pub fn new(since: id::Incarnation, tolerance: Tolerance) -> Self {
        Self {
            since,
            tolerance,
            began_at: None,
            dark: Duration::ZERO,
            share: 1.0,
            accounts: HashMap::new(),
            due: Vec::new(),
            others: HashMap::new(),
            prune_at: None,
            news_until: None,
        }
    }

    /// Forgets all that it knew: it has not been asked or told for a while, and others have counted, unless the process has
    /// just started, and so may have the others.
    pub fn forget(&mut self, has_just_started: bool, now: Instant) {
        self.began_at = Some(now);
        self.dark = match has_just_started {
            true => DARK,
            false => Duration::ZERO,
        };
        self.others.clear();
        for account in self.accounts.values_mut() {
            let shape = shape(&self.tolerance, account.limit, self.share);
            let level = account.bucket.level(shape, now);
            let start = self.tolerance.excess(account.limit) * START * self.share;
            account.bucket = Bucket::new(level.min(start), now);
        }
    }

    /// Takes in which part of the limits this counter may give out, see [`crate::Reach`].
    /// A counter that finds itself among the few begins with almost nothing: the others go on with what there was.
    pub fn give_out(&mut self, share: f64, now: Instant) {
        let was_with_most = self.share >= MOST;
        self.share = share;
        if was_with_most && share < MOST {
            self.forget(false, now);
        }
    }

    /// Whether a request of a customer may pass now. Nothing is taken yet.
    pub fn check(&mut self, customer: &str, limit: Limit, now: Instant) -> Verdict {
        let shape = self.shape(limit);
        let window = self.tolerance.window;
        let account = self.account(customer, limit, now);
        let level = account.bucket.level(shape, now);
        if level >= 1.0 {
            return Verdict::Within;
        }
        let next = now + time_for(1.0 - level, shape.rate);
        let behind_others = account.returns_at + time_for(1.0, shape.rate);
        account.returns_at = next.max(behind_others).min(now + window);
        Verdict::Over(Over {
            returns_in: account.returns_at.saturating_duration_since(now),
            level_milli: milli(level),
        })
    }

    /// A request of a customer passes.
    pub fn take(&mut self, customer: &str, limit: Limit, now: Instant) {
        let account = self.account(customer, limit, now);
        account.bucket.take(1.0);
        account.total += 1;
        let is_due = account.tellings > 0;
        account.tellings = TELLINGS;
        if !is_due {
            self.due.push(customer.to_owned());
        }
    }

    /// What others have to hear. Nothing if there was no news for a while. `reach` says whom this counter hears.
    pub fn news(&mut self, reach: &Reach, now: Instant) -> Option<Counts> {
        self.prune(now);
        let told = self.due.len().min(MOST_TOLD);
        let told: Vec<id::Customer> = self.due.drain(..told).collect();
        let mut customers = Vec::with_capacity(told.len());
        for customer in told {
            let Some(account) = self.accounts.get_mut(&customer) else {
                continue;
            };
            let shape = shape(&self.tolerance, account.limit, self.share);
            customers.push(Taken {
                customer: customer.clone(),
                total: account.total,
                level_milli: milli(account.bucket.level(shape, now)),
            });
            account.tellings -= 1;
            if account.tellings > 0 {
                self.due.push(customer);
            }
        }
        if !customers.is_empty() {
            self.news_until = Some(now + SPEAK_FOR);
        }
        self.news_until.filter(|until| now < *until)?;
        Some(Counts {
            since: self.since,
            heard: reach.hosts(now) as u32,
            known: reach.known() as u32,
            customers,
        })
    }

    /// Takes in what another counter has let in.
    pub fn told(&mut self, from: SocketAddr, counts: Counts, now: Instant) {
        let other = self.others.entry(from).or_default();
        if other.since != counts.since {
            other.since = counts.since;
            other.totals.clear();
        }
        let was_silent = other.told_at.is_none_or(|at| now > at + SILENT_FOR);
        other.told_at = Some(now);
        for taken in counts.customers {
            let before = other.totals.get(&taken.customer).copied();
            if before.is_some_and(|before| before >= taken.total) {
                continue;
            }
            other.totals.insert(taken.customer.clone(), taken.total);
            let level = taken.level_milli as f64 / 1_000.0;
            let before = before.filter(|_| !was_silent);
            match self.accounts.get_mut(&taken.customer) {
                Some(account) if account.limit != UNKNOWN => {
                    let shape = shape(&self.tolerance, account.limit, self.share);
                    account.told(shape, taken.total, before, level, now);
                }
                _ => {
                    let account = Account::new(level, now);
                    self.accounts.insert(taken.customer, account);
                }
            }
        }
    }

    fn account(&mut self, customer: &str, limit: Limit, now: Instant) -> &mut Account {
        if !self.accounts.contains_key(customer) {
            let account = Account::new(self.start(limit, now), now);
            self.accounts.insert(customer.to_owned(), account);
        }
        let account = self.accounts.get_mut(customer);
        let account = account.unwrap_or_else(|| unreachable!("it was entered above"));
        account.limit = limit;
        account
    }

    /// What is left at least of an allowance of which nothing was heard: what has come in since the counter began.
    fn start(&self, limit: Limit, now: Instant) -> f64 {
        let began_at = self.began_at.unwrap_or(now);
        let known_for = (now.saturating_duration_since(began_at) + self.dark).as_secs_f64();
        (self.tolerance.excess(limit) * START + limit.rate() * known_for) * self.share
    }

    fn shape(&self, limit: Limit) -> Shape {
        shape(&self.tolerance, limit, self.share)
    }

    /// Forgets who has not sent anything for long. Customers are many, and few of them send at a time.
    fn prune(&mut self, now: Instant) {
        if self.prune_at.is_some_and(|at| now < at) {
            return;
        }
        self.prune_at = Some(now + FORGET_AFTER);
        let accounts = &mut self.accounts;
        accounts.retain(|_, it| it.tellings > 0 || now < it.bucket.last_used() + FORGET_AFTER);
        for other in self.others.values_mut() {
            other
                .totals
                .retain(|customer, _| accounts.contains_key(customer));
        }
    }
}

impl Account {
    fn new(level: f64, now: Instant) -> Self {
        Self {
            bucket: Bucket::new(level, now),
            limit: UNKNOWN,
            total: 0,
            tellings: 0,
            returns_at: now,
        }
    }

    /// Takes in what another counter has let in: the difference to what it had told before, or, where it had told nothing,
    /// what it knows of the level.
    fn told(&mut self, shape: Shape, total: u64, before: Option<u64>, level: f64, now: Instant) {
        // What came in until now comes first: a full bucket would take it in behind what was let out.
        self.bucket.level(shape, now);
        match before {
            Some(before) => self.bucket.take((total - before) as f64),
            None => self.bucket.lower(level),
        }
    }
}

fn shape(tolerance: &Tolerance, limit: Limit, share: f64) -> Shape {
    Shape {
        rate: limit.rate() * share,
        capacity: (limit.burst() + tolerance.excess(limit) * ROOM) * share,
    }
}

fn milli(tokens: f64) -> i64 {
    (tokens * 1_000.0) as i64
}
