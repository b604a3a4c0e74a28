//! The controller of engines: a state machine that grants batch credits so that room for a burst stays free.
//!
//! It runs in every batch process, for the engines that the process is first or second in rank for. See
//! `docs/design/admission.md`.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tinbank_base::{
    frame::credit::{Grant, Load, Wish},
    id,
};

use crate::{
    burst::Burst,
    share::{Claimant, Lot, Lots, Weights},
};

/// How long a grant holds at its receiver.
pub const HOLDS: Duration = Duration::from_millis(3_000);
/// How long a word of the second controller holds.
pub const CAP_HOLDS: Duration = Duration::from_millis(1_000);
/// Time between renewals of a grant: three may be lost before it runs out, so that a tenth of the frames lost costs
/// no batch.
pub const RENEW: Duration = Duration::from_millis(700);
/// Time that a grant may be on its way; longer ones are the receiver's pause, which it notices itself.
pub const ON_THE_WAY: Duration = Duration::from_millis(200);
/// Time that a new controller learns before it grants: all grants of the one before have run out, and every online
/// process has told its load.
pub const LEARNING_PERIOD: Duration = Duration::from_millis(3_500);
/// A load that is not told again within this time is gone with its process.
pub const LOAD_HOLDS: Duration = Duration::from_secs(25);
/// A wish that is not repeated within this time is gone; two repetitions may be lost.
pub const WISH_HOLDS: Duration = Duration::from_secs(17);
/// Times that a lowered grant is repeated, so that a lost frame delays it by one tick only.
const REPEATS: u8 = 2;
/// Time between moves of a credit for the sake of shares; a move cancels an item.
const REBALANCE: Duration = Duration::from_secs(4);
/// Part of the slots by which online load may rise without a word of the second controller, however small the headroom.
const SMALL_RISE: u16 = 8;
/// Part of the slots that is taken for a burst until one is seen.
const GUESSED_BURST: u16 = 4;

/// Parameters of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Part of a learned burst that is kept free, in per cent: 100 keeps room for the largest rise seen lately, 50
    /// is for throughput. See `docs/design/admission.md` for the curve.
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
    /// Which engine.
    pub upstream: id::Upstream,
    /// Requests it runs at once.
    pub slots: u16,
}

/// What we are to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// We grant.
    First,
    /// We may only withdraw.
    Second,
    /// Nothing.
    Other,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Some time has passed; come every 100 ms.
    Tick,
    /// An online process told its load.
    Load {
        /// Who.
        from: id::Process,
        /// What.
        load: Load,
    },
    /// A batch process wishes for credits.
    Wish {
        /// Who.
        from: id::Process,
        /// What.
        wish: Wish,
    },
    /// Our rank for an engine is another one.
    Rank {
        /// Which engine.
        upstream: id::Upstream,
        /// Our rank.
        rank: Rank,
    },
    /// The engines that batch may use.
    Engines(Vec<Engine>),
    /// Customers' weights.
    Shares(BTreeMap<id::Customer, u32>),
}

/// What is to be told to a batch process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Its credits.
    Grant {
        /// To whom.
        to: id::Process,
        /// What.
        grant: Grant,
    },
    /// No more than this for now.
    Withdraw {
        /// To whom.
        to: id::Process,
        /// What.
        grant: Grant,
    },
}

/// All that a controller knows.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
    weights: Weights,
    engines: BTreeMap<id::Upstream, Seat>,
    round: u64,
}

/// One engine.
#[derive(Clone, Debug)]
struct Seat {
    slots: u16,
    rank: Rank,
    /// From when on we may grant.
    learned: Instant,
    online: BTreeMap<id::Process, Told>,
    burst: Burst,
    lots: Lots,
    holders: BTreeMap<id::Process, Holder>,
    rebalance: Instant,
}

/// Batch requests that may sit in an engine. Half of the headroom lies between the two bounds, so that each online
/// request that comes and goes does not cancel an item.
#[derive(Clone, Copy, Debug)]
struct Budget {
    /// Credits are given up to here: all of the headroom stays free.
    grow_to: u16,
    /// Credits are withdrawn down to here: half of the headroom stays free.
    most: u16,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    online: u16,
    expires: Instant,
}

/// What a batch process was told.
#[derive(Clone, Debug)]
struct Holder {
    credits: u16,
    renew: Instant,
    repeats: u8,
    /// Grants that may still be in force there, with when they surely are not.
    sent: Vec<(u16, Instant)>,
}

impl Holder {
    fn in_force(&self) -> u16 {
        let sent = self.sent.iter().map(|(credits, _)| *credits);
        sent.max().unwrap_or_default()
    }
}

