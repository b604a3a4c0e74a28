//! The border of admission: batch asks before it sends, and gives way when told.

use std::{fmt, time::Instant};

use tinbank_base::id;
use tokio::sync::watch;

/// Leave to have one batch request in an engine. Dropping it gives the leave back.
pub struct Pass {
    /// Which engine.
    pub upstream: id::Upstream,
    /// Turns true when the request has to be cancelled at the engine for the sake of online requests.
    pub withdrawn: watch::Receiver<bool>,
    /// Gives the leave back when dropped.
    pub guard: Box<dyn Send + Sync>,
}

impl fmt::Debug for Pass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pass")
            .field("upstream", &self.upstream)
            .field("withdrawn", &*self.withdrawn.borrow())
            .finish_non_exhaustive()
    }
}

/// Lets batch requests into engines.
pub trait Gate: Send + Sync + fmt::Debug {
    /// Asks for leave to send one batch request of a customer to an engine now.
    fn enter(&self, upstream: id::Upstream, customer: &str, now: Instant) -> Option<Pass>;

    /// Says how many more requests of a customer could use an engine, so that credits are asked for.
    fn wish(&self, upstream: id::Upstream, customer: &str, wanted: u16, due: Instant, now: Instant);
}
