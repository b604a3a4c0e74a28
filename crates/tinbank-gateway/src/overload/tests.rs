//! Tests of what the levels mean, and of the measurements.

use std::time::{Duration, Instant};

use rand::{SeedableRng, rngs::StdRng};
use yare::parameterized;

use super::{Level, Overload, next_interval, usage::resident_bytes};

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

/// A process that is stopped for 91 ms of each 100 ms never notices with a timer of 100 ms: it is due while the process runs.
#[test]
fn ticks_do_not_fall_into_step_with_the_limit_of_the_processor() {
    const PERIOD_MS: u64 = 100;
    const RUNNING_MS: u64 = 9;
    let mut draw = StdRng::seed_from_u64(1);
    let (mut now_ms, mut late) = (0, 0);

    for _ in 0..1_000 {
        let due_ms = now_ms + next_interval(&mut draw).as_millis() as u64;
        now_ms = match due_ms % PERIOD_MS {
            0..RUNNING_MS => due_ms,
            _ => due_ms.next_multiple_of(PERIOD_MS),
        };
        late += usize::from(now_ms - due_ms >= 25);
    }

    assert!(late > 600, "{late}");
}

#[parameterized(
    resident = { "Name:\ttinbank-entry\nVmRSS:\t   12345 kB\nThreads:\t2\n", 12_345 * 1_024 },
    unknown = { "Name:\ttinbank-entry\n", 0 },
)]
fn resident_memory_is_read_from_the_process_status(status: &str, expected: u64) {
    assert_eq!(resident_bytes(status), expected);
}
