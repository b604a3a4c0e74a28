//! Messages of admission control: how many batch requests may sit in an engine.
//!
//! Clocks are not shared, so a grant carries how long it holds; the receiver turns it into a deadline
//! when it reads the frame. See `docs/design/admission.md`.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::id;

/// Online requests that one process has in an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Which engine.
    pub upstream: id::Upstream,
    /// How many online requests are in flight there.
    pub online: u16,
}

/// How many batch requests a process would like to have in an engine for one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wish {
    /// Which engine.
    pub upstream: id::Upstream,
    /// For which customer.
    pub customer: id::Customer,
    /// How many it could use at once, those it has included.
    pub wanted: u16,
    /// Milliseconds until the earliest of them is due; 0 when overdue.
    pub due_in_ms: u32,
}

/// Leave to have up to `credits` batch requests in an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Which engine.
    pub upstream: id::Upstream,
    /// Rises with each grant or withdrawal of one controller for one holder; a lower one came late and is dropped.
    pub round: u64,
    /// How many in all, not how many more. Fewer than in flight means: cancel the difference.
    pub credits: u16,
    /// How long the grant holds, in milliseconds from its receipt.
    pub holds_ms: u16,
}

/// What admission control says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From online processes to an engine's controllers, whenever the numbers change.
    Load(SmallVec<[Load; 4]>),
    /// From batch processes to an engine's controller.
    Wish(SmallVec<[Wish; 2]>),
    /// From an engine's controller to batch processes.
    Grant(SmallVec<[Grant; 4]>),
    /// From the second controller in rank: no more than this for now. It never raises what the first one gave.
    Withdraw(SmallVec<[Grant; 4]>),
}
