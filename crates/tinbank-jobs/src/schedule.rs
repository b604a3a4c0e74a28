//! Decides whether an item runs, waits or is abandoned, and which one runs first.
//!
//! When there is more batch work than the upstreams can take beside online requests, items that can no longer meet their
//! due time run after all that can: running them first would make those late as well.

use std::{
    cmp::Ordering,
    time::{Duration, Instant, SystemTime},
};

use crate::{estimate::Estimator, job::Job, record::Reason};

/// Assumed bound on the clock skew between hosts; items expire this much later.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);
/// How long a route must be missing before its items are abandoned: longer than a host takes to load a configuration, so
/// that a route that is being replaced does not count as removed.
const ROUTE_REMOVAL_DELAY: Duration = Duration::from_secs(4);

/// When an item is due. Items are run in ascending and preempted in descending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// The item can't be finished by then.
    pub is_late: bool,
    /// When the results of its job are due.
    pub at: SystemTime,
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        let late = self.is_late.cmp(&other.is_late);
        late.then(self.at.cmp(&other.at))
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// When an item runs relative to those of other customers. The item with the least value runs first, so an item that can be on
/// time never waits for late ones, and a customer above its share does not hold up the others. Items of customers within their
/// shares run in the order of their due times, which makes the fewest late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// The item can't be finished by its due time.
    pub is_late: bool,
    /// Work done for its customer, relative to the customer's weight, if the customer is above its share; 0 otherwise.
    pub excess: u64,
    /// When the results of its job are due.
    pub due_at: SystemTime,
}

/// Whether the configuration has a route for an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteState {
    /// There is a route.
    Present,
    /// There has been none since the given time.
    MissingSince(Instant),
    /// There is none, but the configuration may be stale.
    Unknown,
}

/// State of an item on this host.
#[derive(Clone, Copy, Debug)]
pub struct State {
    /// The item is running on this host, or its result is being written.
    pub is_running: bool,
    /// The item must not run before this time.
    pub paused_until: Option<Instant>,
    /// A run of this host has failed, and the log does not have the failure yet.
    pub has_unlogged_failure: bool,
    /// Number of failed runs in the log.
    pub failures: u32,
    /// Last event of the item that is in the log or being written.
    pub last_event: u64,
    /// State of the item's route.
    pub route: RouteState,
}

/// What to do with an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The item may run.
    Run(Due),
    /// The item can't run yet.
    Wait,
    /// The item is given up.
    Abandon(Reason),
}

/// The current time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic clock.
    pub steady: Instant,
    /// Wall clock.
    pub wall: SystemTime,
}

impl Now {
    /// Reads both clocks.
    pub fn read() -> Self {
        Self {
            steady: Instant::now(),
            wall: SystemTime::now(),
        }
    }
}

/// Decides what to do with an item of a job that this host owns.
pub fn decide(job: &Job, state: State, estimator: &Estimator, now: Now) -> Decision {
    if state.is_running {
        return Decision::Wait;
    }
    if now.wall > job.expires_at + CLOCK_MARGIN {
        return Decision::Abandon(Reason::Expired);
    }
    // The host that ran it last was lost before it wrote the result.
    if state.failures > 0 && state.failures >= job.max_attempts {
        return Decision::Abandon(Reason::Attempts);
    }
    match state.route {
        RouteState::Present => {}
        RouteState::MissingSince(at) if now.steady > at + ROUTE_REMOVAL_DELAY => {
            return Decision::Abandon(Reason::RouteRemoved);
        }
        RouteState::MissingSince(_) | RouteState::Unknown => return Decision::Wait,
    }
    if state.has_unlogged_failure || state.paused_until.is_some_and(|until| now.steady < until) {
        return Decision::Wait;
    }
    Decision::Run(due(job, state.last_event, estimator, now))
}

fn due(job: &Job, last_event: u64, estimator: &Estimator, now: Now) -> Due {
    let remaining = estimator.remaining(last_event).unwrap_or_default();
    Due {
        is_late: now.wall + remaining > job.due_at,
        at: job.due_at,
    }
}
