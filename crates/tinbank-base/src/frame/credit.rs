//! Messages of admission control, which limits the batch requests in each engine.
//!
//! Clocks are not synchronized, so a grant states how long it is valid; the receiver turns this into a deadline on receipt.
//! See `docs/design/admission.md`.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id;

/// Number of online requests that a process has in an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    pub upstream: id::Upstream,
    /// Number of online requests in flight.
    pub online: u16,
}

/// Number of batch requests that a process could run in an engine for one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRequest {
    pub upstream: id::Upstream,
    pub customer: id::Customer,
    /// Number of credits it could use at once, including those it has.
    pub wanted: u16,
    /// Milliseconds until the earliest of the requests is due; 0 if overdue.
    pub due_in_ms: u32,
}

/// Permission to have up to `credits` batch requests in an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub upstream: id::Upstream,
    /// Increases with each grant or withdrawal of a controller for a holder. A message with a lower number is outdated and
    /// dropped.
    pub round: u64,
    /// Total number of credits. If more requests are in flight, the holder cancels the excess.
    pub credits: u16,
    /// Validity of the grant in milliseconds from its receipt.
    pub ttl_ms: u16,
}

/// A message of admission control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Sent by online processes to an engine's controllers whenever the numbers change.
    Load(SmallVec<[Load; 4]>),
    /// Sent by batch processes to an engine's controller.
    CreditRequest(SmallVec<[CreditRequest; 2]>),
    /// Sent by an engine's controller to batch processes.
    Grant(SmallVec<[Grant; 4]>),
    /// Sent by the second-ranked controller to lower the credits. It never raises what the first one granted.
    Withdraw(SmallVec<[Grant; 4]>),
}
