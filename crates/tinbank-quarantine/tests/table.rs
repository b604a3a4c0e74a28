//! What is believed of requests under which upstreams end.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use proptest::prelude::*;
use smallvec::smallvec;
use tinbank_base::id;
use tinbank_quarantine::{
    InFlight, Fingerprint, Quarantined, Position, Report, Table,
    table::{CAPACITY, Change, PROOF, Write},
};
use tinbank_test_support::property;
use yare::parameterized;

const HOUR: Duration = Duration::from_secs(3_600);
const REQUEST: Fingerprint = 7;

fn report(upstream: usize, request: Fingerprint) -> Report {
    report_at(upstream, request, 0)
}

/// An upstream ended when the answer had got to an event.
fn report_at(upstream: usize, request: Fingerprint, reached: Position) -> Report {
    Report {
        upstream: id::Instance::from(format!("u{upstream}")),
        requests: smallvec![InFlight { request, reached }],
    }
}

/// A table at which so many upstreams have ended under the request.
fn after(ended: usize, now: Instant) -> Table {
    let mut table = Table::default();
    for upstream in 0..ended {
        table.blame(&report(upstream, REQUEST), now);
    }
    table
}

fn held(ended: u32) -> Quarantined {
    Quarantined {
        request: REQUEST,
        ended,
        reached: 0,
    }
}

#[test]
fn a_request_is_held_back_once_enough_upstreams_have_ended_under_it() {
    let now = Instant::now();
    let mut table = after(2, now);

    let before = table.held_until(REQUEST, now);
    let changes = table.blame(&report(2, REQUEST), now);

    assert_eq!(before, None);
    assert_eq!(changes, [Change::HeldBack(held(PROOF))]);
    assert_eq!(table.held_until(REQUEST, now), Some(now + HOUR));
}

#[test]
fn an_upstream_counts_once_whoever_tells_of_its_end() {
    let now = Instant::now();
    let mut table = after(2, now);

    let again = table.blame(&report(1, REQUEST), now);

    assert!(again.is_empty());
    assert_eq!(table.held_until(REQUEST, now), None);
}

#[test]
fn a_whole_answer_clears_a_request() {
    let now = Instant::now();
    let mut table = after(2, now);

    let cleared = table.clear(REQUEST);
    table.blame(&report(2, REQUEST), now);

    assert_eq!(cleared, Some(Change::Cleared(REQUEST)));
    assert_eq!(table.held_until(REQUEST, now), None);
    assert_eq!(table.clear(8), None);
}

/// Positions at which upstreams ended one after the other, and whether that proves anything.
#[parameterized(
    before_the_first_event = { &[0, 0, 0], true },
    at_the_same_event = { &[12, 12, 12], true },
    about_at_the_same_event = { &[12, 10, 13], true },
    ever_further = { &[12, 30, 60, 90], false },
    once_further_than_before = { &[0, 0, 40, 40], false },
    at_random = { &[20, 3, 12, 7, 1], false },
    far_again = { &[0, 0, 40, 40, 40], true },
)]
fn ends_at_one_event_of_the_answer_are_proof(reached: &[Position], expected: bool) {
    let now = Instant::now();
    let mut table = Table::default();

    for (upstream, reached) in reached.iter().enumerate() {
        table.blame(&report_at(upstream, REQUEST, *reached), now);
    }

    assert_eq!(table.held_until(REQUEST, now).is_some(), expected);
}

#[test]
fn a_run_that_gets_further_clears_a_request_that_is_held_back() {
    let now = Instant::now();
    let mut table = after(3, now);

    let at_the_same_event = table.pass(REQUEST, 2);
    let further = table.pass(REQUEST, 9);

    assert_eq!(at_the_same_event, None);
    assert_eq!(further, Some(Change::Cleared(REQUEST)));
    assert_eq!(table.held_until(REQUEST, now), None);
}

#[test]
fn a_request_may_be_tried_after_its_time_and_one_end_more_is_proof_enough() {
    let now = Instant::now();
    let mut table = after(3, now);
    table.written(Write::Hold(held(3)));

    let later = now + HOUR;
    let writes = table.writes(later);
    let is_free = table.held_until(REQUEST, later).is_none();
    table.unlist(REQUEST);
    table.blame(&report(3, REQUEST), later);

    assert_eq!(writes, [Write::Lift(REQUEST)]);
    assert!(is_free);
    assert_eq!(table.held_until(REQUEST, later), Some(later + 2 * HOUR));
}

