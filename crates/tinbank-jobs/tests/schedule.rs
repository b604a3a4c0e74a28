//! Decisions on items, and their order.

use std::time::{Duration, Instant, SystemTime};

use proptest::prelude::*;
use tinbank_jobs::{
    Table,
    estimate::Estimator,
    record::{Attachment, Item, Reason, Record, Stored, Submission},
    schedule::{Decision, Due, Now, RouteState, State, decide},
};
use tinbank_test_support::property;
use yare::parameterized;

/// Time from submission until results are due.
const TARGET: Duration = Duration::from_secs(18);
/// Time from submission until items expire.
const RETENTION: Duration = Duration::from_secs(60);
const EVENTS_PER_ITEM: u64 = 200;
const TIME_PER_EVENT: Duration = Duration::from_millis(25);

fn table(now: Now) -> Table {
    let item = Item {
        id: "item".to_owned(),
        path: "/p/x".to_owned(),
        tokens: 10,
    };
    let submission = Submission {
        job: "job".to_owned(),
        call: 1,
        host: "one.example".to_owned(),
        route: "sweep".to_owned(),
        quota: None,
        max_attempts: 3,
        submitted_at: now.wall,
        retention: RETENTION,
        target: TARGET,
        items: vec![item],
        contents: Attachment::Stored(Stored::default()),
        position: None,
    };
    let mut table = Table::default();
    table.apply(0, Record::Submitted(submission));
    table
}

fn estimator() -> Estimator {
    let mut estimator = Estimator::default();
    estimator.record_run(EVENTS_PER_ITEM, TIME_PER_EVENT * EVENTS_PER_ITEM as u32);
    estimator.record_completed(EVENTS_PER_ITEM);
    estimator
}

fn idle() -> State {
    State {
        is_running: false,
        paused_until: None,
        has_unlogged_failure: false,
        failures: 0,
        last_event: 0,
        route: RouteState::Present,
    }
}

fn later(now: Now, seconds: u64) -> Now {
    let time = Duration::from_secs(seconds);
    Now {
        steady: now.steady + time,
        wall: now.wall + time,
    }
}

/// Returns the decision on an item `seconds` after its submission, and when it is due.
fn decide_after(seconds: u64, state: impl Fn(Instant) -> State) -> (Decision, SystemTime) {
    let start = Now::read();
    let table = table(start);
    let job = table.job("job").expect("the job");
    let now = later(start, seconds);
    (
        decide(job, state(now.steady), &estimator(), now),
        job.due_at,
    )
}

#[parameterized(
    new = { 0, 0, false },
    not_started_shortly_before_due = { 14, 0, true },
    half_done_shortly_before_due = { 14, 100, false },
    past_due = { 19, 190, true },
)]
fn an_item_is_late_if_its_remaining_run_time_exceeds_the_time_until_due(
    seconds: u64,
    last_event: u64,
    is_late: bool,
) {
    let (decision, at) = decide_after(seconds, |_| State {
        last_event,
        ..idle()
    });

    assert_eq!(decision, Decision::Run(Due { is_late, at }));
}

#[parameterized(
    running = { 0, |_| State { is_running: true, ..idle() }, Decision::Wait },
    paused = { 0, |now| State { paused_until: Some(now + TIME_PER_EVENT), ..idle() }, Decision::Wait },
    failed_and_not_logged = { 0, |_| State { has_unlogged_failure: true, ..idle() }, Decision::Wait },
    failed_at_all_attempts = { 0, |_| State { failures: 3, ..idle() }, Decision::Abandon(Reason::Attempts) },
    route_removed_recently = { 0, |now| State { route: RouteState::MissingSince(now), ..idle() }, Decision::Wait },
    route_removed = { 0, |now: Instant| State { route: RouteState::MissingSince(now - Duration::from_secs(5)), ..idle() }, Decision::Abandon(Reason::RouteRemoved) },
    configuration_possibly_stale = { 0, |_| State { route: RouteState::Unknown, ..idle() }, Decision::Wait },
    expired_within_clock_margin = { 62, |_| State { route: RouteState::Unknown, ..idle() }, Decision::Wait },
    expired = { 66, |_| idle(), Decision::Abandon(Reason::Expired) },
    expired_but_result_being_written = { 66, |_| State { is_running: true, ..idle() }, Decision::Wait },
)]
fn an_item_waits_or_is_abandoned(seconds: u64, state: fn(Instant) -> State, expected: Decision) {
    let (decision, _) = decide_after(seconds, state);

    assert_eq!(decision, expected);
}

#[derive(Clone, Copy)]
struct Work {
    due: Duration,
    remaining: Duration,
}

/// Runs items one after the other in ascending `order`, and returns how many finish by their due time.
fn finished_in_time(work: &[Work], order: impl Fn(&Work, Duration) -> Due) -> usize {
    let mut pending = work.to_vec();
    let mut now = Duration::ZERO;
    let mut in_time = 0;
    while !pending.is_empty() {
        let (index, _) = pending
            .iter()
            .enumerate()
            .min_by_key(|(_, work)| order(work, now))
            .expect("an item");
        let work = pending.swap_remove(index);
        now += work.remaining;
        in_time += usize::from(now <= work.due);
    }
    in_time
}

fn due(work: &Work, now: Duration) -> Due {
    Due {
        is_late: now + work.remaining > work.due,
        at: SystemTime::UNIX_EPOCH + work.due,
    }
}

#[test]
fn under_overload_late_items_do_not_delay_items_that_can_be_in_time() {
    let work: Vec<_> = (1..=60)
        .map(|index| Work {
            due: Duration::from_secs(index),
            remaining: Duration::from_millis(2_500),
        })
        .collect();

    let with_late_last = finished_in_time(&work, due);
    let in_due_order = finished_in_time(&work, |work, now| Due {
        is_late: false,
        ..due(work, now)
    });

    assert!(with_late_last >= 20, "{with_late_last}");
    assert!(in_due_order <= 2, "{in_due_order}");
}

proptest! {
    #![proptest_config(property::config(300))]

    #[test]
    fn running_late_items_last_is_never_worse_than_due_order(
        work in prop::collection::vec((1u64..60, 1u64..8), 1..40),
    ) {
        let work: Vec<_> = work
            .into_iter()
            .map(|(due, remaining)| Work { due: Duration::from_secs(due), remaining: Duration::from_secs(remaining) })
            .collect();

        let with_late_last = finished_in_time(&work, due);
        let in_due_order = finished_in_time(&work, |work, now| Due { is_late: false, ..due(work, now) });

        prop_assert!(with_late_last >= in_due_order);
    }
}
