//! Runs the items of the jobs that this process owns, as far as the allocator grants slots.

mod denials;
mod selection;
mod shares;
mod start;
mod summary;
#[cfg(test)]
mod tests;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tinbank_allocator::{cause::Cause, frame::Queue, lease::Class};
use tinbank_base::id;
use tinbank_jobs::{
    estimate::Estimator,
    job::Progress,
    record::{Checkpoint, Failure, Finish, Index, JobId, Outcome, Reason, Record, RunId, RunStart},
};
use tinbank_quarantine::{Kind, fingerprint::short, table::Denial};
use tokio::{sync::Notify, task, time};

pub(super) use self::summary::report;
use self::{
    denials::{Denials, Needs},
    selection::Candidate,
    shares::Shares,
    start::Start,
};
use super::item::{self, Ended, Received};
use crate::{
    border::engine::{self, Request, Sender},
    identity, measure,
    node::Node,
    sharing::{Allocation, Lease, SlotSpec},
};

/// Delay before the next attempt when there is no item to run or no slot for it.
const IDLE_DELAY: Duration = Duration::from_millis(40);
/// Delay before an item that failed runs again.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay before this host may run an item that another host is running.
const OTHER_RUN_DELAY: Duration = Duration::from_secs(2);
/// How long an item that lacks memory is tried before other items of its service.
const MEMORY_WAIT: Duration = Duration::from_millis(500);
/// Delay before a slot is requested again for an item that lacks more than a slot, while other items go first.
const DENIAL_RECHECK: Duration = Duration::from_millis(500);
/// How long an item that is denied is kept from the upstreams at which it has failed. The others may be such that no host grants them.
const EXCLUSION_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a quarantined item is checked again, since each check takes a slot for a moment.
const QUARANTINE_RECHECK: Duration = Duration::from_secs(5);
/// Interval of checkpoints; bounds the work that is lost with a host. Each checkpoint is one more record in the store.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Part of the grace period of a stopping process that is not used for draining.
const STOP_MARGIN: Duration = Duration::from_millis(1_500);
/// Number of run ids of a process.
const RUNS_PER_PROCESS: u64 = 1 << 32;

/// An item of a job.
type Key = (JobId, Index);

/// State of the items that this process runs.
pub(super) struct Runner {
    /// Items that are running, or whose result is being written.
    running: RefCell<HashMap<Key, Rc<Run>>>,
    /// Items between two runs.
    waiting: RefCell<HashMap<Key, Waiting>>,
    /// Jobs whose route is missing, and since when.
    missing_routes: RefCell<HashMap<JobId, Instant>>,
    denials: RefCell<Denials>,
    estimator: RefCell<Estimator>,
    /// Work done for each customer, by which the next item is selected if shares are fair.
    shares: RefCell<Shares>,
    first_run: RunId,
    next_run: Cell<RunId>,
}

struct Run {
    stop: Notify,
    started_at: Instant,
}

impl Run {
    fn new() -> Self {
        Self {
            stop: Notify::new(),
            started_at: Instant::now(),
        }
    }
}

/// State of an item between two runs.
#[derive(Clone, Default)]
struct Waiting {
    /// Progress that is in the log or being written.
    progress: Progress,
    /// Since when it gets no slot at the build that its text needs.
    denied_since: Option<Instant>,
    /// Since when it is denied for its memory, while no other item of its service is tried.
    lacks_memory_since: Option<Instant>,
    /// The item must not run before this time.
    until: Option<Instant>,
    /// What was quarantined when the item was last about to run: its content or a part of its prompt.
    quarantined: Option<Kind>,
    /// Number of failed runs, on any host.
    failures: u32,
    /// The last failed run of this host. The item does not run again before the log has it, since other hosts count only those.
    last_failure: Option<Failure>,
    /// Upstreams at which runs of this host failed.
    failed_upstreams: Vec<id::Instance>,
    /// When they may run it again, if it was denied since it failed.
    exclusions_end: Option<Instant>,
}

impl Waiting {
    /// Returns the upstreams that must not run the item.
    fn excluded(&self, now: Instant) -> &[id::Instance] {
        match self.exclusions_end {
            Some(end) if now >= end => &[],
            _ => &self.failed_upstreams,
        }
    }
}

