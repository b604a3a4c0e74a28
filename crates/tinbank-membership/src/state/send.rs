//! Creates heartbeats, and sends urgent updates immediately.

use rand::{Rng, seq::SliceRandom};
use smallvec::SmallVec;
use tinbank_base::{
    frame::heartbeat::{Health, Heartbeat, Leaving, MemberUpdate},
    id,
};

use super::{Action, State};

/// Maximum number of updates about processes in one heartbeat.
const MAX_UPDATES: usize = 5;
/// Maximum size of these updates in bytes, including the names of failure domains.
const MAX_TOTAL_UPDATE_BYTES: usize = 700;
/// Maximum size of one update in bytes, without the name of its failure domain.
const UPDATE_BYTES: usize = 70;
/// Maximum number of updates about upstreams in one heartbeat.
const MAX_LEAVING: usize = 8;
/// Number of peers that a process sends an urgent update to immediately.
const URGENT_FANOUT: usize = 4;
/// Of the heartbeats without an update, one in this many repeats a known record, for peers that missed it.
const REPEAT_FRAMES: u64 = 4;

impl State {
    /// Sends pending updates to a few random peers immediately. Peers for which they are new do the same.
    pub(super) fn send_urgent(&mut self, actions: &mut Vec<Action>) {
        let mut targets: Vec<_> = self
            .table
            .iter()
            .filter(|(_, row)| row.record.health == Health::Alive)
            .map(|(process, row)| (process, row.record.peer))
            .collect();
        let (chosen, _) = targets.partial_shuffle(&mut self.random, URGENT_FANOUT);
        for (process, to) in chosen {
            let heartbeat = self.heartbeat(Some(*process), false);
            actions.push(Action::Send { to: *to, heartbeat });
        }
    }

    pub(super) fn heartbeat(&mut self, to: Option<id::Process>, answer: bool) -> Box<Heartbeat> {
        Box::new(Heartbeat {
            phase: self.phase,
            refutation: self.refutation,
            peer: self.own.peer,
            http: self.own.http,
            failure_domain: self.own.failure_domain.clone(),
            config: self.config,
            load: self.load,
            news: self.select_updates(to),
            leaving: self.select_leaving(),
            answer,
        })
    }

    /// Selects what the receiver may have to refute, then pending updates, then random records: as many as fit if the
    /// receiver is unknown or new.
    fn select_updates(&mut self, to: Option<id::Process>) -> SmallVec<[MemberUpdate; 4]> {
        let suspected = to.filter(|&process| self.is_suspect_or_dead(process));
        let mut chosen: SmallVec<[_; MAX_UPDATES]> = suspected.into_iter().collect();
        for process in self.pending_updates.take(MAX_UPDATES - chosen.len()) {
            if Some(process) != to {
                chosen.push(process);
            }
        }
        self.frames += 1;
        let repeats = if to.is_none_or(|process| self.pending_updates.contains(process)) {
            MAX_UPDATES - chosen.len()
        } else {
            usize::from(chosen.is_empty() && self.frames.is_multiple_of(REPEAT_FRAMES))
        };
        for _ in 0..repeats.min(self.table.len()) {
            let index = self.random.random_range(0..self.table.len());
            let process = self.table.iter().nth(index).map(|(process, _)| process);
            let new = process.filter(|&process| Some(process) != to && !chosen.contains(&process));
            chosen.extend(new);
        }
        let mut bytes = 0;
        let mut updates = SmallVec::new();
        for process in chosen {
            let Some(row) = self.table.get(process) else {
                continue;
            };
            bytes += UPDATE_BYTES + row.record.failure_domain.len();
            if bytes > MAX_TOTAL_UPDATE_BYTES {
                break;
            }
            updates.push(row.record.to_update(process));
        }
        updates
    }

    fn select_leaving(&mut self) -> SmallVec<[Leaving; 4]> {
        let chosen = self.pending_upstreams.take(MAX_LEAVING);
        chosen
            .into_iter()
            .filter_map(|upstream| self.upstreams.get(&upstream).copied())
            .collect()
    }
}
