//! Datagrams between the hosts that request slots and the allocators that grant them.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tinbank_allowance::{Counts, Limit};
use tinbank_base::id;
use tinbank_origin::{Answer, Origin, origin};
use tinbank_quarantine::Update;

use crate::{cause::Cause, lease, pace, size::Size, vacancy::Vacant};

/// First byte of each datagram; a host ignores datagrams of another version.
const VERSION: u8 = 11;
/// Maximum datagram size in bytes. Holds the holdings of a host with 200 leases; most datagrams fit in one packet.
pub const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Failure to encode or decode a datagram.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The first byte names another version.
    #[error("unsupported datagram version {found:?}, expected {VERSION}")]
    Version {
        /// Version found, unless the datagram is empty.
        found: Option<u8>,
    },
    /// The contents can't be encoded or decoded.
    #[error("malformed datagram: {0}")]
    Malformed(#[from] postcard::Error),
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A host requests a slot.
    SlotRequest(SlotRequest),
    /// The allocator's response.
    SlotResponse(SlotResponse),
    /// A host returns a slot.
    Release(Release),
    /// A request no longer waits for a slot.
    Withdraw(lease::Id),
    /// The allocator reclaims a slot from a batch item.
    Reclaim(lease::Id),
    /// What a host holds in the allocator's failure domain, which is also its heartbeat.
    Holdings(Holdings),
    /// Reply to [`Frame::Holdings`] or [`Frame::Ping`].
    HeartbeatReply(HeartbeatReply),
    /// How many requests of each customer another allocator has admitted.
    Counts(Counts),
    /// Requests a heartbeat reply from a host that is not sent any holdings.
    Ping,
    /// A host's observations of requests, and parts of prompts, that crash upstreams.
    Quarantine(Update),
    /// The pace of an upstream, as measured on a request that still runs there.
    Pace(PaceReport),
    /// A denial together with what is known of the free slots of failure domains, in place of a [`Frame::SlotResponse`].
    Denial(DenialReport),
    /// Free slots of the sender's failure domain, from its allocator to the others.
    Room(RoomReport),
    /// The sending host is overloaded.
    Overloaded(Overloaded),
    /// Where streams began that run at the sending host.
    Origins(Vec<OriginReport>),
    /// Requests the origin of a stream.
    OriginQuery(OriginQuery),
    /// Reply to [`Frame::OriginQuery`].
    OriginReply(OriginReply),
    /// For which failure domains without hosts the sending allocator acts.
    Substitution(Substitution),
    /// A frame to or from an allocator that acts for another failure domain than its own.
    OnBehalf(OnBehalf),
}

/// For which failure domains an allocator acts, because none of their hosts responds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Substitution {
    /// All of them.
    pub acting_for: Vacant,
    /// Hosts that respond again in failure domains that it no longer acts for. Other hosts may have skipped them.
    pub returned: SmallVec<[SocketAddr; 4]>,
}

/// A frame about the slots of a failure domain whose allocator runs on a host of another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OnBehalf {
    /// The failure domain whose slots it is about.
    pub failure_domain: id::FailureDomain,
    /// What would be exchanged with an allocator there.
    pub frame: Box<Frame>,
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// The stream.
    pub key: origin::Key,
    /// Service and build of the upstream that sent its first event.
    pub origin: Origin,
}

/// Request for the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// Number that the reply repeats.
    pub query: u64,
    /// The stream.
    pub key: origin::Key,
}

/// What a host knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// Number of the query.
    pub query: u64,
    /// What the host knows.
    pub answer: Answer,
}

/// A request for one slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Number assigned to the lease by the requesting host.
    pub lease: lease::Id,
    /// What the slot is for.
    pub class: lease::Class,
    /// Service whose upstreams can process the request.
    pub service: id::Service,
    /// Build that the upstream must have, for a request that goes on with a text; `None` if any will do.
    pub build: Option<id::Build>,
    /// Upstreams that must not be granted.
    pub exclude: SmallVec<[id::Instance; 4]>,
    /// What to do if all slots are in use.
    pub queue: Queue,
    /// Rank among queued online requests; 0 is the highest.
    pub rank: u8,
    /// Customer whose allowance the request counts against. `None` if it was counted before or is not limited.
    pub meter: Option<Meter>,
    /// Whose share of the slots the request takes. `None` if it is sent by no customer.
    pub share: Option<Share>,
    /// Its size.
    pub size: Size,
    /// Longest pause between two events that its caller accepts, in milliseconds.
    pub max_gap_ms: Option<u32>,
}

/// A customer that competes for slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The customer.
    pub customer: id::Customer,
    /// Its weight relative to other customers: its allowed requests per second, in thousandths.
    pub weight: u32,
}

/// A customer whose requests are counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meter {
    /// The customer.
    pub customer: id::Customer,
    /// Its limit by the requesting host's configuration, since the allocator's may be older.
    pub limit: Limit,
}

/// What to do with a request if all slots are in use. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Queue {
    /// Deny it.
    No,
    /// Queue it at the allocator for up to this time; it can be on time.
    Within(u32),
    /// Queue it at the allocator for up to this time, behind all requests that can be on time.
    LowPriority(u32),
    /// Grant an upstream whose slots are all in use, inside which the request queues.
    InUpstream,
}