impl Default for Runner {
    fn default() -> Self {
        let first_run = identity::random_id() / RUNS_PER_PROCESS * RUNS_PER_PROCESS;
        Self {
            running: RefCell::default(),
            waiting: RefCell::default(),
            missing_routes: RefCell::default(),
            denials: RefCell::default(),
            estimator: RefCell::default(),
            shares: RefCell::default(),
            first_run,
            next_run: Cell::new(first_run + 1),
        }
    }
}

impl Runner {
    /// Handles the result of an item in the log, and returns whether the item was running here.
    pub fn on_finished(&self, job: &JobId, index: Index) -> bool {
        let key = (job.clone(), index);
        self.waiting.borrow_mut().remove(&key);
        let run = self.running.borrow_mut().remove(&key);
        if let Some(run) = &run {
            run.stop.notify_one();
        }
        run.is_some()
    }

    /// Handles a checkpoint of an item in the log. If another process wrote it, that one is ahead of a run here.
    pub fn on_checkpointed(&self, job: &JobId, index: Index, run: RunId) {
        let runs_here = self.running.borrow().contains_key(&(job.clone(), index));
        if runs_here && !self.is_own(run) {
            self.drop_run(job, index, OTHER_RUN_DELAY);
        }
    }

    /// Handles a conflict of a run with the text in the log.
    pub fn on_conflict(&self, job: &JobId, index: Index, run: RunId) {
        if self.is_own(run) {
            self.drop_run(job, index, RETRY_DELAY);
        }
    }

    /// Stops all items of a cancelled job. Results that are being written no longer count, so nothing else ends their runs.
    pub fn on_cancelled(&self, job: &JobId) {
        self.running.borrow_mut().retain(|key, run| {
            let is_kept = key.0 != *job;
            if !is_kept {
                run.stop.notify_one();
            }
            is_kept
        });
        self.waiting.borrow_mut().retain(|key, _| key.0 != *job);
        self.missing_routes.borrow_mut().remove(job);
    }

    /// Stops all items and drops all state.
    pub fn reset(&self) {
        self.stop_all();
        self.running.take();
        self.waiting.take();
        self.missing_routes.take();
    }

    /// Stops all items.
    pub fn stop_all(&self) {
        self.stop_jobs(|_| true);
    }

    /// Stops the items of the jobs that match, and returns their number.
    pub fn stop_jobs(&self, matches: impl Fn(&JobId) -> bool) -> usize {
        let running = self.running.borrow();
        let stopped = running.iter().filter(|(key, _)| matches(&key.0));
        stopped.map(|(_, run)| run.stop.notify_one()).count()
    }

    /// Stops half of the items, rounded up, and returns their number.
    pub fn stop_half(&self) -> usize {
        let running = self.running.borrow();
        let stopped = running.values().take(running.len().div_ceil(2));
        stopped.map(|run| run.stop.notify_one()).count()
    }

    fn drop_run(&self, job: &JobId, index: Index, delay: Duration) {
        let key = (job.clone(), index);
        let run = self.running.borrow_mut().remove(&key);
        if let Some(run) = run {
            run.stop.notify_one();
        }
        let waiting = Waiting {
            until: Some(Instant::now() + delay),
            ..Waiting::default()
        };
        self.waiting.borrow_mut().insert(key, waiting);
    }

    /// Delays a quarantined item. It is checked again before the quarantine ends, since it may be released early.
    fn delay_quarantined(&self, key: Key, request: &Request, denial: Denial) {
        let now = Instant::now();
        let recheck_at = denial.until.min(now + QUARANTINE_RECHECK);
        let part = request.part_id(denial.subject).map_or("", |it| it.as_str());
        let content = short(request.fingerprint());
        let left_ms = denial.until.saturating_duration_since(now).as_millis() as u64;
        log::info!(job:% = key.0, item = key.1, content:%, part:%, left_ms; "item quarantined, upstreams crash while running it");
        let mut waiting = self.waiting.borrow_mut();
        let waiting = waiting.entry(key).or_default();
        waiting.until = Some(recheck_at);
        waiting.quarantined = Some(denial.kind);
    }