impl Controller {
    /// Knows no engine yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            weights: Weights::new(),
            engines: BTreeMap::new(),
            round: 0,
        }
    }

    /// Takes in an event and tells what to send.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Load { from, load } => self.load(from, load, now, &mut actions),
            Event::Wish { from, wish } => self.wish(from, wish, now),
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
            let seat = self
                .engines
                .entry(engine.upstream)
                .or_insert_with(|| Seat::new(engine.slots, now));
            seat.slots = engine.slots;
        }
    }

    fn set_rank(&mut self, upstream: id::Upstream, rank: Rank, now: Instant) {
        let Some(seat) = self.engines.get_mut(&upstream) else {
            return;
        };
        if seat.rank == rank {
            return;
        }
        // Whatever was granted before runs out while we learn.
        *seat = Seat {
            rank,
            learned: now + LEARNING_PERIOD,
            online: std::mem::take(&mut seat.online),
            burst: seat.burst.clone(),
            ..Seat::new(seat.slots, now)
        };
    }

    fn load(&mut self, from: id::Process, load: Load, now: Instant, actions: &mut Vec<Action>) {
        let settings = self.settings;
        let Some(seat) = self.engines.get_mut(&load.upstream) else {
            return;
        };
        let told = Told {
            online: load.online,
            expires: now + LOAD_HOLDS,
        };
        let before = seat.online_total();
        let headroom = seat.burst.headroom(settings.lean_percent, now);
        if load.online == 0 {
            seat.online.remove(&from);
        } else {
            seat.online.insert(from, told);
        }
        let total = seat.online_total();
        let rise = seat.burst.note(total, now);
        if total <= before {
            return;
        }
        let budget = seat.budget(settings, now);
        match seat.rank {
            Rank::First if now >= seat.learned => {
                seat.lots.shrink(budget.most, &self.weights);
                seat.tell(load.upstream, &mut self.round, now, actions);
            }
            // The first one may be gone; as long as the burst fits into the headroom that costs nothing.
            Rank::Second if rise > headroom.max(seat.slots.div_ceil(SMALL_RISE)) => {
                seat.caution(load.upstream, budget.most, &mut self.round, actions);
            }
            Rank::First | Rank::Second | Rank::Other => {}
        }
    }

    fn wish(&mut self, from: id::Process, wish: Wish, now: Instant) {
        let Some(seat) = self.engines.get_mut(&wish.upstream) else {
            return;
        };
        let lot = Lot {
            wanted: wish.wanted,
            due: now + Duration::from_millis(wish.due_in_ms.into()),
            expires: now + WISH_HOLDS,
            credits: 0,
        };
        let claimant = Claimant {
            holder: from,
            customer: wish.customer,
        };
        seat.lots.wish(claimant, lot);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (&upstream, seat) in &mut self.engines {
            seat.expire(now);
            if seat.rank != Rank::First || now < seat.learned {
                continue;
            }
            let budget = seat.budget(self.settings, now);
            seat.lots.shrink(budget.most, &self.weights);
            seat.grow(budget.grow_to, &self.weights);
            if now >= seat.rebalance {
                seat.rebalance = now + REBALANCE;
                seat.lots.rebalance(&self.weights);
            }
            seat.tell(upstream, &mut self.round, now, actions);
        }
    }
}

impl Seat {
    fn new(slots: u16, now: Instant) -> Self {
        Self {
            slots,
            rank: Rank::Other,
            learned: now + LEARNING_PERIOD,
            online: BTreeMap::new(),
            burst: Burst::new(slots.div_ceil(GUESSED_BURST), now),
            lots: Lots::default(),
            holders: BTreeMap::new(),
            rebalance: now,
        }
    }

    fn online_total(&self) -> u16 {
        let told = self.online.values().map(|told| told.online);
        told.fold(0, u16::saturating_add)
    }

    fn budget(&self, settings: Settings, now: Instant) -> Budget {
        let free = self.slots.saturating_sub(self.online_total());
        let headroom = self.burst.headroom(settings.lean_percent, now);
        Budget {
            grow_to: free.saturating_sub(headroom),
            most: free.saturating_sub(headroom.div_ceil(2)),
        }
    }

    fn expire(&mut self, now: Instant) {
        self.online.retain(|_, told| told.expires > now);
        self.lots.expire(now);
        for holder in self.holders.values_mut() {
            holder.sent.retain(|(_, until)| *until > now);
        }
        self.holders.retain(|_, holder| {
            holder.credits > 0 || holder.repeats > 0 || !holder.sent.is_empty()
        });
    }

    /// Gives out what is free: what was taken from one holder only once it is surely not in force there any more.
    fn grow(&mut self, budget: u16, weights: &Weights) {
        loop {
            let mut next = self.lots.clone();
            if next.grow(weights).is_none() || self.committed(&next) > budget {
                return;
            }
            self.lots = next;
        }
    }

    /// Credits that may be in force once the lots are told.
    fn committed(&self, lots: &Lots) -> u16 {
        let mut most = lots.by_holder();
        for (process, holder) in &self.holders {
            let credits = most.entry(*process).or_default();
            *credits = (*credits).max(holder.in_force());
        }
        most.values().copied().fold(0, u16::saturating_add)
    }

    /// Tells holders what has changed, and renews what runs out.
    fn tell(
        &mut self,
        upstream: id::Upstream,
        round: &mut u64,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let mut credits = self.lots.by_holder();
        for &process in self.holders.keys() {
            credits.entry(process).or_default();
        }
        for (process, credits) in credits {
            let holder = self.holders.entry(process).or_insert_with(|| Holder {
                credits: 0,
                renew: now,
                repeats: 0,
                sent: Vec::new(),
            });
            let lowered = credits < holder.credits;
            let raised = credits > holder.credits;
            let due = credits > 0 && now >= holder.renew;
            if lowered {
                holder.repeats = REPEATS;
            } else if holder.repeats > 0 {
                holder.repeats -= 1;
            } else if !raised && !due {
                continue;
            }
            *round += 1;
            holder.credits = credits;
            holder.renew = now + RENEW;
            if credits > 0 {
                holder.sent.push((credits, now + HOLDS + ON_THE_WAY));
            }
            let grant = Grant {
                upstream,
                round: *round,
                credits,
                holds_ms: HOLDS.as_millis() as u16,
            };
            actions.push(Action::Grant { to: process, grant });
        }
    }

    /// As the second in rank: online load rose, so nobody may have more than what is free by our own count.
    fn caution(
        &self,
        upstream: id::Upstream,
        budget: u16,
        round: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        for to in self.lots.by_holder().into_keys() {
            *round += 1;
            let grant = Grant {
                upstream,
                round: *round,
                credits: budget,
                holds_ms: CAP_HOLDS.as_millis() as u16,
            };
            actions.push(Action::Withdraw { to, grant });
        }
    }
}
