//! The border of routing: what is asked, what is chosen.

use std::{fmt, time::Instant};

use smallvec::SmallVec;
use tinbank_base::{
    id,
    outcome::Failure,
    platform::upstream::{self, Target},
};
use tinbank_configuration::{service::Service, template::Traffic};

/// What an upstream is sought for.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// For which service.
    pub service: &'a Service,
    /// For online requests or for batch items.
    pub traffic: Traffic,
    /// Hash of the prompt's prefix; requests that share it do better at one engine.
    pub prefix: u64,
    /// Upstreams that were tried already.
    pub tried: SmallVec<[id::Upstream; 4]>,
}

/// The upstream chosen. It counts as in flight until it is dropped.
pub struct Choice {
    /// Where to send the call.
    pub target: Target,
    /// Why, for the time line.
    pub reason: &'static str,
    /// Takes the choice out of the count and learns from the result.
    pub ticket: Box<dyn Ticket>,
}

/// Learns what became of a choice. Dropping it ends the choice.
pub trait Ticket: Send + Sync {
    /// Notes the result, for ejection and for leaving upstreams.
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
    /// Chooses the upstream that is best for the request now.
    ///
    /// # Errors
    /// A failure with `ran: no` when no upstream can take it; it says when to ask again.
    fn choose(&self, ask: &RouteRequest<'_>, now: Instant) -> Result<Choice, Failure>;
}
