//! Counts customers' requests on one allocator.
//!
//! Each counter has a token bucket per customer for the whole limit. It deducts the requests that it admits and sends the
//! totals to the other counters, which deduct them too. A bucket may become negative when several counters admit requests
//! before they have exchanged totals; it then admits nothing until it is refilled. The error is therefore bounded by one
//! exchange interval and does not accumulate.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_base::id;

use crate::{
    bucket::{Bucket, BucketConfig, refill_time},
    counts::{Counts, CustomerCount},
    limit::{Limit, Tolerance},
    reach::Reachability,
};

/// Share of a limit's excess that is added to the capacity of buckets. Without it, a customer at its limit is refused
/// because requests arrive with jitter. The capacity counts twice during a partition, so it must stay small. With 0.4 a
/// customer had 256 requests of 244 in a window with a cut.
const CAPACITY_EXCESS_SHARE: f64 = 0.1;
/// Share of a limit's excess that a bucket starts with if the counter does not know what was admitted before. This is
/// how far a window across the start may exceed the limit, and there may be two starts in a window. With 0.25, two
/// losses of all hosts within a window let a customer have 245 requests of 244.
const INITIAL_EXCESS_SHARE: f64 = 0.15;
/// A counter with a smaller share is on the minority side of a partition. It starts anew, so that what is left of an
/// allowance is not available on both sides. Without the new start, a third of the hosts that were cut off together
/// kept a third of what was left, and a customer had 263 requests of 244 in a window.
const MAJORITY_SHARE: f64 = 0.5;
/// Minimum time before the start of a process in which it has admitted nothing. Allowances are refilled for that time,
/// because customers within their limits would be refused after a power loss otherwise. A process is started again half
/// a second after it was killed.
const RESTART_DOWNTIME: Duration = Duration::from_millis(400);
/// How many times each total is sent, in case datagrams are lost. Two losses in a row are rare, and the next request of
/// the customer sends its total anyway.
const SENDS_PER_TOTAL: u8 = 3;
/// How long a counter without updates continues to send messages, so that others notice when it becomes unreachable. It
/// is as long as the usual windows of limits: without requests for that long there is nothing to be exact about.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Maximum number of customers per message, so that it fits in a datagram. The others follow in the next message. A
/// customer takes some 25 bytes.
const MAX_CUSTOMERS_PER_MESSAGE: usize = 200;
/// Time without a message after which a peer's level is used instead of the difference of its totals. Much of that
/// difference has been refilled in the meantime, so deducting all of it would refuse customers within their limits.
/// After a cut of 6 s between counters, it refused 145 of 961 requests of a customer below its limit.
const LEVEL_SYNC_AFTER: Duration = Duration::from_millis(500);
/// Time without a request after which a customer's account is dropped. Its bucket is full by then, so a new account is
/// equivalent.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Limit of a customer of which only other counters have reported requests so far.
const UNKNOWN_LIMIT: Limit = Limit {
    rate_milli: 0,
    burst_milli: 0,
};

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The customer is within its limit.
    Within,
    /// The customer has used up its allowance.
    Over(OverLimit),
}

/// A customer above its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverLimit {
    /// Time until there is allowance for this request, if all requests refused before it are retried first.
    pub retry_after: Duration,
    /// Remaining allowance, in thousandths of a request.
    pub level_milli: i64,
}

/// Counter of an active allocator.
#[derive(Debug)]
pub struct Counter {
    incarnation: id::Incarnation,
    tolerance: Tolerance,
    /// Since then, all requests admitted anywhere are known.
    started_at: Option<Instant>,
    /// Time before `started_at` in which nothing can have been admitted.
    downtime: Duration,
    /// Share of the limits that this counter may admit.
    share: f64,
    accounts: HashMap<id::Customer, Account>,
    /// Customers whose totals are to be sent.
    pending: Vec<id::Customer>,
    peers: HashMap<SocketAddr, Peer>,
    prune_at: Option<Instant>,
    /// Until then, messages are sent even without updates.
    keepalive_until: Option<Instant>,
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    limit: Limit,
    total: u64,
    /// How many more times the total is sent.
    sends_left: u8,
    /// When there is allowance for the last refused request.
    retry_at: Instant,
}

