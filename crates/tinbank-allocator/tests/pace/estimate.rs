//! Estimates of the paces of upstreams from what hosts measure, and the costs by them.

use std::time::Instant;

use tinbank_allocator::{
    frame::SlotRequest,
    lease::{Class, Due},
    pace::{Observation, Pace, Sample, Services},
    placement::{Candidate, FirstEvent, LeastLoaded, Placement},
};
use yare::parameterized;

use crate::{host, ms, request};

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

    fn record(&mut self, index: usize, by: u64, is_late_event: bool, interval_ms: u32) {
        let observation = Observation {
            service: "notes",
            by: host(by),
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

    fn finish(&mut self, index: usize, by: u64, interval_ms: u32) {
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
        FirstEvent.concurrency(Some(250), &self.candidate(index, 0), self.now)
    }
}

fn online(max_gap_ms: Option<u32>) -> SlotRequest {
    request(1, Class::Online, 0, max_gap_ms)
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

    for _ in 0..20 {
        fixture.finish(0, 9, 400);
        (0..3).for_each(|index| fixture.finish(index, 1, 40));
        fixture.record(0, 9, true, 400);
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
    (0..4).for_each(|by| fixture.finish(0, by % 2, 280));
    let while_slow = fixture.concurrency(0);

    // Samples of requests that mostly ran before it became slow.
    (0..2).for_each(|by| fixture.finish(0, by, 40));
    assert!(fixture.is_slow(0));
    fixture.now += ms(400);
    (0..2).for_each(|by| fixture.finish(0, by, 40));

    assert_eq!((while_slow, fixture.concurrency(0)), (1, 8));
}

#[test]
fn samples_are_forgotten_with_time() {
    let mut fixture = Fixture::new(3);
    (0..4).for_each(|by| fixture.finish(0, by % 2, 200));
    let slow_cost = fixture.cost(&online(None), 0, 0);

    fixture.now += ms(4_000);
    let later_cost = fixture.cost(&online(None), 0, 0);
    fixture.now += ms(6_000);

    assert!(later_cost < slow_cost, "{later_cost}, {slow_cost} before");
    assert!(!fixture.is_slow(0));
}

/// Guards against a long wait for the second of the two requests that find out that an upstream has recovered.
#[test]
fn a_slow_upstream_that_one_host_finds_fast_is_tried_again_soon() {
    let mut fixture = Fixture::new(3);
    (0..4).for_each(|by| fixture.finish(0, by % 2, 200));
    fixture.now += ms(3_000);
    let before = fixture.cost(&online(None), 0, 0);

    fixture.finish(0, 1, 40);

    assert!(fixture.is_slow(0));
    assert!(fixture.cost(&online(None), 0, 0) <= before);
}

#[parameterized(
    a_sixth_of_the_speed = { 240, 1 },
    a_fifth_of_the_speed = { 180, 2 },
    slower_but_not_slow = { 73, 8 },
    faster = { 30, 8 },
)]
fn a_slow_upstream_gets_as_many_requests_as_keep_within_the_longest_pause(
    interval_ms: u32,
    expected: usize,
) {
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

/// Guards against an upstream that hangs being excused for the prompts that it was sent.
#[test]
fn long_prompts_excuse_late_events_for_a_second_at_most() {
    let mut fixture = Fixture::new(3);

    (0..60).for_each(|_| fixture.paces[0].record_prompt(17_000, fixture.now));
    fixture.now += ms(2_000);
    (0..3).for_each(|by| fixture.record(0, by, true, 2_000));

    assert!(fixture.is_slow(0));
}

#[test]
fn at_equal_paces_the_choice_is_that_of_least_loaded() {
    let mut fixture = Fixture::new(3);
    // Differences within the noise.
    (0..30)
        .for_each(|round| fixture.finish(round % 3, round as u64 % 2, 38 + round as u32 % 3 * 2));
    let request = online(Some(250));

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
    (0..8).for_each(|by| fixture.finish(0, by % 2, 240));

    let strict = online(Some(250));
    let other = online(None);

    assert!(fixture.cost(&strict, 0, 0) > fixture.cost(&other, 0, 0) + 1_000_000);
    assert!(fixture.cost(&strict, 1, 7) < fixture.cost(&strict, 0, 0));
}

#[test]
fn items_go_to_slow_upstreams_last() {
    let mut fixture = Fixture::new(3);

    (0..40).for_each(|by| fixture.finish(0, by % 3, 110));

    let item = request(1, ITEM, 0, None);
    assert!(fixture.cost(&item, 0, 0) > fixture.cost(&item, 1, 7));
}
