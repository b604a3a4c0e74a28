//! Heartbeats: who lives, who leaves, how far the configuration is.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{id, record::Writer};

/// What a process says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Not ready yet.
    Starting,
    /// Serves.
    Ready,
    /// Finishes what it has and takes no more.
    Leaving,
}

/// What is believed of a process. Of two claims on the same incarnation and refutation the larger one holds; the
/// process itself contradicts it with a larger refutation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// Heard of lately.
    Alive,
    /// Silent for too long.
    Suspect,
    /// Said that it leaves.
    Leaving,
    /// Silent since it was suspected.
    Dead,
}

/// News of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Which process and start.
    pub member: Writer,
    /// How often that start has contradicted a suspicion by then; news with a larger number is later.
    pub refutation: u32,
    /// What is believed of it.
    pub health: Health,
    /// What it said of itself, as far as is known.
    pub phase: Phase,
    /// Where it takes frames.
    pub peer: SocketAddr,
    /// Where it takes HTTP requests.
    pub http: SocketAddr,
    /// Where it stands.
    pub failure_domain: id::FailureDomain,
}

/// News of an upstream that is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leaving {
    /// Which upstream.
    pub upstream: id::Upstream,
    /// Version of the host list that the upstream was last seen live in; a later list that has it live again wins.
    pub list: u64,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// What the sender says of itself.
    pub phase: Phase,
    /// How often the sender has contradicted a suspicion since its start.
    pub refutation: u32,
    /// Where the sender takes frames.
    pub peer: SocketAddr,
    /// Where the sender takes HTTP requests.
    pub http: SocketAddr,
    /// Where the sender stands.
    pub failure_domain: id::FailureDomain,
    /// The configuration stream up to before this offset is in force at the sender.
    pub config: id::Offset,
    /// The sender's use of its time, in per mille.
    pub load: u16,
    /// News of others, the freshest first.
    pub news: SmallVec<[MemberUpdate; 4]>,
    /// News of upstreams.
    pub leaving: SmallVec<[Leaving; 4]>,
    /// Whether the receiver should answer with a heartbeat of its own.
    pub answer: bool,
}
