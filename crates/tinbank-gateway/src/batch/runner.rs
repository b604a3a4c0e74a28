//! Runs the items of the jobs that this process owns, while upstreams have slots to spare.

mod next;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tinbank_allocator::{frame::Queue, lease::Class};
use tinbank_base::id;
use tinbank_jobs::{
    estimate::Estimator,
    record::{Checkpoint, Failure, Finish, Index, JobId, Outcome, Reason, Record, RunId},
};
use tokio::{sync::Notify, task, time};

use self::next::Candidate;
use super::item::{self, Ended, Progress};
use crate::{
    border::engine::{self, Request, Sender},
    identity, measure,
    node::Node,
    sharing::{Asked, Lease, Wanted},
};

/// Pause when there is nothing to run, or no slot for it. Source: the time in which a slot is likely to come free.
const PAUSE: Duration = Duration::from_millis(40);
/// Pause before an item that failed runs again.
const RETRY: Duration = Duration::from_millis(100);
/// Pause before an item is run that another host has just got further with.
const OTHER_RUN: Duration = Duration::from_secs(2);
/// Pause before an item that is held back is looked at again. Source: each look takes a slot for a moment.
const HELD_BACK: Duration = Duration::from_secs(5);
/// How often a run writes how far it has got. Source: what a lost host costs at most, against one record more.
const CHECKPOINT: Duration = Duration::from_millis(1_500);
/// Time that is left for writing what runs have so far, before a stopping process is killed.
const STOP_MARGIN: Duration = Duration::from_millis(1_500);
/// Numbers of runs that one process can give.
const RUNS: u64 = 1 << 32;

/// One item of one job.
type Key = (JobId, Index);

/// The items that this process runs.
pub(super) struct Runner {
    running: RefCell<HashMap<Key, Rc<Run>>>,
    /// Items that ran here and may run again from some time on.
    paused: RefCell<HashMap<Key, Paused>>,
    /// Since when the route of a job is gone.
    routes_gone: RefCell<HashMap<JobId, Instant>>,
    pace: RefCell<Estimator>,
    first_run: RunId,
    next_run: Cell<RunId>,
}

/// An item that runs, or whose result is on its way to the log.
struct Run {
    stop: Notify,
}

/// What is remembered of an item between its runs.
#[derive(Clone, Default)]
struct Paused {
    /// Last event that is in the log or on its way there.
    last: u64,
    until: Option<Instant>,
    /// Answers that say that the item failed, at this host and at those before it.
    failures: u32,
    /// Upstreams that gave them.
    failed_at: Vec<id::Instance>,
}

impl Default for Runner {
    fn default() -> Self {
        let first_run = identity::number() / RUNS * RUNS;
        Self {
            running: RefCell::default(),
            paused: RefCell::default(),
            routes_gone: RefCell::default(),
            pace: RefCell::default(),
            first_run,
            next_run: Cell::new(first_run + 1),
        }
    }
}

impl Runner {
    /// The log has the result of an item. True if it ran here.
    pub fn finished(&self, job: &JobId, index: Index) -> bool {
        let key = (job.clone(), index);
        self.paused.borrow_mut().remove(&key);
        let run = self.running.borrow_mut().remove(&key);
        if let Some(run) = &run {
            run.stop.notify_one();
        }
        run.is_some()
    }

    /// The log has a further piece of an item. If it is of a run of another process, that is ahead of one here.
    pub fn advanced(&self, job: &JobId, index: Index, run: RunId) {
        let runs_here = self.running.borrow().contains_key(&(job.clone(), index));
        if runs_here && !self.is_own(run) {
            self.drop_run(job, index, OTHER_RUN);
        }
    }

    /// The log has no use for a run.
    pub fn refused(&self, job: &JobId, index: Index, run: RunId) {
        if self.is_own(run) {
            self.drop_run(job, index, RETRY);
        }
    }

    /// A job is ended; its items stop at once.
    pub fn ended(&self, job: &JobId) {
        let running = self.running.borrow();
        for (_, run) in running.iter().filter(|(key, _)| key.0 == *job) {
            run.stop.notify_one();
        }
        self.paused.borrow_mut().retain(|key, _| key.0 != *job);
        self.routes_gone.borrow_mut().remove(job);
    }

    /// Forgets all items, which other hosts run from now on.
    pub fn forget(&self) {
        self.stop_all();
        self.running.take();
        self.paused.take();
        self.routes_gone.take();
    }

    /// Stops all items that run here.
    pub fn stop_all(&self) {
        self.stop(|_| true);
    }

