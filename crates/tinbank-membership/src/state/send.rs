//! What heartbeats say, and whom urgent news goes to.

use rand::{Rng, seq::SliceRandom};
use smallvec::SmallVec;
use tinbank_base::{
    frame::heartbeat::{Health, Heartbeat, Leaving, MemberUpdate},
    id,
};

use super::{Action, State};

/// Pieces of news of processes in one heartbeat.
const MAX_NEWS: usize = 5;
/// Bytes of news of processes in one heartbeat, whatever the length of the names.
const MAX_NEWS_BYTES: usize = 700;
/// Bytes of one piece of news but for the name of its failure domain; IPv6 addresses and full counters.
const NEWS_BYTES: usize = 70;
/// Pieces of news of upstreams in one heartbeat.
const MAX_LEAVING: usize = 8;
/// Peers that urgent news is sent to at once by each who learns it.
const URGENT_FANOUT: usize = 4;
/// Every which frame without news repeats what is known of one process, for those who missed it.
const REPEAT_EVERY: u64 = 4;

impl State {
    /// Sends what is new to a few at once; each who learns it by this does the same.
    pub(super) fn spread(&mut self, actions: &mut Vec<Action>) {
        let mut targets: Vec<_> = self
            .table
            .iter()
            .filter(|(_, row)| row.claim.health == Health::Alive)
            .map(|(process, row)| (process, row.claim.peer))
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
            news: self.pick_news(to),
            leaving: self.pick_leaving(),
            answer,
        })
    }

    /// First what the receiver has to refute, then what is fresh, then some at random: many for a receiver that is new.
    fn pick_news(&mut self, to: Option<id::Process>) -> SmallVec<[MemberUpdate; 4]> {
        let accused = to.filter(|&process| self.is_accused(process));
        let mut chosen: SmallVec<[_; MAX_NEWS]> = accused.into_iter().collect();
        for process in self.news.take(MAX_NEWS - chosen.len()) {
            if Some(process) != to {
                chosen.push(process);
            }
        }
        self.frames += 1;
        let repeats = if to.is_none_or(|process| self.news.contains(process)) {
            MAX_NEWS - chosen.len()
        } else {
            usize::from(chosen.is_empty() && self.frames.is_multiple_of(REPEAT_EVERY))
        };
        for _ in 0..repeats.min(self.table.len()) {
            let index = self.random.random_range(0..self.table.len());
            let process = self.table.iter().nth(index).map(|(process, _)| process);
            let new = process.filter(|&process| Some(process) != to && !chosen.contains(&process));
            chosen.extend(new);
        }
        let mut bytes = 0;
        let mut news = SmallVec::new();
        for process in chosen {
            let Some(row) = self.table.get(process) else {
                continue;
            };
            bytes += NEWS_BYTES + row.claim.failure_domain.len();
            if bytes > MAX_NEWS_BYTES {
                break;
            }
            news.push(row.claim.to_news(process));
        }
        news
    }

    fn pick_leaving(&mut self) -> SmallVec<[Leaving; 4]> {
        let chosen = self.upstream_news.take(MAX_LEAVING);
        chosen
            .into_iter()
            .filter_map(|upstream| self.upstreams.get(&upstream).copied())
            .collect()
    }
}
