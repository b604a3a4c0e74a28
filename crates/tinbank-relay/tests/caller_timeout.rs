//! Tests the distinction of first tries from retries.

use std::time::Duration;

use tinbank_relay::caller_timeout::CallerTimeout;

const LIMIT: Duration = Duration::from_secs(8);

fn seconds(seconds: f32) -> Duration {
    Duration::from_secs_f32(seconds)
}

/// Returns the results for a sequence of requests with these times left.
fn are_first_tries(caller_timeout: &mut CallerTimeout, times: &[f32]) -> Vec<bool> {
    let times = times.iter().map(|time| seconds(*time));
    times
        .map(|time| caller_timeout.is_first_try(time, LIMIT))
        .collect()
}

#[test]
fn a_request_with_less_than_the_usual_time_is_a_retry() {
    let mut caller_timeout = CallerTimeout::default();
    are_first_tries(&mut caller_timeout, &[5.0; 8]);

    let first_tries = are_first_tries(&mut caller_timeout, &[5.0, 4.9, 4.7, 3.5, 5.0]);

    assert_eq!(first_tries, [true, true, false, false, true]);
}

#[test]
fn a_caller_timeout_below_the_route_limit_is_learned() {
    let mut caller_timeout = CallerTimeout::default();

    let first_tries = are_first_tries(&mut caller_timeout, &[5.0; 10]);

    assert_eq!(first_tries[..7], [false; 7]);
    assert_eq!(first_tries[7..], [true; 3]);
}

#[test]
fn retries_right_after_a_restart_are_detected_by_the_route_limit() {
    let mut caller_timeout = CallerTimeout::default();

    let first_tries = are_first_tries(&mut caller_timeout, &[6.5, 6.4, 8.0, 6.0]);

    assert_eq!(first_tries, [false, false, true, false]);
}