    /// Returns whether an item that lacks memory holds up the others of its service. It does so for a while, since smaller items would
    /// take the memory that becomes free.
    fn waits_for_memory(&self, key: &Key, now: Instant) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let waiting = waiting.entry(key.clone()).or_default();
        let since = *waiting.lacks_memory_since.get_or_insert(now);
        now < since + MEMORY_WAIT
    }

    /// Limits how long an item that is denied is kept from the upstreams at which it has failed.
    fn limit_exclusions(&self, key: &Key, needs: &Needs, now: Instant) {
        if needs.exclude.is_empty() {
            return;
        }
        let mut waiting = self.waiting.borrow_mut();
        let waiting = waiting.entry(key.clone()).or_default();
        let end = now + EXCLUSION_TIMEOUT;
        waiting.exclusions_end.get_or_insert(end);
    }

    /// Requests no slot for an item before a time.
    fn set_aside(&self, key: &Key, until: Instant) {
        let mut waiting = self.waiting.borrow_mut();
        let waiting = waiting.entry(key.clone()).or_default();
        waiting.lacks_memory_since = None;
        waiting.quarantined = None;
        waiting.until = Some(until);
    }

    fn is_own(&self, run: RunId) -> bool {
        run / RUNS_PER_PROCESS * RUNS_PER_PROCESS == self.first_run
    }

    fn new_run(&self) -> RunId {
        let run = self.next_run.get();
        self.next_run.set(run + 1);
        run
    }
}

/// Requests slots and starts items in them, for as long as it is polled.
pub(super) async fn run(node: Rc<Node>) {
    loop {
        let pauses = node.check_for_pause();
        let Some(candidate) = selection::next_item(&node) else {
            time::sleep(IDLE_DELAY).await;
            continue;
        };
        let wanted = SlotSpec {
            class: Class::Batch(selection::lease_due(candidate.due)),
            service: &candidate.needs.service,
            build: candidate.needs.build.as_ref(),
            exclude: &candidate.needs.exclude,
            queue: Queue::No,
            rank: 0,
            meter: None,
            share: candidate.share.as_ref(),
            size: &candidate.size,
            max_gap: None,
            allowed: &candidate.needs.allowed,
        };
        let lease = match node.sharing.lease(&node, &wanted).await {
            Allocation::Granted(lease) => lease,
            denied => {
                if let Allocation::Lacking(cause) = denied {
                    record_denial(&node, &candidate, cause);
                }
                time::sleep(IDLE_DELAY).await;
                continue;
            }
        };
        if node.check_for_pause() != pauses {
            // The process was paused, so another host may own the item now.
            continue;
        }
        start(&node, candidate, lease);
    }
}

/// Records that an item got no slot, so that slots are requested for others that could run.
fn record_denial(node: &Node, candidate: &Candidate, cause: Cause) {
    let now = Instant::now();
    let runner = &node.batch.runner;
    let Candidate { key, needs, .. } = candidate;
    runner.limit_exclusions(key, needs, now);
    // The build of a text is no restriction while no other one serves.
    let is_restricted = start::record_denial(node, candidate, now) || !needs.exclude.is_empty();
    let mut denials = runner.denials.borrow_mut();
    match cause {
        // It lets others pass that may use more upstreams.
        Cause::Slot if is_restricted => runner.set_aside(key, now + RETRY_DELAY),
        Cause::Slot => denials.record_full(needs),
        Cause::Memory if runner.waits_for_memory(key, now) => denials.record_full(needs),
        Cause::Memory | Cause::Size | Cause::Upstream => {
            let memory = match cause {
                Cause::Upstream => 0,
                _ => needs.memory,
            };
            let until = now + DENIAL_RECHECK;
            log::info!(job:% = key.0, item = key.1, service:% = needs.service, cause = cause.label(), memory; "no slot for an item, others go first");
            measure::record_passed_item(cause);
            denials.record_lasting(
                Needs {
                    memory,
                    ..needs.clone()
                },
                until,
                now,
            );
            runner.set_aside(key, until);
        }
    }
}

