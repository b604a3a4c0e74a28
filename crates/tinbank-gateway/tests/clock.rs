//! Detection of pauses of the process.

use std::{
    future,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_gateway::{
    clock::{ClockReading, PauseDetector},
    watch::fail_if_paused,
};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn reading() -> ClockReading {
    ClockReading {
        monotonic: Instant::now(),
        since_boot: 1_000 * SECOND,
    }
}

fn advanced(reading: ClockReading, monotonic: Duration, since_boot: Duration) -> ClockReading {
    ClockReading {
        monotonic: reading.monotonic + monotonic,
        since_boot: reading.since_boot + since_boot,
    }
}

/// The monotonic clock alone misses the suspension of a host, and stale data would count as fresh.
#[parameterized(
    running = { Duration::from_millis(150), Duration::from_millis(150), None },
    frozen = { 5 * SECOND, 5 * SECOND, Some(5 * SECOND) },
    suspended = { Duration::ZERO, 5 * SECOND, Some(5 * SECOND) },
    suspended_below_the_threshold = { Duration::ZERO, SECOND, None },
)]
fn a_pause_is_detected_on_either_clock(
    monotonic: Duration,
    since_boot: Duration,
    expected: Option<Duration>,
) {
    let start = reading();
    let clock = PauseDetector::new(start);
    let before = clock.check(start);

    let after = clock.check(advanced(start, monotonic, since_boot));

    assert_eq!(after != before, expected.is_some());
    assert_eq!(clock.take_pause(), expected);
    assert_eq!(clock.take_pause(), None);
}

#[test]
fn suspended_time_is_what_the_monotonic_clock_missed() {
    let start = reading();

    let end = advanced(start, 2 * SECOND, 7 * SECOND);

    assert_eq!(end.suspended_since(start), 5 * SECOND);
    assert_eq!(
        advanced(start, SECOND, SECOND).suspended_since(start),
        Duration::ZERO
    );
}

/// A response may have been buffered for the whole pause, so it may be outdated.
#[tokio::test]
async fn a_result_read_across_a_pause_is_discarded() {
    let clock = Rc::new(PauseDetector::new(ClockReading::read()));
    let paused = Rc::clone(&clock);
    let across = async move {
        let now = ClockReading::read();
        paused.check(advanced(now, Duration::ZERO, 10 * SECOND));
        Ok(7)
    };

    let across = fail_if_paused(&clock, across).await;
    let after = fail_if_paused(&clock, future::ready(Ok(8))).await;

    assert!(across.is_err());
    assert_eq!(after, Ok(8));
}
