//! The control task: handles messages, drives the followed shards, and spawns slow operations.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use tinbank_base::{
    event::{Kind, Subject},
    id,
    peer::{Directory, Members},
    platform::log::Log,
    record::{Writer, lease},
};
use tinbank_configuration::snapshot;
use tinbank_ledger::lease::{Step, Timings};
use tinbank_log::writer;
use tinbank_timeline::Recorder;
use tokio::{
    runtime::Handle,
    sync::{mpsc, oneshot},
    time::{self, MissedTickBehavior},
};

use super::{
    input::{Input, OwnerRequest},
    shard::FollowedShard,
};
use crate::runner::{
    pool::Command,
    task::{Report, RunMode},
};

/// Interval at which leases, duties and members are checked when no message arrives.
const TICK: Duration = Duration::from_millis(100);
/// Maximum messages handled before the shards are driven again.
const MAX_BATCH: usize = 256;
/// Capacity of the channels from readers and requesters, which block when a channel is full.
const CHANNEL_CAPACITY: usize = 256;

/// Dependencies and settings of the owner.
#[derive(Debug)]
pub struct Dependencies {
    /// This process.
    pub me: Writer,
    /// Number of work shards in the deployment.
    pub shards: id::Shard,
    /// Timing of leases.
    pub terms: Timings,
    /// Number of members, in rank order, that follow a shard.
    pub followers: u32,
    /// How long the log keeps records.
    pub retention: Duration,
    /// The log, for reading.
    pub log: Arc<dyn Log>,
    /// The log, for appending.
    pub writer: writer::Writer,
    /// Timeout of an append; afterwards its purpose is retried.
    pub append_timeout: Duration,
    /// The cluster's members.
    pub directory: Arc<dyn Directory>,
    /// The configuration in force.
    pub configuration: snapshot::Shared,
    /// Commands to the runner's pool.
    pub pool: mpsc::UnboundedSender<Command>,
    /// Timeline of events.
    pub recorder: Recorder,
    /// Runtime for reads and appends.
    pub traffic: Handle,
}

/// Handle to the control task, which runs until aborted.
#[derive(Clone, Debug)]
pub struct Owner {
    requests: mpsc::Sender<OwnerRequest>,
    inputs: mpsc::Sender<Input>,
}

impl Owner {
    /// Starts the control task on the current runtime.
    pub fn start(
        deps: Dependencies,
        reports: mpsc::UnboundedReceiver<Report>,
    ) -> (Self, tokio::task::JoinHandle<()>) {
        let (inputs, received_inputs) = mpsc::channel(CHANNEL_CAPACITY);
        let (requests, received_requests) = mpsc::channel(CHANNEL_CAPACITY);
        let (task_done, finished) = mpsc::unbounded_channel();
        let control = Control {
            deps,
            inputs: inputs.clone(),
            task_done,
            shards: BTreeMap::new(),
            dirty: BTreeSet::new(),
            members: Arc::default(),
            last_generation: 0,
            stopping: None,
            next_retention_check: Instant::now(),
        };
        let task = tokio::spawn(control.run(received_inputs, finished, received_requests, reports));
        (Self { requests, inputs }, task)
    }

    /// Sends a request to the control task. There is no reply once the task has ended.
    pub async fn ask(&self, request: OwnerRequest) {
        // On failure, dropping the request closes its reply channel, which notifies the requester.
        let _ = self.requests.send(request).await;
    }

    /// Stops gracefully: finishes sent items and releases leases. Returns when nothing is left.
    pub async fn stop(&self) {
        let (done, stopped) = oneshot::channel();
        if self.inputs.send(Input::Stop(done)).await.is_ok() {
            // An error means that the control task has ended, so nothing is left.
            let _ = stopped.await;
        }
    }
}

pub(super) struct Control {
    pub(super) deps: Dependencies,
    /// Bounded channel for readers, which may be blocked.
    pub(super) inputs: mpsc::Sender<Input>,
    /// Unbounded channel for tasks that send one message when they finish.
    pub(super) task_done: mpsc::UnboundedSender<Input>,
    pub(super) shards: BTreeMap<id::Shard, FollowedShard>,
    /// Shards to be driven after this batch of messages.
    pub(super) dirty: BTreeSet<id::Shard>,
    pub(super) members: Arc<Members>,
    pub(super) last_generation: u64,
    stopping: Option<oneshot::Sender<()>>,
    /// When to check again for records that will exceed the retention.
    pub(super) next_retention_check: Instant,
}

