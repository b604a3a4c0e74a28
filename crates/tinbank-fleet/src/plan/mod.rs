//! Decides which engine gets which order next.
//!
//! Orders are desired state and are repeated until the engine's own report shows it, so that a late stale
//! order to an engine that ignores fencing numbers is overwritten. New artifacts are loaded beside the old
//! ones, which go only when the new ones are in; of the engines of a pool only a few load at a time, so that
//! online requests keep most of them. See `docs/design/fleet.md`.

mod message;
mod progress;
mod room;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use smallvec::{SmallVec, smallvec};
use tinbank_base::{
    id,
    platform::{
        upstream::Order,
        weights::{Artifact, Ticket},
    },
};

pub use self::{
    message::{Action, Engine, REPORT_VALID, Seen, Term},
    progress::{REPEAT_AFTER, STUCK_AFTER},
    room::LOADING_DIVISOR,
};
use self::{progress::Progress, room::Room};
use crate::wanted::Wanted;

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
        let Some(loaded) = engine.loaded(now) else {
            return SmallVec::new();
        };
        let target = wanted.of_pools(&engine.pools);
        let progress = self.engines.entry(engine.upstream).or_default();
        progress
            .tickets
            .retain(|artifact, _| target.contains(artifact) && !loaded.contains(artifact));
        if loaded == target {
            progress.sent = None;
            return SmallVec::new();
        }
        let missing: BTreeSet<_> = target.difference(&loaded).cloned().collect();
        if !missing.is_empty() && !progress.is_stuck() && !room.take(engine) {
            return SmallVec::new();
        }
        if !progress.has_tickets(&missing) {
            let may_ask = self.retry_tickets_at.is_none_or(|at| now >= at);
            return match may_ask {
                true => ask(engine.upstream, &missing, progress),
                false => SmallVec::new(),
            };
        }
        let order = order(term, &loaded, &target, progress);
        if progress.is_waiting(&order, now) {
            return SmallVec::new();
        }
        progress.send(order.clone(), now);
        smallvec![Action::Send {
            upstream: engine.upstream,
            order,
            stop_at: term.stop_at,
        }]
    }

    fn forget_absent(&mut self, engines: &[Engine]) {
        let present: BTreeSet<_> = engines.iter().map(|engine| engine.upstream).collect();
        self.engines
            .retain(|upstream, _| present.contains(upstream));
    }
}

/// Asks for the tickets that are missing and were not asked for yet.
fn ask(
    upstream: id::Upstream,
    missing: &BTreeSet<Artifact>,
    progress: &mut Progress,
) -> SmallVec<[Action; 2]> {
    let mut actions = SmallVec::new();
    for artifact in missing {
        if !progress.tickets.contains_key(artifact) && progress.asked.insert(artifact.clone()) {
            actions.push(Action::Ask {
                upstream,
                artifact: artifact.clone(),
            });
        }
    }
    actions
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
