//! The leases of slots that this host holds.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    frame::{Frame, Grant, PaceReport, Release},
    lease::{self, Class, Footprint, Outcome},
    pace::{Expected, Meter, Sample},
};
use tinbank_base::id;
use tinbank_origin::Origin;
use tokio::{sync::Notify, time};

use super::{Grantor, Sharing, SlotSpec};
use crate::measure;

/// The right to run one request at one upstream. Dropping it releases the slot.
pub(crate) struct Lease {
    pub upstream: id::Instance,
    pub address: SocketAddr,
    /// Service and build of the upstream.
    pub origin: Origin,
    /// Whether all slots of the upstream are in use, so that the request first waits inside it.
    pub queued: bool,
    sharing: Rc<Sharing>,
    id: lease::Id,
    allocator: Option<Grantor>,
    reclaimed: Rc<Notify>,
    outcome: Cell<Outcome>,
    /// The pace that the allocator expects, if it knows it.
    expected: Option<Expected>,
    /// Measures the pace of the upstream on a response with events.
    meter: RefCell<Option<Box<Meter>>>,
}

impl Lease {
    /// Waits until the allocator reclaims the slot.
    pub async fn reclaimed(&self) {
        self.reclaimed.notified().await;
    }

    /// Returns the allocator that granted the lease, for logs.
    pub fn granted_by(&self) -> String {
        let allocator = self.allocator.as_ref();
        allocator.map_or_else(|| "none".to_owned(), Grantor::to_string)
    }

    /// Returns the time to allow for a round trip to the upstream. It is as far away as the allocator of its failure domain.
    pub fn round_trip_timeout(&self) -> Duration {
        let allocator = self.allocator.as_ref();
        allocator.map_or(Duration::ZERO, |it| self.sharing.response_timeout(it.host))
    }

    /// Sets the outcome that is reported when the lease is dropped.
    pub fn set_outcome(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }

    /// Starts to measure the pace of the upstream, for a request that is sent now and answered by events. Does nothing if paces
    /// are not measured.
    pub fn start_meter(&self) {
        if self.sharing.measures_pace && self.allocator.is_some() {
            let meter = Meter::new(self.expected, self.queued, Instant::now());
            self.meter.replace(Some(Box::new(meter)));
        }
    }

    /// Records an event of the response.
    pub fn record_event(&self) {
        let mut meter = self.meter.borrow_mut();
        let report = meter
            .as_mut()
            .and_then(|it| it.record_event(Instant::now()));
        drop(meter);
        self.report(report);
    }

    /// Waits for the next input from the upstream, and reports to the allocator if the next event is late.
    pub async fn receive<T>(&self, input: impl Future<Output = T>) -> T {
        if let Some(meter) = self.meter.borrow_mut().as_mut() {
            meter.record_wait(Instant::now());
        }
        let mut input = pin!(input);
        while let Some(late_at) = self.late_at() {
            if let Ok(received) = time::timeout_at(late_at.into(), &mut input).await {
                return received;
            }
            self.report_late(Instant::now());
        }
        input.await
    }

    fn late_at(&self) -> Option<Instant> {
        self.meter.borrow().as_ref()?.late_at()
    }

    fn report_late(&self, now: Instant) {
        let mut meter = self.meter.borrow_mut();
        let report = meter.as_mut().and_then(|it| it.take_late(now));
        drop(meter);
        self.report(report);
    }

    fn report(&self, sample: Option<Sample>) {
        let (Some(allocator), Some(sample)) = (&self.allocator, sample) else {
            return;
        };
        measure::record_late_event(sample);
        let report = PaceReport {
            lease: self.id,
            upstream: self.upstream.clone(),
            sample,
        };
        let frame = allocator.address(Frame::Pace(report));
        self.sharing.send(allocator.host, &frame);
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
        allocator: Option<Grantor>,
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
            origin: Origin {
                service: spec.service.to_owned(),
                build: grant.build,
            },
            queued: grant.queued,
            sharing: Rc::clone(self),
            id,
            allocator,
            reclaimed,
            outcome: Cell::new(Outcome::Inconclusive),
            expected: grant.expected,
            meter: RefCell::new(None),
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
        let Some(allocator) = &lease.allocator else {
            return;
        };
        let release = Release {
            lease: lease.id,
            upstream: lease.upstream.clone(),
            outcome,
            pace: lease.meter.borrow().as_ref().and_then(|it| it.sample()),
        };
        let frame = allocator.address(Frame::Release(release));
        self.send(allocator.host, &frame);
    }
}