impl Control {
    async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut finished: mpsc::UnboundedReceiver<Input>,
        mut requests: mpsc::Receiver<OwnerRequest>,
        mut reports: mpsc::UnboundedReceiver<Report>,
    ) {
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(input) = inputs.recv() => self.handle(input),
                Some(input) = finished.recv() => self.handle(input),
                Some(request) = requests.recv() => self.handle(Input::OwnerRequest(request)),
                Some(report) = reports.recv() => self.handle(Input::Report(report)),
                _ = tick.tick() => self.tick(),
            }
            for _ in 0..MAX_BATCH {
                if let Ok(input) = finished.try_recv() {
                    self.handle(input);
                } else if let Ok(report) = reports.try_recv() {
                    self.handle(Input::Report(report));
                } else if let Ok(input) = inputs.try_recv() {
                    self.handle(input);
                } else {
                    break;
                }
            }
            self.drive();
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Read {
                shard,
                generation,
                event,
            } => self.on_read(shard, generation, *event),
            Input::Appended {
                shard,
                purpose,
                result,
            } => self.on_appended(shard, purpose, result),
            Input::Loaded {
                shard,
                epoch,
                job,
                chunk,
                result,
            } => self.on_loaded(shard, epoch, job, chunk, result),
            Input::Carried { shard, last } => self.on_carried(shard, last),
            Input::Tail {
                shard,
                result,
                pending,
            } => self.on_tail(shard, result, *pending),
            Input::Report(report) => self.on_report(report),
            Input::OwnerRequest(request) => self.on_request(request),
            Input::Stop(done) => {
                self.stopping = Some(done);
                self.dirty.extend(self.shards.keys());
            }
        }
    }

    /// Handles a periodic tick.
    fn tick(&mut self) {
        self.follow();
        self.check_retention(Instant::now());
        self.update_metrics();
        self.dirty.extend(self.shards.keys());
    }

    fn update_metrics(&self) {
        let me = self.deps.me;
        let shards = self.shards.values();
        let owned = shards
            .clone()
            .filter(|followed| followed.epoch(me).is_some());
        let active: usize = shards
            .map(|followed| followed.active_items.in_flight())
            .sum();
        metrics::gauge!("tinbank_batch_shards_owned").set(owned.count() as f64);
        metrics::gauge!("tinbank_batch_items_in_hand").set(active as f64);
    }

    /// Drives the shards affected by the handled messages.
    fn drive(&mut self) {
        let now = Instant::now();
        for shard in std::mem::take(&mut self.dirty) {
            self.drive_shard(shard, now);
        }
        self.load(now);
        self.end_stop();
    }

    fn drive_shard(&mut self, shard: id::Shard, now: Instant) {
        let me = self.deps.me;
        let stopping = self.stopping.is_some();
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        followed.send_replies();
        followed.send_plans();
        followed.decide_dispatches(me);
        followed.active_items.remove_finished(now);
        let step = followed.step(stopping, now);
        let run_mode = match step {
            Step::Hold => Some(RunMode::Run),
            Step::Drain => Some(RunMode::Drain),
            Step::Append(lease::Lease::Release { .. }) => Some(RunMode::Drain),
            // A renewal does not determine whether the lease is about to be released.
            Step::Append(_) => None,
            Step::Wait => Some(RunMode::Abort),
        };
        // Duties derived from a stale fold would renew the lease indefinitely.
        let fresh = !followed.contender.is_stale(now);
        let purge = run_mode.is_some_and(|run_mode| followed.set_run_mode(run_mode));
        if purge {
            self.purge();
        }
        if let Step::Append(record) = step {
            self.append_lease(shard, record);
        }
        if matches!(step, Step::Hold | Step::Drain) && fresh {
            self.append_duties(shard, now);
        }
        if matches!(step, Step::Hold) && fresh {
            self.carry_forward(shard);
        }
        self.flush(shard, now);
    }

    /// Tells the runner to return stopped items.
    fn purge(&self) {
        // The runner ends only with the process.
        let _ = self.deps.pool.send(Command::Purge);
    }

    /// Completes a stop once this process has nothing left in any shard.
    fn end_stop(&mut self) {
        let me = self.deps.me;
        let idle = self.shards.values().all(|followed| followed.is_idle(me));
        if !idle {
            return;
        }
        if let Some(done) = self.stopping.take() {
            // The requester may have stopped waiting.
            let _ = done.send(());
        }
    }

    pub(super) fn record_event(&self, shard: id::Shard, job: Option<id::Job>, kind: Kind) {
        let subject = Subject {
            shard: Some(shard),
            job,
            ..Subject::default()
        };
        self.deps.recorder.note(subject, kind);
    }
}
