//! Estimates of the paces of upstreams from what hosts measure, and the measurement on one request.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    frame::{Queue, SlotRequest},
    lease::{Class, Due},
    pace::{Expected, Meter, Observation, Pace, Sample, Services},
    placement::{Candidate, FirstEvent, LeastLoaded, Placement},
    size::Size,
};
use yare::parameterized;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Upstreams of one service, and what is known of their paces.
struct Fixture {
    services: Services,
    paces: Vec<Pace>,
    now: Instant,
}

impl Fixture {
    /// Creates upstreams at which three hosts measured the usual time between events.
    fn new(upstreams: usize) -> Self {
        let mut fixture = Self {
            services: Services::default(),
            paces: vec![Pace::default(); upstreams],
            now: Instant::now(),
        };
        for round in 0..30 {
            (0..upstreams).for_each(|index| fixture.finish(index, round % 3, 40));
        }
        fixture
    }

    fn record(&mut self, index: usize, by: u8, is_late_event: bool, interval_ms: u32) {
        let observation = Observation {
            service: "notes",
            by: SocketAddr::from(([10, 0, 0, by], 7000)),
            is_batch: false,
            is_late_event,
            load: 1,
            unread: None,
            sample: Sample {
                first_event_ms: 40,
                interval_us: interval_ms * 1_000,
                events: 10,
            },
        };
        self.now += ms(10);
        let pace = &mut self.paces[index];
        self.services.record(pace, observation, self.now);
        let paces = self.paces.iter_mut().map(|it| ("notes", it));
        self.services.refresh(paces.collect(), self.now);
    }

    fn finish(&mut self, index: usize, by: u8, interval_ms: u32) {
        self.record(index, by, false, interval_ms);
    }

    fn is_slow(&self, index: usize) -> bool {
        self.paces[index].is_slow(self.now)
    }

    fn candidate(&self, index: usize, load: usize) -> Candidate<'_> {
        Candidate {
            load,
            slots: 8,
            pace: &self.paces[index],
            kept_tokens: 0,
            memory_in_use: 0,
            memory_tokens: None,
        }
    }

    fn cost(&self, request: &SlotRequest, index: usize, load: usize) -> u64 {
        let candidate = self.candidate(index, load);
        FirstEvent.cost(request, &candidate, self.now).unwrap()
    }

    fn concurrency(&self, index: usize) -> usize {
        FirstEvent.concurrency(&self.candidate(index, 0), self.now)
    }
}

fn request(class: Class, max_gap_ms: Option<u32>) -> SlotRequest {
    SlotRequest {
        lease: 1,
        class,
        service: "notes".to_owned(),
        exclude: Default::default(),
        queue: Queue::No,
        rank: 0,
        meter: None,
        share: None,
        size: Size::default(),
        max_gap_ms,
    }
}

const ITEM: Class = Class::Batch(Due {
    late: false,
    at_ms: 0,
});

#[test]
fn an_upstream_is_slow_once_two_hosts_report_late_events() {
    let mut fixture = Fixture::new(3);

    fixture.record(0, 1, true, 110);
    let after_one = fixture.is_slow(0);
    fixture.record(0, 2, true, 110);

    assert!(!after_one);
    assert!(fixture.is_slow(0));
    assert!(!fixture.is_slow(1));
}

#[test]
fn a_host_with_a_bad_link_makes_no_upstream_slow() {
    let mut fixture = Fixture::new(3);

    for round in 0..60 {
        fixture.finish(round % 3, 9, 400);
        fixture.finish(round % 3, 1, 40);
        fixture.record(round % 3, 9, true, 400);
    }

    assert!((0..3).all(|index| !fixture.is_slow(index)));
}

#[test]
fn two_samples_of_the_only_host_count_if_they_are_far_apart() {
    let mut fixture = Fixture::new(3);
    fixture.now += ms(10_000);

    fixture.finish(0, 1, 200);
    fixture.finish(0, 1, 200);
    let close = fixture.is_slow(0);
    fixture.now += ms(500);
    fixture.finish(0, 1, 200);

    assert!(!close);
    assert!(fixture.is_slow(0));
}

#[test]
fn no_upstream_is_slow_when_all_are() {
    let mut fixture = Fixture::new(4);

    for round in 0..12 {
        (0..4).for_each(|index| fixture.finish(index, round % 3, 200));
    }

    assert!((0..4).all(|index| !fixture.is_slow(index)));
}

#[test]
fn an_upstream_that_recovers_gets_all_its_slots() {
    let mut fixture = Fixture::new(3);
    (0..4).for_each(|by| fixture.finish(0, by % 2, 200));
    let while_slow = fixture.concurrency(0);

    (0..2).for_each(|by| fixture.finish(0, by, 40));

    assert_eq!((while_slow, fixture.concurrency(0)), (1, 8));
}

