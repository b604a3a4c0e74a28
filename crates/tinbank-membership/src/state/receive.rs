//! Applies received heartbeats: what they report of their sender, of third processes and of the local process.

use std::time::Instant;

use tinbank_base::{
    event,
    frame::heartbeat::{Health, Heartbeat, MemberUpdate, Phase},
    id,
    record::Writer,
};

use super::{Action, State};
use crate::member_record::MemberRecord;

impl State {
    pub(super) fn on_heartbeat(
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
        if known.is_some_and(|row| row.record.incarnation > from.incarnation) {
            return;
        }
        let mut urgent = self.apply_sender(from, &heartbeat, now, actions);
        for update in heartbeat.news {
            urgent |= self.apply_update(update, now, actions);
        }
        for leaving in heartbeat.leaving {
            urgent |= self.apply_leaving_upstream(leaving, actions);
        }
        if heartbeat.answer || self.is_suspect_or_dead(process) {
            let reply = self.heartbeat(Some(process), false);
            actions.push(Action::Send {
                to: heartbeat.peer,
                heartbeat: reply,
            });
        }
        if urgent {
            self.send_urgent(actions);
        }
    }

    /// Applies the sender's own state, and returns whether the change is urgent.
    fn apply_sender(
        &mut self,
        from: Writer,
        heartbeat: &Heartbeat,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let process = from.process;
        let leaves = heartbeat.phase == Phase::Leaving;
        let record = MemberRecord {
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
        let new = self.apply(process, record, now, actions);
        self.probes.record_answer(process);
        if !self.is_suspect_or_dead(process) {
            self.probes.clear(process);
        }
        if self.table.set_config(process, heartbeat.config) {
            actions.push(Action::Members);
            self.update_ahead(actions);
        }
        new && leaves
    }

    /// Returns whether a process is suspect or dead, which it refutes if it is alive.
    pub(super) fn is_suspect_or_dead(&self, process: id::Process) -> bool {
        self.table
            .get(process)
            .is_some_and(|row| matches!(row.record.health, Health::Suspect | Health::Dead))
    }

    /// Applies an update about a third or the local process, and returns whether the change is urgent.
    fn apply_update(
        &mut self,
        update: MemberUpdate,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        if update.member.process == self.own.writer.process {
            return self.refute(&update);
        }
        let leaves = update.health == Health::Leaving;
        let process = update.member.process;
        self.apply(process, MemberRecord::from_update(update), now, actions) && leaves
    }

    /// Refutes an update that the local process is suspect or dead. Returns whether it did.
    fn refute(&mut self, update: &MemberUpdate) -> bool {
        let suspected = matches!(update.health, Health::Suspect | Health::Dead);
        let about_us = update.member.incarnation == self.own.writer.incarnation
            || update.member.incarnation == 0;
        if !suspected || !about_us || update.refutation < self.refutation {
            return false;
        }
        self.refutation = update.refutation.saturating_add(1);
        true
    }

    /// Applies a record of another process, queues it for gossip if it is new, and returns whether it was.
    pub(super) fn apply(
        &mut self,
        process: id::Process,
        record: MemberRecord,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let before = self.table.get(process);
        // A process that is as listed is not gossiped, or a start of the whole fleet would delay all other updates.
        let expected = before.is_some_and(|row| row.is_as_listed(&record));
        let before = before.map(|row| row.record.health);
        let health = record.health;
        if !self.table.apply(process, record, now) {
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
            self.pending_updates.push(process, self.table.len());
        }
        actions.push(Action::Members);
        true
    }
}
