//! Messages between a follower and the delegate that it follows.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tinbank_allocator::directory::Peer;
use tinbank_base::id;
use tinbank_origin::history;
use tinbank_quarantine::Quarantined;
use tinbank_relay::{contact, route::Config, upstream::Upstream};

/// Position in a list of the store.
pub type Position = u64;

/// First byte of each message. Messages of other versions are rejected.
const VERSION: u8 = 7;

/// Reason why a message can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The first byte names another version.
    #[error("unsupported message version {found:?}, this host supports version {VERSION}")]
    Version {
        /// Version found, if there is any byte.
        found: Option<u8>,
    },
    /// The rest is malformed.
    #[error("malformed message: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Which updates a host requests. Anything beyond what it uses would load its link and the delegate's at each change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Everything, as requested by a delegate, which serves followers of its own.
    #[default]
    Whole,
    /// All lists, with only the upstreams of the host's failure domain. Upstreams of others come from their allocators.
    Domain(id::FailureDomain),
    /// Only the hosts, to find a delegate to follow.
    Hosts,
    /// Only since when the store has answered the receiver, to tell an outage of the store from a fault of the sender's own.
    Contact,
}

/// Request for an update, with what the sender knows already. The response is delayed until there is a change or the wait ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// Version of the sender's configuration.
    pub config: Option<u64>,
    /// Which updates the sender requests.
    pub scope: Scope,
    /// Position up to which the sender knows the upstreams in scope.
    pub upstreams: Option<Position>,
    /// Whether the sender has that position from another source, so that it needs the whole list at that position or a later one.
    pub is_other_source: bool,
    /// Position of the last change to the sender's upstreams that no record of the store describes.
    pub settled: Option<Position>,
    /// Position up to which the sender knows the hosts.
    pub hosts: Option<Position>,
    /// Position up to which the sender knows the quarantined requests.
    pub quarantine: Option<Position>,
    /// Position up to which the sender knows the builds that serve or have served.
    pub builds: Option<Position>,
    /// Position up to which the sender knows the evacuated failure domains.
    pub evacuations: Option<Position>,
}

/// Response to an [`UpdateRequest`]: what the delegate knows and the sender of the request does not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The configuration, if it is newer.
    pub config: Option<Config>,
    /// Changes to the upstreams in scope.
    pub upstreams: Option<Delta<Upstream, id::Instance>>,
    /// Position of the last change to the upstreams that no record of the store describes.
    pub settled: Option<Position>,
    /// How far the upstreams can be relied on.
    pub reliability: Reliability,
    /// Changes to the hosts.
    pub hosts: Option<Delta<Peer, SocketAddr>>,
    /// The quarantined requests and parts of prompts, if they changed.
    pub quarantine: Option<Snapshot<Quarantined>>,
    /// The builds that serve or have served, if they changed.
    pub builds: Option<Snapshot<history::Entry>>,
    /// The evacuated failure domains, if they changed.
    pub evacuations: Option<Snapshot<id::FailureDomain>>,
    /// How long ago the delegate read the store.
    pub age: Age,
}

/// Response to a request for [`Scope::Contact`]: the period in which the store answered without a gap, up to the last read of the
/// upstreams, as far as the sender knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact(pub Option<Period>);

/// A period, as how long ago it began and ended when the message was sent.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Period {
    /// Age of the first answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub since: Duration,
    /// Age of the last answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub until: Duration,
}

impl Contact {
    /// Returns the period by the clock of a host that requested the message and received it at these times. It was sent in between,
    /// so the result is at most as long as the period: the time on the way must not bridge an outage.
    pub fn period(&self, requested_at: Instant, received_at: Instant) -> Option<contact::Period> {
        let period = self.0?;
        let since = received_at.checked_sub(period.since)?;
        let until = requested_at.checked_sub(period.until)?;
        (since <= until).then_some(contact::Period { since, until })
    }
}

/// How far a list of upstreams can be relied on after an outage of the store.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reliability {
    /// The upstreams in scope whose entries are missing since an outage; they still count as present.
    pub missing: Vec<id::Instance>,
    /// Time until upstreams that are absent from the list count as gone; `None` if they do.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub reliable_in: Option<Duration>,
}

/// What a host lacks of a list at a position of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta<T, K> {
    /// Position of the list after the delta is applied.
    pub position: Position,
    /// Whether `entries` is the whole list and replaces what the host knows. Otherwise only changed entries are included.
    pub is_whole: bool,
    /// Added and changed entries, or all of them.
    pub entries: Vec<T>,
    /// Keys of removed entries.
    pub gone: Vec<K>,
}

/// A short list at a position of the store, sent in full.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot<T> {
    /// Position of the list.
    pub position: Position,
    /// All entries.
    pub entries: Vec<T>,
}

/// How long ago a delegate last read what it sends, or None if it has not read it yet.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Age {
    /// Age of the configuration.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub config: Option<Duration>,
    /// Age of the upstreams.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub upstreams: Option<Duration>,
}

impl Update {
    /// Returns whether both the configuration and the upstreams are at most `max_age` old.
    pub fn is_fresh(&self, max_age: Duration) -> bool {
        let ages = [self.age.config, self.age.upstreams];
        ages.iter().all(|age| age.is_some_and(|age| age <= max_age))
    }
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, Error> {
    let head = Vec::from([VERSION]);
    Ok(postcard::to_extend(message, head)?)
}

/// Decodes a message.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, Error> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
        other => Err(Error::Version {
            found: other.map(|(version, _)| *version),
        }),
    }
}
