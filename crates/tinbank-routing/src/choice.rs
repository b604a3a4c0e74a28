//! Interface of routing: requests, choices and the router.

use std::{fmt, time::Instant};

use smallvec::SmallVec;
use tinbank_base::{
    id,
    outcome::Failure,
    platform::upstream::{self, Target},
};
use tinbank_configuration::{service::Service, template::Traffic};

/// A request for an upstream.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    pub service: &'a Service,
    pub traffic: Traffic,
    /// Hash of the prompt's prefix. Requests that share it are faster at the same engine, by its cache.
    pub prefix: u64,
    /// Upstreams to which the request was sent before.
    pub tried: SmallVec<[id::Upstream; 4]>,
}

/// The chosen upstream. The request counts as in flight there until this is dropped.
pub struct Choice {
    pub target: Target,
    /// Reason of the choice, for the timeline.
    pub reason: &'static str,
    /// Records the result, and ends the count when dropped.
    pub ticket: Box<dyn Ticket>,
}

/// Records the result of a request. Dropping it ends the in-flight count.
pub trait Ticket: Send + Sync {
    /// Records the result, which may eject the upstream or mark it as leaving.
    fn record_result(&self, result: Result<(), &upstream::Error>, now: Instant);
}

impl fmt::Debug for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Choice")
            .field("target", &self.target)
            .field("reason", &self.reason)
            .finish_non_exhaustive()
    }
}

/// Chooses upstreams. Called from traffic threads; it must not block.
pub trait Router: Send + Sync + fmt::Debug {
    /// Chooses the best upstream for the request.
    ///
    /// # Errors
    /// Returns a failure with `ran: no` and a time to retry if no upstream can take the request.
    fn choose(&self, request: &RouteRequest<'_>, now: Instant) -> Result<Choice, Failure>;
}
