//! How long online requests may wait for a slot, and when callers are told to come back.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tinbank_allocator::{
    admission::{Admission, RouteTimings},
    frame::Queue,
};
use tinbank_test_support::property;
use yare::parameterized;

const TARGET_MS: u64 = 300;
const TIME_MS: u64 = 5_000;

fn usual(first_event_ms: u64, held_ms: u64) -> RouteTimings {
    RouteTimings {
        first_event: Some(Duration::from_millis(first_event_ms)),
        slot_time: Some(Duration::from_millis(held_ms)),
    }
}

fn admission(now: Instant, is_retry: bool) -> Admission {
    Admission {
        received: now,
        deadline: now + Duration::from_millis(TIME_MS),
        target: Duration::from_millis(TARGET_MS),
        is_retry,
    }
}

#[parameterized(
    new = { false, usual(25, 700), 0, Queue::Within(250) },
    new_after_a_while = { false, usual(25, 700), 100, Queue::Within(150) },
    new_without_time_for_its_first_event = { false, usual(25, 700), 260, Queue::No },
    new_where_first_events_are_slow = { false, usual(200, 700), 0, Queue::No },
    new_where_nothing_was_measured = { false, RouteTimings::default(), 0, Queue::Within(200) },
    late = { true, usual(25, 700), 0, Queue::LowPriority(700) },
    late_where_requests_are_short = { true, usual(25, 90), 0, Queue::LowPriority(90) },
    late_where_requests_take_most_of_the_time = { true, usual(25, 4_500), 0, Queue::LowPriority(500) },
    late_where_nothing_was_measured = { true, RouteTimings::default(), 0, Queue::LowPriority(1_250) },
    late_whose_wait_is_over = { true, usual(25, 700), 700, Queue::No },
)]
fn a_request_waits_as_long_as_that_is_of_use(
    is_retry: bool,
    usual: RouteTimings,
    after_ms: u64,
    expected: Queue,
) {
    let now = Instant::now();
    let admission = admission(now, is_retry);

    let queue = admission.queue(usual, now + Duration::from_millis(after_ms));

    assert_eq!(queue, expected);
}

#[test]
fn callers_that_are_refused_together_come_back_spread_over_one_turnover() {
    let admission = admission(Instant::now(), false);
    let usual = usual(25, 640);

    let mut times: Vec<_> = (0..640)
        .map(|draw| admission.retry_after(usual, draw).as_millis())
        .collect();
    times.sort_unstable();
    times.dedup();

    assert_eq!(times.len(), 64);
    assert_eq!(times[0], 640);
    assert_eq!(times[63], 640 + 630);
}

proptest! {
    #![proptest_config(property::config(400))]

    /// A new request that gets its slot at the last moment still has time for its first event within its target; a late one
    /// for a whole answer.
    #[test]
    fn what_waits_can_still_be_served(
        first_ms in 1u64..400, held_ms in 1u64..6_000, after_ms in 0u64..6_000, is_retry in any::<bool>(),
    ) {
        let now = Instant::now();
        let admission = admission(now, is_retry);
        let at = now + Duration::from_millis(after_ms);

        let queue = admission.queue(usual(first_ms, held_ms), at);

        let patience = queue.max_wait().unwrap_or_default();
        let needed = Duration::from_millis(if is_retry { held_ms } else { first_ms });
        let limit = Duration::from_millis(if is_retry { TIME_MS } else { TARGET_MS });
        prop_assert!(patience.is_zero() || at + patience + needed <= now + limit);
        prop_assert_eq!(matches!(queue, Queue::LowPriority(_)), is_retry && !patience.is_zero());
    }
}
