//! Partitions that move between processes.

use std::time::{Duration, Instant};

use tinbank_jobs::holdings::{HANDOVER, Holdings};

#[test]
fn a_new_partition_is_held_at_once_and_its_items_start_when_the_holder_before_has_stopped() {
    let now = Instant::now();
    let mut holdings = Holdings::default();

    let lost = holdings.assign(&[3, 7], now);

    assert!(lost.is_empty());
    assert!(holdings.has(3));
    assert!(!holdings.may_start(3, now + HANDOVER - Duration::from_millis(1)));
    assert!(holdings.may_start(3, now + HANDOVER));
}

#[test]
fn a_partition_that_stays_goes_on_without_a_pause() {
    let now = Instant::now();
    let mut holdings = Holdings::default();
    holdings.assign(&[3, 7], now);
    let later = now + HANDOVER;

    let lost = holdings.assign(&[7, 9], later);

    assert_eq!(lost.as_slice(), [3]);
    assert!(!holdings.has(3));
    assert!(holdings.may_start(7, later));
    assert!(!holdings.may_start(9, later));
}

#[test]
fn a_partition_that_comes_back_is_waited_for_again() {
    let now = Instant::now();
    let mut holdings = Holdings::default();
    holdings.assign(&[3], now);
    holdings.assign(&[], now + HANDOVER);

    let lost = holdings.assign(&[3], now + HANDOVER);

    assert!(lost.is_empty());
    assert!(!holdings.may_start(3, now + HANDOVER));
}
