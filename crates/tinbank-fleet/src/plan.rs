//! Decides which engine gets which order next.
//!
//! Orders are desired state and are repeated until the engine's own report shows it, so that a late stale
//! order to an engine that ignores fencing numbers is overwritten. New artifacts are loaded beside the old
//! ones, which go only when the new ones are in; of the engines of a pool only a few load at a time, so that
//! online requests keep most of them. See `docs/design/fleet.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::{
    id,
    platform::{
        upstream::{Order, Report},
        weights::{Artifact, Ticket},
    },
};

use crate::wanted::Wanted;

/// How long an order has to show in the engine's report before it is given again.
pub const REPEAT_AFTER: Duration = Duration::from_secs(20);
/// One in this many engines of a pool, but at least one, may load at a time.
pub const LOADING_DIVISOR: usize = 8;
/// An engine that was given the same order so often without effect no longer keeps others from loading.
pub const STUCK_AFTER: u32 = 15;
/// Reports older than this say nothing of what an engine holds now.
pub const REPORT_VALID: Duration = Duration::from_secs(15);

/// An engine as the edge sees it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Which engine.
    pub upstream: id::Upstream,
    /// The pools it belongs to.
    pub pools: SmallVec<[id::Pool; 2]>,
    /// Whether it is leaving; it gets no orders then.
    pub leaving: bool,
    /// Its last report, and when we read it.
    pub report: Option<Seen>,
}

/// A report and when it was read.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What the engine said.
    pub report: Report,
    /// When we read it, on our clock.
    pub at: Instant,
}

/// Leave to give orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Offset of the lease record: the fencing number of all orders of the term.
    pub fence: id::Fence,
    /// No order is sent after this time: it lies well before the lease can be taken by another.
    pub stop_at: Instant,
}

/// What the edge should do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the weight store for leave to load an artifact on an engine.
    Ask {
        /// For which engine.
        upstream: id::Upstream,
        /// What.
        artifact: Artifact,
    },
    /// Give an engine an order, if the deadline has not passed when it is about to be sent.
    Send {
        /// To which engine.
        upstream: id::Upstream,
        /// The order.
        order: Order,
        /// The term's last moment for sending.
        stop_at: Instant,
    },
}

/// What is known of one engine's orders.
#[derive(Clone, Debug, Default)]
struct Progress {
    tickets: BTreeMap<Artifact, Ticket>,
    asked: BTreeSet<Artifact>,
    sent: Option<Sent>,
}

#[derive(Clone, Debug)]
struct Sent {
    order: Order,
    repeat_at: Instant,
    times: u32,
}

/// State of the planning of one term. It is soft: a new holder starts with an empty one and reads the engines.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    engines: BTreeMap<id::Upstream, Progress>,
    retry_tickets_at: Option<Instant>,
}

impl Plan {
    /// Decides what to do now.
    pub fn step(
        &mut self,
        wanted: &Wanted,
        engines: &[Engine],
        term: Term,
        now: Instant,
    ) -> Vec<Action> {
        if now >= term.stop_at {
            return Vec::new();
        }
        self.forget_absent(engines);
        let mut room = Room::new(wanted, engines, now);
        engines
            .iter()
            .filter(|engine| !engine.leaving)
            .flat_map(|engine| self.step_engine(wanted, engine, &mut room, term, now))
            .collect()
    }

    /// Takes in a ticket of the weight store.
    pub fn ticket(&mut self, upstream: id::Upstream, artifact: Artifact, ticket: Ticket) {
        let progress = self.engines.entry(upstream).or_default();
        progress.asked.remove(&artifact);
        progress.tickets.insert(artifact, ticket);
    }

    /// Takes in a refusal of the weight store: no artifact is asked for before `retry_at`.
    pub fn refused(&mut self, upstream: id::Upstream, artifact: &Artifact, retry_at: Instant) {
        if let Some(progress) = self.engines.get_mut(&upstream) {
            progress.asked.remove(artifact);
        }
        self.retry_tickets_at = Some(retry_at);
    }

    /// Takes in that an order could not be delivered: it is due again at `retry_at`.
    pub fn undelivered(&mut self, upstream: id::Upstream, retry_at: Instant) {
        let sent = self
            .engines
            .get_mut(&upstream)
            .and_then(|progress| progress.sent.as_mut());
        if let Some(sent) = sent {
            sent.repeat_at = retry_at;
        }
    }

