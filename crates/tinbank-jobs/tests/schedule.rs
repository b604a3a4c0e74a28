//! Which item runs next, and when one is given up.

use std::time::{Duration, Instant, SystemTime};

use proptest::prelude::*;
use tinbank_jobs::{
    Table,
    pace::Pace,
    record::{Attachment, Item, Reason, Record, Stored, Submission},
    schedule::{Due, Now, Route, State, Step, step},
};
use tinbank_test_support::property;
use yare::parameterized;

/// When results are due after their job came.
const TARGET: Duration = Duration::from_secs(18);
/// When items may be given up.
const RETENTION: Duration = Duration::from_secs(60);
/// Events of an item, and the time of each.
const EVENTS: u64 = 200;
const EVENT: Duration = Duration::from_millis(25);

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
    };
    let mut table = Table::default();
    table.apply(0, Record::Submitted(submission));
    table
}

fn pace() -> Pace {
    let mut pace = Pace::default();
    pace.note(EVENTS, EVENT * EVENTS as u32);
    pace.completed(EVENTS);
    pace
}

fn idle() -> State {
    State {
        is_running: false,
        paused_until: None,
        last: 0,
        route: Route::Known,
    }
}

fn later(now: Now, seconds: u64) -> Now {
    let time = Duration::from_secs(seconds);
    Now {
        steady: now.steady + time,
        wall: now.wall + time,
    }
}

/// What becomes of the item so many seconds after its job came.
fn step_after(seconds: u64, state: impl Fn(Instant) -> State) -> (Step, SystemTime) {
    let start = Now::read();
    let table = table(start);
    let job = table.job("job").expect("the job");
    let now = later(start, seconds);
    (step(job, state(now.steady), &pace(), now), job.due_at)
}

#[parameterized(
    new = { 0, 0, false },
    begun_late = { 14, 0, true },
    nearly_done = { 14, 100, false },
    past_its_due_time = { 19, 190, true },
)]
fn an_item_is_late_if_its_rest_takes_longer_than_there_is_time(
    seconds: u64,
    last: u64,
    is_late: bool,
) {
    let (step, at) = step_after(seconds, |_| State { last, ..idle() });

    assert_eq!(step, Step::Run(Due { is_late, at }));
}

#[parameterized(
    it_runs = { 0, |_| State { is_running: true, ..idle() }, Step::Wait },
    it_rests = { 0, |now| State { paused_until: Some(now + EVENT), ..idle() }, Step::Wait },
    its_route_has_just_gone = { 0, |now| State { route: Route::GoneSince(now), ..idle() }, Step::Wait },
    its_route_is_gone = { 0, |now: Instant| State { route: Route::GoneSince(now - Duration::from_secs(5)), ..idle() }, Step::GiveUp(Reason::RouteRemoved) },
    the_configuration_may_be_old = { 0, |_| State { route: Route::Unsure, ..idle() }, Step::Wait },
    clocks_may_differ = { 62, |_| State { route: Route::Unsure, ..idle() }, Step::Wait },
    it_waited_for_too_long = { 66, |_| idle(), Step::GiveUp(Reason::Expired) },
    its_result_is_on_the_way = { 66, |_| State { is_running: true, ..idle() }, Step::Wait },
)]
fn an_item_waits_or_is_given_up(seconds: u64, state: fn(Instant) -> State, expected: Step) {
    let (step, _) = step_after(seconds, state);

    assert_eq!(step, expected);
}

#[derive(Clone, Copy)]
struct Work {
    due: Duration,
    left: Duration,
}

/// Runs items one after the other, the least first by `order`, and counts those done when they are due.
fn in_time(work: &[Work], order: impl Fn(&Work, Duration) -> Due) -> usize {
    let mut left = work.to_vec();
    let mut now = Duration::ZERO;
    let mut in_time = 0;
    while !left.is_empty() {
        let (index, _) = left
            .iter()
            .enumerate()
            .min_by_key(|(_, work)| order(work, now))
            .expect("an item");
        let work = left.swap_remove(index);
        now += work.left;
        in_time += usize::from(now <= work.due);
    }
    in_time
}

fn due(work: &Work, now: Duration) -> Due {
    Due {
        is_late: now + work.left > work.due,
        at: SystemTime::UNIX_EPOCH + work.due,
    }
}

#[test]
fn with_too_much_work_late_items_make_no_others_late() {
    let work: Vec<_> = (1..=60)
        .map(|index| Work {
            due: Duration::from_secs(index),
            left: Duration::from_millis(2_500),
        })
        .collect();

    let with_late_last = in_time(&work, due);
    let by_due_time_alone = in_time(&work, |work, now| Due {
        is_late: false,
        ..due(work, now)
    });

    assert!(with_late_last >= 20, "{with_late_last}");
    assert!(by_due_time_alone <= 2, "{by_due_time_alone}");
}

proptest! {
    #![proptest_config(property::config(300))]

    /// As many are in time as by due time alone, or more.
    #[test]
    fn late_items_last_is_never_worse(work in prop::collection::vec((1u64..60, 1u64..8), 1..40)) {
        let work: Vec<_> = work
            .into_iter()
            .map(|(due, left)| Work { due: Duration::from_secs(due), left: Duration::from_secs(left) })
            .collect();

        let with_late_last = in_time(&work, due);
        let by_due_time_alone = in_time(&work, |work, now| Due { is_late: false, ..due(work, now) });

        prop_assert!(with_late_last >= by_due_time_alone);
    }
}
