//! Serves the customers in proportion to their weights, see `docs/design/fair-shares.md`.

use std::{
    cmp::Ordering,
    collections::HashMap,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use super::{
    Denials, Order, Place, Turnover, Waiter,
    virtual_counter::{Counters, DEFAULT_WEIGHT, Level, Weight, relative},
};
use crate::{frame::SlotRequest, lease::Footprint};

/// Stands for all requests without a customer. The configuration has no customer with an empty name.
const NO_CUSTOMER: &str = "";
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
    /// Denials of each customer that were not reported yet.
    denied: HashMap<id::Customer, u32>,
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
type Positions = SmallVec<[Position; 64]>;

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

    /// Returns the positions of requests of one service, in the order given. The work of a customer's own earlier requests
    /// counts, as its counter will have risen by it.
    fn positions(&self, turn: Turn, waiters: &[&Waiter]) -> Positions {
        let mut in_own_order: SmallVec<[usize; 64]> = (0..waiters.len()).collect();
        in_own_order.sort_by_key(|index| own_order(waiters[*index]));
        let mut levels: HashMap<&str, Level> = HashMap::new();
        let mut positions: Positions = waiters.iter().map(|it| position(turn, it, 0)).collect();
        for index in in_own_order {
            let request = &waiters[index].request;
            let level = levels
                .entry(customer(request))
                .or_insert_with(|| self.level(request));
            positions[index] = position(turn, waiters[index], *level);
            let added = relative(request.size.work(), weight(request));
            *level = level.saturating_add(added);
        }
        positions
    }
}

/// Returns the place of a request that is reached by rank or by counter, whichever comes first.
fn place(by_rank: usize, by_counter: usize) -> usize {
    by_rank.min((by_counter + 1) * COUNTER_TURN as usize - 1)
}

/// Returns the requests of a service.
fn of_service<'a>(service: &str, waiting: &'a [Waiter]) -> SmallVec<[&'a Waiter; 64]> {
    let same = waiting.iter().filter(|it| it.request.service == service);
    same.collect()
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
        let mut waiters = of_service(&waiter.request.service, waiting);
        waiters.push(waiter);
        let count = |turn| {
            let positions = self.positions(turn, &waiters);
            let (own, others) = positions.split_last().expect("the request itself");
            others.iter().filter(|it| *it <= own).count()
        };
        place(count(Turn::Rank), count(Turn::Counter))
    }

    fn places(&self, service: &str, waiting: &[Waiter]) -> Vec<Place> {
        let waiters = of_service(service, waiting);
        let count = |turn| {
            let positions = self.positions(turn, &waiters);
            let mut sorted = positions.clone();
            sorted.sort_unstable();
            let ahead = move |it: &Position| sorted.partition_point(|other| other < it);
            positions.into_iter().map(move |it| ahead(&it))
        };
        let both = count(Turn::Rank).zip(count(Turn::Counter));
        let has_share = |it: &(&&Waiter, _)| it.0.request.share.is_some();
        let places = waiters.iter().zip(both).filter(has_share);
        let places = places.map(|(waiter, (by_rank, by_counter))| Place {
            from: waiter.from,
            lease: waiter.request.lease,
            ahead: place(by_rank, by_counter),
            expires_at: waiter.expires_at,
        });
        places.collect()
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
        self.record_weight(request);
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
        self.record_weight(request);
        if request.class.is_batch() {
            return false;
        }
        let service = self.services.entry(request.service.clone()).or_default();
        service.grants = service.grants.wrapping_add(1);
        let work = request.size.work();
        service
            .counters
            .charge(customer(request), work, weight(request), now);
        // Without customers there is one counter, which all requests share.
        !self.weights.is_empty()
    }

    fn record_held(&mut self, service: &str, footprint: &Footprint, now: Instant) {
        let weight = self.weight(footprint.customer.as_deref());
        let service = self.services.entry(service.to_owned()).or_default();
        let customer = footprint.customer.as_deref().unwrap_or(NO_CUSTOMER);
        service.counters.add(customer, footprint.work, weight, now);
    }

    fn weighs_customers(&self) -> bool {
        true
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
        *self.denied.entry(share.customer.clone()).or_default() += 1;
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

    fn take_denials(&mut self) -> Option<Denials> {
        let denied = std::mem::take(&mut self.denied);
        let (total, customers) = (denied.values().sum(), denied.len());
        let busiest = denied
            .into_iter()
            .max_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
        let (busiest, of_busiest) = busiest?;
        Some(Denials {
            total,
            customers,
            busiest,
            of_busiest,
        })
    }

    fn reset(&mut self) {
        self.services.clear();
    }
}

impl FairShare {
    fn record_weight(&mut self, request: &SlotRequest) {
        if let Some(share) = &request.share
            && self.weights.get(&share.customer) != Some(&share.weight)
        {
            self.weights.insert(share.customer.clone(), share.weight);
        }
    }

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
