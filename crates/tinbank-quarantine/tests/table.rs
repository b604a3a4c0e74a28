//! Quarantine of requests that upstreams crash on.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use proptest::prelude::*;
use smallvec::smallvec;
use tinbank_base::id;
use tinbank_quarantine::{
    CrashReport, Fingerprint, InFlight, Position, Quarantined, Table,
    table::{CAPACITY, CRASH_THRESHOLD, Change, Write},
};
use tinbank_test_support::property;
use yare::parameterized;

const HOUR: Duration = Duration::from_secs(3_600);
const REQUEST: Fingerprint = 7;

fn report(upstream: usize, request: Fingerprint) -> CrashReport {
    report_at(upstream, request, 0)
}

/// Returns the report of a crash after an event of the answer.
fn report_at(upstream: usize, request: Fingerprint, reached: Position) -> CrashReport {
    CrashReport {
        upstream: id::Instance::from(format!("u{upstream}")),
        requests: smallvec![InFlight { request, reached }],
    }
}

/// Returns a table after crashes of a number of upstreams that ran the request.
fn table_after(crashes: usize, now: Instant) -> Table {
    let mut table = Table::default();
    for upstream in 0..crashes {
        table.record_crash(&report(upstream, REQUEST), now);
    }
    table
}

fn quarantined(ended: u32) -> Quarantined {
    Quarantined {
        request: REQUEST,
        ended,
        reached: 0,
    }
}

#[test]
fn a_request_is_quarantined_once_enough_upstreams_crashed() {
    let now = Instant::now();
    let mut table = table_after(2, now);

    let before = table.quarantined_until(REQUEST, now);
    let changes = table.record_crash(&report(2, REQUEST), now);

    assert_eq!(before, None);
    assert_eq!(changes, [Change::Quarantined(quarantined(CRASH_THRESHOLD))]);
    assert_eq!(table.quarantined_until(REQUEST, now), Some(now + HOUR));
}

#[test]
fn several_reports_of_one_crash_count_once() {
    let now = Instant::now();
    let mut table = table_after(2, now);

    let again = table.record_crash(&report(1, REQUEST), now);

    assert!(again.is_empty());
    assert_eq!(table.quarantined_until(REQUEST, now), None);
}

#[test]
fn a_complete_answer_clears_a_request() {
    let now = Instant::now();
    let mut table = table_after(2, now);

    let cleared = table.clear(REQUEST);
    table.record_crash(&report(2, REQUEST), now);

    assert_eq!(cleared, Some(Change::Cleared(REQUEST)));
    assert_eq!(table.quarantined_until(REQUEST, now), None);
    assert_eq!(table.clear(8), None);
}

/// Positions of successive crashes, and whether the request is quarantined.
#[parameterized(
    before_the_first_event = { &[0, 0, 0], true },
    at_the_same_event = { &[12, 12, 12], true },
    about_at_the_same_event = { &[12, 10, 13], true },
    further_each_time = { &[12, 30, 60, 90], false },
    once_further_than_before = { &[0, 0, 40, 40], false },
    at_random_events = { &[20, 3, 12, 7, 1], false },
    repeatedly_at_a_later_event = { &[0, 0, 40, 40, 40], true },
)]
fn ends_at_one_event_of_the_answer_are_proof(reached: &[Position], expected: bool) {
    let now = Instant::now();
    let mut table = Table::default();

    for (upstream, reached) in reached.iter().enumerate() {
        table.record_crash(&report_at(upstream, REQUEST, *reached), now);
    }

    assert_eq!(table.quarantined_until(REQUEST, now).is_some(), expected);
}

#[test]
fn progress_beyond_the_crashes_clears_a_quarantined_request() {
    let now = Instant::now();
    let mut table = table_after(3, now);

    let at_the_same_event = table.record_progress(REQUEST, 2);
    let further = table.record_progress(REQUEST, 9);

    assert_eq!(at_the_same_event, None);
    assert_eq!(further, Some(Change::Cleared(REQUEST)));
    assert_eq!(table.quarantined_until(REQUEST, now), None);
}

#[test]
fn an_expired_quarantine_is_lifted_and_renewed_by_one_more_crash() {
    let now = Instant::now();
    let mut table = table_after(3, now);
    table.confirm_write(Write::Quarantine(quarantined(3)));

    let later = now + HOUR;
    let writes = table.pending_writes(later);
    let is_released = table.quarantined_until(REQUEST, later).is_none();
    table.apply_removal(REQUEST);
    table.record_crash(&report(3, REQUEST), later);

    assert_eq!(writes, [Write::Release(REQUEST)]);
    assert!(is_released);
    assert_eq!(
        table.quarantined_until(REQUEST, later),
        Some(later + 2 * HOUR)
    );
}