/// Stops all items and waits until their checkpoints are written, at most for the grace period.
pub(super) async fn drain(node: &Node) {
    let runner = &node.batch.runner;
    runner.stop_all();
    let until = Instant::now() + node.settings.grace.saturating_sub(STOP_MARGIN);
    while Instant::now() < until {
        time::sleep(IDLE_DELAY).await;
        if runner.running.borrow().is_empty() && node.batch.writer.is_idle() {
            return;
        }
    }
}

fn start(node: &Rc<Node>, candidate: Candidate, lease: Lease) {
    let runner = &node.batch.runner;
    let (key, submission) = (candidate.key.clone(), candidate.submission);
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
    let request = node.engine.item_request(engine::Item {
        host: &job.host,
        sender,
        id: &item.id,
        path: &item.path,
        content: &content,
    });
    if let Some(denial) = node.quarantine.denial(&request, Instant::now()) {
        return runner.delay_quarantined(key, &request, denial);
    }
    let max_attempts = job.max_attempts;
    let waiting = runner.waiting.borrow();
    let progress = start::progress(waiting.get(&key), job.progress(key.1));
    if *progress != candidate.start.previous {
        // The log has moved on while the item waited for its slot.
        return;
    }
    drop(waiting);
    let failures = job.failure_count(key.1);
    drop(table);
    if node.settings.scheduling.fair_shares {
        let mut shares = runner.shares.borrow_mut();
        let (contender, work) = (candidate.contender(), candidate.size.work());
        shares.record_start(contender, work, candidate.weight(), Instant::now());
    }
    let waiting = runner.waiting.borrow_mut().remove(&key);
    let mut state = waiting.unwrap_or_default();
    state.failures = state.failures.max(failures);
    state.denied_since = None;
    state.lacks_memory_since = None;
    state.quarantined = None;
    let run = Rc::new(Run::new());
    runner
        .running
        .borrow_mut()
        .insert(key.clone(), Rc::clone(&run));
    let task = Task {
        node: Rc::clone(node),
        key,
        submission,
        max_attempts,
        state,
        start: candidate.start,
        run,
    };
    task::spawn_local(task.run(lease, Rc::new(request)));
}

/// A run of an item in a granted slot.
struct Task {
    node: Rc<Node>,
    key: Key,
    submission: u64,
    max_attempts: u32,
    state: Waiting,
    start: Start,
    run: Rc<Run>,
}

impl Task {
    async fn run(mut self, lease: Lease, request: Rc<Request>) {
        let upstream = lease.upstream.clone();
        let origin = lease.origin.clone();
        let number = self.node.batch.runner.new_run();
        let after = self.start.after();
        let restarts = after < self.start.previous.last_event;
        log::info!(job:% = self.key.0, item = self.key.1, upstream:%, service:% = origin.service, build:% = origin.build, run = number, after, restarts; "item sent to an upstream");
        if restarts {
            measure::record_restarted_item();
        }
        let started_at = Instant::now();
        let received = RefCell::new(Received::new(number, after, origin.clone()));
        let ended = tokio::select! {
            ended = item::run(&self.node, lease, &request, &received) => ended,
            () = self.run.stop.notified() => Ended::Stopped,
            () = self.write_checkpoints(&received) => Ended::Stopped,
        };
        let mut received = received.into_inner();
        let last = received.last_event;
        let mut estimator = self.node.batch.runner.estimator.borrow_mut();
        estimator.record_run(last - after, started_at.elapsed());
        if ended == Ended::Completed {
            estimator.record_completed(last);
        }
        drop(estimator);
        log::info!(job:% = self.key.0, item = self.key.1, upstream:%, run = number, last, ended:?; "item left its upstream");
        measure::record_item_run(ended.label());
        match ended {
            Ended::Completed => {
                return self.complete(&mut received);
            }
            Ended::Impossible => return self.abandon(Reason::Impossible),
            Ended::Failed => {
                self.state.failures += 1;
                self.state.failed_upstreams.push(upstream);
                self.state.exclusions_end = None;
                self.write_failure(number);
                if self.state.failures >= self.max_attempts {
                    return self.abandon(Reason::Attempts);
                }
            }
            Ended::Broken | Ended::Reclaimed | Ended::Stopped => {}
        }
        if !self.is_current() {
            return;
        }
        if received.has_unwritten() {
            self.write_checkpoint(&mut received);
        }
        if received.has_written() {
            self.state.progress = Progress {
                last_event: last,
                run: number,
                origin: Some(origin),
            };
        }
        let delay = match ended {
            Ended::Failed | Ended::Broken => RETRY_DELAY,
            _ => Duration::ZERO,
        };
        self.state.until = Some(Instant::now() + delay);
        let runner = &self.node.batch.runner;
        runner.running.borrow_mut().remove(&self.key);
        runner.waiting.borrow_mut().insert(self.key, self.state);
    }

