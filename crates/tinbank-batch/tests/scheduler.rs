//! Capacity is shared between flows by weight, and within a flow by due time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tinbank_batch::runner::scheduler::Scheduler;

type Queue = Scheduler<&'static str, u32>;

fn due(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(seconds)
}

fn fill(queue: &mut Queue, flow: &'static str, weight: u32, values: std::ops::Range<u32>) {
    for value in values {
        queue.push(flow, weight, due(0), 1, value);
    }
}

#[yare::parameterized(
    equal = { 1, 1, 50 },
    three_to_one = { 3, 1, 75 },
    one_to_four = { 1, 4, 20 },
)]
fn capacity_is_shared_by_weight(first: u32, second: u32, expected: usize) {
    let mut queue = Queue::default();
    fill(&mut queue, "a", first, 0..1_000);
    fill(&mut queue, "b", second, 1_000..2_000);

    let taken: Vec<u32> = (0..100).filter_map(|_| queue.pop(|_| true)).collect();

    let of_first = taken.iter().filter(|value| **value < 1_000).count();
    assert_eq!(of_first, expected);
}

#[test]
fn a_flow_yields_the_earliest_due_work_first() {
    let mut queue = Queue::default();
    queue.push("a", 1, due(30), 1, 30);
    queue.push("a", 1, due(10), 1, 10);
    queue.push("a", 1, due(20), 1, 20);

    let taken: Vec<u32> = std::iter::from_fn(|| queue.pop(|_| true)).collect();

    assert_eq!(taken, [10, 20, 30]);
}

#[test]
fn a_closed_flow_is_skipped() {
    let mut queue = Queue::default();
    fill(&mut queue, "a", 1, 0..2);
    fill(&mut queue, "b", 1, 10..12);

    let taken: Vec<u32> = std::iter::from_fn(|| queue.pop(|flow| *flow == "b")).collect();

    assert_eq!(taken, [10, 11]);
    assert_eq!(queue.len(), 2);
}

#[test]
fn costly_work_waits_until_its_flow_has_enough_deficit() {
    let mut queue = Queue::default();
    queue.push("a", 1, due(0), 3, 0);
    fill(&mut queue, "b", 1, 10..20);

    let taken: Vec<u32> = (0..4).filter_map(|_| queue.pop(|_| true)).collect();

    assert_eq!(taken, [10, 11, 0, 12]);
}

#[test]
fn dropped_work_is_not_returned() {
    let mut queue = Queue::default();
    fill(&mut queue, "a", 1, 0..5);
    fill(&mut queue, "b", 1, 10..12);

    queue.retain(|value| *value >= 10);

    let taken: Vec<u32> = std::iter::from_fn(|| queue.pop(|_| true)).collect();
    assert_eq!(taken, [10, 11]);
    assert!(queue.is_empty());
}
