//! The state that all duties of the process share.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::{admission::RouteTimings, smoothed_duration::SmoothedDuration};
use tinbank_relay::{caller_timeout::CallerTimeout, route::Route};

use crate::{
    batch::Batch,
    border::{engine::Engine, ingress::Ingress, store::Store},
    clock::{Clock, ClockReading, Pauses},
    feed::Feed,
    quarantine::Quarantine,
    retry::Retry,
    settings::Settings,
    sharing::Sharing,
    stop::Stop,
    view::View,
    watch::Watched,
};

/// One process. Everything in it belongs to its one control thread.
pub(crate) struct Node {
    pub settings: Settings,
    pub store: Rc<dyn Store>,
    pub ingress: Rc<dyn Ingress>,
    pub engine: Rc<dyn Engine>,
    pub view: View,
    pub sharing: Rc<Sharing>,
    pub feed: Feed,
    pub retry: Rc<Retry>,
    pub quarantine: Quarantine,
    pub clock: Rc<Clock>,
    pub batch: Batch,
    pub stop: Stop,
    draws: Cell<u64>,
    /// What was learned of routes, by their names.
    learned: RefCell<HashMap<String, Learned>>,
}

/// What was learned of a route.
#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    /// How long callers wait.
    caller_timeout: CallerTimeout,
    first_event: SmoothedDuration,
    held: SmoothedDuration,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(
        settings: Settings,
        store: Rc<dyn Store>,
        ingress: Rc<dyn Ingress>,
        engine: Rc<dyn Engine>,
        sharing: Rc<Sharing>,
    ) -> Self {
        let retry = Rc::new(Retry::default());
        let clock = Rc::new(Clock::new(ClockReading::read()));
        let watched = Watched::new(store, Rc::clone(&retry), Rc::clone(&clock));
        Self {
            feed: Feed::default(),
            quarantine: Quarantine::default(),
            clock,
            retry,
            store: Rc::new(watched),
            batch: Batch::new(),
            settings,
            ingress,
            engine,
            view: View::default(),
            sharing,
            stop: Stop::default(),
            draws: Cell::new(crate::identity::random_id()),
            learned: RefCell::default(),
        }
    }

    /// Trusts nothing that was known before a pause of the process. It is asked where a call comes in and before anything is
    /// sent, so that nothing happens between the end of a pause and the next tick. How many pauses there were so far.
    pub fn check_for_pause(&self) -> Pauses {
        let now = ClockReading::read();
        let pauses = self.clock.look(now);
        let Some(pause) = self.clock.take_pause() else {
            return pauses;
        };
        log::warn!(pause_ms = pause.as_millis() as u64; "process was paused, reading everything again");
        self.view.invalidate_config();
        self.batch.invalidate_membership();
        self.sharing.reset_after_pause(now.monotonic);
        pauses
    }

    /// Deals out the upstreams of the own failure domain as they are known now.
    pub fn update_allocator(&self) {
        let dealt = self
            .view
            .allocatable(&self.settings.failure_domain, Instant::now());
        self.sharing.set_upstreams(dealt);
    }

    /// The next number of a sequence that draws services by their weights evenly.
    pub fn next_draw(&self) -> u64 {
        let next = self.draws.get().wrapping_add(1);
        self.draws.set(next);
        next
    }

    /// True if a request with so much time left is likely its caller's first try.
    pub fn is_first_try(&self, route: &Route, time_left: Duration) -> bool {
        self.learn(route, |it| {
            it.caller_timeout.is_first_try(time_left, route.timeout)
        })
    }

    /// What is usual on a route.
    pub fn usual(&self, route: &Route) -> RouteTimings {
        self.learn(route, |it| RouteTimings {
            first_event: it.first_event.get(),
            slot_time: it.held.get(),
        })
    }

    /// The first event of an answer came so long after its request was sent.
    pub fn record_first_event(&self, route: &Route, after: Duration) {
        self.learn(route, |it| it.first_event.record(after));
    }

    /// A request that was served has held its slot for so long.
    pub fn record_hold_time(&self, route: &Route, time: Duration) {
        self.learn(route, |it| it.held.record(time));
    }

    fn learn<T>(&self, route: &Route, learn: impl FnOnce(&mut Learned) -> T) -> T {
        let mut learned = self.learned.borrow_mut();
        if let Some(of_route) = learned.get_mut(&route.name) {
            return learn(of_route);
        }
        learn(learned.entry(route.name.clone()).or_default())
    }

    /// True if the process can take requests: it knows the configuration and the upstreams, and the jobs if they are for it
    /// to know. A host that is no delegate passes calls about jobs on.
    pub fn is_ready(&self) -> bool {
        let knows_jobs = self.batch.is_caught_up() || !self.feed.is_delegate();
        self.view.is_known() && knows_jobs && !self.stop.is_stopping()
    }
}
