//! What this host holds: leases of slots at upstreams.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    frame::{Frame, Grant, Release},
    lease::{self, Class, Outcome},
};
use tinbank_base::id;
use tokio::sync::Notify;

use super::Sharing;

/// The right to have one request at one upstream. It ends when it is dropped.
pub(crate) struct Lease {
    pub upstream: id::Instance,
    pub address: SocketAddr,
    /// All slots of the upstream were in use, so the request waits inside it at first.
    pub queued: bool,
    sharing: Rc<Sharing>,
    id: lease::Id,
    allocator: Option<SocketAddr>,
    reclaimed: Rc<Notify>,
    outcome: Cell<Outcome>,
}

impl Lease {
    /// Waits until the allocator takes the slot back.
    pub async fn reclaimed(&self) {
        self.reclaimed.notified().await;
    }

    /// The allocator that granted it, for logs.
    pub fn chosen_by(&self) -> String {
        self.allocator
            .map_or_else(|| "none".to_owned(), |allocator| allocator.to_string())
    }

    /// How long the upstream may take for a round trip at least: it is as far away as the allocator of its failure domain.
    pub fn patience(&self) -> Duration {
        let allocator = self.allocator;
        allocator.map_or(Duration::ZERO, |host| self.sharing.patience(host))
    }

    /// Says how the request ended.
    pub fn set_outcome(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.sharing.release(self);
    }
}

/// What this host holds of an upstream, as its allocators are told.
pub(super) struct Holding {
    pub upstream: id::Instance,
    pub failure_domain: id::FailureDomain,
    pub class: Class,
    pub reclaimed: Rc<Notify>,
}

impl Sharing {
    /// Enters what an allocator granted, or this host chose itself.
    pub(super) fn hold(
        self: &Rc<Self>,
        id: lease::Id,
        class: Class,
        domain: &str,
        allocator: Option<SocketAddr>,
        grant: Grant,
    ) -> Lease {
        let reclaimed = Rc::new(Notify::new());
        let holding = Holding {
            upstream: grant.upstream.clone(),
            failure_domain: domain.to_owned(),
            class,
            reclaimed: Rc::clone(&reclaimed),
        };
        self.state.borrow_mut().held.insert(id, holding);
        Lease {
            upstream: grant.upstream,
            address: grant.address,
            queued: grant.queued,
            sharing: Rc::clone(self),
            id,
            allocator,
            reclaimed,
            outcome: Cell::new(Outcome::Inconclusive),
        }
    }

    fn release(&self, lease: &Lease) {
        let outcome = lease.outcome.get();
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.held.remove(&lease.id);
        state.avoidance.record_outcome(&lease.upstream, outcome, now);
        drop(state);
        let Some(allocator) = lease.allocator else {
            return;
        };
        let release = Release {
            lease: lease.id,
            upstream: lease.upstream.clone(),
            outcome,
        };
        self.send(allocator, &Frame::Release(release));
    }
}
