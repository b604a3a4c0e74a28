//! Reassignment of partitions between processes.

use std::time::{Duration, Instant};

use tinbank_jobs::partitions::{HANDOVER_DELAY, Partitions};

#[test]
fn a_new_partition_is_owned_at_once_but_its_items_start_after_the_handover_delay() {
    let now = Instant::now();
    let mut partitions = Partitions::default();

    let revoked = partitions.assign(&[3, 7], now);

    assert!(revoked.is_empty());
    assert!(partitions.owns(3));
    assert!(!partitions.may_start(3, now + HANDOVER_DELAY - Duration::from_millis(1)));
    assert!(partitions.may_start(3, now + HANDOVER_DELAY));
}

#[test]
fn a_partition_that_is_kept_has_no_new_handover_delay() {
    let now = Instant::now();
    let mut partitions = Partitions::default();
    partitions.assign(&[3, 7], now);
    let later = now + HANDOVER_DELAY;

    let revoked = partitions.assign(&[7, 9], later);

    assert_eq!(revoked.as_slice(), [3]);
    assert!(!partitions.owns(3));
    assert!(partitions.may_start(7, later));
    assert!(!partitions.may_start(9, later));
}

#[test]
fn a_partition_that_is_regained_has_a_new_handover_delay() {
    let now = Instant::now();
    let mut partitions = Partitions::default();
    partitions.assign(&[3], now);
    partitions.assign(&[], now + HANDOVER_DELAY);

    let revoked = partitions.assign(&[3], now + HANDOVER_DELAY);

    assert!(revoked.is_empty());
    assert!(!partitions.may_start(3, now + HANDOVER_DELAY));
}
