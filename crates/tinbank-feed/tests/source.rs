//! Selection of the delegate that a host follows.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::StdRng};
use tinbank_feed::{SourceSelector, source::Candidates};

fn candidates(count: u8) -> Candidates {
    let hosts = (1..=count).map(|index| SocketAddr::from(([10, 0, 0, index], 7000)));
    hosts.collect()
}

fn selector(now: Instant, seed: u64) -> SourceSelector {
    SourceSelector::new(59, now, &mut StdRng::seed_from_u64(seed))
}

#[test]
fn a_delegate_with_fresh_updates_is_kept() {
    let mut now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut selector = selector(now, 1);
    let candidates = candidates(4);
    let first = selector.select(&candidates, now);

    for _ in 0..60 {
        now += Duration::from_secs(1);
        selector.on_fresh_update(59, now, &mut rng);
        assert_eq!(selector.select(&candidates, now), first);
        assert!(!selector.must_read_store(now));
    }
}

#[test]
fn delegates_are_tried_in_turn_and_the_first_one_again_after_a_while() {
    let now = Instant::now();
    let mut selector = selector(now, 1);
    let candidates = candidates(3);

    let mut tried = Vec::new();
    for _ in 0..4 {
        tried.extend(selector.select(&candidates, now));
        selector.advance(now);
    }

    assert_eq!(tried[..3], candidates[..]);
    assert_eq!(tried[3], candidates[0]);
    let later = now + Duration::from_secs(10);
    assert_eq!(selector.select(&candidates, later), Some(candidates[0]));
}

#[test]
fn without_candidates_no_delegate_is_selected() {
    let now = Instant::now();

    assert_eq!(selector(now, 1).select(&candidates(0), now), None);
}

#[test]
fn the_rate_of_hosts_that_fall_back_to_the_store_does_not_grow_with_the_fleet() {
    let now = Instant::now();
    let fallen_back = |hosts: usize| {
        let selectors = (0..hosts as u64).map(|seed| {
            let mut rng = StdRng::seed_from_u64(seed);
            SourceSelector::new(hosts, now, &mut rng)
        });
        let at = now + Duration::from_millis(3_500);
        selectors.filter(|it| it.must_read_store(at)).count()
    };

    assert_eq!(fallen_back(59), 59);
    assert!(
        (45..90).contains(&fallen_back(1_000)),
        "{}",
        fallen_back(1_000)
    );
    assert!(
        (45..90).contains(&fallen_back(2_000)),
        "{}",
        fallen_back(2_000)
    );
}

/// Guards against a load spike at the store when hosts lose their delegates together.
#[test]
fn hosts_that_lose_their_delegates_fall_back_to_the_store_at_different_times() {
    let now = Instant::now();
    let fallen_back = |after_ms: u64| {
        let hosts = (0..59).map(|seed| selector(now, seed));
        let at = now + Duration::from_millis(after_ms);
        hosts.filter(|it| it.must_read_store(at)).count()
    };

    assert_eq!(fallen_back(2_100), 0);
    assert!(
        (5..25).contains(&fallen_back(2_500)),
        "{}",
        fallen_back(2_500)
    );
    assert!(
        (20..45).contains(&fallen_back(2_900)),
        "{}",
        fallen_back(2_900)
    );
    assert_eq!(fallen_back(3_500), 59);
}
