//! Upstreams that one host avoids for a while after failures of its own.
//!
//! The allocator ejects an upstream only after two hosts reported failures, so that one bad host or link cannot eject
//! it for all. Until then, or if only this host's path to it is bad, the host avoids the upstream by itself and sends
//! it only requests that would otherwise be refused.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::lease::Outcome;

/// How long an upstream is avoided after it refused a request: about as long as a request holds a slot.
const AFTER_REFUSAL: Duration = Duration::from_millis(400);
/// How long an upstream is avoided after a failure: longer than hosts need to agree on an ejection.
const AFTER_FAILURE: Duration = Duration::from_millis(1_500);

/// The upstreams that a host avoids, and until when.
#[derive(Debug, Default)]
pub struct Avoidance {
    until: HashMap<id::Instance, Instant>,
}

impl Avoidance {
    /// Records the outcome of a request of this host.
    pub fn record_outcome(&mut self, upstream: &id::Instance, outcome: Outcome, now: Instant) {
        let time = match outcome {
            Outcome::Failed | Outcome::Unresponsive => AFTER_FAILURE,
            Outcome::Refused => AFTER_REFUSAL,
            Outcome::Served => {
                self.until.remove(upstream);
                return;
            }
            Outcome::Inconclusive | Outcome::Leaving(_) => return,
        };
        self.until.insert(upstream.clone(), now + time);
    }

    /// Returns the upstreams to avoid now.
    pub fn upstreams(&mut self, now: Instant) -> SmallVec<[id::Instance; 4]> {
        self.until.retain(|_, until| now < *until);
        self.until.keys().cloned().collect()
    }
}
