//! Messages about limits that hold over all entry hosts: hosts claim a part of a limit, and the limit's keeper grants it.
//!
//! Clocks are not synchronized, so a grant states how long it is valid, counted from when its claim was sent.
//! See `docs/design/limits.md`.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id;

/// A host's claim to a part of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    #[serde(with = "postcard::fixint::le")]
    pub limit: id::Limit,
    /// Value of the limit in the sender's configuration.
    pub limit_value: u32,
    /// Demand at the sender including refused requests, in thousandths.
    pub demand_millis: u32,
    /// Grant that the sender still holds, in thousandths.
    pub held_millis: u32,
}

/// The claims of a host to the limits of one keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Increases with each request of a process. An answer to an earlier request than the latest is dropped.
    pub round: u32,
    pub claims: SmallVec<[Claim; 4]>,
}

/// The answer to one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Granted part of the limit in thousandths, in addition to each host's base share.
    pub millis: u32,
    /// Validity in seconds from when the claim was sent; 0 if nothing is granted.
    pub ttl_s: u16,
}

/// The answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Round of the [`ClaimRequest`].
    pub round: u32,
    /// Parts in the order of the claims.
    pub parts: SmallVec<[Part; 4]>,
}

/// A request to claim limits again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recall {
    pub limits: SmallVec<[id::Limit; 4]>,
}

/// A message about limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Sent by a host with demand to a limit's keeper.
    ClaimRequest(ClaimRequest),
    /// Sent by the keeper to the host.
    Grant(Grant),
    /// Sent by the keeper to a host that holds more than its share while another host needs it, or that can get a part that
    /// another host has returned.
    Recall(Recall),
}
