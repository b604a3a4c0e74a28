//! Interface of admission control for the batch runner, which acquires a pass for each request and cancels the request
//! when the pass is withdrawn.

use std::{fmt, time::Instant};

use tinbank_base::id;
use tokio::sync::watch;

/// Permission to have one batch request in an engine. Dropping it returns the credit.
pub struct Pass {
    pub upstream: id::Upstream,
    /// Becomes `true` when the request has to be cancelled to free its slot for online requests.
    pub withdrawn: watch::Receiver<bool>,
    /// Returns the credit when dropped.
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

/// Admits batch requests to engines.
pub trait Gate: Send + Sync + fmt::Debug {
    /// Returns a pass for one batch request of a customer to an engine, or `None` if no credit is free.
    fn enter(&self, upstream: id::Upstream, customer: &str, now: Instant) -> Option<Pass>;

    /// Sets the number of credits that requests of a customer could use at an engine, so that they are requested from
    /// its controller.
    fn request_credits(
        &self,
        upstream: id::Upstream,
        customer: &str,
        wanted: u16,
        due: Instant,
        now: Instant,
    );
}
