//! Tests of what the levels mean, and of the measurements.

use std::time::{Duration, Instant};

use yare::parameterized;

use super::{Level, Overload, usage::resident_bytes};

#[parameterized(
    normal = { Level::Normal, [true, false, false] },
    fewer_items = { Level::FewerItems, [false, false, false] },
    closing_connections = { Level::ClosingConnections, [false, true, false] },
    withdrawn = { Level::Withdrawn, [false, true, true] },
)]
fn each_level_includes_the_ones_before(level: Level, expected: [bool; 3]) {
    let overload = Overload::default();
    overload.set_level(level, Instant::now());

    let takes_items = overload.takes_items();
    let actual = [
        takes_items,
        overload.closes_connections(),
        overload.has_withdrawn(),
    ];

    assert_eq!(actual, expected);
}

/// The time at a deeper level counts too, since other hosts can run the items all the while.
#[test]
fn the_time_without_items_counts_from_the_first_level() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let overload = Overload::default();

    overload.set_level(Level::FewerItems, start);
    overload.set_level(Level::ClosingConnections, start + second);
    let after_two = overload.has_shed_items_for(2 * second, start + 2 * second);
    overload.set_level(Level::Normal, start + 3 * second);

    assert!(after_two);
    assert!(!overload.has_shed_items_for(2 * second, start + 4 * second));
}

#[parameterized(
    resident = { "Name:\ttinbank-entry\nVmRSS:\t   12345 kB\nThreads:\t2\n", 12_345 * 1_024 },
    unknown = { "Name:\ttinbank-entry\n", 0 },
)]
fn resident_memory_is_read_from_the_process_status(status: &str, expected: u64) {
    assert_eq!(resident_bytes(status), expected);
}
