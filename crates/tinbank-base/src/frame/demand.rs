//! Messages of the limits that hold over all entry hosts: claims to a limit, and grants of parts of it.
//!
//! Clocks are not shared, so a grant carries how long it holds, counted from when the claim that it answers was sent.
//! See `docs/design/limits.md`.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id;

/// What one host asks for of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Which limit.
    #[serde(with = "postcard::fixint::le")]
    pub limit: id::Limit,
    /// The limit itself, by the sender's configuration.
    pub most: u32,
    /// What is asked for at the sender, refused requests included, in thousandths.
    pub demand_millis: u32,
    /// The grant that the sender still has in force, in thousandths.
    pub held_millis: u32,
}

/// All that a host asks of one keeper now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Rises with each ask of a process; an answer to an earlier one than the last is dropped.
    pub round: u32,
    /// What for.
    pub claims: SmallVec<[Claim; 4]>,
}

/// The answer to one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// How much of the limit, in thousandths, besides what each host has without asking.
    pub millis: u32,
    /// How long it holds, in seconds from when the claim was sent; 0 if nothing is granted for now.
    pub holds_s: u16,
}

/// The answer to an [`Ask`], its parts in the order of the claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Round of the ask.
    pub round: u32,
    /// Parts in the order of the claims.
    pub parts: SmallVec<[Part; 4]>,
}

/// Limits that a host should ask for again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recall {
    /// Which limits.
    pub limits: SmallVec<[id::Limit; 4]>,
}

/// What is said of limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a host with demand to a limit's keeper.
    Ask(Ask),
    /// From the keeper.
    Grant(Grant),
    /// From the keeper to a host that has more than its part while another one lacks, or that lacks what another one has
    /// given back: ask for these limits again now.
    Recall(Recall),
}
