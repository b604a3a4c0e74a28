//! What a host asks a delegate, and what it is told.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tinbank_allocator::directory::Peer;
use tinbank_base::id;
use tinbank_quarantine::Quarantined;
use tinbank_relay::{route::Config, upstream::Upstream};

/// Position in a list of the store.
pub type Position = u64;

/// First byte of each message; others are refused.
const VERSION: u8 = 4;

/// A message that can't be understood.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The first byte names another version.
    #[error("message of version {found:?}, this host speaks {VERSION}")]
    Version {
        /// Version found, if there is any byte.
        found: Option<u8>,
    },
    /// The rest is no message.
    #[error("not a message: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Of what a host wants to hear. What it has no use for would load its link and that of the delegate at each change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Everything, to tell it on.
    #[default]
    Whole,
    /// Of the upstreams those of its failure domain: it gets those of others from their allocators.
    Domain(id::FailureDomain),
    /// Only the other hosts, to find out whom to follow.
    Hosts,
}

/// What the asking host has already. The answer waits until there is news, or for a while.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Version of its configuration.
    pub config: Option<u64>,
    /// Of what it wants to hear.
    pub scope: Scope,
    /// Position up to which it knows the upstreams of the scope.
    pub upstreams: Option<Position>,
    /// Position at which what it believes of the upstreams changed last without a record.
    pub settled: Option<Position>,
    /// Position up to which it knows the hosts.
    pub hosts: Option<Position>,
    /// Position up to which it knows the requests that are held back.
    pub quarantine: Option<Position>,
    /// Position up to which it knows which failure domains are evacuated.
    pub evacuations: Option<Position>,
}

/// What a delegate knows that the asking host does not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The configuration, if it is a later one.
    pub config: Option<Config>,
    /// What it lacks of the upstreams of its scope.
    pub upstreams: Option<Part<Upstream, id::Instance>>,
    /// Position at which what is believed of the upstreams changed last without a record.
    pub settled: Option<Position>,
    /// What it lacks of the hosts.
    pub hosts: Option<Part<Peer, SocketAddr>>,
    /// The requests that are held back, if they are others.
    pub quarantine: Option<Snapshot<Quarantined>>,
    /// The failure domains that are evacuated, if they are others.
    pub evacuations: Option<Snapshot<id::FailureDomain>>,
    /// How long ago the store answered the delegate.
    pub age: Age,
}

/// What a host lacks of a list as it stood at a position of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part<T, K> {
    /// The position.
    pub position: Position,
    /// These are all entries, and what they do not name is gone. Otherwise they are those that changed.
    pub is_whole: bool,
    /// The entries.
    pub entries: Vec<T>,
    /// Keys of entries that are gone.
    pub gone: Vec<K>,
}

/// A short list as it stood at a position of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot<T> {
    /// The position.
    pub position: Position,
    /// All entries.
    pub entries: Vec<T>,
}

/// How long ago a delegate last read what it tells; nothing if it has not read it yet.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Age {
    /// The configuration.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub config: Option<Duration>,
    /// The upstreams.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub upstreams: Option<Duration>,
}

impl Update {
    /// True if all of it was read from the store at most so long ago.
    pub fn is_fresh(&self, longest: Duration) -> bool {
        let ages = [self.age.config, self.age.upstreams];
        ages.iter().all(|age| age.is_some_and(|age| age <= longest))
    }
}

/// The bytes of a message.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, Error> {
    let head = Vec::from([VERSION]);
    Ok(postcard::to_extend(message, head)?)
}

/// The message of some bytes.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, Error> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
        other => Err(Error::Version {
            found: other.map(|(version, _)| *version),
        }),
    }
}
