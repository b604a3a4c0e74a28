//! Copies are dropped, and nothing else is.

use tinbank_base::{id, record::Writer};
use tinbank_log::fold::Dedupe;
use yare::parameterized;

fn writer(host: id::Host, incarnation: id::Incarnation) -> Writer {
    let role = id::Role::Batch;
    Writer {
        process: id::Process { host, role },
        incarnation,
    }
}

#[parameterized(
    first = { &[(1, 1, 1)], true },
    copy = { &[(1, 1, 1), (1, 1, 1)], false },
    next = { &[(1, 1, 1), (1, 1, 2)], true },
    after_a_gap = { &[(1, 1, 1), (1, 1, 5)], true },
    given_up_and_late = { &[(1, 1, 1), (1, 1, 3), (1, 1, 2)], false },
    copy_after_others = { &[(1, 1, 1), (2, 1, 1), (3, 1, 9), (1, 1, 1)], false },
    other_host = { &[(1, 1, 1), (2, 1, 1)], true },
    restart = { &[(1, 1, 7), (1, 2, 1)], true },
    restart_with_clock_behind = { &[(1, 9, 7), (1, 2, 1)], true },
    copy_from_before_a_restart = { &[(1, 1, 7), (1, 2, 1), (1, 1, 7)], false },
)]
fn the_last_counts(envelopes: &[(id::Host, id::Incarnation, u64)], expected: bool) {
    let mut dedupe = Dedupe::default();

    let admitted: Vec<bool> = envelopes
        .iter()
        .map(|(host, incarnation, sequence)| dedupe.admit(writer(*host, *incarnation), *sequence))
        .collect();

    assert_eq!(admitted.last(), Some(&expected));
}

#[test]
fn old_starts_are_forgotten_and_the_rest_survives_a_checkpoint() {
    let mut dedupe = Dedupe::default();
    for incarnation in 1..=100 {
        dedupe.admit(writer(1, incarnation), 1);
        dedupe.admit(writer(2, 1), incarnation);
    }

    let remembered: Vec<_> = dedupe.iter().collect();
    let restored: Dedupe = remembered.iter().copied().collect();

    assert_eq!(remembered.len(), 5, "four starts of host 1, one of host 2");
    assert_eq!(restored, dedupe);
    assert!(!dedupe.admit(writer(1, 100), 1));
}
