//! The platform's lagging list of live and leaving hosts and upstreams.

use std::{fmt, net::SocketAddr};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id;

/// Whether the platform wants a host or upstream used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// To be left alone: it gets no new work.
    Leaving,
}

/// What kind of upstream it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service; its calls may not be repeatable.
    Plain,
}

/// An upstream on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its number.
    pub upstream: id::Upstream,
    /// Its name, for people.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// Pools it belongs to; services name a pool.
    pub pools: SmallVec<[id::Pool; 2]>,
    /// Where it takes HTTP requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: id::FailureDomain,
    /// Whether it refuses orders with a stale fencing number.
    pub checks_fence: bool,
    /// How many requests it runs at once before they queue inside it, when the platform knows.
    pub slots: Option<u32>,
    /// Whether it may get work.
    pub state: State,
}

/// A process of ours on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Which process.
    pub process: id::Process,
    /// Where it takes frames of other processes (UDP and TCP).
    pub peer: SocketAddr,
    /// Where it takes HTTP requests.
    pub http: SocketAddr,
    /// Where it stands.
    pub failure_domain: id::FailureDomain,
    /// Whether the platform is taking the host away.
    pub state: State,
}

/// The list as the platform gives it: possibly some seconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Rises with every change.
    pub version: u64,
    /// Upstreams, by number.
    pub upstreams: Vec<Upstream>,
    /// Processes of ours, by host and role.
    pub members: Vec<Member>,
}

/// Why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the host list can't be read: {0}")]
pub struct Error(pub String);

/// The host list.
#[async_trait]
pub trait Hosts: Send + Sync + fmt::Debug {
    /// Reads the whole list.
    async fn list(&self) -> Result<List, Error>;

    /// Reads the list if its version is another one than `known`; `None` if it is not. An adapter whose platform can tell
    /// that without sending the list does better than this: a list of 370 hosts has some 350 KB.
    async fn changed(&self, known: Option<u64>) -> Result<Option<List>, Error> {
        let list = self.list().await?;
        Ok((known != Some(list.version)).then_some(list))
    }
}
