//! Runs the items of the jobs that this process owns, while upstreams have slots to spare.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

use tinbank_allocator::lease::Class;
use tinbank_jobs::record::{Finish, Index, JobId, Outcome, Reason, Record};
use tokio::{sync::Notify, task, time};

use super::{
    item::{self, Ended, Progress},
    owner, partition,
};
use crate::{
    node::Node,
    sharing::{Lease, Wanted},
};

/// Pause when there is nothing to run, or no slot for it. Source: the time in which a slot is likely to come free.
const PAUSE: Duration = Duration::from_millis(40);
/// Pause before an item that failed runs again.
const RETRY: Duration = Duration::from_millis(100);
/// Clocks of hosts may differ by this much; an item is given up only once it is surely time.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);
/// For how long a route must have been gone before its items are given up.
const ROUTE_GONE: Duration = Duration::from_secs(4);
/// Time before the process is killed that is left for what must still be written.
const STOP_MARGIN: Duration = Duration::from_millis(1_500);

/// One item of one job.
type Key = (JobId, Index);

/// The items that this process runs.
#[derive(Default)]
pub(super) struct Runner {
    running: RefCell<HashMap<Key, Rc<Run>>>,
    /// What items that gave way have so far, and from when on they may run again.
    paused: RefCell<HashMap<Key, Paused>>,
    routes_gone: RefCell<HashMap<JobId, Instant>>,
}

/// An item that runs, or whose result is on its way to the log.
struct Run {
    stop: Notify,
}

struct Paused {
    progress: Progress,
    until: Instant,
}

/// An item that may run now.
struct Candidate {
    key: Key,
    submission: u64,
    service: String,
    avoid: Vec<tinbank_base::id::Instance>,
}

impl Runner {
    /// The log has the result of an item.
    pub fn finished(&self, job: &JobId, index: Index) {
        let key = (job.clone(), index);
        if let Some(run) = self.running.borrow_mut().remove(&key) {
            run.stop.notify_one();
        }
        self.paused.borrow_mut().remove(&key);
    }

    /// A job is ended; its items stop at once.
    pub fn ended(&self, job: &JobId) {
        let running = self.running.borrow();
        for (_, run) in running.iter().filter(|(key, _)| key.0 == *job) {
            run.stop.notify_one();
        }
        self.paused.borrow_mut().retain(|key, _| key.0 != *job);
    }
}

/// Runs items for as long as the process runs.
pub(super) async fn run(node: Rc<Node>) {
    loop {
        let Some(candidate) = next(&node) else {
            time::sleep(PAUSE).await;
            continue;
        };
        let wanted = Wanted {
            class: Class::Batch,
            service: &candidate.service,
            exclude: &candidate.avoid,
        };
        let Some(lease) = node.sharing.lease(&node, &wanted).await else {
            time::sleep(PAUSE).await;
            continue;
        };
        start(&node, candidate, lease);
    }
}

/// Waits until no item runs, or until the time is up.
pub(super) async fn drained(node: &Node) {
    let until = Instant::now() + node.settings.grace.saturating_sub(STOP_MARGIN);
    while Instant::now() < until && !node.batch.runner.running.borrow().is_empty() {
        time::sleep(PAUSE).await;
    }
}

/// The item that is due first among those that this process owns and that may run now.
fn next(node: &Node) -> Option<Candidate> {
    if node.stop.is_stopping() || !node.batch.is_known() {
        return None;
    }
    let config = node.view.config()?;
    let now = Instant::now();
    let ttl = owner::ttl(node);
    let runner = &node.batch.runner;
    let table = node.batch.table.borrow();
    let mut open: Vec<_> = table
        .open()
        .filter(|job| {
            let partition = partition(&job.id, node.settings.store.partitions);
            node.batch.owner.holds(partition, ttl)
        })
        .collect();
    open.sort_by_key(|job| (job.due_at, job.submission));
    for job in open {
        let expired = SystemTime::now() > job.expires_at + CLOCK_MARGIN;
        for (index, item) in job.pending() {
            let key = (job.id.clone(), index);
            if runner.running.borrow().contains_key(&key) {
                continue;
            }
            if expired {
                give_up(node, key, job.submission, Reason::Expired);
                continue;
            }
            let Some(route) = config.route(&job.host, &item.path) else {
                if route_gone(node, &job.id, now) {
                    give_up(node, key, job.submission, Reason::RouteRemoved);
                }
                continue;
            };
            runner.routes_gone.borrow_mut().remove(&job.id);
            let paused = runner.paused.borrow();
            let paused = paused.get(&key);
            if paused.is_some_and(|it| now < it.until) {
                continue;
            }
            let avoid = paused.map(|it| it.progress.failed_at.clone());
            return Some(Candidate {
                key,
                submission: job.submission,
                service: route.service(node.draw())?.clone(),
                avoid: avoid.unwrap_or_default(),
            });
        }
    }
    None
}