impl Queue {
    /// Returns how long the request may wait at the allocator.
    pub fn max_wait(self) -> Option<Duration> {
        match self {
            Self::Within(max_wait_ms) | Self::LowPriority(max_wait_ms) => {
                Some(Duration::from_millis(max_wait_ms.into()))
            }
            Self::No | Self::InUpstream => None,
        }
    }

    /// Returns what is left of the wait after some of it has passed.
    pub fn shortened(self, passed: Duration) -> Self {
        let left = |max_wait_ms: u32| match max_wait_ms.saturating_sub(passed.as_millis() as u32) {
            0 => None,
            left => Some(left),
        };
        match self {
            Self::Within(max_wait_ms) => left(max_wait_ms).map_or(Self::No, Self::Within),
            Self::LowPriority(max_wait_ms) => left(max_wait_ms).map_or(Self::No, Self::LowPriority),
            Self::No | Self::InUpstream => self,
        }
    }

    /// Returns whether the request waits behind all that can be on time.
    pub fn is_low_priority(self) -> bool {
        matches!(self, Self::LowPriority(_))
    }
}

/// Response to a [`SlotRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotResponse {
    /// The requested lease.
    pub lease: lease::Id,
    /// The allocator's decision.
    pub verdict: Verdict,
}

/// Decision on a [`SlotRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// A slot is granted.
    Granted(Grant),
    /// The request is queued; another response follows.
    Waiting,
    /// The failure domain has no slot for the request, or none in time.
    Denied(Denial),
    /// The customer has used up its allowance.
    OverLimit(OverLimit),
}

/// A request that gets no slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Denial {
    /// Time in milliseconds after which its caller should retry by the backlog of its customer in this failure domain; `None`
    /// if that is not known.
    pub retry_after_ms: Option<u32>,
    /// What a batch item lacks.
    pub cause: Cause,
}

/// A customer above its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverLimit {
    /// Time in milliseconds after which the request may be retried.
    pub retry_after_ms: u32,
    /// Remaining allowance by the allocator's count, in thousandths of a request.
    pub level_milli: i64,
}

/// Permission to start one request at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: id::Instance,
    /// Where it listens.
    pub address: SocketAddr,
    /// Build of its software.
    pub build: id::Build,
    /// All its slots may be in use, so the request may queue inside it at first.
    pub queued: bool,
    /// The pace to expect there, by which the host notices late events. `None` if it is not known or not measured.
    pub expected: Option<pace::Expected>,
}

/// The end of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The lease that ends.
    pub lease: lease::Id,
    /// The upstream it was for.
    pub upstream: id::Instance,
    /// Outcome of the request, which indicates the upstream's health.
    pub outcome: lease::Outcome,
    /// How fast the upstream processed the request, if that was measured.
    pub pace: Option<pace::Sample>,
}

/// The pace of an upstream, measured on a request that still runs there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// The lease of the request.
    pub lease: lease::Id,
    /// The upstream.
    pub upstream: id::Instance,
    /// What was measured so far.
    pub sample: pace::Sample,
}

/// Free slots of a failure domain, as its allocator knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// One entry for each service with upstreams.
    pub services: SmallVec<[ServiceRoom; 1]>,
}

/// Free slots of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRoom {
    /// The service.
    pub service: id::Service,
    /// Slots that no online request uses.
    pub free: u32,
    /// Slots that a batch item may take without reclaiming one.
    pub free_for_batch: u32,
    /// Online requests that wait for one.
    pub waiting: u32,
}

/// Free slots of a failure domain, as its allocator knew them some time ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomReport {
    /// The failure domain.
    pub failure_domain: id::FailureDomain,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u32,
    /// Its free slots.
    pub room: Room,
}

/// A denial together with reports of free slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DenialReport {
    /// The requested lease.
    pub lease: lease::Id,
    /// The denial.
    pub denial: Denial,
    /// Free slots of the failure domains, of the allocator's own first.
    pub rooms: SmallVec<[RoomReport; 3]>,
}

/// Notice of a host that it is overloaded. The allocator's next [`HeartbeatReply`] says whether it may withdraw.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overloaded {
    /// It has withdrawn from the load balancer.
    pub has_withdrawn: bool,
}

/// Status of a host, sent in reply to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// It has read the platform's store recently, so hosts that can't may forward calls to it.
    pub reaches_store: bool,
    /// Free slots of its failure domain, if it is the allocator there and reports them.
    pub room: Option<Room>,
    /// The receiver may withdraw from the load balancer, or stay withdrawn.
    pub may_withdraw: bool,
}

/// All leases that a host holds in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Leases from this number on had not been requested when the list was made.
    pub next: lease::Id,
    /// The leases.
    pub held: Vec<lease::Held>,
}

impl Frame {
    /// Encodes the frame as a datagram.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let head = Vec::from([VERSION]);
        Ok(postcard::to_extend(self, head)?)
    }

    /// Decodes a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        match bytes.split_first() {
            Some((&VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
            other => Err(Error::Version {
                found: other.map(|(version, _)| *version),
            }),
        }
    }
}
