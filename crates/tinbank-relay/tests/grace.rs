//! Tests which requests a host that stops still begins.

use std::time::{Duration, Instant};

use tinbank_relay::{
    grace::{Grace, LongestTime},
    route::Kind,
};
use yare::parameterized;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn longest_ms(times_ms: impl IntoIterator<Item = u64>) -> Option<u128> {
    let mut longest = LongestTime::default();
    times_ms.into_iter().for_each(|it| longest.record(ms(it)));
    longest.get().map(|it| it.as_millis())
}

/// Guards against requests that are taken and cut, and against those that are rejected although they end in time.
#[parameterized(
    limit_in_time = { Kind::Once, 8_000, None, Some(8_000) },
    limit_too_late_and_nothing_known = { Kind::Idempotent, 8_001, None, None },
    repeatable = { Kind::Idempotent, 12_000, Some(2_000), Some(5_000) },
    resumable = { Kind::Stream { resumable: true }, 12_000, Some(2_000), Some(5_000) },
    not_repeatable = { Kind::Once, 12_000, Some(2_000), Some(4_000) },
    not_resumable = { Kind::Stream { resumable: false }, 12_000, Some(2_000), Some(4_000) },
    long_ones_begin_before_the_stop_only = { Kind::Once, 12_000, Some(4_500), Some(-1_000) },
)]
fn a_request_begins_only_if_it_ends_in_the_grace_period(
    kind: Kind,
    deadline_ms: u64,
    longest_ms: Option<u64>,
    expected_ms: Option<i64>,
) {
    // An instant that others can precede.
    let stopped_at = Instant::now() + ms(60_000);
    let grace = Grace {
        ends_at: stopped_at + ms(8_000),
    };

    let latest = grace.latest_start(kind, stopped_at + ms(deadline_ms), longest_ms.map(ms));

    let expected = expected_ms.map(|it| match it < 0 {
        true => stopped_at - ms(it.unsigned_abs()),
        false => stopped_at + ms(it.unsigned_abs()),
    });
    assert_eq!(latest, expected);
}

/// Guards against estimates from too few requests, by an average, or by what is long past.
#[parameterized(
    too_few = { vec![100; 7], None },
    enough = { vec![100; 8], Some(100) },
    not_an_average = { [vec![900], vec![100; 20]].concat(), Some(900) },
    kept_for_a_window = { [vec![900], vec![100; 63]].concat(), Some(900) },
    forgotten_after_two = { [vec![900], vec![100; 64]].concat(), Some(100) },
)]
fn the_longest_time_is_that_of_recent_requests(times_ms: Vec<u64>, expected_ms: Option<u128>) {
    assert_eq!(longest_ms(times_ms), expected_ms);
}
