//! Plans the orders for the engines.
//!
//! An order contains the desired state and is repeated until the engine reports that state. This also corrects engines
//! that ignore fencing numbers and have obeyed a stale order. Old artifacts are unloaded only after the new ones are
//! loaded, and only a few engines of a pool load at a time, so that most of them remain available for online requests.
//! See `docs/design/fleet.md`.

mod loading_budget;
mod message;
mod progress;

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
    loading_budget::LOADING_DIVISOR,
    message::{Action, Engine, REPORT_VALID, ReceivedReport, Term},
    progress::{REPEAT_AFTER, STUCK_AFTER},
};
use self::{loading_budget::LoadingBudget, progress::Progress};
use crate::desired::DesiredArtifacts;

/// Planning state of one term. It is not persisted: a new lease holder starts with an empty plan and reads the reports.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    engines: BTreeMap<id::Upstream, Progress>,
    retry_tickets_at: Option<Instant>,
}

impl Plan {
    /// Returns the actions that are due.
    pub fn step(
        &mut self,
        desired: &DesiredArtifacts,
        engines: &[Engine],
        term: Term,
        now: Instant,
    ) -> Vec<Action> {
        if now >= term.stop_at {
            return Vec::new();
        }
        self.remove_unlisted_engines(engines);
        let mut budget = LoadingBudget::new(desired, engines, now);
        engines
            .iter()
            .filter(|engine| !engine.leaving)
            .flat_map(|engine| self.step_engine(desired, engine, &mut budget, term, now))
            .collect()
    }

    /// Records a ticket from the weight store.
    pub fn on_ticket(&mut self, upstream: id::Upstream, artifact: Artifact, ticket: Ticket) {
        let progress = self.engines.entry(upstream).or_default();
        progress.requested.remove(&artifact);
        progress.tickets.insert(artifact, ticket);
    }

    /// Records that the weight store refused a ticket. No tickets are requested before `retry_at`.
    pub fn on_ticket_refused(
        &mut self,
        upstream: id::Upstream,
        artifact: &Artifact,
        retry_at: Instant,
    ) {
        if let Some(progress) = self.engines.get_mut(&upstream) {
            progress.requested.remove(artifact);
        }
        self.retry_tickets_at = Some(retry_at);
    }

    /// Records that an order could not be delivered. It is due again at `retry_at`.
    pub fn on_order_undelivered(&mut self, upstream: id::Upstream, retry_at: Instant) {
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
        desired: &DesiredArtifacts,
        engine: &Engine,
        budget: &mut LoadingBudget,
        term: Term,
        now: Instant,
    ) -> SmallVec<[Action; 2]> {
        let Some(loaded) = engine.loaded(now) else {
            return SmallVec::new();
        };
        let target = desired.of_pools(&engine.pools);
        let progress = self.engines.entry(engine.upstream).or_default();
        progress
            .tickets
            .retain(|artifact, _| target.contains(artifact) && !loaded.contains(artifact));
        if loaded == target {
            progress.sent = None;
            return SmallVec::new();
        }
        let missing: BTreeSet<_> = target.difference(&loaded).cloned().collect();
        if !missing.is_empty() && !progress.is_stuck() && !budget.reserve(engine) {
            return SmallVec::new();
        }
        if !progress.has_tickets(&missing) {
            let may_request = self.retry_tickets_at.is_none_or(|at| now >= at);
            return match may_request {
                true => request_tickets(engine.upstream, &missing, progress),
                false => SmallVec::new(),
            };
        }
        let order = next_order(term, &loaded, &target, progress);
        if progress.is_pending(&order, now) {
            return SmallVec::new();
        }
        progress.record_sent(order.clone(), now);
        smallvec![Action::SendOrder {
            upstream: engine.upstream,
            order,
            stop_at: term.stop_at,
        }]
    }

    fn remove_unlisted_engines(&mut self, engines: &[Engine]) {
        let present: BTreeSet<_> = engines.iter().map(|engine| engine.upstream).collect();
        self.engines
            .retain(|upstream, _| present.contains(upstream));
    }
}

/// Requests the missing tickets that were not requested yet.
fn request_tickets(
    upstream: id::Upstream,
    missing: &BTreeSet<Artifact>,
    progress: &mut Progress,
) -> SmallVec<[Action; 2]> {
    let mut actions = SmallVec::new();
    for artifact in missing {
        if !progress.tickets.contains_key(artifact) && progress.requested.insert(artifact.clone()) {
            actions.push(Action::RequestTicket {
                upstream,
                artifact: artifact.clone(),
            });
        }
    }
    actions
}

/// Returns the next order: it keeps the loaded artifacts until all artifacts of the target are loaded.
fn next_order(
    term: Term,
    loaded: &BTreeSet<Artifact>,
    target: &BTreeSet<Artifact>,
    progress: &Progress,
) -> Order {
    let complete = target.is_subset(loaded);
    let next_state = if complete {
        target.clone()
    } else {
        target.union(loaded).cloned().collect()
    };
    Order {
        fence: term.fence,
        loaded: next_state.into_iter().collect(),
        tickets: progress.tickets.values().copied().collect(),
    }
}
