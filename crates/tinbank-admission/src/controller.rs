//! Controller of engines: a state machine that grants batch credits and keeps slots free for bursts of online requests.
//!
//! It runs in every batch process, for the engines for which the process ranks first or second. See
//! `docs/design/admission.md`.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tinbank_base::{
    frame::credit::{CreditRequest, Grant, Load},
    id,
};

use crate::{
    burst::Burst,
    share::{Allocation, Allocations, Claimant, Weights},
};

/// Validity of a grant, from its receipt.
pub const GRANT_TTL: Duration = Duration::from_millis(3_000);
/// Validity of a withdrawal by the second controller, from its receipt.
pub const WITHDRAWAL_TTL: Duration = Duration::from_millis(1_000);
/// Time between renewals of a grant. A grant survives three lost renewals. So a loss of a tenth of the frames costs no
/// batch.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Longest time a grant is assumed to spend in transit. A longer delay means that the receiver paused, which the
/// receiver detects itself.
pub const MAX_TRANSIT_TIME: Duration = Duration::from_millis(200);
/// Time that a new controller waits before its first grant, so that all grants of its predecessor have expired and
/// every online process has reported its load.
pub const LEARNING_PERIOD: Duration = Duration::from_millis(3_500);
/// Validity of a reported load. A load that is not reported again by then is gone with its process.
pub const LOAD_TTL: Duration = Duration::from_secs(25);
/// Validity of a credit request. It survives two lost repetitions.
pub const CREDIT_REQUEST_TTL: Duration = Duration::from_secs(17);
/// Number of times a lowered grant is repeated, so that a lost frame delays it by only one tick.
const LOWERED_GRANT_REPEATS: u8 = 2;
/// Time between moves of a credit from one customer to another. Each move cancels an item.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(4);
/// The second controller ignores a rise of up to `1 / SMALL_RISE_DIVISOR` of the slots even if the headroom is smaller.
const SMALL_RISE_DIVISOR: u16 = 8;
/// Until a burst is observed, its size is assumed to be `1 / INITIAL_BURST_DIVISOR` of the slots.
const INITIAL_BURST_DIVISOR: u16 = 4;

/// Parameters of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Part of the largest recent burst that is kept free, in per cent. Less favours batch throughput over the latency
    /// of online requests; see `docs/design/admission.md`.
    pub lean_percent: u16,
}

impl Default for Settings {
    fn default() -> Self {
        Self { lean_percent: 100 }
    }
}

/// An engine that batch may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    pub upstream: id::Upstream,
    /// Number of requests it runs concurrently.
    pub slots: u16,
}

/// Rank of this process among the controllers of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// Grants credits.
    First,
    /// May only withdraw credits.
    Second,
    /// Has no part in the control of the engine.
    Other,
}

/// An input of the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed. Expected every 100 ms.
    Tick,
    /// An online process reported its load.
    Load { from: id::Process, load: Load },
    /// A batch process requests credits.
    CreditRequest {
        from: id::Process,
        request: CreditRequest,
    },
    /// The rank of this process for an engine changed.
    Rank { upstream: id::Upstream, rank: Rank },
    /// The engines that batch may use changed.
    Engines(Vec<Engine>),
    /// The customers' weights changed.
    Shares(BTreeMap<id::Customer, u32>),
}

/// A message to send to a batch process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sets its credits.
    Grant { to: id::Process, grant: Grant },
    /// Caps its credits for a while.
    Withdraw { to: id::Process, grant: Grant },
}

/// The state machine of the controller, for all engines.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
    weights: Weights,
    engines: BTreeMap<id::Upstream, EngineState>,
    round: u64,
}

/// State of one engine.
#[derive(Clone, Debug)]
struct EngineState {
    slots: u16,
    rank: Rank,
    /// Time from which credits may be granted.
    grants_from: Instant,
    online: BTreeMap<id::Process, ReportedLoad>,
    burst: Burst,
    allocations: Allocations,
    holders: BTreeMap<id::Process, HolderState>,
    next_rebalance: Instant,
}

