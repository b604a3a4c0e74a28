//! Which requests are a caller's first try.

use std::time::Duration;

use tinbank_relay::caller_timeout::CallerTimeout;

const LIMIT: Duration = Duration::from_secs(8);

fn seconds(seconds: f32) -> Duration {
    Duration::from_secs_f32(seconds)
}

/// What is said of some requests in a row.
fn judge(caller_timeout: &mut CallerTimeout, times: &[f32]) -> Vec<bool> {
    let times = times.iter().map(|time| seconds(*time));
    times.map(|time| caller_timeout.is_first_try(time, LIMIT)).collect()
}

#[test]
fn a_request_with_less_than_the_usual_time_came_before() {
    let mut caller_timeout = CallerTimeout::default();
    judge(&mut caller_timeout, &[5.0; 8]);

    let judged = judge(&mut caller_timeout, &[5.0, 4.9, 4.7, 3.5, 5.0]);

    assert_eq!(judged, [true, true, false, false, true]);
}

#[test]
fn callers_that_wait_for_less_than_the_route_allows_are_learned() {
    let mut caller_timeout = CallerTimeout::default();

    let judged = judge(&mut caller_timeout, &[5.0; 10]);

    assert_eq!(judged[..7], [false; 7]);
    assert_eq!(judged[7..], [true; 3]);
}

#[test]
fn those_that_come_again_right_after_a_start_are_told_by_the_limit_of_the_route() {
    let mut caller_timeout = CallerTimeout::default();

    let judged = judge(&mut caller_timeout, &[6.5, 6.4, 8.0, 6.0]);

    assert_eq!(judged, [false, false, true, false]);
}
