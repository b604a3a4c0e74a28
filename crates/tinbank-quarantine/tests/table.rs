//! Quarantine of requests that upstreams crash on.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use proptest::prelude::*;
use smallvec::smallvec;
use tinbank_base::id;
use tinbank_quarantine::{
    CrashReport, Fingerprint, InFlight, Kind, Position, Quarantined, Source, Table,
    table::{CAPACITY, CRASH_THRESHOLD, Change, Interruption, Write},
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
        requests: smallvec![in_flight(request, reached)],
    }
}

fn in_flight(request: Fingerprint, reached: Position) -> InFlight {
    InFlight {
        request,
        source: Source::Caller,
        reached,
        parts: smallvec![],
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

/// Returns an interruption at an upstream that no report of these tests names.
fn interruption(upstream: usize, reached: Position) -> Interruption {
    Interruption {
        upstream: id::Instance::from(format!("probed{upstream}")),
        reached,
    }
}

fn quarantined(ended: u32) -> Quarantined {
    Quarantined {
        subject: REQUEST,
        kind: Kind::Content,
        ended,
        reached: 0,
        failed_trials: 0,
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

/// Known crashes before the first event, and events after which answers broke off at upstreams that are being probed.
#[parameterized(
    first = { 0, &[0], false },
    second = { 0, &[0, 0], true },
    after_a_crash = { 1, &[3], true },
    after_two_crashes = { 2, &[0], true },
    beyond_two_crashes = { 2, &[40], false },
    second_beyond_two_crashes = { 2, &[40, 40], true },
    further_each_time = { 1, &[12, 30, 60, 90], false },
    further_and_then_before = { 0, &[40, 0, 0], false },
)]
fn a_request_waits_for_probes_of_interruptions(
    crashes: usize,
    reached: &[Position],
    expected: bool,
) {
    let table = table_after(crashes, Instant::now());

    let interruptions = reached.iter().enumerate();
    let interruptions = interruptions.map(|(upstream, reached)| interruption(upstream, *reached));
    let waits = table.must_wait_for_probes(REQUEST, interruptions.collect());

    assert_eq!(waits, expected);
}

#[test]
fn a_crash_that_another_host_has_reported_counts_once_while_it_is_probed() {
    let table = table_after(1, Instant::now());

    let probed = Interruption {
        upstream: report(0, REQUEST).upstream,
        reached: 0,
    };

    assert!(!table.must_wait_for_probes(REQUEST, smallvec![probed]));
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
            prop_assert_eq!(table.quarantined(Kind::Content), quarantined.count());
        }
    }

    /// Sends a request whenever it has to wait for no probe. Probes end in any order, at any time.
    #[test]
    fn one_host_lets_a_request_crash_no_more_than_the_threshold(
        events in prop::collection::vec(prop::option::of(0usize..4), 0..60),
        reached in prop::collection::vec(0 as Position..3, 60),
    ) {
        let now = Instant::now();
        let mut table = Table::default();
        let mut probed: Vec<Interruption> = Vec::new();
        let mut crashed = 0;
        for (event, reached) in events.into_iter().zip(reached) {
            match event {
                None if table.quarantined_until(REQUEST, now).is_some() => {}
                None => {
                    let interruptions = probed.iter().cloned().collect();
                    let waits = table.must_wait_for_probes(REQUEST, interruptions);
                    if !waits {
                        probed.push(interruption(crashed, reached));
                        crashed += 1;
                    }
                }
                Some(index) if index < probed.len() => {
                    let Interruption { upstream, reached } = probed.remove(index);
                    let requests = smallvec![in_flight(REQUEST, reached)];
                    table.record_crash(&CrashReport { upstream, requests }, now);
                }
                Some(_) => {}
            }
        }
        prop_assert!(crashed <= CRASH_THRESHOLD as usize);
    }

    /// The wait must not depend on which probe ends first.
    #[test]
    fn a_request_that_any_order_of_probes_quarantines_had_to_wait(
        crashes in 0usize..3,
        reached in prop::collection::vec(0 as Position..24, 0..5),
    ) {
        let now = Instant::now();
        let mut table = table_after(crashes, now);
        let interruptions = reached.iter().enumerate();
        let interruptions = interruptions.map(|(upstream, reached)| interruption(upstream, *reached));

        let waits = table.must_wait_for_probes(REQUEST, interruptions.clone().collect());
        for Interruption { upstream, reached } in interruptions {
            let requests = smallvec![in_flight(REQUEST, reached)];
            table.record_crash(&CrashReport { upstream, requests }, now);
        }

        let may_be_sent = reached.is_empty() || table.crashes(REQUEST) + 1 < CRASH_THRESHOLD;
        prop_assert!(waits || may_be_sent);
    }
}
