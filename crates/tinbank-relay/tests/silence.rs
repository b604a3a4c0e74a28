//! When an upstream that sends nothing is left.

use std::time::{Duration, Instant};

use tinbank_relay::silence::{Gap, Unanswered};
use yare::parameterized;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// When a stream counts as silent after events with some gaps, in milliseconds after the last.
fn silent_after(longest_pause_ms: Option<u64>, gap_ms: u64, events: u64) -> u128 {
    let start = Instant::now();
    let mut gap = Gap::new(longest_pause_ms.map(ms), start);
    let heard = (1..=events).map(|event| start + ms(event * gap_ms));
    heard.for_each(|at| gap.heard(at));
    let last = start + ms(events * gap_ms);
    gap.silent_at().duration_since(last).as_millis()
}

#[parameterized(
    before_the_first_event = { Some(200), 25, 0, 110 },
    steady_events = { Some(200), 15, 40, 110 },
    no_longest_pause = { None, 10, 40, 110 },
    long_pauses_allowed = { Some(1_000), 20, 40, 550 },
)]
fn a_stream_is_left_no_sooner_than_its_route_allows(
    longest_pause_ms: Option<u64>,
    gap_ms: u64,
    events: u64,
    expected_ms: u128,
) {
    let silent_ms = silent_after(longest_pause_ms, gap_ms, events);

    assert_eq!(silent_ms, expected_ms);
}

#[test]
fn a_stream_with_rare_events_is_left_after_six_of_them_are_missing() {
    let silent_ms = silent_after(Some(200), 60, 80);

    assert!((355..=360).contains(&silent_ms), "{silent_ms}");
}

#[test]
fn a_stream_that_goes_on_elsewhere_has_its_time_anew() {
    let start = Instant::now();
    let mut gap = Gap::new(Some(ms(200)), start);

    gap.resumed(start + ms(500));

    assert_eq!(gap.silent_at(), start + ms(610));
}

#[parameterized(
    it_has_a_slot = { false, false, None, 300, 150 },
    it_has_a_slot_and_is_late = { false, true, Some(700), 300, 150 },
    it_waits_for_a_slot = { true, false, Some(700), 300, 300 },
    it_waits_and_is_late = { true, true, Some(700), 300, 700 },
    it_waits_and_is_late_where_nothing_was_measured = { true, true, None, 300, 300 },
    no_target = { false, false, None, 0, 150 },
)]
fn an_answer_may_take_as_long_as_the_request_has_to_wait(
    is_queued: bool,
    is_late: bool,
    held_ms: Option<u64>,
    target_ms: u64,
    expected_ms: u64,
) {
    let now = Instant::now();
    let unanswered = Unanswered {
        target: ms(target_ms),
        is_queued,
        is_late,
        usually_held: held_ms.map(ms),
    };

    assert_eq!(unanswered.silent_at(now), now + ms(expected_ms));
}
