//! How long online requests may wait for a slot, and when refused callers retry.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tinbank_allocator::{
    admission::{Admission, RouteTimings},
    frame::Queue,
};
use tinbank_test_support::property;
use yare::parameterized;

const TARGET_MS: u64 = 300;
const DEADLINE_MS: u64 = 5_000;

fn timings(first_event_ms: u64, slot_time_ms: u64) -> RouteTimings {
    RouteTimings {
        first_event: Some(Duration::from_millis(first_event_ms)),
        slot_time: Some(Duration::from_millis(slot_time_ms)),
    }
}

fn admission(now: Instant, is_retry: bool) -> Admission {
    Admission {
        received: now,
        deadline: now + Duration::from_millis(DEADLINE_MS),
        target: Duration::from_millis(TARGET_MS),
        is_retry,
    }
}

#[parameterized(
    first_attempt = { false, timings(25, 700), 0, Queue::Within(250) },
    first_attempt_after_some_time = { false, timings(25, 700), 100, Queue::Within(150) },
    first_attempt_without_time_for_its_first_event = { false, timings(25, 700), 260, Queue::No },
    first_attempt_where_first_events_are_slow = { false, timings(200, 700), 0, Queue::No },
    first_attempt_without_measurements = { false, RouteTimings::default(), 0, Queue::Within(200) },
    retry = { true, timings(25, 700), 0, Queue::LowPriority(700) },
    retry_where_requests_are_short = { true, timings(25, 90), 0, Queue::LowPriority(90) },
    retry_where_requests_take_most_of_the_time = { true, timings(25, 4_500), 0, Queue::LowPriority(500) },
    retry_without_measurements = { true, RouteTimings::default(), 0, Queue::LowPriority(1_250) },
    retry_after_its_wait = { true, timings(25, 700), 700, Queue::No },
)]
fn a_request_waits_only_while_it_can_still_be_served(
    is_retry: bool,
    timings: RouteTimings,
    after_ms: u64,
    expected: Queue,
) {
    let now = Instant::now();
    let admission = admission(now, is_retry);

    let queue = admission.queue(timings, now + Duration::from_millis(after_ms));

    assert_eq!(queue, expected);
}

#[test]
fn retries_of_refused_callers_are_spread_over_one_turnover() {
    let admission = admission(Instant::now(), false);
    let timings = timings(25, 640);

    let mut times: Vec<_> = (0..640)
        .map(|draw| admission.retry_after(timings, draw).as_millis())
        .collect();
    times.sort_unstable();
    times.dedup();

    assert_eq!(times.len(), 64);
    assert_eq!(times[0], 640);
    assert_eq!(times[63], 640 + 630);
}

proptest! {
    #![proptest_config(property::config(400))]

    /// A first attempt that gets its slot at the last moment still has time for its first event within its target; a
    /// retry for a complete response.
    #[test]
    fn a_request_granted_at_the_end_of_its_wait_can_still_be_served(
        first_event_ms in 1u64..400, slot_time_ms in 1u64..6_000, after_ms in 0u64..6_000, is_retry in any::<bool>(),
    ) {
        let now = Instant::now();
        let admission = admission(now, is_retry);
        let at = now + Duration::from_millis(after_ms);

        let queue = admission.queue(timings(first_event_ms, slot_time_ms), at);

        let max_wait = queue.max_wait().unwrap_or_default();
        let needed = Duration::from_millis(if is_retry { slot_time_ms } else { first_event_ms });
        let limit = Duration::from_millis(if is_retry { DEADLINE_MS } else { TARGET_MS });
        prop_assert!(max_wait.is_zero() || at + max_wait + needed <= now + limit);
        prop_assert_eq!(matches!(queue, Queue::LowPriority(_)), is_retry && !max_wait.is_zero());
    }
}