    /// Writes checkpoints periodically.
    async fn write_checkpoints(&self, received: &RefCell<Received>) {
        let mut ticks = time::interval(CHECKPOINT_INTERVAL);
        ticks.tick().await;
        loop {
            ticks.tick().await;
            if received.borrow().has_unwritten() {
                self.write_checkpoint(&mut received.borrow_mut());
            }
        }
    }

    /// Returns whether the log has neither the item's result nor a run that is ahead of this one.
    fn is_current(&self) -> bool {
        let running = self.node.batch.runner.running.borrow();
        let run = running.get(&self.key);
        run.is_some_and(|run| Rc::ptr_eq(run, &self.run))
    }

    /// Writes the result of a run that has received all events. A run that begins the text and writes it in one piece needs no record
    /// of its start.
    fn complete(&self, received: &mut Received) {
        if !self.is_current() {
            return;
        }
        if self.start.previous.last_event > 0 {
            self.announce(received);
        }
        let (piece, data) = received.take_piece();
        self.finish(Outcome::Completed(piece), data);
    }

    /// Writes the start of the run before its first piece.
    fn announce(&self, received: &mut Received) {
        if std::mem::replace(&mut received.is_announced, true) {
            return;
        }
        let previous = &self.start.previous;
        let record = Record::RunStarted(RunStart {
            job: self.key.0.clone(),
            submission: self.submission,
            index: self.key.1,
            run: received.run,
            origin: received.origin.clone(),
            previous_run: previous.run,
            previous_event: previous.last_event,
            resumes: self.start.resumes,
        });
        self.node.batch.writer.add(record, Bytes::new());
    }

    fn write_checkpoint(&self, received: &mut Received) {
        self.announce(received);
        let (piece, data) = received.take_piece();
        let record = Record::Checkpointed(Checkpoint {
            job: self.key.0.clone(),
            submission: self.submission,
            index: self.key.1,
            piece,
        });
        self.node.batch.writer.add(record, data);
    }

    /// Writes that a run has failed, so that hosts that run the item later count the failure.
    fn write_failure(&mut self, run: RunId) {
        let failure = Failure {
            job: self.key.0.clone(),
            submission: self.submission,
            index: self.key.1,
            run,
        };
        self.state.last_failure = Some(failure.clone());
        let record = Record::Failed(failure);
        self.node.batch.writer.add(record, Bytes::new());
    }

    fn abandon(&self, reason: Reason) {
        self.finish(Outcome::Abandoned(reason), Bytes::new());
    }

    /// Writes the result. The item counts as running until the result is in the log, so that it does not run again.
    fn finish(&self, result: Outcome, data: Bytes) {
        if self.is_current() {
            let record = finish_record(&self.key, self.submission, result);
            self.node.batch.writer.add(record, data);
        }
    }
}

/// Abandons an item that is not running.
fn abandon(node: &Node, key: Key, submission: u64, reason: Reason) {
    log::info!(job:% = key.0, item = key.1, reason:?; "item abandoned");
    let run = Rc::new(Run::new());
    let record = finish_record(&key, submission, Outcome::Abandoned(reason));
    node.batch.writer.add(record, Bytes::new());
    node.batch.runner.running.borrow_mut().insert(key, run);
}

fn finish_record(key: &Key, submission: u64, result: Outcome) -> Record {
    Record::Finished(Finish {
        job: key.0.clone(),
        submission,
        index: key.1,
        result,
    })
}
