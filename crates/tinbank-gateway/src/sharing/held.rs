//! The leases of slots that this host holds.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    frame::{Frame, Grant, Release},
    lease::{self, Class, Footprint, Outcome},
    pace::Sample,
};
use tinbank_base::id;
use tokio::sync::Notify;

use super::{Sharing, SlotSpec};

/// The right to run one request at one upstream. Dropping it releases the slot.
pub(crate) struct Lease {
    pub upstream: id::Instance,
    pub address: SocketAddr,
    /// Whether all slots of the upstream are in use, so that the request first waits inside it.
    pub queued: bool,
    sharing: Rc<Sharing>,
    id: lease::Id,
    allocator: Option<SocketAddr>,
    reclaimed: Rc<Notify>,
    outcome: Cell<Outcome>,
    pace: Cell<Option<Sample>>,
}

impl Lease {
    /// Waits until the allocator reclaims the slot.
    pub async fn reclaimed(&self) {
        self.reclaimed.notified().await;
    }

    /// Returns the allocator that granted the lease, for logs.
    pub fn granted_by(&self) -> String {
        self.allocator
            .map_or_else(|| "none".to_owned(), |allocator| allocator.to_string())
    }

    /// Returns the time to allow for a round trip to the upstream. It is as far away as the allocator of its failure domain.
    pub fn round_trip_timeout(&self) -> Duration {
        let allocator = self.allocator;
        allocator.map_or(Duration::ZERO, |host| self.sharing.response_timeout(host))
    }

    /// Sets the outcome that is reported when the lease is dropped.
    pub fn set_outcome(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }

    /// Sets the pace of the upstream that is reported when the lease is dropped.
    #[expect(dead_code, reason = "measured by part B of docs/hard-load.md")]
    pub fn set_pace(&self, sample: Sample) {
        self.pace.set(Some(sample));
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.sharing.release(self);
    }
}

/// A held lease, as reported to the allocator.
pub(super) struct Holding {
    pub upstream: id::Instance,
    pub failure_domain: id::FailureDomain,
    pub class: Class,
    pub footprint: Footprint,
    pub reclaimed: Rc<Notify>,
}

impl Sharing {
    /// Records a lease that an allocator granted, or that this host took without one.
    pub(super) fn add_holding(
        self: &Rc<Self>,
        id: lease::Id,
        spec: &SlotSpec<'_>,
        domain: &str,
        allocator: Option<SocketAddr>,
        grant: Grant,
    ) -> Lease {
        let reclaimed = Rc::new(Notify::new());
        let holding = Holding {
            upstream: grant.upstream.clone(),
            failure_domain: domain.to_owned(),
            class: spec.class,
            footprint: spec.footprint(),
            reclaimed: Rc::clone(&reclaimed),
        };
        self.state.borrow_mut().holdings.insert(id, holding);
        Lease {
            upstream: grant.upstream,
            address: grant.address,
            queued: grant.queued,
            sharing: Rc::clone(self),
            id,
            allocator,
            reclaimed,
            outcome: Cell::new(Outcome::Inconclusive),
            pace: Cell::new(None),
        }
    }

    fn release(&self, lease: &Lease) {
        let outcome = lease.outcome.get();
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.holdings.remove(&lease.id);
        state
            .avoidance
            .record_outcome(&lease.upstream, outcome, now);
        drop(state);
        let Some(allocator) = lease.allocator else {
            return;
        };
        let release = Release {
            lease: lease.id,
            upstream: lease.upstream.clone(),
            outcome,
            pace: lease.pace.get(),
        };
        self.send(allocator, &Frame::Release(release));
    }
}
