//! The control task: takes messages in, drives the followed shards, and starts what is slow.

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
    input::{Ask, Input},
    shard::Followed,
};
use crate::runner::{
    pool::Command,
    task::{Report, Stop},
};

/// How often leases, duties and members are looked at when nothing else happens.
const TICK: Duration = Duration::from_millis(100);
/// Messages taken in before the shards are driven again.
const BATCH: usize = 256;
/// Messages of readers that wait; readers then stop reading.
const WAITING: usize = 256;

/// What the owner works with.
#[derive(Debug)]
pub struct Parts {
    /// Who we are.
    pub me: Writer,
    /// How many work shards the deployment has.
    pub shards: id::Shard,
    /// How leases are timed.
    pub terms: Timings,
    /// How many members in rank follow a shard.
    pub followers: u32,
    /// How long the log keeps records.
    pub retention: Duration,
    /// The log, for reading.
    pub log: Arc<dyn Log>,
    /// The log, for appending.
    pub writer: writer::Writer,
    /// Time that an append has; what it was for is tried again after.
    pub append_timeout: Duration,
    /// Who is there.
    pub directory: Arc<dyn Directory>,
    /// The configuration in force.
    pub configuration: snapshot::Shared,
    /// Runs items.
    pub pool: mpsc::UnboundedSender<Command>,
    /// The time line.
    pub recorder: Recorder,
    /// Where reads and appends are driven.
    pub traffic: Handle,
}

/// Handle on the control task. The task ends when it is aborted.
#[derive(Clone, Debug)]
pub struct Owner {
    asks: mpsc::Sender<Ask>,
    inputs: mpsc::Sender<Input>,
}

impl Owner {
    /// Starts the control task on the runtime that we are in.
    pub fn start(
        parts: Parts,
        reports: mpsc::UnboundedReceiver<Report>,
    ) -> (Self, tokio::task::JoinHandle<()>) {
        let (inputs, received) = mpsc::channel(WAITING);
        let (asks, asked) = mpsc::channel(WAITING);
        let (done, ended) = mpsc::unbounded_channel();
        let control = Control {
            parts,
            inputs: inputs.clone(),
            done,
            shards: BTreeMap::new(),
            dirty: BTreeSet::new(),
            members: Arc::default(),
            followings: 0,
            stopping: None,
            upkeep_at: Instant::now(),
        };
        let task = tokio::spawn(control.run(received, ended, asked, reports));
        (Self { asks, inputs }, task)
    }

    /// Asks the control task. Nothing is answered once it has ended.
    pub async fn ask(&self, ask: Ask) {
        // The asker's own channel closes with the message, which tells it.
        let _ = self.asks.send(ask).await;
    }

    /// Stops in an orderly way: finishes what was sent, gives back leases. Returns when nothing is left.
    pub async fn stop(&self) {
        let (done, stopped) = oneshot::channel();
        if self.inputs.send(Input::Stop(done)).await.is_ok() {
            // A control task that ended has nothing left either.
            let _ = stopped.await;
        }
    }
}

pub(super) struct Control {
    pub(super) parts: Parts,
    /// For tasks whose messages may be held up: readers.
    pub(super) inputs: mpsc::Sender<Input>,
    /// For tasks that end with one message.
    pub(super) done: mpsc::UnboundedSender<Input>,
    pub(super) shards: BTreeMap<id::Shard, Followed>,
    /// Shards to be driven after this batch of messages.
    pub(super) dirty: BTreeSet<id::Shard>,
    pub(super) members: Arc<Members>,
    pub(super) followings: u64,
    stopping: Option<oneshot::Sender<()>>,
    /// When to look again for what retention would take.
    pub(super) upkeep_at: Instant,
}

