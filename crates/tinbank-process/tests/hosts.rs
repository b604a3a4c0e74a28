//! How often the host list is read.

use std::time::Duration;

use tinbank_process::hosts::{EVERY, pace};

#[yare::parameterized(
    none = { 0, EVERY },
    one_host = { 3, EVERY },
    today = { 36, EVERY },
    twice_today = { 72, 2 * EVERY },
)]
fn the_fleet_reads_as_often_however_large(processes: usize, expected: Duration) {
    assert_eq!(pace(processes), expected);
}

#[test]
fn a_leaving_upstream_is_seen_at_the_target_by_some_process_at_once() {
    const PROCESSES: usize = 1_110;

    let between_two_readings_of_the_fleet = pace(PROCESSES) / PROCESSES as u32;

    assert!(between_two_readings_of_the_fleet < Duration::from_millis(20));
    assert!(pace(PROCESSES) < Duration::from_secs(16));
}
