//! When calls that failed are made again.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use tinbank_feed::{Backoff, ResponseTimeout};
use tinbank_test_support::property;

fn draw(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

/// Fails again and again, each time when it was said to try again. The pauses.
fn pauses(count: usize, seed: u64) -> Vec<Duration> {
    let (mut backoff, mut draw) = (Backoff::default(), draw(seed));
    let mut now = Instant::now();
    let mut pauses = Vec::new();
    for _ in 0..count {
        let until = backoff.failed(now, &mut draw);
        pauses.push(until - now);
        // Calls end some time after they are made.
        now = until + Duration::from_millis(900);
    }
    pauses
}

#[test]
fn hosts_that_fail_at_once_do_not_come_back_at_once() {
    let tenths: BTreeSet<u128> = (0..100)
        .map(|seed| pauses(4, seed)[3].as_millis() / 100)
        .collect();

    assert!(tenths.len() > 10, "{tenths:?}");
}

#[test]
fn an_outage_is_asked_about_ever_more_rarely() {
    let mean = |index: usize| {
        let pauses = (0..200).map(|seed| pauses(8, seed)[index].as_millis());
        pauses.sum::<u128>() / 200
    };

    assert!((80..140).contains(&mean(0)), "{}", mean(0));
    assert!((650..950).contains(&mean(7)), "{}", mean(7));
}

#[test]
fn calls_that_fail_together_count_as_one_failure() {
    let (mut backoff, mut draw) = (Backoff::default(), draw(1));
    let now = Instant::now();

    let longest = (0..20).map(|_| backoff.failed(now, &mut draw)).max();

    assert!(longest.unwrap() - now <= Duration::from_millis(200));
}

#[test]
fn an_answer_ends_the_series() {
    let (mut backoff, mut draw) = (Backoff::default(), draw(2));
    let mut now = Instant::now();
    for _ in 0..8 {
        now = backoff.failed(now, &mut draw) + Duration::from_secs(1);
    }

    backoff.succeeded();

    assert!(backoff.failed(now, &mut draw) - now <= Duration::from_millis(200));
}

/// A read that needs 3 s was thrown away after 700 ms each time.
#[test]
fn an_answer_that_is_slow_is_waited_for_in_the_end() {
    let mut patience = ResponseTimeout::new(Duration::from_millis(700));
    let mut tries = 1;
    while patience.duration() < Duration::from_secs(3) {
        patience.on_timeout();
        tries += 1;
    }

    assert_eq!(tries, 4);
    for _ in 0..10 {
        patience.on_timeout();
    }
    assert_eq!(patience.duration(), Duration::from_millis(5_600));
    patience.on_response();
    assert_eq!(patience.duration(), Duration::from_millis(700));
}

proptest! {
    #![proptest_config(property::config(64))]

    #[test]
    fn no_pause_is_shorter_or_longer_than_the_bounds(seed in any::<u64>(), count in 1usize..20) {
        for pause in pauses(count, seed) {
            prop_assert!(pause >= Duration::from_millis(20));
            prop_assert!(pause <= Duration::from_millis(1_600));
        }
    }
}