/// Bounds on the number of batch credits for an engine. Half of the headroom lies between the two, so that a single
/// online request does not cancel an item.
#[derive(Clone, Copy, Debug)]
struct Budget {
    /// Credits are granted up to this number: all of the headroom stays free.
    grow_to: u16,
    /// Credits above this number are withdrawn: half of the headroom stays free.
    shrink_to: u16,
}

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    online: u16,
    expires: Instant,
}

/// Grants sent to one batch process.
#[derive(Clone, Debug)]
struct HolderState {
    credits: u16,
    renew_at: Instant,
    repeats_left: u8,
    /// Credits of the grants that may still be valid at the holder, each with the time by which it has expired.
    outstanding: Vec<(u16, Instant)>,
}

impl HolderState {
    fn max_outstanding(&self) -> u16 {
        let outstanding = self.outstanding.iter().map(|(credits, _)| *credits);
        outstanding.max().unwrap_or_default()
    }
}

impl Controller {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            weights: Weights::new(),
            engines: BTreeMap::new(),
            round: 0,
        }
    }

    /// Applies an event and returns the messages to send.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Load { from, load } => self.on_load(from, load, now, &mut actions),
            Event::CreditRequest { from, request } => self.on_credit_request(from, request, now),
            Event::Rank { upstream, rank } => self.set_rank(upstream, rank, now),
            Event::Engines(engines) => self.set_engines(&engines, now),
            Event::Shares(shares) => self.weights = shares,
        }
        actions
    }

    fn set_engines(&mut self, engines: &[Engine], now: Instant) {
        self.engines
            .retain(|upstream, _| engines.iter().any(|engine| engine.upstream == *upstream));
        for engine in engines {
            let state = self
                .engines
                .entry(engine.upstream)
                .or_insert_with(|| EngineState::new(engine.slots, now));
            state.slots = engine.slots;
        }
    }

    fn set_rank(&mut self, upstream: id::Upstream, rank: Rank, now: Instant) {
        let Some(state) = self.engines.get_mut(&upstream) else {
            return;
        };
        if state.rank == rank {
            return;
        }
        // Grants of the previous controller expire during the learning period.
        *state = EngineState {
            rank,
            grants_from: now + LEARNING_PERIOD,
            online: std::mem::take(&mut state.online),
            burst: state.burst.clone(),
            ..EngineState::new(state.slots, now)
        };
    }

    fn on_load(&mut self, from: id::Process, load: Load, now: Instant, actions: &mut Vec<Action>) {
        let settings = self.settings;
        let Some(state) = self.engines.get_mut(&load.upstream) else {
            return;
        };
        let reported = ReportedLoad {
            online: load.online,
            expires: now + LOAD_TTL,
        };
        let before = state.online_total();
        let headroom = state.burst.headroom(settings.lean_percent, now);
        if load.online == 0 {
            state.online.remove(&from);
        } else {
            state.online.insert(from, reported);
        }
        let total = state.online_total();
        let rise = state.burst.record(total, now);
        if total <= before {
            return;
        }
        let budget = state.budget(settings, now);
        match state.rank {
            Rank::First if now >= state.grants_from => {
                state.allocations.shrink(budget.shrink_to, &self.weights);
                state.send_grants(load.upstream, &mut self.round, now, actions);
            }
            // The first controller may have failed. A burst that fits into the headroom needs no withdrawal.
            Rank::Second if rise > headroom.max(state.slots.div_ceil(SMALL_RISE_DIVISOR)) => {
                state.withdraw(load.upstream, budget.shrink_to, &mut self.round, actions);
            }
            Rank::First | Rank::Second | Rank::Other => {}
        }
    }

    fn on_credit_request(&mut self, from: id::Process, request: CreditRequest, now: Instant) {
        let Some(state) = self.engines.get_mut(&request.upstream) else {
            return;
        };
        let allocation = Allocation {
            wanted: request.wanted,
            due: now + Duration::from_millis(request.due_in_ms.into()),
            expires: now + CREDIT_REQUEST_TTL,
            credits: 0,
        };
        let claimant = Claimant {
            holder: from,
            customer: request.customer,
        };
        state.allocations.apply_request(claimant, allocation);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (&upstream, state) in &mut self.engines {
            state.expire(now);
            if state.rank != Rank::First || now < state.grants_from {
                continue;
            }
            let budget = state.budget(self.settings, now);
            state.allocations.shrink(budget.shrink_to, &self.weights);
            state.grow(budget.grow_to, &self.weights);
            if now >= state.next_rebalance {
                state.next_rebalance = now + REBALANCE_INTERVAL;
                state.allocations.rebalance(&self.weights);
            }
            state.send_grants(upstream, &mut self.round, now, actions);
        }
    }
}

