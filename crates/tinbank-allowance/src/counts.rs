//! Messages between counters.

use serde::{Deserialize, Serialize};
use tinbank_base::id;

/// Requests that a counter has admitted. Totals only increase, so lost and duplicate messages are harmless.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Start of the counter; totals of different incarnations are unrelated.
    pub incarnation: id::Incarnation,
    /// Number of hosts that the counter has heard from recently.
    pub reachable_hosts: u32,
    /// Number of hosts that it has heard from, including those that have since become unreachable.
    pub known_hosts: u32,
    /// Customers with updates. If there are none, the message serves as a heartbeat of the counter.
    pub customers: Vec<CustomerCount>,
}

/// Requests of one customer that a counter has admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerCount {
    /// The customer.
    pub customer: id::Customer,
    /// Requests admitted since the counter's start.
    pub total: u64,
    /// Remaining allowance as the counter knows it, in thousandths of a request. Used by counters that have no total of
    /// the customer to compare with.
    pub level_milli: i64,
}
