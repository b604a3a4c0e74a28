//! Traits for the communication between processes. `tinbank-peer` transports the frames and `tinbank-membership` tracks the
//! members.

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

/// Error of a request to a peer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was made; the request was not sent.
    #[error("no connection to {0}")]
    Connect(SocketAddr),
    /// The connection was lost or the deadline passed after the request was sent.
    #[error("no answer from {to}: {reason}")]
    Lost { to: SocketAddr, reason: String },
}

/// Sends frames to other processes.
#[async_trait]
pub trait Peers: Send + Sync + fmt::Debug {
    /// Sends a request and returns all frames of the response; the final one is last.
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
    /// Answers a request; the last frame of the response is final.
    async fn answer(&self, from: Writer, request: Request) -> BoxStream<'static, Response>;

    /// Handles a datagram about batch credits.
    fn on_credit(&self, from: Writer, message: credit::Message);

    /// Handles a datagram about limits. The default ignores it, since only online processes enforce limits.
    fn on_demand(&self, _from: Writer, _message: demand::Message) {}
}

/// A known process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub writer: Writer,
    /// Health as determined by failure detection.
    pub health: Health,
    /// Phase as reported by the process itself.
    pub phase: Phase,
    /// Address for frames.
    pub peer: SocketAddr,
    /// Address for HTTP requests.
    pub http: SocketAddr,
    pub failure_domain: id::FailureDomain,
    /// End offset of the configuration that it has applied.
    pub config: id::Offset,
}

/// The known members. The view may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// All known members including this process, ordered by process.
    pub members: Vec<Member>,
}

impl Members {
    /// Returns the members of a role that may get new work: those that are alive and ready.
    pub fn ready(&self, role: id::Role) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |member| {
            member.writer.process.role == role
                && member.health == Health::Alive
                && member.phase == Phase::Ready
        })
    }

    /// Returns the member of a process, if it is known.
    pub fn get(&self, process: id::Process) -> Option<&Member> {
        self.members
            .iter()
            .find(|member| member.writer.process == process)
    }
}

/// Provides the current view of the members.
pub trait Directory: Send + Sync + fmt::Debug {
    /// Returns the latest view.
    fn members(&self) -> Arc<Members>;
}
