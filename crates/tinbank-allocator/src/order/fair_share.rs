//! Serves the customers in proportion to their weights, see `docs/design/fair-shares.md`.

use std::{
    cmp::Ordering,
    collections::HashMap,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use super::{
    Order, Turnover, Waiter,
    virtual_counter::{Counters, Level, Weight, relative},
};
use crate::{frame::SlotRequest, lease::Footprint};

/// Stands for all requests without a customer. The configuration has no customer with an empty name.
const NO_CUSTOMER: &str = "";
/// Weight of a customer without a limit, and of one that has sent no request to this allocator.
const DEFAULT_WEIGHT: Weight = 1_000;
/// Step in which the counters age. Levels halve in about 1.3 s, so shares are fair over the 2 s that callers notice, and a
/// customer that used idle slots is not served last for longer than that.
const AGING_STEP: Duration = Duration::from_millis(250);
/// One grant in this many goes by counter alone. If requests of a high rank could take all slots, a customer of low rank
/// then still has a quarter of the mean fraction of its requests served while up to 4 in 5 customers have a low rank.
const COUNTER_TURN: u32 = 5;
/// A customer may always have this many requests waiting. Services with few slots and short requests serve more than one
/// request for each slot within a caller's time.
const MIN_QUEUE_BOUND: usize = 64;
/// Refused callers return within this time, since they have 5 s in all and retry after at most a third of what is left.
const RETURN_HORIZON: Duration = Duration::from_secs(2);

/// Serves by rank, then the customer with the least work relative to its weight, then by expiry. Requests without a
/// customer count as one customer's.
#[derive(Debug, Default)]
pub struct FairShare {
    services: HashMap<id::Service, Service>,
    weights: HashMap<id::Customer, Weight>,
}

/// The customers' shares of one service.
#[derive(Debug)]
struct Service {
    counters: Counters,
    /// Number of grants.
    grants: u32,
    /// When the last refused caller of each customer returns.
    returns: HashMap<id::Customer, Instant>,
}

/// What decides first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    Rank,
    Counter,
}

/// Position of a request in the order; the least is served first.
type Position = (Level, (bool, u8), Level, Instant);

impl Default for Service {
    fn default() -> Self {
        Self {
            counters: Counters::new(AGING_STEP),
            grants: 0,
            returns: HashMap::new(),
        }
    }
}

impl Service {
    fn turn(&self) -> Turn {
        match self.grants % COUNTER_TURN {
            0 if self.grants > 0 => Turn::Counter,
            _ => Turn::Rank,
        }
    }
}

impl FairShare {
    fn level(&self, request: &SlotRequest) -> Level {
        let service = self.services.get(&request.service);
        service.map_or(0, |it| it.counters.level(customer(request)))
    }

    /// Returns how many waiting requests are served before this one if only one kind of turn decides. The work of a
    /// customer's own earlier requests counts, as its counter will have risen by it.
    fn count_ahead_by(&self, turn: Turn, waiter: &Waiter, waiting: &[Waiter]) -> usize {
        let service = &waiter.request.service;
        let same = waiting.iter().filter(|it| it.request.service == *service);
        let mut same: SmallVec<[&Waiter; 64]> = same.collect();
        same.sort_by_key(|it| own_order(it));
        let mut levels: HashMap<&str, Level> = HashMap::new();
        let mut positions: SmallVec<[Position; 64]> = SmallVec::new();
        let mut own_level = self.level(&waiter.request);
        for other in same {
            let request = &other.request;
            let level = levels
                .entry(customer(request))
                .or_insert_with(|| self.level(request));
            positions.push(position(turn, other, *level));
            let added = relative(request.size.work(), weight(request));
            *level = level.saturating_add(added);
            let is_own = customer(request) == customer(&waiter.request);
            if is_own && own_order(other) <= own_order(waiter) {
                own_level = own_level.saturating_add(added);
            }
        }
        let own = position(turn, waiter, own_level);
        positions.into_iter().filter(|it| *it <= own).count()
    }
}

impl Order for FairShare {
    fn compare(&self, a: &Waiter, b: &Waiter) -> Ordering {
        let turn_of = |it: &Waiter| self.services.get(&it.request.service).map(Service::turn);
        let key = |it: &Waiter| {
            let turn = turn_of(it).unwrap_or(Turn::Rank);
            position(turn, it, self.level(&it.request))
        };
        key(a).cmp(&key(b))
    }

    fn count_ahead(&self, waiter: &Waiter, waiting: &[Waiter]) -> usize {
        let by_rank = self.count_ahead_by(Turn::Rank, waiter, waiting);
        let by_counter = self.count_ahead_by(Turn::Counter, waiter, waiting);
        let turns = (by_counter + 1) * COUNTER_TURN as usize;
        by_rank.min(turns - 1)
    }

