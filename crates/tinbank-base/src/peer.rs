//! What the slices ask of the connection between processes, as trait objects. `tinbank-peer` moves the frames and
//! `tinbank-membership` knows who lives.

use std::{fmt, net::SocketAddr, sync::Arc, time::Instant};

use async_trait::async_trait;
use futures_core::stream::BoxStream;

use crate::{
    frame::{
        credit, demand,
        heartbeat::{Health, Phase},
        request::{Request, Response},
    },
    id,
    record::Writer,
};

/// Why a peer gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection: the request was not sent.
    #[error("no connection to {0}")]
    Connect(SocketAddr),
    /// The connection broke, or the deadline passed, after the request was sent.
    #[error("no answer from {to}: {reason}")]
    Lost {
        /// Who was asked.
        to: SocketAddr,
        /// What happened.
        reason: String,
    },
}

/// Sends frames to other processes.
#[async_trait]
pub trait Peers: Send + Sync + fmt::Debug {
    /// Sends a request and returns all frames of the answer, the final one last.
    async fn ask(
        &self,
        to: SocketAddr,
        request: Request,
        until: Instant,
    ) -> Result<Vec<Response>, Error>;

    /// Sends a datagram about batch credits. It may be lost.
    fn send_credit(&self, to: SocketAddr, message: credit::Message);

    /// Sends a datagram about limits. It may be lost.
    fn send_demand(&self, to: SocketAddr, message: demand::Message);
}

/// Answers the requests of other processes.
#[async_trait]
pub trait Answer: Send + Sync {
    /// Answers one request; the last frame is the final one.
    async fn answer(&self, from: Writer, request: Request) -> BoxStream<'static, Response>;

    /// Takes in a datagram about batch credits.
    fn on_credit(&self, from: Writer, message: credit::Message);

    /// Takes in a datagram about limits. Only online processes keep any, so that others need not say that they drop it.
    fn on_demand(&self, _from: Writer, _message: demand::Message) {}
}

/// A process that we know of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Which process and start.
    pub writer: Writer,
    /// What is believed of it.
    pub health: Health,
    /// What it says of itself.
    pub phase: Phase,
    /// Where it takes frames.
    pub peer: SocketAddr,
    /// Where it takes HTTP requests.
    pub http: SocketAddr,
    /// Where it stands.
    pub failure_domain: id::FailureDomain,
    /// How far its configuration is.
    pub config: id::Offset,
}

/// Who is there, as known now. Soft: it may be stale.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// All that are known, ourselves included, by process.
    pub members: Vec<Member>,
}

impl Members {
    /// Members of a role that may get new work: alive and ready.
    pub fn ready(&self, role: id::Role) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| {
            member.writer.process.role == role
                && member.health == Health::Alive
                && member.phase == Phase::Ready
        })
    }

    /// The member of a process, if it is known.
    pub fn get(&self, process: id::Process) -> Option<&Member> {
        self.members
            .iter()
            .find(|member| member.writer.process == process)
    }
}

/// Gives the current view of who is there.
pub trait Directory: Send + Sync + fmt::Debug {
    /// The newest view.
    fn members(&self) -> Arc<Members>;
}
