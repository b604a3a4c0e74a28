//! Selects the item to run next.

#[cfg(test)]
mod tests;

use std::{
    rc::Rc,
    time::{Instant, SystemTime},
};

use tinbank_allocator::{
    frame::Share,
    lease,
    order::virtual_counter::{DEFAULT_WEIGHT, Weight},
    size::Size,
};
use tinbank_base::id;
use tinbank_jobs::{
    backlog::Backlog,
    job::Job,
    record::{Index, Item},
    schedule::{self, Decision, Due, Now, State},
};
use tinbank_relay::{region::Allowed, route::Config};

use super::{
    Key, abandon,
    shares::{Contender, Supply},
    start::Start,
};
use crate::{
    batch::{contents, ownership},
    node::Node,
    prompt, region, share,
};

/// An item that may run now.
pub(super) struct Candidate {
    pub key: Key,
    pub submission: u64,
    pub due: Due,
    pub service: id::Service,
    /// Where its run begins.
    pub start: Start,
    /// Upstreams that it must not be sent to, because it has failed there.
    pub excluded: Vec<id::Instance>,
    pub share: Option<Share>,
    pub size: Size,
    /// Regions in which it may run.
    pub allowed: Allowed,
}

impl Candidate {
    pub fn contender(&self) -> Contender<'_> {
        self.share.as_ref().map(|it| it.customer.as_str())
    }

    /// Returns the weight of its customer.
    pub fn weight(&self) -> Weight {
        self.share.as_ref().map_or(DEFAULT_WEIGHT, |it| it.weight)
    }
}

/// Returns the item to run next among those that this process owns and that may run now: the one that is due first, if shares are
/// fair of the customers within their shares.
pub(super) fn next_item(node: &Rc<Node>) -> Option<Candidate> {
    if node.stop.is_stopping() || !node.batch.is_caught_up() {
        return None;
    }
    let config = node.view.config()?;
    let table = node.batch.table.borrow();
    let shedding = shedding(node);
    let taken = table.open_jobs().filter(|job| match shedding {
        Shedding::None => true,
        Shedding::UnrestrictedJobs => !region::of_job(&config, job).is_all(),
        Shedding::All => false,
    });
    let owned = taken.filter(|job| ownership::may_start(node, &config, job));
    let owned: Vec<&Job> = owned.collect();
    let candidates = owned
        .iter()
        .filter_map(|job| next_of_job(node, &config, job));
    if !node.settings.scheduling.fair_shares {
        return candidates.min_by_key(|candidate| candidate.due);
    }
    let candidates: Vec<_> = candidates.collect();
    let contenders: Vec<_> = candidates.iter().map(Candidate::contender).collect();
    let mut shares = node.batch.runner.shares.borrow_mut();
    shares.set_contenders(&contenders, supply(node, &owned), Instant::now());
    let turn = |it: &Candidate| shares.turn(it.contender(), it.due);
    candidates.into_iter().min_by_key(turn)
}

/// Returns whether the items of jobs can all be on time at the rate at which this host runs items.
fn supply(node: &Node, jobs: &[&Job]) -> Supply {
    let runner = &node.batch.runner;
    let estimator = runner.estimator.borrow();
    let mut backlog = Backlog::default();
    for job in jobs {
        for (index, _) in job.pending() {
            let remaining = estimator.remaining(job.progress(index).last_event);
            backlog.add(job.due_at, remaining.unwrap_or_default());
        }
    }
    let concurrency = runner.running.borrow().len();
    match backlog.fits(concurrency, SystemTime::now()) {
        true => Supply::Enough,
        false => Supply::Scarce,
    }
}

/// The jobs of which an overloaded host starts no item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shedding {
    None,
    /// All but those that are restricted to some regions.
    UnrestrictedJobs,
    All,
}

impl Shedding {
    /// Decides what a host sheds. Restricted jobs do not change hosts when their host is overloaded, so it runs one of their
    /// items at a time. One that stays overloaded and still owns jobs does so with any item: if all hosts were overloaded, no
    /// item would run.
    fn new(is_overloaded: bool, has_running: bool, is_lasting: bool) -> Self {
        match (is_overloaded, has_running) {
            (false, _) => Self::None,
            (true, true) => Self::All,
            (true, false) if is_lasting => Self::None,
            (true, false) => Self::UnrestrictedJobs,
        }
    }
}

fn shedding(node: &Node) -> Shedding {
    let overload = &node.overload;
    let is_lasting = overload.has_shed_items_for(ownership::OVERLOAD_TOLERANCE, Instant::now());
    let has_running = !node.batch.runner.running.borrow().is_empty();
    Shedding::new(!overload.takes_items(), has_running, is_lasting)
}

