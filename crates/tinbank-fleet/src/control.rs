//! The control loop: contends for the lease and, while it is held, plans and gives orders.

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
    holder::Holder,
    plan::{Action, Plan},
    reports::Reports,
    wanted::Wanted,
};

/// How often the lease and the plan are looked at.
const EVERY: Duration = Duration::from_millis(500);
/// How often the holder asks the engines what they hold.
const REPORTS_EVERY: Duration = Duration::from_secs(2);
/// How long to wait before asking again when the weight store can't be reached or does not know an artifact.
const WEIGHTS_RETRY: Duration = Duration::from_secs(5);
/// How long to wait before an order that could not be delivered is due again.
const ORDER_RETRY: Duration = Duration::from_secs(2);

/// Where the process is in its planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It contends for the lease.
    #[default]
    Running,
    /// It gives the lease back.
    Stopping,
    /// It holds no lease and takes none.
    Stopped,
}

/// State of the control loop.
pub struct Control {
    core: Arc<Core>,
    writer: Writer,
    reader: Reader<record::Lease>,
    holder: Holder,
    reports: Reports,
    plan: Plan,
    wanted: Wanted,
    /// The configuration that `wanted` was collected from.
    snapshot: Arc<Snapshot>,
    reports_at: Option<Instant>,
    phase: watch::Sender<Phase>,
}

impl Control {
    /// A loop that has read nothing yet. `phase` is how a planned stop is asked for and answered.
    pub fn new(
        core: Arc<Core>,
        writer: Writer,
        terms: Timings,
        phase: watch::Sender<Phase>,
    ) -> Self {
        let settings = reader::Settings {
            wait: EVERY,
            ..reader::Settings::default()
        };
        Self {
            reader: Reader::new(core.platform.log.clone(), Stream::Fleet, 0, settings),
            holder: Holder::new(core.writer, terms),
            core,
            writer,
            reports: Reports::default(),
            plan: Plan::default(),
            wanted: Wanted::default(),
            snapshot: Arc::default(),
            reports_at: None,
            phase,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut ticks = interval(EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = self.reader.next() => self.read(event),
                _ = ticks.tick() => self.tick().await,
            }
        }
    }

    fn read(&mut self, event: Event<record::Lease>) {
        match event {
            Event::Record { entry, envelope } => {
                let change = self.holder.read(entry.offset, &envelope);
                self.note_change(change);
            }
            Event::Tail { .. } => self.holder.read_end(true, Instant::now()),
            Event::Outage { .. } => self.holder.read_end(false, Instant::now()),
            Event::Trimmed { first } => self.holder.trimmed(first),
            Event::Skipped { entry, .. } => self.holder.skip(entry.offset),
        }
    }

    async fn tick(&mut self) {
        self.lease_step();
        let list = self.core.hosts().borrow().clone();
        let (Some(term), Some(list)) = (self.holder.term(), list) else {
            self.plan = Plan::default();
            return;
        };
        self.ask_reports(&list).await;
        self.collect_wanted();
        let engines = self.reports.engines(&list);
        let actions = self.plan.step(&self.wanted, &engines, term, Instant::now());
        for action in actions {
            self.act(action, &list).await;
        }
    }

    /// Looks through the services of all customers only when the configuration has changed.
    fn collect_wanted(&mut self) {
        let snapshot = self.core.configuration.load_full();
        if Arc::ptr_eq(&snapshot, &self.snapshot) {
            return;
        }
        self.wanted = Wanted::from_snapshot(&snapshot);
        self.snapshot = snapshot;
    }

    fn lease_step(&mut self) {
        let phase = *self.phase.borrow();
        let want = Want {
            rank: self.rank(),
            live: true,
            stopping: phase != Phase::Running,
            in_flight: 0,
        };
        match self.holder.step(want, Instant::now()) {
            Step::Append(record) => self.append(record),
            Step::Wait if phase == Phase::Stopping => {
                self.phase.send_replace(Phase::Stopped);
            }
            Step::Wait | Step::Hold | Step::Drain => {}
        }
    }

    /// Appends beside the loop: the answer is what the stream shows, not what the append returns.
    fn append(&self, record: record::Lease) {
        let writer = self.writer.clone();
        self.core.spawn(async move {
            if let Err(error) = writer.append(Stream::Fleet, vec![record]).await {
                log::warn!(event = "lease_append_failed", reason = error.to_string().as_str(); "a lease record may be missing");
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

    async fn ask_reports(&mut self, list: &List) {
        let now = Instant::now();
        if self.reports_at.is_some_and(|at| now < at) {
            return;
        }
        self.reports_at = Some(now + REPORTS_EVERY);
        self.reports
            .ask(self.core.platform.upstreams.clone(), list)
            .await;
    }

    async fn act(&mut self, action: Action, list: &List) {
        match action {
            Action::Ask { upstream, artifact } => self.ask_ticket(upstream, artifact).await,
            Action::Send {
                upstream,
                order,
                stop_at,
            } => {
                self.send(upstream, order, stop_at, list).await;
            }
        }
    }

    async fn ask_ticket(&mut self, upstream: id::Upstream, artifact: Artifact) {
        match self.core.platform.weights.ticket(&artifact).await {
            Ok(ticket) => self.plan.ticket(upstream, artifact, ticket),
            Err(error) => {
                log::info!(event = "weights_refused", upstream, model = artifact.model.as_str(), reason = error.to_string().as_str(); "an engine waits for its weights");
                self.plan.refused(upstream, &artifact, retry_at(&error));
            }
        }
    }

    /// The deadline is checked right before the send: the process may have been paused since the plan was made.
    async fn send(&mut self, upstream: id::Upstream, order: Order, stop_at: Instant, list: &List) {
        let target = list
            .upstreams
            .iter()
            .find(|listed| listed.upstream == upstream)
            .map(|listed| Target {
                upstream,
                address: listed.address,
            });
        let Some(target) = target.filter(|_| Instant::now() < stop_at) else {
            self.plan.undelivered(upstream, Instant::now());
            return;
        };
        let fence = order.fence;
        match self.core.platform.upstreams.order(target, order).await {
            Ok(Verdict::Taken) => self.note(Kind::Ordered { fence }, Some(upstream)),
            Ok(Verdict::Stale { seen }) => {
                log::warn!(event = "order_stale", upstream, fence, seen; "an engine has seen a newer holder");
            }
            Err(error) => {
                log::warn!(event = "order_failed", upstream, reason = error.to_string().as_str(); "an order is given again");
                self.plan
                    .undelivered(upstream, Instant::now() + ORDER_RETRY);
            }
        }
    }

    fn note_change(&self, change: Option<Change>) {
        match change {
            Some(Change::Taken(holder)) if holder.writer == self.core.writer => {
                self.note(
                    Kind::LeaseTaken {
                        epoch: holder.epoch,
                    },
                    None,
                );
            }
            Some(Change::Taken(holder)) => self.note(
                Kind::LeaseLost {
                    epoch: holder.epoch,
                },
                None,
            ),
            Some(Change::Released(holder)) if holder.writer == self.core.writer => {
                self.note(
                    Kind::LeaseReleased {
                        epoch: holder.epoch,
                    },
                    None,
                );
            }
            Some(Change::Released(_)) | None => {}
        }
    }

    fn note(&self, kind: Kind, upstream: Option<id::Upstream>) {
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
