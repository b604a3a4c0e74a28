//! A heartbeat in transit, ordered so that a max-heap pops the earliest.

use std::{cmp::Ordering, net::SocketAddr, time::Instant};

use tinbank_base::{frame::heartbeat::Heartbeat, record::Writer};

pub struct Delivery {
    pub at: Instant,
    pub number: u64,
    pub from: Writer,
    pub to: SocketAddr,
    pub heartbeat: Heartbeat,
}

impl PartialEq for Delivery {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Delivery {}

impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Delivery {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}