/// State of another counter.
#[derive(Debug, Default)]
struct Peer {
    incarnation: id::Incarnation,
    received_at: Option<Instant>,
    totals: HashMap<id::Customer, u64>,
}

impl Counter {
    /// Creates a counter without any state. `incarnation` identifies this start.
    pub fn new(incarnation: id::Incarnation, tolerance: Tolerance) -> Self {
        Self {
            incarnation,
            tolerance,
            started_at: None,
            downtime: Duration::ZERO,
            share: 1.0,
            accounts: HashMap::new(),
            pending: Vec::new(),
            peers: HashMap::new(),
            prune_at: None,
            keepalive_until: None,
        }
    }

    /// Resets the counter, for use when it has been inactive and other counters may have admitted requests. If the
    /// process has just started, the other counters may have, too, so its downtime is credited.
    pub fn reset(&mut self, is_process_start: bool, now: Instant) {
        self.started_at = Some(now);
        self.downtime = match is_process_start {
            true => RESTART_DOWNTIME,
            false => Duration::ZERO,
        };
        self.peers.clear();
        for account in self.accounts.values_mut() {
            let config = bucket_config(&self.tolerance, account.limit, self.share);
            let level = account.bucket.level(config, now);
            let initial = self.tolerance.excess(account.limit) * INITIAL_EXCESS_SHARE * self.share;
            account.bucket = Bucket::new(level.min(initial), now);
        }
    }

    /// Sets which share of the limits this counter may admit, see [`Reachability`]. A counter that loses the majority
    /// starts with almost no allowance, because the majority continues with what was left.
    pub fn set_share(&mut self, share: f64, now: Instant) {
        let had_majority = self.share >= MAJORITY_SHARE;
        self.share = share;
        if had_majority && share < MAJORITY_SHARE {
            self.reset(false, now);
        }
    }

    /// Returns whether a customer's request may be admitted. Deducts nothing.
    pub fn check(&mut self, customer: &str, limit: Limit, now: Instant) -> Verdict {
        let config = self.bucket_config(limit);
        let window = self.tolerance.window;
        let account = self.account(customer, limit, now);
        let level = account.bucket.level(config, now);
        if level >= 1.0 {
            return Verdict::Within;
        }
        let next = now + refill_time(1.0 - level, config.rate);
        let behind_refused = account.retry_at + refill_time(1.0, config.rate);
        account.retry_at = next.max(behind_refused).min(now + window);
        Verdict::Over(OverLimit {
            retry_after: account.retry_at.saturating_duration_since(now),
            level_milli: to_milli(level),
        })
    }

    /// Deducts an admitted request.
    pub fn take(&mut self, customer: &str, limit: Limit, now: Instant) {
        let account = self.account(customer, limit, now);
        account.bucket.take(1.0);
        account.total += 1;
        let is_pending = account.sends_left > 0;
        account.sends_left = SENDS_PER_TOTAL;
        if !is_pending {
            self.pending.push(customer.to_owned());
        }
    }

    /// Returns the message for the other counters, or `None` if there were no updates for a while.
    pub fn next_counts(&mut self, reachability: &Reachability, now: Instant) -> Option<Counts> {
        self.prune(now);
        let batch = self.pending.len().min(MAX_CUSTOMERS_PER_MESSAGE);
        let batch: Vec<id::Customer> = self.pending.drain(..batch).collect();
        let mut customers = Vec::with_capacity(batch.len());
        for customer in batch {
            let Some(account) = self.accounts.get_mut(&customer) else {
                continue;
            };
            let config = bucket_config(&self.tolerance, account.limit, self.share);
            customers.push(CustomerCount {
                customer: customer.clone(),
                total: account.total,
                level_milli: to_milli(account.bucket.level(config, now)),
            });
            account.sends_left -= 1;
            if account.sends_left > 0 {
                self.pending.push(customer);
            }
        }
        if !customers.is_empty() {
            self.keepalive_until = Some(now + KEEPALIVE_TIME);
        }
        self.keepalive_until.filter(|until| now < *until)?;
        Some(Counts {
            incarnation: self.incarnation,
            reachable_hosts: reachability.reachable_hosts(now) as u32,
            known_hosts: reachability.known_hosts() as u32,
            customers,
        })
    }