fn route_gone(node: &Node, job: &JobId, now: Instant) -> bool {
    if !node.view.is_config_fresh(now) {
        return false;
    }
    let mut gone = node.batch.runner.routes_gone.borrow_mut();
    let since = gone.entry(job.clone()).or_insert(now);
    now.saturating_duration_since(*since) > ROUTE_GONE
}

fn give_up(node: &Node, key: Key, submission: u64, reason: Reason) {
    log::info!(job:% = key.0, item = key.1, reason:?; "item given up");
    let run = Rc::new(Run {
        stop: Notify::new(),
    });
    node.batch
        .runner
        .running
        .borrow_mut()
        .insert(key.clone(), run);
    finish(node, key, submission, Outcome::Abandoned(reason));
}

fn start(node: &Rc<Node>, candidate: Candidate, lease: Lease) {
    let runner = &node.batch.runner;
    let Candidate {
        key, submission, ..
    } = candidate;
    let table = node.batch.table.borrow();
    let job = table.job(&key.0);
    let Some(job) = job.filter(|job| job.submission == submission) else {
        return;
    };
    let Some(item) = job.runnable(key.1) else {
        return;
    };
    let request = node.engine.item(&job.host, item);
    let max_attempts = job.max_attempts;
    drop(table);
    let paused = runner.paused.borrow_mut().remove(&key);
    let mut progress = paused.map(|it| it.progress).unwrap_or_default();
    let run = Rc::new(Run {
        stop: Notify::new(),
    });
    runner
        .running
        .borrow_mut()
        .insert(key.clone(), Rc::clone(&run));
    let node = Rc::clone(node);
    task::spawn_local(async move {
        let ended = tokio::select! {
            ended = item::run(&node, lease, &request, &mut progress) => ended,
            () = run.stop.notified() => Ended::Stopped,
        };
        log::info!(job:% = key.0, item = key.1, after = progress.last, ended:?; "item left its upstream");
        let outcome = match ended {
            Ended::Completed => Outcome::Completed(progress.text()),
            Ended::Impossible => Outcome::Abandoned(Reason::Impossible),
            Ended::Failed if progress.failures >= max_attempts => {
                Outcome::Abandoned(Reason::Attempts)
            }
            Ended::Stopped => {
                node.batch.runner.running.borrow_mut().remove(&key);
                return;
            }
            Ended::Failed | Ended::Broken => return pause(&node, key, progress, RETRY),
            Ended::Reclaimed => return pause(&node, key, progress, Duration::ZERO),
        };
        finish(&node, key, submission, outcome);
    });
}

fn pause(node: &Node, key: Key, progress: Progress, wait: Duration) {
    let runner = &node.batch.runner;
    runner.running.borrow_mut().remove(&key);
    let until = Instant::now() + wait;
    let paused = Paused { progress, until };
    runner.paused.borrow_mut().insert(key, paused);
}

/// Writes a result. The item counts as running until the log has it, so that it does not run again meanwhile.
fn finish(node: &Node, key: Key, submission: u64, result: Outcome) {
    let record = Record::Finished(Finish {
        job: key.0.clone(),
        submission,
        index: key.1,
        result,
    });
    match record.encode() {
        Ok(record) => node.batch.writer.add(record),
        Err(error) => {
            log::error!(job:% = key.0, item = key.1, error:%; "result can't be encoded");
        }
    }
}
