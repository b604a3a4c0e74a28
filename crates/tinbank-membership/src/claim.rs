//! Claims on a process, and which of two holds.

use std::net::SocketAddr;

use tinbank_base::{
    frame::heartbeat::{Health, MemberUpdate, Phase},
    id,
    record::Writer,
};

/// What is claimed of one start of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Claim {
    pub(crate) incarnation: id::Incarnation,
    pub(crate) refutation: u32,
    pub(crate) health: Health,
    pub(crate) phase: Phase,
    pub(crate) peer: SocketAddr,
    pub(crate) http: SocketAddr,
    pub(crate) failure_domain: id::FailureDomain,
}

impl Claim {
    pub(crate) fn from_news(news: MemberUpdate) -> Self {
        Self {
            incarnation: news.member.incarnation,
            refutation: news.refutation,
            health: news.health,
            phase: news.phase,
            peer: news.peer,
            http: news.http,
            failure_domain: news.failure_domain,
        }
    }

    pub(crate) fn to_news(&self, process: id::Process) -> MemberUpdate {
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

    /// What orders claims: a later start, then a later refutation, then the worse health, then the later phase.
    fn rank(&self) -> (id::Incarnation, u32, Health, Phase) {
        (self.incarnation, self.refutation, self.health, self.phase)
    }

    /// Whether this claim holds against the other one.
    pub(crate) fn beats(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }
}
