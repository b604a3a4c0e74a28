//! Failure detection: chooses the processes to probe, and suspects those that do not answer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{
    Rng,
    seq::{IndexedRandom, SliceRandom},
};
use tinbank_base::{frame::heartbeat::Health, id};

use super::{Action, State};
use crate::{member_record::MemberRecord, probe::Due};

/// A longer time between ticks means that the local process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Number of ticks between probes of a dead process, which heal network partitions.
const DEAD_PROBE_TICKS: u64 = 4;
/// Number of ticks between probes of a seed, which connect clusters that do not know each other.
const SEED_PROBE_TICKS: u64 = 40;
/// Number of ticks between removals of expired dead processes.
const FORGET_TICKS: u64 = 120;

impl State {
    pub(super) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now.saturating_duration_since(self.last_tick) > PAUSE_THRESHOLD {
            self.probes.restart_timeouts(now);
        }
        self.last_tick = now;
        self.ticks += 1;
        for due in self.probes.take_due(now) {
            match due {
                Due::Probe(process) => self.probe(process, now, actions),
                Due::Suspect(process) => self.mark_suspect(process, now, actions),
                Due::Dead(process) => self.mark_dead(process, now, actions),
            }
        }
        let next = self.next_probe_target();
        if let Some(process) = next {
            self.probe(process, now, actions);
        }
        self.probe_suspect(now, actions);
        if self.ticks.is_multiple_of(DEAD_PROBE_TICKS) {
            self.probe_dead(actions);
        }
        if next.is_none() || self.ticks.is_multiple_of(SEED_PROBE_TICKS) {
            self.probe_seed(actions);
        } else if self.ticks < SEED_PROBE_TICKS {
            self.probe_unknown_seed(actions);
        }
        if self.ticks.is_multiple_of(FORGET_TICKS) {
            self.table.remove_expired(now);
        }
    }

    fn next_probe_target(&mut self) -> Option<id::Process> {
        if self.probe_round.is_empty() {
            self.probe_round = self
                .table
                .iter()
                .filter(|(_, row)| row.record.health != Health::Dead)
                .map(|(process, _)| process)
                .collect();
            self.probe_round.shuffle(&mut self.random);
        }
        while let Some(process) = self.probe_round.pop() {
            let row = self.table.get(process);
            if row.is_some_and(|row| row.record.health != Health::Dead) {
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
        self.probes.record_probe(process, now);
        let heartbeat = self.heartbeat(Some(process), true);
        actions.push(Action::Send { to, heartbeat });
    }

    /// Probes a random suspect. All processes do, so that lost frames do not keep it from refuting.
    fn probe_suspect(&mut self, now: Instant, actions: &mut Vec<Action>) {
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

    /// Probes a random dead process, since the local side may be the one that was partitioned.
    fn probe_dead(&mut self, actions: &mut Vec<Action>) {
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

    fn probe_seed(&mut self, actions: &mut Vec<Action>) {
        let Some(&to) = self.seeds.choose(&mut self.random) else {
            return;
        };
        let heartbeat = self.heartbeat(None, true);
        actions.push(Action::Send { to, heartbeat });
    }

    /// Probes a seed that is not known as a member yet. A process that has just started may hear first of one that knows nobody
    /// else either; without this, both would stay apart from the rest until the next probe of a seed.
    fn probe_unknown_seed(&mut self, actions: &mut Vec<Action>) {
        let table = &self.table;
        let is_known = |seed: &SocketAddr| table.iter().any(|(_, row)| row.record.peer == *seed);
        let Some(to) = self.seeds.iter().copied().find(|seed| !is_known(seed)) else {
            return;
        };
        let heartbeat = self.heartbeat(None, true);
        actions.push(Action::Send { to, heartbeat });
    }

    pub(super) fn mark_suspect(
        &mut self,
        process: id::Process,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(row) = self.table.get(process) else {
            return;
        };
        match row.record.health {
            Health::Alive => {
                let record = MemberRecord {
                    health: Health::Suspect,
                    ..row.record.clone()
                };
                self.apply(process, record, now, actions);
            }
            // Leaving supersedes a suspicion, so the suspicion is only tracked locally.
            Health::Suspect | Health::Leaving => self.probes.suspect(process, now),
            Health::Dead => {}
        }
    }

    fn mark_dead(&mut self, process: id::Process, now: Instant, actions: &mut Vec<Action>) {
        let Some(row) = self.table.get(process) else {
            return;
        };
        let record = MemberRecord {
            health: Health::Dead,
            ..row.record.clone()
        };
        self.apply(process, record, now, actions);
    }
}
