//! Quarantine of items of jobs, which are owed once they are accepted.

use std::time::{Duration, Instant};

use smallvec::smallvec;
use tinbank_base::id;
use tinbank_quarantine::{
    CrashReport, Fingerprint, InFlight, Kind, Position, Source, Table,
    table::{Change, Denial, Permission},
};
use yare::parameterized;

const ITEM: Fingerprint = 7;
/// Longest time for which an item waits between two trials, the jitter of a host included.
const LONGEST_WAIT: Duration = Duration::from_millis(12_500);

/// Returns the report of a crash after an event of an item's answer.
fn crash(upstream: usize, reached: Position) -> CrashReport {
    let item = InFlight {
        request: ITEM,
        source: Source::Item,
        reached,
        parts: smallvec![],
    };
    CrashReport {
        upstream: id::Instance::from(format!("u{upstream}")),
        requests: smallvec![item],
    }
}

/// Returns the table of a host after crashes of upstreams that ran the item, the latest at `now`.
fn table_after(crashes: usize, now: Instant) -> Table {
    let mut table = Table::with_trial_jitter(1.0);
    for upstream in 0..crashes {
        table.record_crash(&crash(upstream, 0), now);
    }
    table
}

fn permission(table: &Table, now: Instant) -> Permission {
    table.permission(Source::Item, ITEM, &[], now)
}

/// Returns when an item may be tried.
fn next_trial(table: &Table, now: Instant) -> Instant {
    match permission(table, now) {
        Permission::Denied(denial) => denial.until,
        Permission::Granted | Permission::Trial => now,
    }
}

#[test]
fn an_item_under_which_upstreams_crashed_is_tried_after_a_while() {
    let now = Instant::now();
    let table = table_after(3, now);

    let at_once = permission(&table, now);
    let later = permission(&table, now + LONGEST_WAIT);

    let is_item = |it: Permission| {
        matches!(
            it,
            Permission::Denied(Denial {
                subject: ITEM,
                kind: Kind::Item,
                ..
            })
        )
    };
    assert!(is_item(at_once), "{at_once:?}");
    assert_eq!(later, Permission::Trial);
}

/// Guards against an item whose waits outgrow the crashes that caused them.
#[parameterized(
    no_failed_trial = { 0 },
    one = { 1 },
    several = { 4 },
    many = { 40 },
)]
fn the_wait_for_a_trial_of_an_item_is_bounded(failed: usize) {
    let mut now = Instant::now();
    let mut table = table_after(3, now);

    for number in 0..failed {
        now = next_trial(&table, now);
        table.begin_trial(Source::Item, &[ITEM], now);
        table.record_crash(&crash(3 + number, 0), now);
    }

    assert!(next_trial(&table, now) > now);
    assert!(next_trial(&table, now) <= now + LONGEST_WAIT);
}

#[test]
fn trials_of_an_item_that_crashes_upstreams_become_rarer() {
    let now = Instant::now();
    let mut table = table_after(3, now);

    let first = next_trial(&table, now);
    table.begin_trial(Source::Item, &[ITEM], first);
    table.record_crash(&crash(3, 0), first);
    let second = next_trial(&table, first);

    assert!(second - first > first - now);
}

#[test]
fn a_trial_that_gets_further_clears_an_item() {
    let now = Instant::now();
    let mut table = table_after(3, now);
    let due = next_trial(&table, now);
    table.begin_trial(Source::Item, &[ITEM], due);

    let change = table.record_progress(ITEM, 40);

    assert_eq!(change, Some(Change::Cleared(ITEM)));
    assert_eq!(permission(&table, due), Permission::Granted);
}

#[test]
fn the_store_keeps_no_item() {
    let now = Instant::now();
    let mut table = table_after(4, now);

    assert!(table.pending_writes(now).is_empty());
    assert!(table.stored().is_empty());
}
