//! Stands for the platform's balancer: knows which entry hosts take requests.

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
};

/// Entry hosts in turn. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct Balancer(Arc<RwLock<Vec<SocketAddr>>>);

impl Balancer {
    /// Sends to these.
    pub fn new(hosts: Vec<SocketAddr>) -> Self {
        Self(Arc::new(RwLock::new(hosts)))
    }

    /// Where a request of this number goes. Without hosts, to an address where nobody listens.
    pub fn at(&self, number: usize) -> SocketAddr {
        let hosts = self.0.read().unwrap_or_else(PoisonError::into_inner);
        match hosts.is_empty() {
            true => SocketAddr::from(([127, 0, 0, 1], 1)),
            false => hosts[number % hosts.len()],
        }
    }

    /// Sends nothing more to a host that is lost.
    pub fn remove(&self, host: SocketAddr) {
        let mut hosts = self.0.write().unwrap_or_else(PoisonError::into_inner);
        hosts.retain(|known| *known != host);
    }
}
