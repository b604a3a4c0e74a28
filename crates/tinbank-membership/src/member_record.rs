//! The gossiped record of a process, and which of two records supersedes the other.

use std::net::SocketAddr;

use tinbank_base::{
    frame::heartbeat::{Health, MemberUpdate, Phase},
    id,
    record::Writer,
};

/// The state of one incarnation of a process, as it or another process reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MemberRecord {
    pub(crate) incarnation: id::Incarnation,
    pub(crate) refutation: u32,
    pub(crate) health: Health,
    pub(crate) phase: Phase,
    pub(crate) peer: SocketAddr,
    pub(crate) http: SocketAddr,
    pub(crate) failure_domain: id::FailureDomain,
}

impl MemberRecord {
    pub(crate) fn from_update(update: MemberUpdate) -> Self {
        Self {
            incarnation: update.member.incarnation,
            refutation: update.refutation,
            health: update.health,
            phase: update.phase,
            peer: update.peer,
            http: update.http,
            failure_domain: update.failure_domain,
        }
    }

    pub(crate) fn to_update(&self, process: id::Process) -> MemberUpdate {
        MemberUpdate {
            member: Writer {
                process,
                incarnation: self.incarnation,
            },
            refutation: self.refutation,
            health: self.health,
            phase: self.phase,
            peer: self.peer,
            http: self.http,
            failure_domain: self.failure_domain.clone(),
        }
    }

    /// Orders records by later incarnation, later refutation, worse health and later phase.
    fn precedence(&self) -> (id::Incarnation, u32, Health, Phase) {
        (self.incarnation, self.refutation, self.health, self.phase)
    }

    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }
}