impl Control {
    async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut ended: mpsc::UnboundedReceiver<Input>,
        mut asks: mpsc::Receiver<Ask>,
        mut reports: mpsc::UnboundedReceiver<Report>,
    ) {
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(input) = inputs.recv() => self.take(input),
                Some(input) = ended.recv() => self.take(input),
                Some(ask) = asks.recv() => self.take(Input::Ask(ask)),
                Some(report) = reports.recv() => self.take(Input::Report(report)),
                _ = tick.tick() => self.tick(),
            }
            for _ in 0..BATCH {
                if let Ok(input) = ended.try_recv() {
                    self.take(input);
                } else if let Ok(report) = reports.try_recv() {
                    self.take(Input::Report(report));
                } else if let Ok(input) = inputs.try_recv() {
                    self.take(input);
                } else {
                    break;
                }
            }
            self.drive();
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Read {
                shard,
                following,
                event,
            } => self.read(shard, following, *event),
            Input::Appended {
                shard,
                what,
                result,
            } => self.appended(shard, what, result),
            Input::Loaded {
                shard,
                epoch,
                job,
                chunk,
                result,
            } => self.loaded(shard, epoch, job, chunk, result),
            Input::Kept { shard, last } => self.kept(shard, last),
            Input::Tail {
                shard,
                result,
                wait,
            } => self.tail_known(shard, result, *wait),
            Input::Report(report) => self.reported(report),
            Input::Ask(ask) => self.asked(ask),
            Input::Stop(done) => {
                self.stopping = Some(done);
                self.dirty.extend(self.shards.keys());
            }
        }
    }

    /// What happens by time alone.
    fn tick(&mut self) {
        self.follow();
        self.look_for_upkeep(Instant::now());
        self.measure();
        self.dirty.extend(self.shards.keys());
    }

    fn measure(&self) {
        let me = self.parts.me;
        let shards = self.shards.values();
        let owned = shards
            .clone()
            .filter(|followed| followed.epoch(me).is_some());
        let in_hand: usize = shards.map(|followed| followed.hand.in_flight()).sum();
        metrics::gauge!("tinbank_batch_shards_owned").set(owned.count() as f64);
        metrics::gauge!("tinbank_batch_items_in_hand").set(in_hand as f64);
    }

    /// Drives the shards that something happened to.
    fn drive(&mut self) {
        let now = Instant::now();
        for shard in std::mem::take(&mut self.dirty) {
            self.drive_shard(shard, now);
        }
        self.load(now);
        self.end_stop();
    }

    fn drive_shard(&mut self, shard: id::Shard, now: Instant) {
        let me = self.parts.me;
        let stopping = self.stopping.is_some();
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        followed.answer_waits();
        followed.answer_plans();
        followed.decide_dispatches(me);
        followed.hand.tidy(now);
        let step = followed.step(stopping, now);
        let stop = match step {
            Step::Hold => Some(Stop::Go),
            Step::Drain => Some(Stop::Drain),
            Step::Append(lease::Lease::Release { .. }) => Some(Stop::Drain),
            // A renewal says nothing of whether the lease is about to be given back.
            Step::Append(_) => None,
            Step::Wait => Some(Stop::Now),
        };
        // Duties that come of a stale fold would renew the lease over and over.
        let fresh = !followed.contender.is_stale(now);
        let purge = stop.is_some_and(|stop| followed.set(stop));
        if purge {
            self.purge();
        }
        if let Step::Append(record) = step {
            self.append_lease(shard, record);
        }
        if matches!(step, Step::Hold | Step::Drain) && fresh {
            self.do_duties(shard, now);
        }
        if matches!(step, Step::Hold) && fresh {
            self.do_upkeep(shard);
        }
        self.flush(shard, now);
    }

    /// Tells the runner to give back what was stopped.
    fn purge(&self) {
        // The runner ends only with the process.
        let _ = self.parts.pool.send(Command::Purge);
    }

    /// Ends the stop once no shard holds anything of ours.
    fn end_stop(&mut self) {
        let me = self.parts.me;
        let idle = self.shards.values().all(|followed| followed.is_idle(me));
        if !idle {
            return;
        }
        if let Some(done) = self.stopping.take() {
            // Whoever asked may have given up waiting.
            let _ = done.send(());
        }
    }

    pub(super) fn note(&self, shard: id::Shard, job: Option<id::Job>, kind: Kind) {
        let subject = Subject {
            shard: Some(shard),
            job,
            ..Subject::default()
        };
        self.parts.recorder.note(subject, kind);
    }
}
