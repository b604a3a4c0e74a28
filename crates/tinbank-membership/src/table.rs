//! What is known of each process.

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

use crate::claim::Claim;

/// How long a dead process is remembered that the platform doesn't list: longer than a split of regions, so that its
/// end is noticed.
const REMEMBER_DEAD: Duration = Duration::from_secs(900);

/// One process.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) claim: Claim,
    pub(crate) config: id::Offset,
    /// What the platform's list says of it.
    pub(crate) listed: Option<hosts::State>,
    /// When the claim last changed.
    changed: Instant,
}

/// All processes but ourselves.
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

    /// Processes held for dead.
    pub(crate) fn dead(&self) -> &BTreeSet<id::Process> {
        &self.dead
    }

    /// Takes in a claim if it holds against what is known, and tells whether it did. The death of a process that we
    /// don't know is no news: else those who have forgotten it would be reminded for ever.
    pub(crate) fn learn(&mut self, process: id::Process, claim: Claim, now: Instant) -> bool {
        let known = self.rows.get_mut(&process);
        let health = claim.health;
        match known {
            Some(row) if !claim.beats(&row.claim) => return false,
            Some(row) => {
                row.claim = claim;
                row.changed = now;
            }
            None if health == Health::Dead => return false,
            None => {
                let row = Row {
                    claim,
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

    /// Notes a process's configuration and tells whether that is new.
    pub(crate) fn set_config(&mut self, process: id::Process, config: id::Offset) -> bool {
        let Some(row) = self.rows.get_mut(&process) else {
            return false;
        };
        let grew = config > row.config;
        row.config = row.config.max(config);
        grew
    }

    /// Merges the platform's list. A process that we know nothing of is taken to be as listed until we hear more;
    /// of one that we know, only "leaving" counts, since the list lags.
    pub(crate) fn merge(&mut self, members: &[hosts::Member], own: id::Process, now: Instant) {
        for row in self.rows.values_mut() {
            row.listed = None;
        }
        for member in members.iter().filter(|member| member.process != own) {
            let row = self.rows.entry(member.process).or_insert_with(|| Row {
                claim: listed(member),
                config: 0,
                listed: None,
                changed: now,
            });
            row.listed = Some(member.state);
            // The platform knows the addresses of a replaced process before the process speaks.
            if row.claim.incarnation == 0 {
                row.claim.peer = member.peer;
                row.claim.http = member.http;
            }
        }
        self.rows
            .retain(|_, row| row.listed.is_some() || row.claim.incarnation > 0);
        self.dead.retain(|process| self.rows.contains_key(process));
    }

    /// Forgets who has been dead for long and is not listed.
    pub(crate) fn forget(&mut self, now: Instant) {
        self.rows.retain(|_, row| {
            let gone = row.claim.health == Health::Dead && row.listed.is_none();
            !gone || now < row.changed + REMEMBER_DEAD
        });
        self.dead.retain(|process| self.rows.contains_key(process));
    }

    /// The address of a process.
    pub(crate) fn address(&self, process: id::Process) -> Option<SocketAddr> {
        self.rows.get(&process).map(|row| row.claim.peer)
    }
}

impl Row {
    /// Whether a claim says no more than the platform's list, which is all that is known so far.
    pub(crate) fn is_as_listed(&self, claim: &Claim) -> bool {
        self.claim.incarnation == 0
            && self.claim.health == claim.health
            && self.claim.phase == claim.phase
    }

    /// The process as others see it.
    pub(crate) fn member(&self, process: id::Process) -> Member {
        let claim = &self.claim;
        let taken_away =
            self.listed == Some(hosts::State::Leaving) && claim.health < Health::Leaving;
        Member {
            writer: Writer {
                process,
                incarnation: claim.incarnation,
            },
            health: if taken_away {
                Health::Leaving
            } else {
                claim.health
            },
            phase: claim.phase,
            peer: claim.peer,
            http: claim.http,
            failure_domain: claim.failure_domain.clone(),
            config: self.config,
        }
    }
}

/// What the list alone tells of a process.
fn listed(member: &hosts::Member) -> Claim {
    Claim {
        incarnation: 0,
        refutation: 0,
        health: Health::Alive,
        phase: Phase::Ready,
        peer: member.peer,
        http: member.http,
        failure_domain: member.failure_domain.clone(),
    }
}
