//! State shared by all tasks of the process.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    admission::RouteTimings, allocator::Upstream, smoothed_duration::SmoothedDuration,
};
use tinbank_origin::Origin;
use tinbank_relay::{caller_timeout::CallerTimeout, grace::LongestTime, route::Route};

use crate::{
    batch::Batch,
    border::{engine::Engine, ingress::Ingress, store::Store},
    clock::{ClockReading, PauseCount, PauseDetector},
    feed::Feed,
    origin::{self, Origins},
    overload::Overload,
    quarantine::Quarantine,
    readiness::Readiness,
    relay::read_ahead::ReadAhead,
    retry::Retry,
    settings::Settings,
    sharing::Sharing,
    stop::Stop,
    view::View,
    watch::WatchedStore,
};

/// State of one process, owned by its control thread.
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
    pub origins: Origins,
    pub clock: Rc<PauseDetector>,
    pub batch: Batch,
    pub stop: Stop,
    /// Reads ahead for slow callers, if the settings bound what is kept for them.
    pub read_ahead: Option<Rc<ReadAhead>>,
    pub overload: Overload,
    pub readiness: Readiness,
    draws: Cell<u64>,
    /// Statistics of routes, by route name.
    route_stats: RefCell<HashMap<String, RouteStats>>,
}

/// Statistics measured on a route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteStats {
    /// How long callers wait for a response.
    caller_timeout: CallerTimeout,
    first_event: SmoothedDuration,
    slot_time: SmoothedDuration,
    longest_response: LongestTime,
}

impl Node {
    /// Creates a node that has read nothing from the store yet.
    pub fn new(
        settings: Settings,
        store: Rc<dyn Store>,
        ingress: Rc<dyn Ingress>,
        engine: Rc<dyn Engine>,
        sharing: Rc<Sharing>,
    ) -> Self {
        let retry = Rc::new(Retry::default());
        let clock = Rc::new(PauseDetector::new(ClockReading::read()));
        let watched = WatchedStore::new(store, Rc::clone(&retry), Rc::clone(&clock));
        let buffer = settings.scheduling.buffer_kb;
        let read_ahead = buffer.map(|it| Rc::new(ReadAhead::new((it.get() as usize) << 10)));
        Self {
            read_ahead,
            feed: Feed::default(),
            quarantine: Quarantine::new(crate::identity::random_id()),
            origins: Origins::default(),
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
            overload: Overload::default(),
            readiness: Readiness::default(),
            draws: Cell::new(crate::identity::random_id()),
            route_stats: RefCell::default(),
        }
    }

    /// Invalidates state that may be outdated if the process was paused, and returns the number of pauses so far. It is called
    /// for each incoming call and before each send, because the periodic check may come too late.
    pub fn check_for_pause(&self) -> PauseCount {
        let now = ClockReading::read();
        let pauses = self.clock.check(now);
        let Some(pause) = self.clock.take_pause() else {
            return pauses;
        };
        log::warn!(pause_ms = pause.as_millis() as u64; "process was paused, reading everything again");
        self.view.invalidate_config();
        self.view.record_pause();
        self.batch.invalidate_membership();
        self.sharing.reset_after_pause(now.monotonic);
        pauses
    }

    /// Passes the current upstreams of the own failure domain to the allocator of this host, and those of the failure domains that
    /// it acts for.
    pub fn update_allocator(&self) {
        let now = Instant::now();
        let upstreams = self.allocatable(&self.settings.failure_domain, now);
        self.sharing.set_upstreams(upstreams);
        for domain in self.sharing.acting_for() {
            let upstreams = self.allocatable(&domain, now);
            self.sharing.set_substitute_upstreams(&domain, upstreams);
        }
    }

    /// Returns the upstreams whose slots the allocator of a failure domain grants.
    pub fn allocatable(&self, failure_domain: &str, now: Instant) -> Vec<Upstream> {
        let mut upstreams = self.view.allocatable(failure_domain, now);
        // Thousands of upstreams have few builds.
        let mut withheld = self.view.builds_in(failure_domain);
        withheld.retain(|it| !origin::may_begin(self, it));
        let is_withheld = |it: &Origin, upstream: &Upstream| {
            it.service == upstream.service && it.build == upstream.build
        };
        upstreams.retain(|upstream| !withheld.iter().any(|it| is_withheld(it, upstream)));
        self.origins.builds.set_withheld(failure_domain, withheld);
        upstreams
    }

    /// Returns the next number of the sequence by which services are selected in proportion to their weights.
    pub fn next_draw(&self) -> u64 {
        let next = self.draws.get().wrapping_add(1);
        self.draws.set(next);
        next
    }

    /// Returns whether a request with this time left is likely its caller's first attempt.
    pub fn is_first_try(&self, route: &Route, time_left: Duration) -> bool {
        self.with_stats(route, |it| {
            it.caller_timeout.is_first_try(time_left, route.timeout)
        })
    }

    /// Returns the usual durations on a route.
    pub fn usual(&self, route: &Route) -> RouteTimings {
        self.with_stats(route, |it| RouteTimings {
            first_event: it.first_event.get(),
            slot_time: it.slot_time.get(),
        })
    }

    /// Records the time from sending a request to the first event of its response.
    pub fn record_first_event(&self, route: &Route, after: Duration) {
        self.with_stats(route, |it| it.first_event.record(after));
    }

    /// Records how long a completed request held its slot.
    pub fn record_slot_time(&self, route: &Route, time: Duration) {
        self.with_stats(route, |it| it.slot_time.record(time));
    }

    /// Returns the longest time that a recent response on a route took, from sending the request to its end.
    pub fn longest_response(&self, route: &Route) -> Option<Duration> {
        self.with_stats(route, |it| it.longest_response.get())
    }

    /// Records how long a response took, from sending the request to its end.
    pub fn record_response_time(&self, route: &Route, time: Duration) {
        self.with_stats(route, |it| it.longest_response.record(time));
    }

    fn with_stats<T>(&self, route: &Route, apply: impl FnOnce(&mut RouteStats) -> T) -> T {
        let mut route_stats = self.route_stats.borrow_mut();
        if let Some(stats) = route_stats.get_mut(&route.name) {
            return apply(stats);
        }
        apply(route_stats.entry(route.name.clone()).or_default())
    }
}
