//! Selects the item to run next.

#[cfg(test)]
mod tests;

use std::{
    cell::LazyCell,
    rc::Rc,
    time::{Instant, SystemTime},
};

use smallvec::SmallVec;
use tinbank_allocator::{
    frame::Share,
    lease, memory,
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
use tinbank_relay::{
    region::Allowed,
    route::{Config, Route},
};

use super::{
    Key, abandon,
    denials::{Coverage, Needs},
    shares::{Contender, Supply},
    start::{self, Start},
};
use crate::{
    batch::{contents, ownership},
    node::Node,
    prompt, region, share,
};

/// Maximum number of items of a job that are examined for one choice.
const MAX_EXAMINED: usize = 8;

/// An item that may run now.
pub(super) struct Candidate {
    pub key: Key,
    pub submission: u64,
    pub due: Due,
    pub route: Rc<Route>,
    /// Where its run begins.
    pub start: Start,
    /// What an upstream must have for it.
    pub needs: Needs,
    pub share: Option<Share>,
    pub size: Size,
    /// Whether its service had no free slot in this round.
    pub is_denied: bool,
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
    let candidates: Vec<Candidate> = candidates.collect();
    let is_round_over = candidates.iter().all(|it| it.is_denied);
    if is_round_over {
        node.batch.runner.denials.borrow_mut().end_round();
    }
    let is_tried = |it: &Candidate| is_round_over || !it.is_denied;
    if !node.settings.scheduling.fair_shares {
        let tried = candidates.into_iter().filter(is_tried);
        return tried.min_by_key(|it| it.due);
    }
    let contenders: Vec<_> = candidates.iter().map(Candidate::contender).collect();
    let mut shares = node.batch.runner.shares.borrow_mut();
    shares.set_contenders(&contenders, supply(node, &owned), Instant::now());
    let turn = |it: &Candidate| shares.turn(it.contender(), it.due);
    let tried = candidates.into_iter().filter(is_tried);
    tried.min_by_key(turn)
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

/// Returns the item of a job that is due first among those that may get a slot, and abandons the items that may no longer run. If the
/// service of all of them had no free slot in this round, returns the first of them as denied.
fn next_of_job(node: &Rc<Node>, config: &Config, job: &Job) -> Option<Candidate> {
    let now = Now::read();
    let runner = &node.batch.runner;
    let mut search = Search::default();
    let readable = LazyCell::new(|| is_readable(node, config, job));
    for (index, item) in job.pending() {
        if search.has_denied(config, item) {
            continue;
        }
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
        if !*readable {
            return None;
        }
        if due.is_late {
            search.late.push((index, due));
            continue;
        }
        if let Some(found) = search.examine(node, config, job, index, due) {
            return Some(found);
        }
        if search.is_over() {
            break;
        }
    }
    for (index, due) in std::mem::take(&mut search.late) {
        if search.is_over() {
            break;
        }
        let item = job.runnable(index);
        if item.is_none_or(|it| search.has_denied(config, it)) {
            continue;
        }
        if let Some(found) = search.examine(node, config, job, index, due) {
            return Some(found);
        }
    }
    search.denied
}

/// Returns whether the contents of a job are loaded here, and loads them if that is permitted.
fn is_readable(node: &Rc<Node>, config: &Config, job: &Job) -> bool {
    let regions = &node.settings.regions;
    if !regions.permits(&region::of_job(config, job), &node.settings.failure_domain) {
        return false;
    }
    let is_loaded = node.batch.contents.has(&job.id);
    if !is_loaded {
        contents::load(node, job);
    }
    is_loaded
}

/// Search for an item of a job that may get a slot.
#[derive(Default)]
struct Search {
    /// Items that can't be on time, which are examined last.
    late: SmallVec<[(Index, Due); MAX_EXAMINED]>,
    examined: usize,
    /// The first item whose service had no free slot in this round, and its route.
    denied: Option<Candidate>,
    denied_route: Option<DeniedRoute>,
}

/// The route of an item that was denied.
struct DeniedRoute {
    route: Rc<Route>,
    /// Whether other routes begin with its prefix.
    has_nested: bool,
}

impl DeniedRoute {
    fn new(config: &Config, route: &Rc<Route>) -> Self {
        let mut others = config.routes.iter();
        let is_nested =
            |it: &Rc<Route>| it.name != route.name && it.prefix.starts_with(&route.prefix);
        Self {
            route: Rc::clone(route),
            has_nested: others.any(is_nested),
        }
    }

    /// Returns whether a path of the same host name belongs to the route.
    fn includes(&self, config: &Config, path: &str) -> bool {
        let route = &self.route;
        let is_same = |it: &Rc<Route>| it.name == route.name;
        path.starts_with(&route.prefix)
            && (!self.has_nested || config.route(&route.host, path).is_some_and(is_same))
    }
}

impl Search {
    /// Returns whether an item of the same route was denied in this round, so that this one would be as well. While all slots are in use,
    /// this is asked of most items of a host.
    fn has_denied(&self, config: &Config, item: &Item) -> bool {
        let denied = self.denied_route.as_ref();
        denied.is_some_and(|it| it.includes(config, &item.path))
    }

    /// Returns whether enough items were examined: each costs a read of its contents, and the choice is made often.
    fn is_over(&self) -> bool {
        self.examined >= MAX_EXAMINED
    }

    /// Returns an item if no denial covers it, and sets it aside if one that lasts does.
    fn examine(
        &mut self,
        node: &Node,
        config: &Config,
        job: &Job,
        index: Index,
        due: Due,
    ) -> Option<Candidate> {
        self.examined += 1;
        let mut candidate = candidate(node, config, job, index, due)?;
        let runner = &node.batch.runner;
        let denials = runner.denials.borrow();
        match denials.coverage(&candidate.needs, Instant::now()) {
            Coverage::None => return Some(candidate),
            Coverage::Until(until) => {
                let now = Instant::now();
                start::record_denial(node, &candidate, now);
                runner.limit_exclusions(&candidate.key, &candidate.needs, now);
                runner.set_aside(&candidate.key, until);
            }
            Coverage::Full if self.denied.is_none() => {
                candidate.is_denied = true;
                self.denied_route = Some(DeniedRoute::new(config, &candidate.route));
                self.denied = Some(candidate);
            }
            Coverage::Full => {}
        }
        None
    }
}

/// Returns the local state of an item.
fn item_state(node: &Node, config: &Config, job: &Job, index: Index, item: &Item) -> State {
    let runner = &node.batch.runner;
    let key = (job.id.clone(), index);
    let waiting = runner.waiting.borrow();
    let waiting = waiting.get(&key);
    let last_event = waiting.map_or(0, |waiting| waiting.progress.last_event);
    let last_failure = waiting.and_then(|waiting| waiting.last_failure.as_ref());
    State {
        is_running: runner.running.borrow().contains_key(&key),
        paused_until: waiting.and_then(|waiting| waiting.until),
        has_unlogged_failure: last_failure.is_some_and(|it| !job.has_failure(it)),
        failures: job.failure_count(index),
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
    let start = Start::new(node, route, waiting, job.progress(index));
    let service = start.service(route, node.next_draw())?.clone();
    let excluded = waiting.map(|it| it.excluded(Instant::now()));
    let mut excluded = excluded.unwrap_or_default();
    let allowed = region::of_job(config, job);
    // If it has failed at all upstreams that may run it, any of them may run it again.
    if !excluded.is_empty() && !has_other_upstream(node, &service, &allowed, excluded) {
        excluded = &[];
    }
    let content = node.batch.contents.of_item(&job.id, index);
    let size = content.map(|it| node.engine.item_size(&it));
    let mut size = size.unwrap_or_default();
    prompt::retain_parts(&mut size, node.settings.scheduling, route);
    let customer = job.customer.as_deref();
    let needs = Needs {
        service,
        build: start.build().cloned(),
        exclude: excluded.into(),
        allowed,
        memory: memory::reservation(&size),
    };
    Some(Candidate {
        needs,
        share: customer.and_then(|it| share::of_name(config, it)),
        size,
        key,
        submission: job.submission,
        due,
        route: Rc::clone(route),
        start,
        is_denied: false,
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
