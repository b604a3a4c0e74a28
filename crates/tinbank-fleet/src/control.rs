//! The control loop: contends for the lease and, while holding it, plans and sends orders.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use tinbank_base::{
    event::{Kind, Subject},
    id,
    peer::Directory as _,
    platform::{
        hosts::List,
        log::Stream,
        upstream::{Order, Target, Verdict},
        weights::{Artifact, Error as WeightsError},
    },
    record::lease as record,
};
use tinbank_configuration::Snapshot;
use tinbank_ledger::lease::{Change, Step, Timings, Want};
use tinbank_log::{
    reader::{self, Event, Reader},
    writer::Writer,
};
use tinbank_membership::rendezvous::{self, Key};
use tinbank_process::Core;
use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval},
};

use crate::{
    desired::DesiredArtifacts,
    lease::LeaseState,
    plan::{Action, Plan},
    reports::Reports,
};

/// Interval of lease and planning steps.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the lease holder requests reports from the engines.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Delay before requesting tickets again if the weight store is unavailable or does not have an artifact.
const WEIGHTS_RETRY: Duration = Duration::from_secs(5);
/// Delay before an order that could not be delivered is sent again.
const ORDER_RETRY: Duration = Duration::from_secs(2);

/// Phase of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Contends for the lease.
    #[default]
    Running,
    /// Releases the lease.
    Stopping,
    /// Neither holds the lease nor contends for it.
    Stopped,
}

/// State of the control loop.
pub struct Control {
    core: Arc<Core>,
    writer: Writer,
    reader: Reader<record::Lease>,
    lease: LeaseState,
    reports: Reports,
    plan: Plan,
    desired: DesiredArtifacts,
    /// The configuration that `desired` was collected from.
    snapshot: Arc<Snapshot>,
    next_reports_at: Option<Instant>,
    phase: watch::Sender<Phase>,
}

