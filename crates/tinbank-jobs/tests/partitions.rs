//! Reassignment of partitions between processes.

use std::time::{Duration, Instant};

use tinbank_jobs::{
    partitions::{HANDOVER_DELAY, Partitions},
    record::TakeoverId,
};

const TAKEOVER: TakeoverId = 1;

#[test]
fn a_new_partition_is_owned_at_once_but_its_items_start_after_the_handover_delay() {
    let now = Instant::now();
    let mut partitions = Partitions::default();

    let revoked = partitions.assign(&[3, 7], TAKEOVER, now);
    partitions.on_taken_over(TAKEOVER);

    assert!(revoked.is_empty());
    assert!(partitions.owns(3));
    assert!(!partitions.may_start(3, now + HANDOVER_DELAY - Duration::from_millis(1)));
    assert!(partitions.may_start(3, now + HANDOVER_DELAY));
}

#[test]
fn a_partition_that_is_kept_has_no_new_handover_delay() {
    let now = Instant::now();
    let mut partitions = Partitions::default();
    partitions.assign(&[3, 7], TAKEOVER, now);
    partitions.on_taken_over(TAKEOVER);
    let later = now + HANDOVER_DELAY;

    let revoked = partitions.assign(&[7, 9], TAKEOVER, later);

    assert_eq!(revoked.as_slice(), [3]);
    assert!(!partitions.owns(3));
    assert!(partitions.may_start(7, later));
    partitions.on_taken_over(TAKEOVER);
    assert!(!partitions.may_start(9, later));
}

#[test]
fn a_partition_that_is_regained_has_a_new_handover_delay() {
    let now = Instant::now();
    let mut partitions = Partitions::default();
    partitions.assign(&[3], TAKEOVER, now);
    partitions.assign(&[], TAKEOVER, now + HANDOVER_DELAY);

    let revoked = partitions.assign(&[3], TAKEOVER, now + HANDOVER_DELAY);

    assert!(revoked.is_empty());
    partitions.on_taken_over(TAKEOVER);
    assert!(!partitions.may_start(3, now + HANDOVER_DELAY));
}

#[test]
fn items_of_a_new_partition_do_not_start_before_the_record_of_its_own_takeover_is_read() {
    let now = Instant::now();
    let mut partitions = Partitions::default();
    let later = now + HANDOVER_DELAY;

    partitions.assign(&[3], TAKEOVER, now);
    partitions.on_taken_over(TAKEOVER + 1);

    assert!(partitions.owns(3));
    assert!(partitions.awaits(TAKEOVER));
    assert!(!partitions.may_start(3, later));
    partitions.on_taken_over(TAKEOVER);
    assert!(partitions.may_start(3, later));
}

/// Guards against items that other hosts have run in the meantime.
#[test]
fn items_of_a_kept_partition_wait_for_another_takeover_after_the_membership_has_expired() {
    let now = Instant::now();
    let mut partitions = Partitions::default();
    partitions.assign(&[3], TAKEOVER, now);
    partitions.on_taken_over(TAKEOVER);
    let later = now + HANDOVER_DELAY;

    partitions.take_over_again(TAKEOVER + 1);
    let revoked = partitions.assign(&[3], TAKEOVER + 1, later);

    assert!(revoked.is_empty());
    assert!(!partitions.may_start(3, later));
    partitions.on_taken_over(TAKEOVER + 1);
    assert!(partitions.may_start(3, later));
}
