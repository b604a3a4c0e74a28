//! State local to one process: items suspected of crashing engines, and the age of records.

use std::time::Duration;

use tinbank_base::clock::{Stamp, micros};
use tinbank_ledger::{
    retention::OffsetTimes,
    shard::Key,
    suspect::{Policy, Suspects, Treatment},
};
use yare::parameterized;

use crate::fixture::time;

#[parameterized(
    none = { 0, Treatment::Normal },
    one = { 1, Treatment::Alone },
    two = { 2, Treatment::Alone },
    three = { 3, Treatment::GiveUp },
)]
fn an_item_in_flight_during_engine_crashes_is_sent_alone_and_then_fails(
    crashes: usize,
    expected: Treatment,
) {
    let item = Key { job: 1, item: 1 };
    let mut suspects = Suspects::new(Policy::default());

    for _ in 0..crashes {
        suspects.record_engine_crash([item]);
    }

    assert_eq!(suspects.treatment(item), expected);
}

#[test]
fn an_item_that_ends_is_no_longer_suspected() {
    let (neighbour, culprit) = (Key { job: 1, item: 1 }, Key { job: 1, item: 2 });
    let mut suspects = Suspects::default();
    suspects.record_engine_crash([neighbour, culprit]);

    suspects.remove(neighbour);
    suspects.record_engine_crash([culprit]);

    assert_eq!(suspects.treatment(neighbour), Treatment::Normal);
    assert_eq!(suspects.treatment(culprit), Treatment::Alone);
}

#[parameterized(
    no_record_before = { 5, 0 },
    up_to_a_mark = { 70, 1 },
    all_records_after_an_idle_time = { 5_000, 4 },
)]
fn offset_before_covers_the_records_older_than_a_time(seconds: u64, expected: u64) {
    let mut marks = OffsetTimes::new(Duration::from_secs(60));
    for (offset, at) in [(0, 10), (1, 70), (2, 80), (3, 90)] {
        let stamp = Stamp {
            micros: micros(time(at)),
            counter: 0,
        };
        marks.record(offset, stamp, time(at));
    }

    let before = marks.offset_before(time(seconds));

    assert_eq!(before, expected);
}

#[test]
fn a_stamp_in_the_future_is_taken_as_the_time_of_the_read() {
    let mut marks = OffsetTimes::new(Duration::from_secs(60));
    let fast = Stamp {
        micros: micros(time(1_000_000)),
        counter: 0,
    };

    marks.record(0, fast, time(10));

    assert_eq!(marks.offset_before(time(100)), 1);
}