#[test]
fn what_is_held_back_is_written_until_the_store_has_it() {
    let now = Instant::now();
    let mut table = after(3, now);

    let first = table.writes(now);
    let again = table.writes(now);
    table.written(Write::Hold(held(3)));

    assert_eq!(first, [Write::Hold(held(3))]);
    assert_eq!(again, first);
    assert!(table.writes(now).is_empty());
    assert_eq!(table.listed(), [held(3)]);
}

#[test]
fn a_host_that_starts_holds_back_what_stands_in_the_store() {
    let now = Instant::now();
    let mut table = Table::default();

    table.list_all(&[held(3)], now);

    assert!(table.held_until(REQUEST, now).is_some());
    assert!(table.writes(now).is_empty());
}

#[test]
fn what_was_taken_out_of_the_store_meanwhile_is_released() {
    let now = Instant::now();
    let mut table = after(3, now);
    table.written(Write::Hold(held(3)));

    table.list_all(&[], now);

    assert_eq!(table.held_until(REQUEST, now), None);
    assert!(table.writes(now).is_empty());
}

#[test]
fn what_the_store_has_not_heard_of_yet_stays_held_back() {
    let now = Instant::now();
    let mut table = after(3, now);

    table.list_all(&[], now);

    assert!(table.held_until(REQUEST, now).is_some());
}

#[test]
fn a_request_that_was_cleared_is_taken_out_of_the_store_and_not_read_back_before() {
    let now = Instant::now();
    let mut table = after(3, now);
    table.written(Write::Hold(held(3)));
    table.clear(REQUEST);

    let read = table.list(held(3), now);
    let writes = table.writes(now);
    table.unlist(REQUEST);

    assert_eq!(read, None);
    assert_eq!(writes, [Write::Lift(REQUEST)]);
    assert!(table.writes(now).is_empty());
}

#[test]
fn a_request_that_is_cleared_while_it_is_written_is_taken_out_again() {
    let now = Instant::now();
    let mut table = after(3, now);
    table.clear(REQUEST);

    table.written(Write::Hold(held(3)));

    assert_eq!(table.writes(now), [Write::Lift(REQUEST)]);
}

#[test]
fn a_million_bystanders_push_out_no_request_that_is_held_back() {
    let now = Instant::now();
    let mut table = after(3, now);

    for bystander in 0..1_000_000 {
        let at = now + Duration::from_millis(bystander as u64);
        table.blame(&report(bystander as usize, 1_000 + bystander), at);
    }

    let later = now + Duration::from_secs(1_000);
    assert!(table.held_until(REQUEST, later).is_some());
    assert!(table.len() <= CAPACITY);
}

#[test]
fn a_bystander_is_forgotten_after_a_day() {
    let now = Instant::now();
    let mut table = after(2, now);

    table.writes(now + 24 * HOUR);

    assert!(table.is_empty());
}

/// Every upstream that ended under each request, and nothing else.
#[derive(Default)]
struct Naive {
    ended: HashMap<Fingerprint, HashSet<usize>>,
}

#[derive(Clone, Debug)]
enum Event {
    Ended {
        upstream: usize,
        request: Fingerprint,
    },
    Whole {
        request: Fingerprint,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let ended =
        (0usize..8, 0u128..4).prop_map(|(upstream, request)| Event::Ended { upstream, request });
    let whole = (0u128..4).prop_map(|request| Event::Whole { request });
    prop_oneof![4 => ended, 1 => whole]
}

proptest! {
    #![proptest_config(property::config(400))]

    #[test]
    fn it_agrees_with_a_naive_count(events in prop::collection::vec(event(), 0..60)) {
        let now = Instant::now();
        let mut table = Table::default();
        let mut naive = Naive::default();
        for event in events {
            match event {
                Event::Ended { upstream, request } => {
                    table.blame(&report(upstream, request), now);
                    naive.ended.entry(request).or_default().insert(upstream);
                }
                Event::Whole { request } => {
                    table.clear(request);
                    naive.ended.remove(&request);
                }
            }
            for request in 0..4 {
                let ended = naive.ended.get(&request).map_or(0, HashSet::len);
                let is_held = table.held_until(request, now).is_some();
                prop_assert_eq!(is_held, ended >= PROOF as usize);
            }
            let held = naive.ended.values().filter(|it| it.len() >= PROOF as usize);
            prop_assert_eq!(table.held(), held.count());
        }
    }
}
