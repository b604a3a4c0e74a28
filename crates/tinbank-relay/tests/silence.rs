//! Tests when an unresponsive upstream is abandoned.

use std::time::{Duration, Instant};

use tinbank_relay::silence::{AttemptTimeout, IdleTimeout};
use yare::parameterized;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the idle timeout in milliseconds after `events` events that are `gap_ms` apart.
fn idle_timeout_ms(max_gap_ms: Option<u64>, gap_ms: u64, events: u64) -> u128 {
    let start = Instant::now();
    let mut timeout = IdleTimeout::new(max_gap_ms.map(ms), start);
    let received = (1..=events).map(|event| start + ms(event * gap_ms));
    received.for_each(|at| timeout.record_event(at));
    let last = start + ms(events * gap_ms);
    timeout.deadline().duration_since(last).as_millis()
}

#[parameterized(
    before_the_first_event = { Some(200), 25, 0, 110 },
    steady_events = { Some(200), 15, 40, 110 },
    no_max_gap = { None, 10, 40, 110 },
    long_max_gap = { Some(1_000), 20, 40, 550 },
)]
fn the_idle_timeout_has_a_minimum_set_by_the_route(
    max_gap_ms: Option<u64>,
    gap_ms: u64,
    events: u64,
    expected_ms: u128,
) {
    let timeout_ms = idle_timeout_ms(max_gap_ms, gap_ms, events);

    assert_eq!(timeout_ms, expected_ms);
}

#[test]
fn the_idle_timeout_of_a_slow_stream_is_six_average_gaps() {
    let timeout_ms = idle_timeout_ms(Some(200), 60, 80);

    assert!((355..=360).contains(&timeout_ms), "{timeout_ms}");
}

#[test]
fn a_resumed_stream_restarts_its_idle_timeout() {
    let start = Instant::now();
    let mut timeout = IdleTimeout::new(Some(ms(200)), start);

    timeout.restart(start + ms(500));

    assert_eq!(timeout.deadline(), start + ms(610));
}

#[parameterized(
    running = { false, false, None, 300, 150 },
    running_and_late = { false, true, Some(700), 300, 150 },
    queued = { true, false, Some(700), 300, 300 },
    queued_and_late = { true, true, Some(700), 300, 700 },
    queued_and_late_without_measured_hold = { true, true, None, 300, 300 },
    no_target = { false, false, None, 0, 150 },
)]
fn the_response_timeout_covers_the_expected_wait(
    is_queued: bool,
    is_late: bool,
    held_ms: Option<u64>,
    target_ms: u64,
    expected_ms: u64,
) {
    let now = Instant::now();
    let timeout = AttemptTimeout {
        target: ms(target_ms),
        is_queued,
        is_late,
        typical_hold: held_ms.map(ms),
    };

    assert_eq!(timeout.deadline(now), now + ms(expected_ms));
}