impl Control {
    /// Creates a control loop that has read nothing yet. A planned stop is requested and confirmed through `phase`.
    pub fn new(
        core: Arc<Core>,
        writer: Writer,
        terms: Timings,
        phase: watch::Sender<Phase>,
    ) -> Self {
        let settings = reader::Settings {
            wait: TICK_INTERVAL,
            ..reader::Settings::default()
        };
        Self {
            reader: Reader::new(core.platform.log.clone(), Stream::Fleet, 0, settings),
            lease: LeaseState::new(core.writer, terms),
            core,
            writer,
            reports: Reports::default(),
            plan: Plan::default(),
            desired: DesiredArtifacts::default(),
            snapshot: Arc::default(),
            next_reports_at: None,
            phase,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = self.reader.next() => self.on_event(event),
                _ = ticks.tick() => self.tick().await,
            }
        }
    }

    fn on_event(&mut self, event: Event<record::Lease>) {
        match event {
            Event::Record { entry, envelope } => {
                let change = self.lease.apply(entry.offset, &envelope);
                self.record_lease_change(change);
            }
            Event::Tail { .. } => self.lease.on_read_end(true, Instant::now()),
            Event::Outage { .. } => self.lease.on_read_end(false, Instant::now()),
            Event::Trimmed { first } => self.lease.on_trimmed(first),
            Event::Skipped { entry, .. } => self.lease.skip(entry.offset),
        }
    }

    async fn tick(&mut self) {
        self.step_lease();
        let list = self.core.hosts().borrow().clone();
        let (Some(term), Some(list)) = (self.lease.term(), list) else {
            self.plan = Plan::default();
            return;
        };
        self.refresh_reports(&list).await;
        self.update_desired();
        let engines = self.reports.engines(&list);
        let actions = self
            .plan
            .step(&self.desired, &engines, term, Instant::now());
        for action in actions {
            self.execute(action, &list).await;
        }
    }

    /// Collects the desired artifacts again if the configuration has changed.
    fn update_desired(&mut self) {
        let snapshot = self.core.configuration.load_full();
        if Arc::ptr_eq(&snapshot, &self.snapshot) {
            return;
        }
        self.desired = DesiredArtifacts::from_snapshot(&snapshot);
        self.snapshot = snapshot;
    }

    fn step_lease(&mut self) {
        let phase = *self.phase.borrow();
        let want = Want {
            rank: self.rank(),
            live: true,
            stopping: phase != Phase::Running,
            in_flight: 0,
        };
        match self.lease.step(want, Instant::now()) {
            Step::Append(record) => self.append(record),
            Step::Wait if phase == Phase::Stopping => {
                self.phase.send_replace(Phase::Stopped);
            }
            Step::Wait | Step::Hold | Step::Drain => {}
        }
    }

    /// Appends in the background. The result is not needed, as the record is read back from the stream.
    fn append(&self, record: record::Lease) {
        let writer = self.writer.clone();
        self.core.spawn(async move {
            if let Err(error) = writer.append(Stream::Fleet, vec![record]).await {
                log::warn!(event = "lease_append_failed", reason = error.to_string().as_str(); "append of a lease record failed; the record may be missing");
            }
        });
    }

    fn rank(&self) -> Option<u32> {
        let members = self.core.members();
        let ranked = rendezvous::rank(members.ready(id::Role::Fleet), Key::Fleet);
        let place = ranked
            .iter()
            .position(|member| member.writer == self.core.writer)?;
        u32::try_from(place).ok()
    }

    async fn refresh_reports(&mut self, list: &List) {
        let now = Instant::now();
        if self.next_reports_at.is_some_and(|at| now < at) {
            return;
        }
        self.next_reports_at = Some(now + REPORT_INTERVAL);
        self.reports
            .refresh(self.core.platform.upstreams.clone(), list)
            .await;
    }

    async fn execute(&mut self, action: Action, list: &List) {
        match action {
            Action::RequestTicket { upstream, artifact } => {
                self.request_ticket(upstream, artifact).await
            }
            Action::SendOrder {
                upstream,
                order,
                stop_at,
            } => {
                self.send_order(upstream, order, stop_at, list).await;
            }
        }
    }

    async fn request_ticket(&mut self, upstream: id::Upstream, artifact: Artifact) {
        match self.core.platform.weights.ticket(&artifact).await {
            Ok(ticket) => self.plan.on_ticket(upstream, artifact, ticket),
            Err(error) => {
                log::info!(event = "weights_refused", upstream, model = artifact.model.as_str(), reason = error.to_string().as_str(); "no ticket from the weight store; the artifact cannot be loaded yet");
                self.plan
                    .on_ticket_refused(upstream, &artifact, retry_at(&error));
            }
        }
    }

    /// Checks the deadline right before sending, as the process may have been paused since planning.
    async fn send_order(
        &mut self,
        upstream: id::Upstream,
        order: Order,
        stop_at: Instant,
        list: &List,
    ) {
        let target = list
            .upstreams
            .iter()
            .find(|listed| listed.upstream == upstream)
            .map(|listed| Target {
                upstream,
                address: listed.address,
            });
        let Some(target) = target.filter(|_| Instant::now() < stop_at) else {
            self.plan.on_order_undelivered(upstream, Instant::now());
            return;
        };
        let fence = order.fence;
        match self.core.platform.upstreams.order(target, order).await {
            Ok(Verdict::Taken) => self.record_event(Kind::Ordered { fence }, Some(upstream)),
            Ok(Verdict::Stale { seen }) => {
                log::warn!(event = "order_stale", upstream, fence, seen; "engine rejected the order, as it has received one from a newer lease holder");
            }
            Err(error) => {
                log::warn!(event = "order_failed", upstream, reason = error.to_string().as_str(); "order could not be delivered; it will be sent again");
                self.plan
                    .on_order_undelivered(upstream, Instant::now() + ORDER_RETRY);
            }
        }
    }

    fn record_lease_change(&self, change: Option<Change>) {
        match change {
            Some(Change::Taken(holder)) if holder.writer == self.core.writer => {
                self.record_event(
                    Kind::LeaseTaken {
                        epoch: holder.epoch,
                    },
                    None,
                );
            }
            Some(Change::Taken(holder)) => self.record_event(
                Kind::LeaseLost {
                    epoch: holder.epoch,
                },
                None,
            ),
            Some(Change::Released(holder)) if holder.writer == self.core.writer => {
                self.record_event(
                    Kind::LeaseReleased {
                        epoch: holder.epoch,
                    },
                    None,
                );
            }
            Some(Change::Released(_)) | None => {}
        }
    }

    fn record_event(&self, kind: Kind, upstream: Option<id::Upstream>) {
        self.core.recorder.note(
            Subject {
                upstream,
                ..Subject::default()
            },
            kind,
        );
    }
}

fn retry_at(error: &WeightsError) -> Instant {
    let now = Instant::now();
    match error {
        WeightsError::Limited { retry_at } => {
            let wait = retry_at
                .duration_since(SystemTime::now())
                .unwrap_or_default();
            now + wait
        }
        WeightsError::Missing(_) | WeightsError::Unavailable(_) => now + WEIGHTS_RETRY,
    }
}