#[test]
fn a_quarantined_request_is_written_until_the_store_acknowledges_it() {
    let now = Instant::now();
    let mut table = table_after(3, now);

    let first = table.pending_writes(now);
    let again = table.pending_writes(now);
    table.confirm_write(Write::Quarantine(quarantined(3)));

    assert_eq!(first, [Write::Quarantine(quarantined(3))]);
    assert_eq!(again, first);
    assert!(table.pending_writes(now).is_empty());
    assert_eq!(table.stored(), [quarantined(3)]);
}

#[test]
fn a_starting_host_quarantines_the_requests_in_the_store() {
    let now = Instant::now();
    let mut table = Table::default();

    table.replace_stored(&[quarantined(3)], now);

    assert!(table.quarantined_until(REQUEST, now).is_some());
    assert!(table.pending_writes(now).is_empty());
}

#[test]
fn a_request_that_was_removed_from_the_store_is_released() {
    let now = Instant::now();
    let mut table = table_after(3, now);
    table.confirm_write(Write::Quarantine(quarantined(3)));

    table.replace_stored(&[], now);

    assert_eq!(table.quarantined_until(REQUEST, now), None);
    assert!(table.pending_writes(now).is_empty());
}

#[test]
fn a_request_that_is_not_stored_yet_stays_quarantined() {
    let now = Instant::now();
    let mut table = table_after(3, now);

    table.replace_stored(&[], now);

    assert!(table.quarantined_until(REQUEST, now).is_some());
}

#[test]
fn a_cleared_request_is_removed_from_the_store_and_not_quarantined_by_a_stale_read() {
    let now = Instant::now();
    let mut table = table_after(3, now);
    table.confirm_write(Write::Quarantine(quarantined(3)));
    table.clear(REQUEST);

    let read = table.apply_stored(quarantined(3), now);
    let writes = table.pending_writes(now);
    table.apply_removal(REQUEST);

    assert_eq!(read, None);
    assert_eq!(writes, [Write::Release(REQUEST)]);
    assert!(table.pending_writes(now).is_empty());
}

#[test]
fn a_request_that_is_cleared_during_its_write_is_removed_again() {
    let now = Instant::now();
    let mut table = table_after(3, now);
    table.clear(REQUEST);

    table.confirm_write(Write::Quarantine(quarantined(3)));

    assert_eq!(table.pending_writes(now), [Write::Release(REQUEST)]);
}

#[test]
fn a_quarantined_request_is_not_evicted_by_a_million_suspects() {
    let now = Instant::now();
    let mut table = table_after(3, now);

    for suspect in 0..1_000_000 {
        let at = now + Duration::from_millis(suspect as u64);
        table.record_crash(&report(suspect as usize, 1_000 + suspect), at);
    }

    let later = now + Duration::from_secs(1_000);
    assert!(table.quarantined_until(REQUEST, later).is_some());
    assert!(table.len() <= CAPACITY);
}

#[test]
fn a_suspect_is_dropped_after_a_day() {
    let now = Instant::now();
    let mut table = table_after(2, now);

    table.pending_writes(now + 24 * HOUR);

    assert!(table.is_empty());
}

/// Reference model: the set of upstreams that crashed on each request.
#[derive(Default)]
struct Naive {
    crashed: HashMap<Fingerprint, HashSet<usize>>,
}

#[derive(Clone, Debug)]
enum Event {
    Crashed {
        upstream: usize,
        request: Fingerprint,
    },
    Completed {
        request: Fingerprint,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let crashed =
        (0usize..8, 0u128..4).prop_map(|(upstream, request)| Event::Crashed { upstream, request });
    let completed = (0u128..4).prop_map(|request| Event::Completed { request });
    prop_oneof![4 => crashed, 1 => completed]
}

proptest! {
    #![proptest_config(property::config(400))]

    #[test]
    fn the_table_agrees_with_a_naive_count(events in prop::collection::vec(event(), 0..60)) {
        let now = Instant::now();
        let mut table = Table::default();
        let mut naive = Naive::default();
        for event in events {
            match event {
                Event::Crashed { upstream, request } => {
                    table.record_crash(&report(upstream, request), now);
                    naive.crashed.entry(request).or_default().insert(upstream);
                }
                Event::Completed { request } => {
                    table.clear(request);
                    naive.crashed.remove(&request);
                }
            }
            for request in 0..4 {
                let crashes = naive.crashed.get(&request).map_or(0, HashSet::len);
                let is_quarantined = table.quarantined_until(request, now).is_some();
                prop_assert_eq!(is_quarantined, crashes >= CRASH_THRESHOLD as usize);
            }
            let quarantined = naive.crashed.values().filter(|it| it.len() >= CRASH_THRESHOLD as usize);
            prop_assert_eq!(table.quarantined(), quarantined.count());
        }
    }
}
