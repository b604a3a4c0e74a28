//! Tests the bound on what is kept for callers that read slowly.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tinbank_relay::buffer::{Budget, Reason};
use yare::parameterized;

const MAX_BYTES: usize = 64 * 10;

fn after(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against one response that takes the memory of all others.
#[test]
fn a_response_is_read_up_to_its_part_of_the_bound() {
    let now = Instant::now();
    let mut budget = Budget::new(MAX_BYTES);

    budget.record_kept(1, 9, now);
    let below = budget.may_read(1);
    budget.record_kept(1, 10, now);

    assert!(below);
    assert!(!budget.may_read(1));
    assert!(budget.may_read(2));
}

/// Guards against an upstream that has to keep what a caller does not read, and crashes.
#[parameterized(
    at_once = { 0, false },
    after_a_while = { 900, false },
    too_long = { 1_000, true },
)]
fn a_response_at_its_bound_is_cut_after_a_time(waited_ms: u64, expected: bool) {
    let now = Instant::now();
    let mut budget = Budget::new(MAX_BYTES);
    budget.record_kept(1, 10, now);

    let cuts = budget.take_cuts(now + after(waited_ms));

    let reasons: Vec<Reason> = cuts.iter().map(|it| it.reason).collect();
    assert_eq!(!reasons.is_empty(), expected);
    assert!(reasons.iter().all(|it| *it == Reason::ResponseFull));
}

/// Guards against a slow but steady reader that is cut, or loses its place in the order, because it was full once.
#[test]
fn a_caller_that_reads_again_is_not_cut() {
    let now = Instant::now();
    let mut budget = Budget::new(MAX_BYTES);
    budget.record_kept(1, 10, now);

    budget.record_taken(1, 4, now + after(800));
    let cuts = budget.take_cuts(now + after(1_500));

    assert!(cuts.is_empty());
}

/// Guards against callers that read being cut for those that do not.
#[test]
fn the_callers_that_have_not_read_for_the_longest_time_are_cut_first() {
    let now = Instant::now();
    let mut budget = Budget::new(MAX_BYTES);
    for response in 0..80 {
        budget.record_kept(response, 9, now + after(response));
    }
    budget.record_taken(0, 8, now + after(100));

    let cuts = budget.take_cuts(now + after(101));

    let cut: Vec<u64> = cuts.iter().map(|it| it.response).collect();
    assert_eq!(cut, (1..=9).collect::<Vec<u64>>());
    assert!(cuts.iter().all(|it| it.reason == Reason::HostFull));
    assert!(budget.total() <= MAX_BYTES);
}

proptest! {
    /// Guards against a count that drifts from what is kept, after which a host cuts callers for nothing or not at all.
    #[test]
    fn the_total_is_the_sum_and_within_the_bound_after_cuts(
        steps in prop::collection::vec((0u64..12, 0usize..200, 0u8..4), 0..200),
    ) {
        let start = Instant::now();
        let mut budget = Budget::new(MAX_BYTES);
        let mut kept = std::collections::HashMap::new();
        for (number, (response, bytes, step)) in steps.into_iter().enumerate() {
            let now = start + after(number as u64 * 40);
            match step {
                0 => {
                    budget.remove(response);
                    kept.remove(&response);
                }
                1 => {
                    budget.record_taken(response, bytes, now);
                    kept.insert(response, bytes);
                }
                2 => {
                    budget.record_kept(response, bytes, now);
                    kept.insert(response, bytes);
                }
                _ => {
                    for cut in budget.take_cuts(now) {
                        prop_assert_eq!(kept.remove(&cut.response), Some(cut.bytes));
                    }
                    prop_assert!(budget.total() <= MAX_BYTES);
                }
            }
            prop_assert_eq!(budget.total(), kept.values().sum::<usize>());
        }
    }
}