#[test]
fn samples_are_forgotten_with_time() {
    let mut fixture = Fixture::new(3);
    (0..4).for_each(|by| fixture.finish(0, by % 2, 200));
    let slow_cost = fixture.cost(&request(Class::Online, None), 0, 0);

    fixture.now += ms(4_000);
    let later_cost = fixture.cost(&request(Class::Online, None), 0, 0);
    fixture.now += ms(6_000);

    assert!(later_cost < slow_cost, "{later_cost}, {slow_cost} before");
    assert!(!fixture.is_slow(0));
}

#[parameterized(
    fifth = { 200, 1 },
    slower = { 73, 4 },
    a_little_slower = { 52, 8 },
    faster = { 30, 8 },
)]
fn a_slow_upstream_gets_requests_in_proportion_to_its_speed(interval_ms: u32, expected: usize) {
    let mut fixture = Fixture::new(3);

    (0..40).for_each(|by| fixture.finish(0, by % 3, interval_ms));

    assert_eq!(fixture.concurrency(0), expected);
}

/// Guards against reading a long prompt being taken for slowness of the requests beside it.
#[test]
fn late_events_while_a_prompt_is_read_do_not_make_an_upstream_slow() {
    let mut fixture = Fixture::new(3);

    fixture.paces[0].record_prompt(17_000, fixture.now);
    fixture.now += ms(150);
    (0..3).for_each(|by| fixture.record(0, by, true, 150));

    assert!(!fixture.is_slow(0));
}

#[test]
fn at_equal_paces_the_choice_is_that_of_least_loaded() {
    let mut fixture = Fixture::new(3);
    // Differences within the noise.
    (0..30).for_each(|round| fixture.finish(round % 3, round as u8 % 2, 38 + round as u32 % 3 * 2));
    let request = request(Class::Online, Some(250));

    for (a, b) in (0..8).flat_map(|a| (0..8).map(move |b| (a, b))) {
        let least = |index, load| {
            let candidate = fixture.candidate(index, load);
            LeastLoaded.cost(&request, &candidate, fixture.now).unwrap()
        };
        let by_load = least(0, a).cmp(&least(1, b));
        let by_event = fixture
            .cost(&request, 0, a)
            .cmp(&fixture.cost(&request, 1, b));
        assert_eq!(by_event, by_load, "loads {a} and {b}");
    }
}

#[test]
fn an_upstream_too_slow_for_the_route_is_the_last_choice() {
    let mut fixture = Fixture::new(3);
    (0..8).for_each(|by| fixture.finish(0, by % 2, 200));

    let strict = request(Class::Online, Some(250));
    let other = request(Class::Online, None);

    assert!(fixture.cost(&strict, 0, 0) > fixture.cost(&other, 0, 0) + 1_000_000);
    assert!(fixture.cost(&strict, 1, 7) < fixture.cost(&strict, 0, 0));
}

#[test]
fn items_go_to_slow_upstreams_last() {
    let mut fixture = Fixture::new(3);

    (0..40).for_each(|by| fixture.finish(0, by % 3, 73));

    let item = request(ITEM, None);
    assert!(fixture.cost(&item, 0, 0) > fixture.cost(&item, 1, 7));
}

fn meter(now: Instant) -> Meter {
    let expected = Expected {
        first_event_ms: 50,
        interval_us: 40_000,
    };
    Meter::new(Some(expected), false, now)
}

#[test]
fn a_late_event_is_reported_when_it_is_noticed_and_when_it_arrives() {
    let start = Instant::now();
    let mut meter = meter(start);

    let early = meter.take_late(start + ms(100));
    let noticed = meter.take_late(start + ms(150)).unwrap();
    let again = meter.take_late(start + ms(160));
    let arrived = meter.record_event(start + ms(200)).unwrap();

    assert_eq!((early, again), (None, None));
    assert_eq!((noticed.first_event_ms, arrived.first_event_ms), (150, 200));
}

#[test]
fn the_number_of_reports_is_bounded() {
    let mut now = Instant::now();
    let mut meter = meter(now);

    let mut reports = 0;
    for _ in 0..20 {
        now += ms(300);
        reports += usize::from(meter.take_late(now).is_some());
        reports += usize::from(meter.record_event(now).is_some());
    }

    assert_eq!(reports, 4);
}

#[test]
fn a_sample_is_of_the_latest_events() {
    let mut now = Instant::now();
    let mut meter = meter(now);

    for interval in [40; 20].into_iter().chain([80; 10]) {
        meter.record_wait(now);
        now += ms(interval);
        meter.record_event(now);
    }

    let sample = meter.sample().unwrap();
    assert_eq!((sample.first_event_ms, sample.interval_us), (40, 80_000));
}

/// Guards against a slow caller being taken for a slow upstream.
#[test]
fn time_in_which_the_host_does_not_read_is_not_measured() {
    let start = Instant::now();
    let mut meter = meter(start);
    meter.record_event(start + ms(40));

    meter.record_wait(start + ms(1_000));
    let late = meter.take_late(start + ms(1_050));
    meter.record_event(start + ms(1_060));

    assert_eq!(late, None);
    assert_eq!(meter.sample().unwrap().interval_us, 0);
}
