//! Upstreams that one host avoids for a while after its own trouble with them.
//!
//! The allocator ejects an upstream only if two hosts have trouble with it, so that one bad host or link ejects nobody for
//! all. Until then, and if only its own way there is bad, a host avoids the upstream by itself; it is sent there only what would
//! be turned away otherwise.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::lease::Outcome;

/// For how long an upstream is avoided that refused a request: about as long as a request holds a slot.
const AFTER_REFUSAL: Duration = Duration::from_millis(400);
/// For how long an upstream is avoided that failed or fell silent: longer than hosts need to agree that it is in trouble.
const AFTER_TROUBLE: Duration = Duration::from_millis(1_500);

/// The upstreams that a host avoids, and until when.
#[derive(Debug, Default)]
pub struct Avoidance {
    until: HashMap<id::Instance, Instant>,
}

impl Avoidance {
    /// Takes in how a request of this host ended.
    pub fn record_outcome(&mut self, upstream: &id::Instance, outcome: Outcome, now: Instant) {
        let time = match outcome {
            Outcome::Failed | Outcome::Unresponsive => AFTER_TROUBLE,
            Outcome::Refused => AFTER_REFUSAL,
            Outcome::Served => {
                self.until.remove(upstream);
                return;
            }
            Outcome::Inconclusive | Outcome::Leaving => return,
        };
        self.until.insert(upstream.clone(), now + time);
    }

    /// The upstreams that are avoided now.
    pub fn upstreams(&mut self, now: Instant) -> SmallVec<[id::Instance; 4]> {
        self.until.retain(|_, until| now < *until);
        self.until.keys().cloned().collect()
    }
}