    fn step_engine(
        &mut self,
        wanted: &Wanted,
        engine: &Engine,
        room: &mut Room,
        term: Term,
        now: Instant,
    ) -> SmallVec<[Action; 2]> {
        let mut actions = SmallVec::new();
        let Some(loaded) = loaded(engine, now) else {
            return actions;
        };
        let target = wanted.of_pools(&engine.pools);
        let progress = self.engines.entry(engine.upstream).or_default();
        progress
            .tickets
            .retain(|artifact, _| target.contains(artifact) && !loaded.contains(artifact));
        if loaded == target {
            progress.sent = None;
            return actions;
        }
        let missing: BTreeSet<_> = target.difference(&loaded).cloned().collect();
        if !missing.is_empty() && !progress.is_stuck() && !room.take(engine) {
            return actions;
        }
        let may_ask = self.retry_tickets_at.is_none_or(|at| now >= at);
        let unasked = missing
            .iter()
            .filter(|artifact| !progress.tickets.contains_key(*artifact));
        for artifact in unasked {
            if may_ask && progress.asked.insert(artifact.clone()) {
                actions.push(Action::Ask {
                    upstream: engine.upstream,
                    artifact: artifact.clone(),
                });
            }
        }
        if missing
            .iter()
            .any(|artifact| !progress.tickets.contains_key(artifact))
        {
            return actions;
        }
        let order = order(term, &loaded, &target, progress);
        if progress.is_waiting(&order, now) {
            return actions;
        }
        progress.send(order.clone(), now);
        actions.push(Action::Send {
            upstream: engine.upstream,
            order,
            stop_at: term.stop_at,
        });
        actions
    }

    fn forget_absent(&mut self, engines: &[Engine]) {
        let present: BTreeSet<_> = engines.iter().map(|engine| engine.upstream).collect();
        self.engines
            .retain(|upstream, _| present.contains(upstream));
    }
}

impl Progress {
    fn send(&mut self, order: Order, now: Instant) {
        let before = self.sent.as_ref().filter(|sent| sent.order == order);
        let times = before.map_or(0, |sent| sent.times) + 1;
        self.sent = Some(Sent {
            order,
            repeat_at: now + REPEAT_AFTER,
            times,
        });
    }

    fn is_stuck(&self) -> bool {
        self.sent
            .as_ref()
            .is_some_and(|sent| sent.times >= STUCK_AFTER)
    }

    fn is_waiting(&self, order: &Order, now: Instant) -> bool {
        self.sent
            .as_ref()
            .is_some_and(|sent| sent.order == *order && now < sent.repeat_at)
    }
}

/// What the engine holds, if its report is fresh enough to act on.
fn loaded(engine: &Engine, now: Instant) -> Option<BTreeSet<Artifact>> {
    let seen = engine.report.as_ref()?;
    let fresh = now.saturating_duration_since(seen.at) < REPORT_VALID;
    fresh.then(|| seen.report.loaded.iter().cloned().collect())
}

/// The next desired state: new beside old while something is missing, the target alone when all of it is in.
fn order(
    term: Term,
    loaded: &BTreeSet<Artifact>,
    target: &BTreeSet<Artifact>,
    progress: &Progress,
) -> Order {
    let complete = target.is_subset(loaded);
    let desired = if complete {
        target.clone()
    } else {
        target.union(loaded).cloned().collect()
    };
    Order {
        fence: term.fence,
        loaded: desired.into_iter().collect(),
        tickets: progress.tickets.values().copied().collect(),
    }
}

/// How many engines of each pool may begin or go on loading in this step.
struct Room {
    left: BTreeMap<id::Pool, usize>,
}

impl Room {
    /// Counts the pools' engines that can serve; engines that the reports don't show count as not serving.
    fn new(wanted: &Wanted, engines: &[Engine], now: Instant) -> Self {
        let mut sizes = BTreeMap::<id::Pool, usize>::new();
        let mut serving = BTreeMap::<id::Pool, usize>::new();
        for engine in engines.iter().filter(|engine| !engine.leaving) {
            let holds_any = loaded(engine, now).is_some_and(|loaded| {
                let target = wanted.of_pools(&engine.pools);
                loaded
                    .iter()
                    .any(|held| target.iter().any(|want| want.model == held.model))
            });
            for pool in &engine.pools {
                *sizes.entry(pool.clone()).or_default() += 1;
                *serving.entry(pool.clone()).or_default() += usize::from(holds_any);
            }
        }
        let left = sizes
            .into_iter()
            .map(|(pool, size)| {
                let serves = serving.get(&pool).copied().unwrap_or_default();
                let few = (size / LOADING_DIVISOR).max(1);
                // A pool that serves nothing has nothing to protect.
                let room = if serves == 0 { size } else { few };
                (pool, room)
            })
            .collect();
        Self { left }
    }

    fn take(&mut self, engine: &Engine) -> bool {
        let free = engine
            .pools
            .iter()
            .all(|pool| self.left.get(pool).is_some_and(|left| *left > 0));
        if free {
            for pool in &engine.pools {
                if let Some(left) = self.left.get_mut(pool) {
                    *left -= 1;
                }
            }
        }
        free
    }
}
