//! Holder of credits: a state machine that admits batch requests to engines and cancels those that exceed the credits.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use tinbank_base::{frame::credit::Grant, id, record::Writer};

/// Gap between calls after which this process counts as having been paused; ticks come every 100 ms.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Time after a pause in which grants may only lower the credits, since grants read from the socket may be old.
const DRAIN_PERIOD: Duration = Duration::from_millis(300);

/// Identifies a pass of this process.
pub type PassId = u64;

/// An action for the caller to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Cancel the request of this pass at the engine.
    Cancel(PassId),
}

/// Credits and passes of this process, by engine.
#[derive(Clone, Debug)]
pub struct Holder {
    engines: BTreeMap<id::Upstream, EngineState>,
    last_pass: PassId,
    last_active: Instant,
    drain_until: Instant,
}

#[derive(Clone, Debug, Default)]
struct EngineState {
    /// The process whose grants are accepted.
    controller: Option<id::Process>,
    grant: Option<Limit>,
    cap: Option<Limit>,
    /// Latest round of each controller. Frames with an earlier one are dropped.
    last_rounds: BTreeMap<id::Process, (id::Incarnation, u64)>,
    /// Passes in use, oldest first, and whether they are cancelled. Cancelled ones count until they are returned.
    passes: BTreeMap<PassId, bool>,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    credits: u16,
    until: Instant,
}

impl Holder {
    pub fn new(now: Instant) -> Self {
        Self {
            engines: BTreeMap::new(),
            last_pass: 0,
            last_active: now,
            drain_until: now,
        }
    }

    /// Returns a pass if a credit is free.
    pub fn enter(&mut self, upstream: id::Upstream, now: Instant) -> Option<PassId> {
        if now.saturating_duration_since(self.last_active) > PAUSE_THRESHOLD {
            return None;
        }
        let state = self.engines.get_mut(&upstream)?;
        if state.passes.len() >= state.allowed(now) {
            return None;
        }
        self.last_pass += 1;
        state.passes.insert(self.last_pass, false);
        Some(self.last_pass)
    }

    /// Releases a pass.
    pub fn leave(&mut self, upstream: id::Upstream, pass: PassId) {
        if let Some(state) = self.engines.get_mut(&upstream) {
            state.passes.remove(&pass);
        }
    }

    /// Sets the process whose grants are accepted for an engine. The current grant stays valid until its deadline.
    pub fn set_controller(&mut self, upstream: id::Upstream, controller: Option<id::Process>) {
        self.engines.entry(upstream).or_default().controller = controller;
    }

    /// Removes the engines that `keep` rejects and cancels the requests in them.
    pub fn retain(&mut self, keep: impl Fn(id::Upstream) -> bool, now: Instant) -> Vec<Action> {
        for (&upstream, state) in &mut self.engines {
            if !keep(upstream) {
                state.grant = None;
                state.controller = None;
            }
        }
        self.engines
            .retain(|&upstream, state| keep(upstream) || !state.passes.is_empty());
        self.cancel_excess(now)
    }

    /// Applies a grant, whether it raises or lowers the credits.
    pub fn on_grant(&mut self, from: Writer, grant: Grant, now: Instant) -> Vec<Action> {
        self.detect_pause(now);
        let Some(state) = self.engines.get_mut(&grant.upstream) else {
            return Vec::new();
        };
        if state.controller != Some(from.process) || !state.is_newer(from, grant.round) {
            return Vec::new();
        }
        // A grant that raises the credits may be outdated after a pause.
        let mut credits = grant.credits;
        if now < self.drain_until {
            credits = credits.min(state.credits(now));
        }
        state.grant = Some(Limit {
            credits,
            until: now + Duration::from_millis(grant.ttl_ms.into()),
        });
        self.cancel_excess(now)
    }

    /// Applies a withdrawal by the second controller, which caps the credits for a while.
    pub fn on_withdrawal(&mut self, from: Writer, grant: Grant, now: Instant) -> Vec<Action> {
        self.detect_pause(now);
        let Some(state) = self.engines.get_mut(&grant.upstream) else {
            return Vec::new();
        };
        if !state.is_newer(from, grant.round) {
            return Vec::new();
        }
        state.cap = Some(Limit {
            credits: grant.credits,
            until: now + Duration::from_millis(grant.ttl_ms.into()),
        });
        self.cancel_excess(now)
    }

    /// Expires credits. Call it every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.detect_pause(now);
        self.cancel_excess(now)
    }

    /// Returns the number of requests in an engine that have not been cancelled.
    pub fn running(&self, upstream: id::Upstream) -> usize {
        let state = self.engines.get(&upstream);
        state.map_or(0, EngineState::running)
    }

    /// Returns the number of credits in force for an engine.
    pub fn allowed(&self, upstream: id::Upstream, now: Instant) -> usize {
        let state = self.engines.get(&upstream);
        state.map_or(0, |state| state.allowed(now))
    }

    fn detect_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_active) > PAUSE_THRESHOLD {
            self.drain_until = now + DRAIN_PERIOD;
            for state in self.engines.values_mut() {
                state.grant = None;
            }
        }
        self.last_active = now;
    }

    /// Cancels requests that exceed the credits, the newest first, as they lose the least work.
    fn cancel_excess(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for state in self.engines.values_mut() {
            let over = state.running().saturating_sub(state.allowed(now));
            let running = state.passes.iter_mut().rev();
            let newest = running.filter(|(_, cancelled)| !**cancelled).take(over);
            for (pass, cancelled) in newest {
                *cancelled = true;
                actions.push(Action::Cancel(*pass));
            }
        }
        actions
    }
}

impl EngineState {
    fn running(&self) -> usize {
        self.passes
            .values()
            .filter(|cancelled| !**cancelled)
            .count()
    }

    fn credits(&self, now: Instant) -> u16 {
        let limit = self.grant.filter(|limit| limit.until > now);
        limit.map_or(0, |limit| limit.credits)
    }

    fn allowed(&self, now: Instant) -> usize {
        let cap = self.cap.filter(|limit| limit.until > now);
        let cap = cap.map_or(u16::MAX, |limit| limit.credits);
        self.credits(now).min(cap).into()
    }

    fn is_newer(&mut self, from: Writer, round: u64) -> bool {
        let last = self.last_rounds.entry(from.process).or_default();
        let newer = (from.incarnation, round) > *last;
        if newer {
            *last = (from.incarnation, round);
        }
        newer
    }
}