/// Returns the item of a job that is due first, and abandons the items that may no longer run.
fn next_of_job(node: &Rc<Node>, config: &Config, job: &Job) -> Option<Candidate> {
    let now = Now::read();
    let runner = &node.batch.runner;
    let mut first: Option<(Index, Due)> = None;
    for (index, item) in job.pending() {
        let key = (job.id.clone(), index);
        let state = item_state(node, config, job, index, item);
        let due = match schedule::decide(job, state, &runner.estimator.borrow(), now) {
            Decision::Run(due) => due,
            Decision::Wait => continue,
            Decision::Abandon(reason) => {
                abandon(node, key, job.submission, reason);
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
    let regions = &node.settings.regions;
    if !regions.permits(&region::of_job(config, job), &node.settings.failure_domain) {
        // The contents of the job must not be read here.
        return None;
    }
    if !node.batch.contents.has(&job.id) {
        contents::load(node, job);
        return None;
    }
    candidate(node, config, job, index, due)
}

/// Returns the local state of an item.
fn item_state(node: &Node, config: &Config, job: &Job, index: Index, item: &Item) -> State {
    let runner = &node.batch.runner;
    let key = (job.id.clone(), index);
    let waiting = runner.waiting.borrow();
    let waiting = waiting.get(&key);
    let last_event = waiting.map_or(0, |waiting| waiting.progress.last_event);
    State {
        is_running: runner.running.borrow().contains_key(&key),
        paused_until: waiting.and_then(|waiting| waiting.until),
        last_event: last_event.max(job.progress(index).last_event),
        route: route_state(node, config, job, item),
    }
}

/// Returns whether the configuration has a route for an item, and since when it has had none.
fn route_state(node: &Node, config: &Config, job: &Job, item: &Item) -> schedule::RouteState {
    let mut missing = node.batch.runner.missing_routes.borrow_mut();
    if config.route(&job.host, &item.path).is_some() {
        missing.remove(&job.id);
        return schedule::RouteState::Present;
    }
    let now = Instant::now();
    if !node.view.is_config_fresh(now) {
        return schedule::RouteState::Unknown;
    }
    let since = missing.entry(job.id.clone()).or_insert(now);
    schedule::RouteState::MissingSince(*since)
}

fn candidate(node: &Node, config: &Config, job: &Job, index: Index, due: Due) -> Option<Candidate> {
    let key = (job.id.clone(), index);
    let item = job.runnable(index)?;
    let route = config.route(&job.host, &item.path)?;
    let waiting = node.batch.runner.waiting.borrow();
    let waiting = waiting.get(&key);
    let start = Start::new(node, waiting, job.progress(index));
    let service = start.service(route, node.next_draw())?.clone();
    let failed_upstreams = waiting.map(|waiting| waiting.failed_upstreams.clone());
    let mut excluded = failed_upstreams.unwrap_or_default();
    let allowed = region::of_job(config, job);
    // If it has failed at all upstreams that may run it, any of them may run it again.
    if !excluded.is_empty() && !has_other_upstream(node, &service, &allowed, &excluded) {
        excluded.clear();
    }
    let content = node.batch.contents.of_item(&job.id, index);
    let size = content.map(|it| node.engine.item_size(&it));
    let mut size = size.unwrap_or_default();
    prompt::retain_parts(&mut size, node.settings.scheduling, route);
    let customer = job.customer.as_deref();
    Some(Candidate {
        allowed,
        share: customer.and_then(|it| share::of_name(config, it)),
        size,
        key,
        submission: job.submission,
        due,
        service,
        start,
        excluded,
    })
}

/// Returns whether an upstream in an allowed region takes requests, other than those given.
fn has_other_upstream(
    node: &Node,
    service: &str,
    allowed: &Allowed,
    others: &[id::Instance],
) -> bool {
    if allowed.is_all() {
        return node.view.has_other_upstream(service, others);
    }
    let regions = &node.settings.regions;
    let upstreams = node.view.upstreams(service);
    let mut permitted = upstreams
        .iter()
        .filter(|it| regions.permits(allowed, &it.failure_domain));
    permitted.any(|it| !others.contains(&it.instance))
}

/// Converts the due time of an item for the allocator.
pub(super) fn lease_due(due: Due) -> lease::Due {
    let at = due.at.duration_since(SystemTime::UNIX_EPOCH);
    lease::Due {
        late: due.is_late,
        at_ms: at.map_or(0, |at| at.as_millis() as u64),
    }
}
