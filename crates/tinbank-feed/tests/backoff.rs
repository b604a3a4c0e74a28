//! Pauses between retries, and response timeouts.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use tinbank_feed::{Backoff, ResponseTimeout};
use tinbank_test_support::property;

fn rng(seed: u64) -> StdRng {
    StdRng::seed_from_u64(seed)
}

/// Returns the pauses of a call that fails at each retry.
fn pauses(count: usize, seed: u64) -> Vec<Duration> {
    let (mut backoff, mut rng) = (Backoff::default(), rng(seed));
    let mut now = Instant::now();
    let mut pauses = Vec::new();
    for _ in 0..count {
        let until = backoff.failed(now, &mut rng);
        pauses.push(until - now);
        // A retry takes some time to fail.
        now = until + Duration::from_millis(900);
    }
    pauses
}

#[test]
fn hosts_that_fail_together_retry_at_different_times() {
    let tenths: BTreeSet<u128> = (0..100)
        .map(|seed| pauses(4, seed)[3].as_millis() / 100)
        .collect();

    assert!(tenths.len() > 10, "{tenths:?}");
}

#[test]
fn pauses_grow_during_an_outage() {
    let mean = |index: usize| {
        let pauses = (0..200).map(|seed| pauses(8, seed)[index].as_millis());
        pauses.sum::<u128>() / 200
    };

    assert!((80..140).contains(&mean(0)), "{}", mean(0));
    assert!((650..950).contains(&mean(7)), "{}", mean(7));
}

#[test]
fn concurrent_failures_count_as_one() {
    let (mut backoff, mut rng) = (Backoff::default(), rng(1));
    let now = Instant::now();

    let longest = (0..20).map(|_| backoff.failed(now, &mut rng)).max();

    assert!(longest.unwrap() - now <= Duration::from_millis(200));
}

#[test]
fn a_successful_call_resets_the_backoff() {
    let (mut backoff, mut rng) = (Backoff::default(), rng(2));
    let mut now = Instant::now();
    for _ in 0..8 {
        now = backoff.failed(now, &mut rng) + Duration::from_secs(1);
    }

    backoff.succeeded();

    assert!(backoff.failed(now, &mut rng) - now <= Duration::from_millis(200));
}

/// Guards against a fixed timeout, which never receives the response of a slow store.
#[test]
fn the_timeout_grows_until_a_slow_response_arrives_in_time() {
    let mut timeout = ResponseTimeout::new(Duration::from_millis(700));
    let mut tries = 1;
    while timeout.duration() < Duration::from_secs(3) {
        timeout.on_timeout();
        tries += 1;
    }

    assert_eq!(tries, 4);
    for _ in 0..10 {
        timeout.on_timeout();
    }
    assert_eq!(timeout.duration(), Duration::from_millis(5_600));
    timeout.on_response();
    assert_eq!(timeout.duration(), Duration::from_millis(700));
}

proptest! {
    #![proptest_config(property::config(64))]

    #[test]
    fn pauses_stay_within_their_bounds(seed in any::<u64>(), count in 1usize..20) {
        for pause in pauses(count, seed) {
            prop_assert!(pause >= Duration::from_millis(20));
            prop_assert!(pause <= Duration::from_millis(1_600));
        }
    }
}
