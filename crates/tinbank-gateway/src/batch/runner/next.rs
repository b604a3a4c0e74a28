//! Which item runs next.

use std::{
    rc::Rc,
    time::{Instant, SystemTime},
};

use tinbank_allocator::lease;
use tinbank_base::id;
use tinbank_jobs::{
    job::Job,
    record::{Index, Item},
    schedule::{self, Decision, Due, Now, State},
};
use tinbank_relay::route::Config;

use super::{Key, give_up};
use crate::{
    batch::{contents, owner},
    node::Node,
};

/// An item that may run now.
pub(super) struct Candidate {
    pub key: Key,
    pub submission: u64,
    pub due: Due,
    pub service: id::Service,
    /// Upstreams at which it has failed.
    pub avoid: Vec<id::Instance>,
}

/// The item that is due first among those that this process owns and that may run now.
pub(super) fn next(node: &Rc<Node>) -> Option<Candidate> {
    if node.stop.is_stopping() || !node.batch.is_caught_up() {
        return None;
    }
    let config = node.view.config()?;
    let table = node.batch.table.borrow();
    let owned = table.open_jobs().filter(|job| owner::may_start(node, &job.id));
    owned
        .filter_map(|job| next_of(node, &config, job))
        .min_by_key(|candidate| candidate.due)
}

/// The item of a job that runs next.
fn next_of(node: &Rc<Node>, config: &Config, job: &Job) -> Option<Candidate> {
    let now = Now::read();
    let runner = &node.batch.runner;
    let mut first: Option<(Index, Due)> = None;
    for (index, item) in job.pending() {
        let key = (job.id.clone(), index);
        let state = state(node, config, job, index, item);
        let due = match schedule::decide(job, state, &runner.pace.borrow(), now) {
            Decision::Run(due) => due,
            Decision::Wait => continue,
            Decision::Abandon(reason) => {
                give_up(node, key, job.submission, reason);
                continue;
            }
        };
        if first.is_none_or(|(_, earliest)| due < earliest) {
            first = Some((index, due));
        }
        if !due.is_late {
            break;
        }
    }
    let (index, due) = first?;
    if !node.batch.contents.has(&job.id) {
        contents::fetch(node, job);
        return None;
    }
    candidate(node, config, job, index, due)
}

/// What this process knows of an item beside the log.
fn state(node: &Node, config: &Config, job: &Job, index: Index, item: &Item) -> State {
    let runner = &node.batch.runner;
    let key = (job.id.clone(), index);
    let paused = runner.paused.borrow();
    let paused = paused.get(&key);
    let last = paused.map_or(0, |paused| paused.last);
    State {
        is_running: runner.running.borrow().contains_key(&key),
        paused_until: paused.and_then(|paused| paused.until),
        last_event: last.max(job.progress(index).last_event),
        route: route(node, config, job, item),
    }
}

/// Whether the configuration has a route for an item, and since when it has none.
fn route(node: &Node, config: &Config, job: &Job, item: &Item) -> schedule::RouteState {
    let mut gone = node.batch.runner.routes_gone.borrow_mut();
    if config.route(&job.host, &item.path).is_some() {
        gone.remove(&job.id);
        return schedule::RouteState::Present;
    }
    let now = Instant::now();
    if !node.view.is_config_fresh(now) {
        return schedule::RouteState::Unknown;
    }
    let since = gone.entry(job.id.clone()).or_insert(now);
    schedule::RouteState::MissingSince(*since)
}

fn candidate(node: &Node, config: &Config, job: &Job, index: Index, due: Due) -> Option<Candidate> {
    let key = (job.id.clone(), index);
    let item = job.runnable(index)?;
    let route = config.route(&job.host, &item.path)?;
    let service = route.service(node.draw())?.clone();
    let paused = node.batch.runner.paused.borrow();
    let paused = paused.get(&key);
    let failed_at = paused.map(|paused| paused.failed_at.clone());
    let mut avoid = failed_at.unwrap_or_default();
    // Where it has failed at all of them, one of them has to try again until its attempts are used up.
    if !node.view.has_upstream_beside(&service, &avoid) {
        avoid.clear();
    }
    Some(Candidate {
        key,
        submission: job.submission,
        due,
        service,
        avoid,
    })
}

/// When an item is due as allocators are told.
pub(super) fn lease_due(due: Due) -> lease::Due {
    let at = due.at.duration_since(SystemTime::UNIX_EPOCH);
    lease::Due {
        late: due.is_late,
        at_ms: at.map_or(0, |at| at.as_millis() as u64),
    }
}
