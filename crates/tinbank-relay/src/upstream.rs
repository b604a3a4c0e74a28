//! Upstreams as listed by the platform.

use std::{net::SocketAddr, time::Instant};

use serde::{Deserialize, Serialize};
use tinbank_base::id;

/// An instance of an upstream: one start of its process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Unique id of this instance.
    pub instance: id::Instance,
    /// Name under which it is listed. Later instances may use the same name.
    pub name: id::Instance,
    pub address: SocketAddr,
    pub service: id::Service,
    pub failure_domain: id::FailureDomain,
    /// Build of its software; empty if its entry names none.
    pub build: id::Build,
    /// Number of requests that it runs at once.
    pub slots: usize,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
    /// End of the cold period, during which it accepts few requests per second.
    #[serde(with = "crate::remaining")]
    pub cold_until: Option<Instant>,
}

impl Upstream {
    /// Returns whether it is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }
}
