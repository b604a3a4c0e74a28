//! The budget keeps the fleet under its rate, whatever the number of writers.

use std::time::{Duration, Instant};

use tinbank_log::budget::{Budget, Priority, Settings};
use yare::parameterized;

fn spent(budget: &mut Budget, priority: Priority, from: Instant, seconds: u64) -> u64 {
    let until = from + Duration::from_secs(seconds);
    let mut now = from;
    let mut spent = 0;
    while now < until {
        if budget.take(priority, now) {
            spent += 1;
            continue;
        }
        let ready = budget.ready_at(priority);
        assert!(ready > now, "a writer that waits gets on");
        now = ready;
    }
    spent
}

#[parameterized(
    alone = { 1, Priority::Normal, 300.0 * 0.9 },
    twelve = { 12, Priority::Normal, 300.0 * 0.9 / 12.0 },
    target = { 370, Priority::Normal, 300.0 * 0.9 / 370.0 },
    reserve_included = { 12, Priority::Reserved, 300.0 / 12.0 },
)]
fn a_writer_spends_its_share(writers: usize, priority: Priority, per_second: f64) {
    let start = Instant::now();
    let settings = Settings::default();
    let mut budget = Budget::new(settings, writers, start);

    let spent = spent(&mut budget, priority, start, 100);

    let share = per_second * 100.0;
    let burst = per_second.max(1.0) + 1.0;
    assert!((spent as f64) <= share + burst, "{spent} over {share}");
    assert!((spent as f64) >= share - 1.0, "{spent} under {share}");
}

#[test]
fn work_leaves_the_reserve_alone() {
    let start = Instant::now();
    let mut budget = Budget::new(Settings::default(), 12, start);
    while budget.take(Priority::Normal, start) {}

    let reserved = budget.take(Priority::Reserved, start);

    assert!(reserved);
}

#[test]
fn more_writers_shrink_the_share_at_once() {
    let start = Instant::now();
    let mut budget = Budget::new(Settings::default(), 1, start);

    budget.share(100, start);

    let mut burst = 0;
    while budget.take(Priority::Normal, start) {
        burst += 1;
    }
    assert_eq!(burst, 2);
}