    /// Applies another counter's message.
    pub fn apply(&mut self, from: SocketAddr, counts: Counts, now: Instant) {
        let peer = self.peers.entry(from).or_default();
        if peer.incarnation != counts.incarnation {
            peer.incarnation = counts.incarnation;
            peer.totals.clear();
        }
        let was_out_of_contact = peer
            .received_at
            .is_none_or(|at| now > at + LEVEL_SYNC_AFTER);
        peer.received_at = Some(now);
        for count in counts.customers {
            let before = peer.totals.get(&count.customer).copied();
            if before.is_some_and(|before| before >= count.total) {
                continue;
            }
            peer.totals.insert(count.customer.clone(), count.total);
            let level = count.level_milli as f64 / 1_000.0;
            let before = before.filter(|_| !was_out_of_contact);
            match self.accounts.get_mut(&count.customer) {
                Some(account) if account.limit != UNKNOWN_LIMIT => {
                    let config = bucket_config(&self.tolerance, account.limit, self.share);
                    account.apply_total(config, count.total, before, level, now);
                }
                _ => {
                    let account = Account::new(level, now);
                    self.accounts.insert(count.customer, account);
                }
            }
        }
    }

    fn account(&mut self, customer: &str, limit: Limit, now: Instant) -> &mut Account {
        if !self.accounts.contains_key(customer) {
            let account = Account::new(self.initial_level(limit, now), now);
            self.accounts.insert(customer.to_owned(), account);
        }
        let account = self.accounts.get_mut(customer);
        let account = account.unwrap_or_else(|| unreachable!("inserted above"));
        account.limit = limit;
        account
    }

    /// Returns the minimum that is left of an allowance without known requests: what was refilled since the counter
    /// started.
    fn initial_level(&self, limit: Limit, now: Instant) -> f64 {
        let started_at = self.started_at.unwrap_or(now);
        let known_for = (now.saturating_duration_since(started_at) + self.downtime).as_secs_f64();
        (self.tolerance.excess(limit) * INITIAL_EXCESS_SHARE + limit.rate() * known_for)
            * self.share
    }

    fn bucket_config(&self, limit: Limit) -> BucketConfig {
        bucket_config(&self.tolerance, limit, self.share)
    }

    /// Drops idle accounts. Few of the customers send requests at any time.
    fn prune(&mut self, now: Instant) {
        if self.prune_at.is_some_and(|at| now < at) {
            return;
        }
        self.prune_at = Some(now + IDLE_TIMEOUT);
        let accounts = &mut self.accounts;
        accounts.retain(|_, it| it.sends_left > 0 || now < it.bucket.last_updated() + IDLE_TIMEOUT);
        for peer in self.peers.values_mut() {
            peer.totals
                .retain(|customer, _| accounts.contains_key(customer));
        }
    }
}

impl Account {
    fn new(level: f64, now: Instant) -> Self {
        Self {
            bucket: Bucket::new(level, now),
            limit: UNKNOWN_LIMIT,
            total: 0,
            sends_left: 0,
            retry_at: now,
        }
    }

    /// Applies another counter's total: deducts the difference from the one before or, if there is none to compare
    /// with, lowers the bucket to the reported level.
    fn apply_total(
        &mut self,
        config: BucketConfig,
        total: u64,
        before: Option<u64>,
        level: f64,
        now: Instant,
    ) {
        // Refill first, so that a full bucket loses the tokens above its capacity before the deduction.
        self.bucket.level(config, now);
        match before {
            Some(before) => self.bucket.take((total - before) as f64),
            None => self.bucket.lower_to(level),
        }
    }
}

fn bucket_config(tolerance: &Tolerance, limit: Limit, share: f64) -> BucketConfig {
    BucketConfig {
        rate: limit.rate() * share,
        capacity: (limit.burst() + tolerance.excess(limit) * CAPACITY_EXCESS_SHARE) * share,
    }
}

fn to_milli(tokens: f64) -> i64 {
    (tokens * 1_000.0) as i64
}
