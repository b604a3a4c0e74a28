//! Heartbeats: liveness, membership updates and the state of the configuration.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{id, record::Writer};

/// Lifecycle phase of a process, as reported by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    Starting,
    Ready,
    /// Finishes its remaining work and accepts no more.
    Leaving,
}

/// Health of a process, as seen by other processes. Of two claims about the same incarnation and refutation, the larger one
/// wins. The process itself overrides it with a larger refutation number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// Responsive.
    Alive,
    /// Unresponsive.
    Suspect,
    /// Announced that it is leaving.
    Leaving,
    /// Unresponsive since it was suspected.
    Dead,
}

/// An update about one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub member: Writer,
    /// Number of suspicions that this incarnation has refuted. An update with a larger number is newer.
    pub refutation: u32,
    pub health: Health,
    /// Last known phase.
    pub phase: Phase,
    /// Address for frames.
    pub peer: SocketAddr,
    /// Address for HTTP requests.
    pub http: SocketAddr,
    pub failure_domain: id::FailureDomain,
}

/// An update about an upstream that is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leaving {
    pub upstream: id::Upstream,
    /// Version of the latest host list in which the upstream was live. A later list in which it is live overrides the update.
    pub list: u64,
}

/// Heartbeat of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub phase: Phase,
    /// Number of suspicions that the sender has refuted since its start.
    pub refutation: u32,
    /// Address for frames.
    pub peer: SocketAddr,
    /// Address for HTTP requests.
    pub http: SocketAddr,
    pub failure_domain: id::FailureDomain,
    /// End offset (exclusive) of the configuration that the sender has applied.
    pub config: id::Offset,
    /// Utilization of the sender, in per mille.
    pub load: u16,
    /// Updates about other processes, newest first.
    pub news: SmallVec<[MemberUpdate; 4]>,
    /// Updates about upstreams.
    pub leaving: SmallVec<[Leaving; 4]>,
    /// Whether the receiver should reply with a heartbeat.
    pub answer: bool,
}
