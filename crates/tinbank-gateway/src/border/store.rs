//! The platform's store: logs with partitions, groups, and what operators and upstreams write there.

use std::{net::SocketAddr, time::Instant};

use async_trait::async_trait;
use bytes::Bytes;
use tinbank_allocator::directory::Peer;
use tinbank_feed::source::FirstDelegate;
use tinbank_quarantine::{Fingerprint, Quarantined};
use tinbank_relay::{route::Config, upstream::Upstream};

/// Position of a record in a partition.
pub type Offset = u64;
/// Number of a partition in a topic.
pub type Partition = u32;

/// Why a call at the store has no answer to give.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The call had no effect: it did not reach the store, or the store said so.
    #[error("no effect: {0}")]
    NoEffect(String),
    /// The store refused the call, and did nothing: it serves others, or has too many calls.
    #[error("refused: {0}")]
    Busy(String),
    /// The call may have had its effect, or may have it within seconds.
    #[error("effect unknown: {0}")]
    Unknown(String),
    /// The records asked for are gone; the oldest one kept is `first`.
    #[error("records before offset {first} are gone")]
    Trimmed {
        /// Oldest offset kept.
        first: Offset,
    },
    /// The store answered with something that its protocol does not know.
    #[error("unexpected answer: {0}")]
    Protocol(String),
}

/// Topics that the system keeps for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Records of batch jobs, all in partition 0.
    Jobs,
    /// Contents and texts of items, which hosts read only when they need them.
    Contents,
    /// Holds no records that count; its partitions say who runs which jobs.
    Owners,
}

/// A partition of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TopicPartition {
    /// The topic.
    pub topic: Topic,
    /// The partition.
    pub partition: Partition,
}

/// Which records are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Offset of the first one.
    pub from: Offset,
    /// About so many bytes at the most; one record at least, if there is any.
    pub bytes: usize,
    /// How long the call may wait for the first one, in milliseconds.
    pub wait_ms: u64,
}

/// A stretch of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Offset behind the last record of the partition.
    pub end: Offset,
    /// The records from the offset asked for.
    pub records: Vec<Bytes>,
}

/// What a member of a group holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Rises with every change of the group.
    pub generation: u64,
    /// Partitions of the topic that the member holds.
    pub partitions: Vec<Partition>,
}

/// A member of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Name of the member.
    pub member: String,
    /// Topic whose partitions are dealt out.
    pub topic: Topic,
    /// Generation that the member heard last; 0 at first.
    pub generation: u64,
    /// How long the member may stay silent, in milliseconds.
    pub ttl_ms: u64,
}

/// What an operator or an upstream wrote since a position, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListEntry {
    /// The configuration in force.
    Config(Config),
    /// An upstream is listed.
    Upstream(Upstream),
    /// Nothing usable is listed under an upstream's name any more.
    UpstreamRemoved(tinbank_base::id::Instance),
    /// A host of the system is registered.
    Host(Peer),
    /// The first delegate of a failure domain is named.
    FirstDelegate(FirstDelegate),
    /// A host of the system has signed off.
    HostRemoved(SocketAddr),
    /// A request is held back.
    Quarantined(Quarantined),
    /// A request is not held back any more.
    QuarantineLifted(Fingerprint),
    /// Nothing new is to be sent to the upstreams of a failure domain.
    Evacuated(tinbank_base::id::FailureDomain),
    /// A failure domain's upstreams take requests again.
    Reinstated(tinbank_base::id::FailureDomain),
    /// Something that the system has no use for.
    Other,
}

/// A list that the platform keeps the newest entries of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// The operator's configuration.
    Config,
    /// The upstreams.
    Upstreams,
    /// The hosts of the system.
    Hosts,
    /// The requests that are held back, because upstreams end under them.
    Quarantine,
    /// The first delegates of the failure domains.
    Leads,
}

/// Entries of a list, and the position from which to read on.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    /// The entries, oldest first.
    pub entries: Vec<ListEntry>,
    /// Position behind them.
    pub end: Offset,
}

/// Where the next page of the newest entries begins.
pub type Cursor = String;

/// Some of the newest entries of a list.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// The entries of the page.
    pub entries: Vec<ListEntry>,
    /// Position behind all entries that were there when the page was made. Pages are no snapshot.
    pub end: Offset,
    /// Where the next page begins, if there is one.
    pub next: Option<Cursor>,
}

/// The platform's store. An answer begins by `until`, and goes on for as long as bytes come.
#[async_trait(?Send)]
pub trait Store {
    /// Appends records to a partition, all or none. Answers the offset of the first.
    async fn append(
        &self,
        at: TopicPartition,
        records: &[Bytes],
        until: Instant,
    ) -> Result<Offset, Error>;
    /// Reads records from an offset on, and waits for the first as long as the range says.
    async fn read(&self, at: TopicPartition, range: Range, until: Instant) -> Result<Page, Error>;
    /// A page of the newest entries of a list: the first one, or the one at a cursor.
    async fn read_newest(
        &self,
        list: List,
        at: Option<&Cursor>,
        until: Instant,
    ) -> Result<NewestPage, Error>;
    /// What was written to a list since a position; waits up to `wait_ms` for it.
    async fn read_since(
        &self,
        list: List,
        from: Offset,
        wait_ms: u64,
        until: Instant,
    ) -> Result<Entries, Error>;
    /// Registers a host of the system.
    async fn register(&self, host: &Peer, until: Instant) -> Result<(), Error>;
    /// Takes a host of the system off the list.
    async fn unregister(&self, host: &Peer, until: Instant) -> Result<(), Error>;
    /// Names the first delegate of a failure domain.
    async fn set_first_delegate(&self, lead: &FirstDelegate, until: Instant) -> Result<(), Error>;
    /// Enters a request that is held back.
    async fn quarantine(&self, held: &Quarantined, until: Instant) -> Result<(), Error>;
    /// Takes a request off those that are held back.
    async fn lift_quarantine(&self, request: Fingerprint, until: Instant) -> Result<(), Error>;
    /// Joins a group, or stays in it.
    async fn join(&self, membership: &Membership, until: Instant) -> Result<Assignment, Error>;
    /// Leaves a group, so that others get the member's partitions at once.
    async fn leave(&self, membership: &Membership, until: Instant) -> Result<(), Error>;
}
