//! What others say of themselves, of third processes and of us.

use std::time::Instant;

use tinbank_base::{
    event,
    frame::heartbeat::{Health, Heartbeat, MemberUpdate, Phase},
    id,
    record::Writer,
};

use super::{Action, State};
use crate::claim::Claim;

impl State {
    pub(super) fn heard(
        &mut self,
        from: Writer,
        heartbeat: Heartbeat,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let process = from.process;
        if process == self.own.writer.process {
            return;
        }
        let known = self.table.get(process);
        if known.is_some_and(|row| row.claim.incarnation > from.incarnation) {
            return;
        }
        let mut urgent = self.learn_sender(from, &heartbeat, now, actions);
        for news in heartbeat.news {
            urgent |= self.learn_news(news, now, actions);
        }
        for leaving in heartbeat.leaving {
            urgent |= self.learn_upstream(leaving, actions);
        }
        if heartbeat.answer || self.is_accused(process) {
            let reply = self.heartbeat(Some(process), false);
            actions.push(Action::Send {
                to: heartbeat.peer,
                heartbeat: reply,
            });
        }
        if urgent {
            self.spread(actions);
        }
    }

    /// Takes in what the sender says of itself, and tells whether it is urgent news.
    fn learn_sender(
        &mut self,
        from: Writer,
        heartbeat: &Heartbeat,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let process = from.process;
        let leaves = heartbeat.phase == Phase::Leaving;
        let claim = Claim {
            incarnation: from.incarnation,
            refutation: heartbeat.refutation,
            health: if leaves {
                Health::Leaving
            } else {
                Health::Alive
            },
            phase: heartbeat.phase,
            peer: heartbeat.peer,
            http: heartbeat.http,
            failure_domain: heartbeat.failure_domain.clone(),
        };
        let new = self.learn(process, claim, now, actions);
        self.probes.answered(process);
        if !self.is_accused(process) {
            self.probes.clear(process);
        }
        if self.table.set_config(process, heartbeat.config) {
            actions.push(Action::Members);
            self.update_ahead(actions);
        }
        new && leaves
    }

    /// Whether we hold a process for worse than it is, if it speaks.
    pub(super) fn is_accused(&self, process: id::Process) -> bool {
        self.table
            .get(process)
            .is_some_and(|row| matches!(row.claim.health, Health::Suspect | Health::Dead))
    }

    /// Takes in news of a third process or of ourselves, and tells whether it is urgent.
    fn learn_news(&mut self, news: MemberUpdate, now: Instant, actions: &mut Vec<Action>) -> bool {
        if news.member.process == self.own.writer.process {
            return self.refute(&news);
        }
        let leaves = news.health == Health::Leaving;
        let process = news.member.process;
        self.learn(process, Claim::from_news(news), now, actions) && leaves
    }

    /// Contradicts a claim that we are silent or dead.
    fn refute(&mut self, news: &MemberUpdate) -> bool {
        let accused = matches!(news.health, Health::Suspect | Health::Dead);
        let about_us =
            news.member.incarnation == self.own.writer.incarnation || news.member.incarnation == 0;
        if !accused || !about_us || news.refutation < self.refutation {
            return false;
        }
        self.refutation = news.refutation.saturating_add(1);
        true
    }

    /// Takes in a claim on another process, passes it on if it is new, and tells whether it was.
    pub(super) fn learn(
        &mut self,
        process: id::Process,
        claim: Claim,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let before = self.table.get(process);
        // That a listed process is as listed is no news, or a start of the whole fleet would drown all other news.
        let expected = before.is_some_and(|row| row.is_as_listed(&claim));
        let before = before.map(|row| row.claim.health);
        let health = claim.health;
        if !self.table.learn(process, claim, now) {
            return false;
        }
        match health {
            Health::Suspect => self.probes.suspect(process, now),
            Health::Alive | Health::Leaving | Health::Dead => self.probes.clear(process),
        }
        let kind = match (before, health) {
            (None | Some(Health::Dead), Health::Alive) => Some(event::Kind::Joined),
            (_, Health::Suspect) => Some(event::Kind::Suspected),
            (_, Health::Dead) => Some(event::Kind::Died),
            (_, Health::Leaving) => Some(event::Kind::PeerLeaving),
            _ => None,
        };
        if let Some(kind) = kind {
            actions.push(Action::Note { process, kind });
        }
        if !expected {
            self.news.push(process, self.table.len());
        }
        actions.push(Action::Members);
        true
    }
}
