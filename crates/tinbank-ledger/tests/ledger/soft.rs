//! Soft decisions: suspected items, and which records are old.

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
fn an_item_in_flight_when_engines_die_is_tried_alone_then_given_up(
    deaths: usize,
    expected: Treatment,
) {
    let item = Key { job: 1, item: 1 };
    let mut suspects = Suspects::new(Policy::default());

    for _ in 0..deaths {
        suspects.engine_died([item]);
    }

    assert_eq!(suspects.treatment(item), expected);
}

#[test]
fn a_neighbour_that_ends_is_no_longer_suspected() {
    let (neighbour, culprit) = (Key { job: 1, item: 1 }, Key { job: 1, item: 2 });
    let mut suspects = Suspects::default();
    suspects.engine_died([neighbour, culprit]);

    suspects.ended(neighbour);
    suspects.engine_died([culprit]);

    assert_eq!(suspects.treatment(neighbour), Treatment::Normal);
    assert_eq!(suspects.treatment(culprit), Treatment::Alone);
}

#[parameterized(
    nothing_is_so_old = { 5, 0 },
    up_to_a_mark = { 70, 1 },
    the_last_before_an_idle_time = { 5_000, 4 },
)]
fn marks_know_what_is_old(asked: u64, expected: u64) {
    let mut marks = OffsetTimes::new(Duration::from_secs(60));
    for (offset, at) in [(0, 10), (1, 70), (2, 80), (3, 90)] {
        let stamp = Stamp {
            micros: micros(time(at)),
            counter: 0,
        };
        marks.record(offset, stamp, time(at));
    }

    let before = marks.offset_before(time(asked));

    assert_eq!(before, expected);
}

#[test]
fn a_stamp_from_a_fast_clock_does_not_make_a_record_young() {
    let mut marks = OffsetTimes::new(Duration::from_secs(60));
    let fast = Stamp {
        micros: micros(time(1_000_000)),
        counter: 0,
    };

    marks.record(0, fast, time(10));

    assert_eq!(marks.offset_before(time(100)), 1);
}