    /// Stops the items of some jobs. How many there are.
    pub fn stop(&self, is_of: impl Fn(&JobId) -> bool) -> usize {
        let running = self.running.borrow();
        let stopped = running.iter().filter(|(key, _)| is_of(&key.0));
        stopped.map(|(_, run)| run.stop.notify_one()).count()
    }

    fn drop_run(&self, job: &JobId, index: Index, wait: Duration) {
        let key = (job.clone(), index);
        let run = self.running.borrow_mut().remove(&key);
        if let Some(run) = run {
            run.stop.notify_one();
        }
        let paused = Paused {
            until: Some(Instant::now() + wait),
            ..Paused::default()
        };
        self.paused.borrow_mut().insert(key, paused);
    }

    /// An item under which upstreams end waits: it may not be given up before its time, and may be cleared.
    fn hold_back(&self, key: Key, until: Instant) {
        let again = until.min(Instant::now() + HELD_BACK);
        log::info!(job:% = key.0, item = key.1; "item held back, upstreams end under it");
        let mut paused = self.paused.borrow_mut();
        paused.entry(key).or_default().until = Some(again);
    }

    fn is_own(&self, run: RunId) -> bool {
        run / RUNS * RUNS == self.first_run
    }

    fn new_run(&self) -> RunId {
        let run = self.next_run.get();
        self.next_run.set(run + 1);
        run
    }
}

/// Runs items for as long as it is polled.
pub(super) async fn run(node: Rc<Node>) {
    loop {
        let pauses = node.notice_pause();
        let Some(candidate) = next::next(&node) else {
            time::sleep(PAUSE).await;
            continue;
        };
        let wanted = Wanted {
            class: Class::Batch(next::lease_due(candidate.due)),
            service: &candidate.service,
            exclude: &candidate.avoid,
            queue: Queue::No,
            rank: 0,
            meter: None,
        };
        let Asked::Granted(lease) = node.sharing.lease(&node, &wanted).await else {
            time::sleep(PAUSE).await;
            continue;
        };
        if node.notice_pause() != pauses {
            // The item may be another host's by now.
            continue;
        }
        start(&node, candidate, lease);
    }
}

/// Stops all items and waits until the log has what they have so far, or until the time is up.
pub(super) async fn drained(node: &Node) {
    let runner = &node.batch.runner;
    runner.stop_all();
    let until = Instant::now() + node.settings.grace.saturating_sub(STOP_MARGIN);
    while Instant::now() < until {
        time::sleep(PAUSE).await;
        if runner.running.borrow().is_empty() && node.batch.writer.is_idle() {
            return;
        }
    }
}

fn start(node: &Rc<Node>, candidate: Candidate, lease: Lease) {
    let Candidate {
        key, submission, ..
    } = candidate;
    let runner = &node.batch.runner;
    let table = node.batch.table.borrow();
    let job = table.job(&key.0);
    let Some(job) = job.filter(|job| job.submission == submission) else {
        return;
    };
    let Some(item) = job.runnable(key.1) else {
        return;
    };
    let Some(content) = node.batch.contents.of_item(&key.0, key.1) else {
        return;
    };
    let has_customers = node.view.config().is_some_and(|it| it.customers.is_some());
    let sender = match &job.customer {
        Some(name) => Sender::Customer(name),
        None if has_customers => Sender::Anonymous,
        None => Sender::Unchecked,
    };
    let request = node.engine.item(engine::Item {
        host: &job.host,
        sender,
        id: &item.id,
        path: &item.path,
        content: &content,
    });
    if let Some(until) = node.quarantine.held_until(&request, Instant::now()) {
        return runner.hold_back(key, until);
    }
    let max_attempts = job.max_attempts;
    let in_log = job.progress(key.1).last_event;
    let failures = job.failure_count(key.1);
    drop(table);
    let paused = runner.paused.borrow_mut().remove(&key);
    let mut paused = paused.unwrap_or_default();
    paused.last = paused.last.max(in_log);
    paused.failures = paused.failures.max(failures);
    let run = Rc::new(Run {
        stop: Notify::new(),
    });
    runner
        .running
        .borrow_mut()
        .insert(key.clone(), Rc::clone(&run));
    let task = Task {
        node: Rc::clone(node),
        key,
        submission,
        max_attempts,
        paused,
        run,
    };
    task::spawn_local(task.run(lease, Rc::new(request)));
}

/// One run of an item, from its slot to its record.
struct Task {
    node: Rc<Node>,
    key: Key,
    submission: u64,
    max_attempts: u32,
    paused: Paused,
    run: Rc<Run>,
}

