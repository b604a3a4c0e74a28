//! What counts as a pause of the process.

use std::{
    future,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_gateway::{
    clock::{Clock, ClockReading},
    watch::unpaused,
};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn start() -> ClockReading {
    ClockReading {
        monotonic: Instant::now(),
        since_boot: 1_000 * SECOND,
    }
}

fn later(than: ClockReading, steady: Duration, since_boot: Duration) -> ClockReading {
    ClockReading {
        monotonic: than.monotonic + steady,
        since_boot: than.since_boot + since_boot,
    }
}

/// While a host is suspended the steady clock stands. By it alone, everything that is as old as the pause seems to be fresh.
#[parameterized(
    ran = { Duration::from_millis(150), Duration::from_millis(150), None },
    frozen = { 5 * SECOND, 5 * SECOND, Some(5 * SECOND) },
    suspended = { Duration::ZERO, 5 * SECOND, Some(5 * SECOND) },
    suspended_for_a_moment = { Duration::ZERO, SECOND, None },
)]
fn a_pause_is_noticed_by_either_clock(
    steady: Duration,
    since_boot: Duration,
    expected: Option<Duration>,
) {
    let began = start();
    let clock = Clock::new(began);
    let before = clock.look(began);

    let after = clock.look(later(began, steady, since_boot));

    assert_eq!(after != before, expected.is_some());
    assert_eq!(clock.take_pause(), expected);
    assert_eq!(clock.take_pause(), None);
}

#[test]
fn time_that_the_steady_clock_has_not_counted_is_known() {
    let began = start();

    let ended = later(began, 2 * SECOND, 7 * SECOND);

    assert_eq!(ended.suspended_since(began), 5 * SECOND);
    assert_eq!(
        later(began, SECOND, SECOND).suspended_since(began),
        Duration::ZERO
    );
}

/// The answer lay in a buffer while the process did not run, so it is as old as the pause.
#[tokio::test]
async fn what_was_read_across_a_pause_is_not_believed() {
    let clock = Rc::new(Clock::new(ClockReading::read()));
    let paused = Rc::clone(&clock);
    let across = async move {
        let now = ClockReading::read();
        paused.look(later(now, Duration::ZERO, 10 * SECOND));
        Ok(7)
    };

    let across = unpaused(&clock, across).await;
    let after = unpaused(&clock, future::ready(Ok(8))).await;

    assert!(across.is_err());
    assert_eq!(after, Ok(8));
}