impl EngineState {
    fn new(slots: u16, now: Instant) -> Self {
        Self {
            slots,
            rank: Rank::Other,
            grants_from: now + LEARNING_PERIOD,
            online: BTreeMap::new(),
            burst: Burst::new(slots.div_ceil(INITIAL_BURST_DIVISOR), now),
            allocations: Allocations::default(),
            holders: BTreeMap::new(),
            next_rebalance: now,
        }
    }

    fn online_total(&self) -> u16 {
        let reported = self.online.values().map(|reported| reported.online);
        reported.fold(0, u16::saturating_add)
    }

    fn budget(&self, settings: Settings, now: Instant) -> Budget {
        let free = self.slots.saturating_sub(self.online_total());
        let headroom = self.burst.headroom(settings.lean_percent, now);
        Budget {
            grow_to: free.saturating_sub(headroom),
            shrink_to: free.saturating_sub(headroom.div_ceil(2)),
        }
    }

    fn expire(&mut self, now: Instant) {
        self.online.retain(|_, reported| reported.expires > now);
        self.allocations.expire(now);
        for holder in self.holders.values_mut() {
            holder.outstanding.retain(|(_, until)| *until > now);
        }
        self.holders.retain(|_, holder| {
            holder.credits > 0 || holder.repeats_left > 0 || !holder.outstanding.is_empty()
        });
    }

    /// Allocates free credits. Credits taken from a holder become free once they can no longer be valid there.
    fn grow(&mut self, budget: u16, weights: &Weights) {
        loop {
            let mut next = self.allocations.clone();
            if next.grow(weights).is_none() || self.committed(&next) > budget {
                return;
            }
            self.allocations = next;
        }
    }

    /// Returns the number of credits that may be valid at all holders once `allocations` have been sent.
    fn committed(&self, allocations: &Allocations) -> u16 {
        let mut most = allocations.by_holder();
        for (process, holder) in &self.holders {
            let credits = most.entry(*process).or_default();
            *credits = (*credits).max(holder.max_outstanding());
        }
        most.values().copied().fold(0, u16::saturating_add)
    }

    /// Sends changed grants, repeats lowered ones and renews those about to expire.
    fn send_grants(
        &mut self,
        upstream: id::Upstream,
        round: &mut u64,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let mut credits = self.allocations.by_holder();
        for &process in self.holders.keys() {
            credits.entry(process).or_default();
        }
        for (process, credits) in credits {
            let holder = self.holders.entry(process).or_insert_with(|| HolderState {
                credits: 0,
                renew_at: now,
                repeats_left: 0,
                outstanding: Vec::new(),
            });
            let lowered = credits < holder.credits;
            let raised = credits > holder.credits;
            let due = credits > 0 && now >= holder.renew_at;
            if lowered {
                holder.repeats_left = LOWERED_GRANT_REPEATS;
            } else if holder.repeats_left > 0 {
                holder.repeats_left -= 1;
            } else if !raised && !due {
                continue;
            }
            *round += 1;
            holder.credits = credits;
            holder.renew_at = now + RENEWAL_INTERVAL;
            if credits > 0 {
                holder
                    .outstanding
                    .push((credits, now + GRANT_TTL + MAX_TRANSIT_TIME));
            }
            let grant = Grant {
                upstream,
                round: *round,
                credits,
                ttl_ms: GRANT_TTL.as_millis() as u16,
            };
            actions.push(Action::Grant { to: process, grant });
        }
    }

    /// Caps the credits of each holder at `budget`. Used by the second controller when online load rises.
    fn withdraw(
        &self,
        upstream: id::Upstream,
        budget: u16,
        round: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        for to in self.allocations.by_holder().into_keys() {
            *round += 1;
            let grant = Grant {
                upstream,
                round: *round,
                credits: budget,
                ttl_ms: WITHDRAWAL_TTL.as_millis() as u16,
            };
            actions.push(Action::Withdraw { to, grant });
        }
    }
}
