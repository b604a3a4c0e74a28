//! The platform's store: partitioned logs, consumer groups, and lists that operators, upstreams and hosts write.

use std::{net::SocketAddr, time::Instant};

use async_trait::async_trait;
use bytes::Bytes;
use tinbank_allocator::directory::Peer;
use tinbank_feed::source::FirstDelegate;
use tinbank_origin::history;
use tinbank_quarantine::{Fingerprint, Quarantined};
use tinbank_relay::{route::Config, upstream::Upstream};

/// Offset of a record in a partition.
pub type Offset = u64;
/// Number of a partition in a topic.
pub type Partition = u32;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The call had no effect: it did not reach the store, or the store reported so.
    #[error("no effect: {0}")]
    NoEffect(String),
    /// The store refused the call because it is busy; the call had no effect.
    #[error("refused: {0}")]
    Busy(String),
    /// The connection broke before the response; the call may have taken effect, or may still take effect within seconds.
    #[error("effect unknown, connection lost: {0}")]
    Disconnected(String),
    /// The call may have taken effect, or may still take effect within seconds.
    #[error("effect unknown: {0}")]
    Unknown(String),
    /// The requested records were deleted.
    #[error("records before offset {first} were deleted")]
    Trimmed {
        /// Oldest offset that is kept.
        first: Offset,
    },
    /// The store's response violates its protocol.
    #[error("unexpected response: {0}")]
    Protocol(String),
}

/// Topics of the system's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Records of batch jobs, all in partition 0.
    Jobs,
    /// Contents and results of items, which hosts read only on demand.
    Contents,
    /// Topic without meaningful records: the assignment of its partitions decides which host runs which jobs.
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

/// A range of records to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range {
    /// Offset of the first record.
    pub from: Offset,
    /// Approximate limit of the page in bytes. At least one record is returned, if there is any.
    pub bytes: usize,
    /// How long the call may wait for the first record, in milliseconds.
    pub wait_ms: u64,
}

/// Consecutive records of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Offset after the last record of the partition.
    pub end: Offset,
    /// The records from the requested offset on.
    pub records: Vec<Bytes>,
}

/// Partitions that are assigned to a group member.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Generation of the group, which increases with every change.
    pub generation: u64,
    /// The assigned partitions of the topic.
    pub partitions: Vec<Partition>,
}

/// Membership in a consumer group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Name of the member.
    pub member: String,
    /// Topic whose partitions are assigned to the members.
    pub topic: Topic,
    /// Last generation that the member received; 0 at first.
    pub generation: u64,
    /// Session timeout, in milliseconds.
    pub ttl_ms: u64,
}

/// A decoded entry of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListEntry {
    /// The configuration in force.
    Config(Config),
    /// An upstream is listed.
    Upstream(Upstream),
    /// The entry under an upstream's name was removed or is unusable.
    UpstreamRemoved(tinbank_base::id::Instance),
    /// A host of the system is registered.
    Host(Peer),
    /// The first delegate of a failure domain.
    FirstDelegate(FirstDelegate),
    /// A host of the system was unregistered.
    HostRemoved(SocketAddr),
    /// A request or a part of prompts is quarantined.
    Quarantined(Quarantined),
    /// The quarantine of a request or a part was lifted.
    QuarantineLifted(Fingerprint),
    /// A build serves in a failure domain, or has served there.
    Build(history::Entry),
    /// What was known of a build in a failure domain was removed.
    BuildRemoved(history::Place),
    /// A failure domain is evacuated: its upstreams get no new requests.
    Evacuated(tinbank_base::id::FailureDomain),
    /// The evacuation of a failure domain was lifted.
    Reinstated(tinbank_base::id::FailureDomain),
    /// An entry that the system ignores.
    Other,
}

/// A compacted list, of which the store keeps the newest entry of each key. Logs print the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// The operator's configuration.
    Config,
    /// The upstreams.
    Upstreams,
    /// The hosts of the system.
    Hosts,
    /// The requests and parts of prompts that are quarantined because they crash upstreams.
    Quarantine,
    /// The builds that serve or have served.
    Builds,
    /// The first delegates of the failure domains.
    FirstDelegates,
}

/// Consecutive entries of a list.
#[derive(Clone, Debug, Default)]
pub struct Entries {
    /// The entries, oldest first.
    pub entries: Vec<ListEntry>,
    /// Offset after the last entry, from which to continue reading.
    pub end: Offset,
}

/// Start of a page of the newest entries.
pub type Cursor = String;

/// A page of the newest entries of a list.
#[derive(Clone, Debug, Default)]
pub struct NewestPage {
    /// The entries of the page.
    pub entries: Vec<ListEntry>,
    /// Offset after the last entry of the list when the page was read. The pages together are not a snapshot.
    pub end: Offset,
    /// Start of the next page, if there is one.
    pub next: Option<Cursor>,
}

/// The platform's store. A response has to begin by `until`, and may continue for as long as data arrives.
#[async_trait(?Send)]
pub trait Store {
    /// Appends records to a partition, all or none, and returns the offset of the first.
    async fn append(
        &self,
        at: TopicPartition,
        records: &[Bytes],
        until: Instant,
    ) -> Result<Offset, Error>;
    /// Reads a range of records of a partition.
    async fn read(&self, at: TopicPartition, range: Range, until: Instant) -> Result<Page, Error>;
    /// Reads a page of the newest entries of a list: the first page, or the one at a cursor.
    async fn read_newest(
        &self,
        list: List,
        at: Option<&Cursor>,
        until: Instant,
    ) -> Result<NewestPage, Error>;
    /// Reads the entries of a list from an offset on, and waits up to `wait_ms` for the first.
    async fn read_since(
        &self,
        list: List,
        from: Offset,
        wait_ms: u64,
        until: Instant,
    ) -> Result<Entries, Error>;
    /// Registers a host of the system.
    async fn register(&self, host: &Peer, until: Instant) -> Result<(), Error>;
    /// Removes a host of the system from the list.
    async fn unregister(&self, host: &Peer, until: Instant) -> Result<(), Error>;
    /// Sets the first delegate of a failure domain.
    async fn register_first_delegate(
        &self,
        lead: &FirstDelegate,
        until: Instant,
    ) -> Result<(), Error>;
    /// Quarantines a request or a part of prompts.
    async fn quarantine(&self, quarantined: &Quarantined, until: Instant) -> Result<(), Error>;
    /// Lifts the quarantine of a request or a part.
    async fn lift_quarantine(&self, subject: Fingerprint, until: Instant) -> Result<(), Error>;
    /// Writes a change of the builds that serve or have served.
    async fn record_build(&self, change: &history::Change, until: Instant) -> Result<(), Error>;
    /// Joins a group, or renews the membership.
    async fn join(&self, membership: &Membership, until: Instant) -> Result<Assignment, Error>;
    /// Leaves a group, so that the member's partitions are reassigned at once.
    async fn leave(&self, membership: &Membership, until: Instant) -> Result<(), Error>;
}
