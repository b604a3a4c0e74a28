//! Datagrams between the hosts that ask for slots and the allocators that grant them.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tinbank_allowance::{Counts, Limit};
use tinbank_base::id;
use tinbank_quarantine::Update;

use crate::lease;

/// First byte of each datagram; a host ignores datagrams of another version.
const VERSION: u8 = 5;
/// Largest datagram in bytes. Source: the holdings of a host with 200 requests at upstreams; most fit in one packet.
pub const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// A datagram that can't be understood.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The first byte names another version.
    #[error("datagram of version {found:?}, this host speaks {VERSION}")]
    Version {
        /// Version found, if there is any byte.
        found: Option<u8>,
    },
    /// The rest is no frame.
    #[error("datagram is no frame: {0}")]
    Malformed(#[from] postcard::Error),
}

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A host asks for a slot.
    SlotRequest(SlotRequest),
    /// The allocator's answer.
    SlotResponse(SlotResponse),
    /// A host gives a slot back.
    Release(Release),
    /// A request waits for a slot no more.
    Withdraw(lease::Id),
    /// The allocator takes a slot back from a batch item.
    Reclaim(lease::Id),
    /// What a host holds in the allocator's failure domain; also the host's heartbeat.
    Holdings(Holdings),
    /// The allocator has heard the holdings; also its heartbeat.
    HeartbeatReply(HeartbeatReply),
    /// What another allocator has let in of customers.
    Counts(Counts),
    /// A host asks a delegate that is not its allocator for a heartbeat.
    Ping,
    /// What a host has seen of requests that end upstreams.
    Quarantine(Update),
}

/// A request for one slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Number that the asking host gives the lease.
    pub lease: lease::Id,
    /// What the slot is for.
    pub class: lease::Class,
    /// Service whose upstreams can run the request.
    pub service: id::Service,
    /// Upstreams that this request must not get.
    pub exclude: SmallVec<[id::Instance; 4]>,
    /// What to do if all slots are in use.
    pub queue: Queue,
    /// Rank among online requests that wait; 0 is the highest.
    pub rank: u8,
    /// Whose allowance the request is counted against, unless it was counted before or nobody's is.
    pub meter: Option<Meter>,
}

/// A customer whose requests are counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meter {
    /// The customer.
    pub customer: id::Customer,
    /// Its limit, by the configuration of the asking host: the allocator's may be an older one.
    pub limit: Limit,
}

/// What becomes of a request if all slots are in use. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Queue {
    /// It gets none.
    No,
    /// It may wait for a slot for this long: it can be in time.
    Within(u32),
    /// It may wait for this long for a slot that no request that can be in time waits for.
    LowPriority(u32),
    /// It may be sent to an upstream whose slots are all in use, and wait inside it.
    InUpstream,
}

impl Queue {
    /// How long the request may wait at the allocator.
    pub fn max_wait(self) -> Option<Duration> {
        match self {
            Self::Within(patience_ms) | Self::LowPriority(patience_ms) => {
                Some(Duration::from_millis(patience_ms.into()))
            }
            Self::No | Self::InUpstream => None,
        }
    }
}

/// An answer to an [`SlotRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotResponse {
    /// The lease asked for.
    pub lease: lease::Id,
    /// What becomes of it.
    pub verdict: Verdict,
}

/// What an allocator says to an [`SlotRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// There is a slot.
    Granted(Grant),
    /// The request waits for one, and will be told of it.
    Waiting,
    /// The failure domain has no slot for it, or none in time.
    Denied,
    /// The request's customer has used up its allowance.
    OverLimit(OverLimit),
}

/// A customer above its limit. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverLimit {
    /// When the request may come again.
    pub retry_after_ms: u32,
    /// What is left of the allowance by the allocator's count, in thousandths of a request.
    pub level_milli: i64,
}

/// An upstream at which the asking host may start one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The upstream.
    pub upstream: id::Instance,
    /// Where it listens.
    pub address: SocketAddr,
    /// All its slots are in use, or may be, so the request may wait inside it at first.
    pub queued: bool,
}

/// The end of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The lease that ends.
    pub lease: lease::Id,
    /// The upstream it was for.
    pub upstream: id::Instance,
    /// How the request ended, which tells about the upstream's health.
    pub outcome: lease::Outcome,
}

/// What an allocator says of its host in its heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// It has read the platform's store a moment ago, so hosts that can't may pass calls on to it.
    pub reaches_store: bool,
}

/// All leases that a host holds in one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Leases from this number on were not asked for yet when the list was made.
    pub next: lease::Id,
    /// The leases.
    pub held: Vec<lease::Held>,
}

impl Frame {
    /// The datagram of a frame.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let head = Vec::from([VERSION]);
        Ok(postcard::to_extend(self, head)?)
    }

    /// The frame of a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        match bytes.split_first() {
            Some((&VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
            other => Err(Error::Version {
                found: other.map(|(version, _)| *version),
            }),
        }
    }
}
