//! Whom to ask for a sign of life, and what its lack means.

use std::time::{Duration, Instant};

use rand::{
    Rng,
    seq::{IndexedRandom, SliceRandom},
};
use tinbank_base::{frame::heartbeat::Health, id};

use super::{Action, State};
use crate::{claim::Claim, probe::Due};

/// A tick that comes this much late means that we were paused, not the others.
const PAUSED: Duration = Duration::from_millis(1_500);
/// Every which tick also probes a process that is held for dead, so that a split heals.
const REVIVE_EVERY: u64 = 4;
/// Every which tick also probes a seed, so that processes that know nothing of each other find each other.
const SEED_EVERY: u64 = 40;
/// Every which tick forgets the long dead.
const FORGET_EVERY: u64 = 120;

impl State {
    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now.saturating_duration_since(self.ticked) > PAUSED {
            self.probes.forgive(now);
        }
        self.ticked = now;
        self.ticks += 1;
        for due in self.probes.due(now) {
            match due {
                Due::Again(process) => self.probe(process, now, actions),
                Due::Suspect(process) => self.suspect(process, now, actions),
                Due::Dead(process) => self.bury(process, now, actions),
            }
        }
        let next = self.next_in_round();
        if let Some(process) = next {
            self.probe(process, now, actions);
        }
        self.probe_a_suspect(now, actions);
        if self.ticks.is_multiple_of(REVIVE_EVERY) {
            self.revive(actions);
        }
        if next.is_none() || self.ticks.is_multiple_of(SEED_EVERY) {
            self.ask_a_seed(actions);
        }
        if self.ticks.is_multiple_of(FORGET_EVERY) {
            self.table.forget(now);
        }
    }

    fn next_in_round(&mut self) -> Option<id::Process> {
        if self.round.is_empty() {
            self.round = self
                .table
                .iter()
                .filter(|(_, row)| row.claim.health != Health::Dead)
                .map(|(process, _)| process)
                .collect();
            self.round.shuffle(&mut self.random);
        }
        while let Some(process) = self.round.pop() {
            let row = self.table.get(process);
            if row.is_some_and(|row| row.claim.health != Health::Dead) {
                return Some(process);
            }
        }
        None
    }

    fn probe(&mut self, process: id::Process, now: Instant, actions: &mut Vec<Action>) {
        let Some(to) = self.table.address(process) else {
            self.probes.clear(process);
            return;
        };
        self.probes.sent(process, now);
        let heartbeat = self.heartbeat(Some(process), true);
        actions.push(Action::Send { to, heartbeat });
    }

    /// A suspect hears of the suspicion from many, so that lost frames don't cost it its life.
    fn probe_a_suspect(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let count = self.probes.suspects().len();
        if count == 0 {
            return;
        }
        let chosen = self.random.random_range(0..count);
        let process = self.probes.suspects().nth(chosen);
        if let Some(process) = process {
            self.probe(process, now, actions);
        }
    }

    /// Speaks to one that is held for dead: it may be our side that was cut off.
    fn revive(&mut self, actions: &mut Vec<Action>) {
        let count = self.table.dead().len();
        if count == 0 {
            return;
        }
        let chosen = self.random.random_range(0..count);
        let process = self.table.dead().iter().nth(chosen).copied();
        let Some(to) = process.and_then(|process| self.table.address(process)) else {
            return;
        };
        let heartbeat = self.heartbeat(process, true);
        actions.push(Action::Send { to, heartbeat });
    }

    fn ask_a_seed(&mut self, actions: &mut Vec<Action>) {
        let Some(&to) = self.seeds.choose(&mut self.random) else {
            return;
        };
        let heartbeat = self.heartbeat(None, true);
        actions.push(Action::Send { to, heartbeat });
    }

    pub(super) fn suspect(
        &mut self,
        process: id::Process,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(row) = self.table.get(process) else {
            return;
        };
        match row.claim.health {
            Health::Alive => {
                let claim = Claim {
                    health: Health::Suspect,
                    ..row.claim.clone()
                };
                self.learn(process, claim, now, actions);
            }
            // It said that it leaves, which outranks a suspicion; the doubt stays with us.
            Health::Suspect | Health::Leaving => self.probes.suspect(process, now),
            Health::Dead => {}
        }
    }

    fn bury(&mut self, process: id::Process, now: Instant, actions: &mut Vec<Action>) {
        let Some(row) = self.table.get(process) else {
            return;
        };
        let claim = Claim {
            health: Health::Dead,
            ..row.claim.clone()
        };
        self.learn(process, claim, now, actions);
    }
}
