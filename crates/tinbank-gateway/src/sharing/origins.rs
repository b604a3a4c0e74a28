//! Which hosts keep the origin of a stream, and the frames that are sent to them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_allocator::frame::Frame;
use tinbank_origin::Key;

use super::Sharing;

/// Hosts of the own failure domain that keep the origin of a stream. Callers come back to the failure domain that they were in.
const NEAR_KEEPERS: usize = 2;
/// Hosts of each other failure domain that keep it, in case the own one is lost.
const FAR_KEEPERS: usize = 1;
/// Hosts of each failure domain that are asked for the origin of a stream. The host that began it may have been in any of them.
const ASKED_KEEPERS: usize = 2;

/// Hosts other than this one that keep the origin of a stream.
pub(crate) type Keepers = SmallVec<[SocketAddr; 8]>;

impl Sharing {
    /// Returns the hosts to which the origin of a stream that begins here is sent.
    pub fn origin_keepers(&self, key: Key, now: Instant) -> Keepers {
        let own = &self.own.failure_domain;
        let count = |domain: &str| match domain == own {
            true => NEAR_KEEPERS,
            false => FAR_KEEPERS,
        };
        self.keepers(key, count, now)
    }

    /// Returns the hosts that are asked for the origin of a stream.
    pub fn origin_sources(&self, key: Key, now: Instant) -> Keepers {
        self.keepers(key, |_| ASKED_KEEPERS, now)
    }

    fn keepers(&self, key: Key, count: impl Fn(&str) -> usize, now: Instant) -> Keepers {
        let state = self.state.borrow();
        let mut keepers: Keepers = state.directory.keepers(key, count, now);
        keepers.retain(|it| *it != self.own.address);
        keepers
    }

    /// Returns how long to wait for the answers of some hosts.
    pub fn longest_response_timeout(&self, hosts: &[SocketAddr]) -> Duration {
        let timeouts = hosts.iter().map(|it| self.response_timeout(*it));
        timeouts.max().unwrap_or_default()
    }

    /// Sends a frame to another host.
    pub fn send_to(&self, host: SocketAddr, frame: &Frame) {
        self.send(host, frame);
    }
}
