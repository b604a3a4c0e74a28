//! What a counter tells the others.

use serde::{Deserialize, Serialize};
use tinbank_base::id;

/// What a counter has let in. Totals only rise, so that a message that is lost or comes twice does no harm.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The counter's start; totals of another start have nothing to do with these.
    pub since: id::Incarnation,
    /// Hosts that the counter hears.
    pub heard: u32,
    /// Hosts that it hears, or has heard a while ago.
    pub known: u32,
    /// One entry for each customer of which there is news. There may be none: the message says that the counter is there.
    pub customers: Vec<Taken>,
}

/// What a counter has let in of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// The customer.
    pub customer: id::Customer,
    /// Requests let in since the counter's start.
    pub total: u64,
    /// What is left of the customer's allowance as the counter knows it, in thousandths of a request. A counter that has
    /// heard nothing of the customer yet goes by it.
    pub level_milli: i64,
}