    fn may_wait(&self, request: &SlotRequest, waiting: &[Waiter], slots: usize) -> bool {
        if request.share.is_none() {
            return true;
        }
        let own = waiting
            .iter()
            .filter(|it| is_same_share(&it.request, request));
        own.count() < slots.max(MIN_QUEUE_BOUND)
    }

    fn record_queued(&mut self, request: &SlotRequest, waiting: &[Waiter], now: Instant) {
        if let Some(share) = &request.share
            && self.weights.get(&share.customer) != Some(&share.weight)
        {
            self.weights.insert(share.customer.clone(), share.weight);
        }
        let service = self.services.entry(request.service.clone()).or_default();
        service.counters.age(now);
        if waiting.iter().any(|it| is_same_share(&it.request, request)) {
            return;
        }
        // A customer of low rank that waits for long has a low counter. Requests of higher rank do not compete with it, and
        // starting at its level would put them before the others of their rank.
        let competes = |it: &&Waiter| {
            it.request.service == request.service
                && it.request.rank == request.rank
                && it.is_late() == request.queue.is_low_priority()
        };
        let levels = waiting
            .iter()
            .filter(competes)
            .map(|it| service.counters.level(customer(&it.request)));
        let floor = levels.min().unwrap_or_else(|| service.counters.served());
        service.counters.raise(customer(request), floor);
    }

    fn record_grant(&mut self, request: &SlotRequest, now: Instant) -> bool {
        if request.class.is_batch() {
            return false;
        }
        let service = self.services.entry(request.service.clone()).or_default();
        service.grants = service.grants.wrapping_add(1);
        let work = request.size.work();
        service
            .counters
            .charge(customer(request), work, weight(request), now);
        true
    }

    fn record_held(&mut self, service: &str, footprint: &Footprint, now: Instant) {
        let weight = self.weight(footprint.customer.as_deref());
        let service = self.services.entry(service.to_owned()).or_default();
        let customer = footprint.customer.as_deref().unwrap_or(NO_CUSTOMER);
        service.counters.add(customer, footprint.work, weight, now);
    }

    fn excess(&self, customer: Option<&str>, held_work: u64) -> u64 {
        relative(held_work, self.weight(customer))
    }

    fn return_after(
        &mut self,
        request: &SlotRequest,
        waiting: &[Waiter],
        turnover: Turnover,
        now: Instant,
    ) -> Option<Duration> {
        let share = request.share.as_ref()?;
        let per_slot = turnover.slot_time? / turnover.slots.max(1) as u32;
        let mut weights: HashMap<&str, Weight> = HashMap::new();
        weights.insert(&share.customer, share.weight);
        let same_service = waiting
            .iter()
            .filter(|it| it.request.service == request.service);
        let (mut all, mut own) = (0, 0);
        for other in same_service {
            all += 1;
            own += u32::from(is_same_share(&other.request, request));
            weights.insert(customer(&other.request), weight(&other.request));
        }
        let total: u64 = weights.values().copied().map(u64::from).sum();
        let part = total as f64 / f64::from(share.weight.max(1));
        let interval = per_slot.mul_f64(part).min(RETURN_HORIZON);
        let service = self.services.entry(request.service.clone()).or_default();
        service.returns.retain(|_, at| now < *at);
        let served_at = now + (interval * own).max(per_slot * all);
        let last = service.returns.get(&share.customer).copied();
        let at = last.map_or(served_at, |last| last.max(served_at)) + interval;
        let at = at.min(now + RETURN_HORIZON);
        service.returns.insert(share.customer.clone(), at);
        Some(at - now)
    }

    fn reset(&mut self) {
        self.services.clear();
    }
}

impl FairShare {
    fn weight(&self, customer: Option<&str>) -> Weight {
        let known = customer.and_then(|it| self.weights.get(it));
        known.copied().unwrap_or(DEFAULT_WEIGHT)
    }
}

fn customer(request: &SlotRequest) -> &str {
    let share = request.share.as_ref();
    share.map_or(NO_CUSTOMER, |it| &it.customer)
}

fn weight(request: &SlotRequest) -> Weight {
    let share = request.share.as_ref();
    share.map_or(DEFAULT_WEIGHT, |it| it.weight)
}

fn is_same_share(a: &SlotRequest, b: &SlotRequest) -> bool {
    a.service == b.service && customer(a) == customer(b)
}

/// Returns the order among the requests of one customer, see [`super::ByExpiry`].
fn own_order(waiter: &Waiter) -> (bool, u8, Instant) {
    (waiter.is_late(), waiter.request.rank, waiter.expires_at)
}

fn position(turn: Turn, waiter: &Waiter, level: Level) -> Position {
    let class = (waiter.is_late(), waiter.request.rank);
    match turn {
        Turn::Rank => (0, class, level, waiter.expires_at),
        Turn::Counter => (level, class, 0, waiter.expires_at),
    }
}