impl Task {
    async fn run(mut self, lease: Lease, request: Rc<Request>) {
        let upstream = lease.upstream.clone();
        let number = self.node.batch.runner.new_run();
        let after = self.paused.last;
        log::info!(job:% = self.key.0, item = self.key.1, upstream:%, run = number, after; "item sent to an upstream");
        let started_at = Instant::now();
        let progress = RefCell::new(Progress::new(number, after));
        let ended = tokio::select! {
            ended = item::run(&self.node, lease, &request, &progress) => ended,
            () = self.run.stop.notified() => Ended::Stopped,
            () = self.checkpoints(&progress) => Ended::Stopped,
        };
        let mut progress = progress.into_inner();
        let last = progress.last;
        let mut pace = self.node.batch.runner.pace.borrow_mut();
        pace.record_run(last - after, started_at.elapsed());
        if ended == Ended::Completed {
            pace.record_completed(last);
        }
        drop(pace);
        log::info!(job:% = self.key.0, item = self.key.1, upstream:%, run = number, last, ended:?; "item left its upstream");
        measure::item_left(ended.name());
        match ended {
            Ended::Completed => {
                let (piece, data) = progress.piece();
                return self.finish(Outcome::Completed(piece), data);
            }
            Ended::Impossible => return self.abandon(Reason::Impossible),
            Ended::Failed => {
                self.paused.failures += 1;
                self.paused.failed_at.push(upstream);
                if self.paused.failures >= self.max_attempts {
                    return self.abandon(Reason::Attempts);
                }
                self.fail(number);
            }
            Ended::Broken | Ended::Reclaimed | Ended::Stopped => {}
        }
        if !self.is_current() {
            return;
        }
        if progress.has_news() {
            self.advance(&mut progress);
        }
        self.paused.last = last;
        let wait = match ended {
            Ended::Failed | Ended::Broken => RETRY,
            _ => Duration::ZERO,
        };
        self.paused.until = Some(Instant::now() + wait);
        let runner = &self.node.batch.runner;
        runner.running.borrow_mut().remove(&self.key);
        runner.paused.borrow_mut().insert(self.key, self.paused);
    }

    /// Writes how far the run has got, again and again.
    async fn checkpoints(&self, progress: &RefCell<Progress>) {
        let mut ticks = time::interval(CHECKPOINT);
        ticks.tick().await;
        loop {
            ticks.tick().await;
            if progress.borrow().has_news() {
                self.advance(&mut progress.borrow_mut());
            }
        }
    }

    /// True unless the log has the item's result, or another run is ahead of this one.
    fn is_current(&self) -> bool {
        let running = self.node.batch.runner.running.borrow();
        let run = running.get(&self.key);
        run.is_some_and(|run| Rc::ptr_eq(run, &self.run))
    }

    /// Writes how far the run has got.
    fn advance(&self, progress: &mut Progress) {
        let (piece, data) = progress.piece();
        let record = Record::Checkpointed(Checkpoint {
            job: self.key.0.clone(),
            submission: self.submission,
            index: self.key.1,
            piece,
        });
        self.node.batch.writer.add(record, data);
    }

    /// Writes that a run has failed, for whoever runs the item next.
    fn fail(&self, run: RunId) {
        let record = Record::Failed(Failure {
            job: self.key.0.clone(),
            submission: self.submission,
            index: self.key.1,
            run,
        });
        self.node.batch.writer.add(record, Bytes::new());
    }

    fn abandon(&self, reason: Reason) {
        self.finish(Outcome::Abandoned(reason), Bytes::new());
    }

    /// Writes the result. The item counts as running until the log has it, so that it does not run again meanwhile.
    fn finish(&self, result: Outcome, data: Bytes) {
        if self.is_current() {
            let record = finished(&self.key, self.submission, result);
            self.node.batch.writer.add(record, data);
        }
    }
}

/// Gives an item up that does not run.
fn give_up(node: &Node, key: Key, submission: u64, reason: Reason) {
    log::info!(job:% = key.0, item = key.1, reason:?; "item given up");
    let run = Rc::new(Run {
        stop: Notify::new(),
    });
    let record = finished(&key, submission, Outcome::Abandoned(reason));
    node.batch.writer.add(record, Bytes::new());
    node.batch.runner.running.borrow_mut().insert(key, run);
}

fn finished(key: &Key, submission: u64, result: Outcome) -> Record {
    Record::Finished(Finish {
        job: key.0.clone(),
        submission,
        index: key.1,
        result,
    })
}
