//! What becomes of an item next, and which one runs first.
//!
//! It answers batch work that is more than the upstreams can carry beside online requests. Items that can't be in time any
//! more come behind all that can: a late result is worth little, and the time that it takes makes others late as well.

use std::{
    cmp::Ordering,
    time::{Duration, Instant, SystemTime},
};

use crate::{job::Job, pace::Pace, record::Reason};

/// Clocks of hosts may differ by this much; an item is given up only once it is surely time.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);
/// For how long a route must have been gone before its items are given up. Source: longer than a host takes to read a new
/// configuration, so that a route that is replaced is not taken for one that is gone.
const ROUTE_GONE: Duration = Duration::from_secs(4);

/// When an item is due. The least one runs first, the greatest one gives way first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// It can't be done by then any more.
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

/// Whether the configuration has a route for an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// It has.
    Known,
    /// It has none, since then.
    GoneSince(Instant),
    /// It has none, and may be old.
    Unsure,
}

/// What a host knows of an item beside the log.
#[derive(Clone, Copy, Debug)]
pub struct State {
    /// It runs here, or its result is on the way to the log.
    pub is_running: bool,
    /// It is not to run before then.
    pub paused_until: Option<Instant>,
    /// Its last event that is in the log, or on the way there.
    pub last: u64,
    /// Whether its route is there.
    pub route: Route,
}

/// What becomes of an item now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It may run.
    Run(Due),
    /// Nothing yet.
    Wait,
    /// It is given up.
    GiveUp(Reason),
}

/// The time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The steady clock.
    pub steady: Instant,
    /// The time of day.
    pub wall: SystemTime,
}

impl Now {
    /// The time now.
    pub fn read() -> Self {
        Self {
            steady: Instant::now(),
            wall: SystemTime::now(),
        }
    }
}

/// What becomes of an item of a job that this host owns.
pub fn step(job: &Job, state: State, pace: &Pace, now: Now) -> Step {
    if state.is_running {
        return Step::Wait;
    }
    if now.wall > job.expires_at + CLOCK_MARGIN {
        return Step::GiveUp(Reason::Expired);
    }
    match state.route {
        Route::Known => {}
        Route::GoneSince(at) if now.steady > at + ROUTE_GONE => {
            return Step::GiveUp(Reason::RouteRemoved);
        }
        Route::GoneSince(_) | Route::Unsure => return Step::Wait,
    }
    if state.paused_until.is_some_and(|until| now.steady < until) {
        return Step::Wait;
    }
    Step::Run(due(job, state.last, pace, now))
}

/// When an item is due that has `last` events, and whether it can be done by then.
fn due(job: &Job, last: u64, pace: &Pace, now: Now) -> Due {
    let rest = pace.rest(last).unwrap_or_default();
    Due {
        is_late: now.wall + rest > job.due_at,
        at: job.due_at,
    }
}
