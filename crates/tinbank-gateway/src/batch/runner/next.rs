//! Which item runs next.

use std::{
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

use tinbank_allocator::lease::Due;
use tinbank_base::id;
use tinbank_jobs::{job::Job, record::Reason};
use tinbank_relay::route::Config;

use super::{Key, give_up};
use crate::{
    batch::{contents, owner, partition},
    node::Node,
};

/// Clocks of hosts may differ by this much; an item is given up only once it is surely time.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);
/// For how long a route must have been gone before its items are given up.
const ROUTE_GONE: Duration = Duration::from_secs(4);

/// An item that may run now.
pub(super) struct Candidate {
    pub key: Key,
    pub submission: u64,
    pub due: Due,
    pub service: id::Service,
    /// Upstreams at which it has failed.
    pub avoid: Vec<id::Instance>,
}

/// The item that is due first among those that this process owns and that may run now. Those that can't be in time any
/// more come behind all others, for a late result is worth little, and the time it takes makes others late as well.
pub(super) fn next(node: &Rc<Node>) -> Option<Candidate> {
    if node.stop.is_stopping() || !node.batch.is_known() {
        return None;
    }
    let config = node.view.config()?;
    let ttl = owner::ttl(node);
    let partitions = node.settings.store.partitions;
    let table = node.batch.table.borrow();
    let owned = table.open().filter(|job| {
        let partition = partition(&job.id, partitions);
        node.batch.owner.holds(partition, ttl)
    });
    let mut first = None;
    for job in owned {
        if let Some(candidate) = next_of(node, &config, job)
            && first
                .as_ref()
                .is_none_or(|first: &Candidate| candidate.due < first.due)
        {
            first = Some(candidate);
        }
    }
    first
}

/// The item of a job that runs next.
fn next_of(node: &Rc<Node>, config: &Config, job: &Job) -> Option<Candidate> {
    let runner = &node.batch.runner;
    let expired = SystemTime::now() > job.expires_at + CLOCK_MARGIN;
    let mut first: Option<Candidate> = None;
    for (index, item) in job.pending() {
        let key = (job.id.clone(), index);
        if runner.running.borrow().contains_key(&key) {
            continue;
        }
        if expired {
            give_up(node, key, job.submission, Reason::Expired);
            continue;
        }
        if !node.batch.contents.has(&job.id) {
            contents::fetch(node, job);
            return None;
        }
        let Some(route) = config.route(&job.host, &item.path) else {
            if is_route_gone(node, job) {
                give_up(node, key, job.submission, Reason::RouteRemoved);
            }
            continue;
        };
        runner.routes_gone.borrow_mut().remove(&job.id);
        let paused = runner.paused.borrow();
        let paused = paused.get(&key);
        let until = paused.and_then(|paused| paused.until);
        if until.is_some_and(|until| Instant::now() < until) {
            continue;
        }
        let last = paused.map_or(0, |paused| paused.last);
        let due = due(node, job, last.max(job.progress(index).last));
        if first.as_ref().is_some_and(|first| first.due <= due) {
            continue;
        }
        let service = route.service(node.draw())?.clone();
        let failed_at = paused.map(|paused| paused.failed_at.clone());
        let mut avoid = failed_at.unwrap_or_default();
        // Where it has failed at all of them, one of them has to try again until its attempts are used up.
        if !node.view.has_upstream_beside(&service, &avoid) {
            avoid.clear();
        }
        first = Some(Candidate {
            key,
            submission: job.submission,
            due,
            service,
            avoid,
        });
        if !due.late {
            break;
        }
    }
    first
}

/// When an item is due that has `last` events, and whether it can be done by then.
fn due(node: &Node, job: &Job, last: u64) -> Due {
    let rest = node.batch.runner.pace.borrow().rest(last);
    let done_at = SystemTime::now() + rest.unwrap_or_default();
    let due_at = job.due_at.duration_since(SystemTime::UNIX_EPOCH);
    Due {
        late: done_at > job.due_at,
        at_ms: due_at.map_or(0, |due| due.as_millis() as u64),
    }
}

/// True once the route of a job has been gone for a while, in a configuration that is read all the time.
fn is_route_gone(node: &Node, job: &Job) -> bool {
    let now = Instant::now();
    if !node.view.is_config_fresh(now) {
        return false;
    }
    let mut gone = node.batch.runner.routes_gone.borrow_mut();
    let since = gone.entry(job.id.clone()).or_insert(now);
    now.saturating_duration_since(*since) > ROUTE_GONE
}
