//! A heartbeat on its way. The heap of them gives the earliest first.

use std::{cmp::Ordering, net::SocketAddr, time::Instant};

use tinbank_base::{frame::heartbeat::Heartbeat, record::Writer};

pub struct Flight {
    pub at: Instant,
    pub number: u64,
    pub from: Writer,
    pub to: SocketAddr,
    pub heartbeat: Heartbeat,
}

impl PartialEq for Flight {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Flight {}

impl PartialOrd for Flight {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Flight {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}
