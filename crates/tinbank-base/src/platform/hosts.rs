//! The platform's list of live and leaving hosts and upstreams, which may be outdated.

use std::{fmt, net::SocketAddr};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id;

/// State of a host or upstream on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// Gets no new work.
    Leaving,
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service, whose calls may not be repeatable.
    Plain,
}

/// An upstream on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    pub upstream: id::Upstream,
    /// Display name.
    pub name: String,
    pub kind: Kind,
    /// Pools that it belongs to; each service uses a pool.
    pub pools: SmallVec<[id::Pool; 2]>,
    /// Address for HTTP requests.
    pub address: SocketAddr,
    pub failure_domain: id::FailureDomain,
    /// Whether it rejects orders with an outdated fencing number.
    pub checks_fence: bool,
    /// Number of requests that it runs at once before it queues more, if known.
    pub slots: Option<u32>,
    pub state: State,
}

/// A process of this system on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub process: id::Process,
    /// Address for frames of other processes (UDP and TCP).
    pub peer: SocketAddr,
    /// Address for HTTP requests.
    pub http: SocketAddr,
    pub failure_domain: id::FailureDomain,
    /// State of its host.
    pub state: State,
}

/// A read of the list, which may be some seconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Increases with every change.
    pub version: u64,
    /// Upstreams, ordered by number.
    pub upstreams: Vec<Upstream>,
    /// Processes of this system, ordered by host and role.
    pub members: Vec<Member>,
}

/// Error of a read of the list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the host list can't be read: {0}")]
pub struct Error(pub String);

/// The host list.
#[async_trait]
pub trait Hosts: Send + Sync + fmt::Debug {
    /// Reads the whole list.
    async fn list(&self) -> Result<List, Error>;

    /// Reads the list if its version differs from `known`; returns `None` otherwise. Adapters should override this if the
    /// platform can compare versions without sending the list, which is large.
    async fn changed(&self, known: Option<u64>) -> Result<Option<List>, Error> {
        let list = self.list().await?;
        Ok((known != Some(list.version)).then_some(list))
    }
}
