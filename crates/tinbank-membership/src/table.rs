//! The table of all other processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_base::{
    frame::heartbeat::{Health, Phase},
    id,
    peer::Member,
    platform::hosts,
    record::Writer,
};

use crate::member_record::MemberRecord;

/// How long an unlisted dead process is kept and probed: longer than a partition between regions, so that its end is
/// noticed.
const DEAD_RETENTION: Duration = Duration::from_secs(900);

/// The entry of one process.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) record: MemberRecord,
    pub(crate) config: id::Offset,
    /// State in the platform's host list.
    pub(crate) listed: Option<hosts::State>,
    /// When the record last changed.
    changed: Instant,
}

/// All processes except the local one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<id::Process, Row>,
    dead: BTreeSet<id::Process>,
}

impl Table {
    pub(crate) fn get(&self, process: id::Process) -> Option<&Row> {
        self.rows.get(&process)
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (id::Process, &Row)> {
        self.rows.iter().map(|(&process, row)| (process, row))
    }

    /// Returns the processes considered dead.
    pub(crate) fn dead(&self) -> &BTreeSet<id::Process> {
        &self.dead
    }

    /// Applies a record if it supersedes the known one, and returns whether it did. The death of an unknown process is
    /// ignored, so that a dead process that was removed is not gossiped back.
    pub(crate) fn apply(
        &mut self,
        process: id::Process,
        record: MemberRecord,
        now: Instant,
    ) -> bool {
        let known = self.rows.get_mut(&process);
        let health = record.health;
        match known {
            Some(row) if !record.supersedes(&row.record) => return false,
            Some(row) => {
                row.record = record;
                row.changed = now;
            }
            None if health == Health::Dead => return false,
            None => {
                let row = Row {
                    record,
                    config: 0,
                    listed: None,
                    changed: now,
                };
                self.rows.insert(process, row);
            }
        }
        if health == Health::Dead {
            self.dead.insert(process);
        } else {
            self.dead.remove(&process);
        }
        true
    }

    /// Records a process's configuration offset and returns whether it has advanced.
    pub(crate) fn set_config(&mut self, process: id::Process, config: id::Offset) -> bool {
        let Some(row) = self.rows.get_mut(&process) else {
            return false;
        };
        let grew = config > row.config;
        row.config = row.config.max(config);
        grew
    }

    /// Merges the platform's host list. An unknown process is assumed to be as listed until its first heartbeat; for a
    /// known one only the listed state "leaving" counts, since the list lags.
    pub(crate) fn merge_host_list(
        &mut self,
        members: &[hosts::Member],
        own: id::Process,
        now: Instant,
    ) {
        for row in self.rows.values_mut() {
            row.listed = None;
        }
        for member in members.iter().filter(|member| member.process != own) {
            let row = self.rows.entry(member.process).or_insert_with(|| Row {
                record: listed(member),
                config: 0,
                listed: None,
                changed: now,
            });
            row.listed = Some(member.state);
            // The list has the address of a replaced process before its first heartbeat.
            if row.record.incarnation == 0 {
                row.record.peer = member.peer;
                row.record.http = member.http;
            }
        }
        self.rows
            .retain(|_, row| row.listed.is_some() || row.record.incarnation > 0);
        self.dead.retain(|process| self.rows.contains_key(process));
    }

    /// Removes unlisted processes that have been dead for [`DEAD_RETENTION`].
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.rows.retain(|_, row| {
            let gone = row.record.health == Health::Dead && row.listed.is_none();
            !gone || now < row.changed + DEAD_RETENTION
        });
        self.dead.retain(|process| self.rows.contains_key(process));
    }

    pub(crate) fn address(&self, process: id::Process) -> Option<SocketAddr> {
        self.rows.get(&process).map(|row| row.record.peer)
    }
}

impl Row {
    /// Returns whether the process is known only from the host list, and the record matches that.
    pub(crate) fn is_as_listed(&self, record: &MemberRecord) -> bool {
        self.record.incarnation == 0
            && self.record.health == record.health
            && self.record.phase == record.phase
    }

    /// Returns the member, with the host list merged.
    pub(crate) fn member(&self, process: id::Process) -> Member {
        let record = &self.record;
        let leaving_by_list =
            self.listed == Some(hosts::State::Leaving) && record.health < Health::Leaving;
        Member {
            writer: Writer {
                process,
                incarnation: record.incarnation,
            },
            health: if leaving_by_list {
                Health::Leaving
            } else {
                record.health
            },
            phase: record.phase,
            peer: record.peer,
            http: record.http,
            failure_domain: record.failure_domain.clone(),
            config: self.config,
        }
    }
}

/// Returns the assumed record of a process that is known only from the host list.
fn listed(member: &hosts::Member) -> MemberRecord {
    MemberRecord {
        incarnation: 0,
        refutation: 0,
        health: Health::Alive,
        phase: Phase::Ready,
        peer: member.peer,
        http: member.http,
        failure_domain: member.failure_domain.clone(),
    }
}
