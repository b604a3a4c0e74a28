//! Trials of a quarantined part at several hosts.

use std::time::{Duration, Instant};

use smallvec::smallvec;
use tinbank_base::id;
use tinbank_quarantine::{
    CrashReport, Fingerprint, InFlight, Kind, Quarantined, Source, Table, table::Permission,
};
use yare::parameterized;

const REQUEST: Fingerprint = 7;
const PART: Fingerprint = 8;
/// Longest time for which an item waits between two trials, the jitter of a host included.
const LONGEST_WAIT_OF_ITEMS: Duration = Duration::from_millis(12_500);
const FIRST_TRIAL: Duration = Duration::from_secs(2);
/// Further requests that may reach upstreams after a verdict, at any number of hosts.
const MAX_RETRIES: usize = 3;

/// Returns the report of a crash under a request of a caller with the part.
fn crash() -> CrashReport {
    let request = InFlight {
        request: REQUEST,
        source: Source::Caller,
        reached: 0,
        parts: smallvec![PART],
    };
    CrashReport {
        upstream: id::Instance::from("u0"),
        requests: smallvec![request],
    }
}

/// Returns the table of a host that has read a quarantined part from the store.
fn table_with_quarantined_part(jitter: f64, now: Instant) -> Table {
    let mut table = Table::with_trial_jitter(jitter);
    let stored = Quarantined {
        subject: PART,
        kind: Kind::Part,
        ended: 3,
        reached: 0,
        failed_trials: 0,
    };
    table.replace_stored(&[stored], now);
    table
}

fn permission(source: Source, table: &Table, now: Instant) -> Permission {
    table.permission(source, REQUEST, &[PART], now)
}

/// Guards against a request that crashes an upstream for each host that gets a copy of it, once all hosts may try its part.
#[parameterized(
    three_hosts = { 3 },
    nine_hosts = { 9 },
    forty_hosts = { 40 },
)]
fn copies_at_all_hosts_at_once_are_no_more_trials_than_may_be_sent(hosts: usize) {
    let now = Instant::now();
    let tables =
        (0..hosts).map(|host| table_with_quarantined_part(host as f64 / hosts as f64, now));
    let tables: Vec<Table> = tables.collect();

    // Each host decides before the datagram of another one can have arrived.
    let trials_at = |at: Duration| {
        let permissions = tables
            .iter()
            .map(|it| permission(Source::Caller, it, now + at));
        permissions.filter(|it| *it == Permission::Trial).count()
    };
    let times = (0..30_000).step_by(50).map(Duration::from_millis);
    let trials: Vec<usize> = times.map(trials_at).collect();

    let most = trials.iter().max().copied().unwrap_or_default();
    assert!(
        (1..=MAX_RETRIES).contains(&most),
        "{most} of {hosts} copies are sent"
    );
}

/// Guards against sound requests that are refused for a whole wait more, because the upstream of their trial was full.
#[parameterized(
    caller = { Source::Caller },
    item = { Source::Item },
)]
fn a_trial_that_did_not_run_is_begun_again_at_once(source: Source) {
    let now = Instant::now();
    let mut table = table_with_quarantined_part(0.0, now);
    let due = now + FIRST_TRIAL;

    table.begin_trial(source, &[PART], due);
    let during = permission(source, &table, due);
    table.withdraw_trial(source, PART);
    let afterwards = permission(source, &table, due);

    assert!(matches!(during, Permission::Denied(_)));
    assert_eq!(afterwards, Permission::Trial);
}

/// Guards against a wait that grows twice for one trial, whose start is sent again after its crash is known.
#[test]
fn a_trial_that_crashed_an_upstream_is_not_announced_again() {
    let now = Instant::now();
    let mut table = table_with_quarantined_part(0.0, now);

    table.begin_trial(Source::Caller, &[PART], now + FIRST_TRIAL);
    let before = table.is_tried(Source::Caller, PART);
    table.record_crash(&crash(), now + FIRST_TRIAL);
    let afterwards = table.is_tried(Source::Caller, PART);

    assert!(before);
    assert!(!afterwards);
}

/// Guards against items of one host that never run, because those of another one take each trial of their part and have no answer.
#[test]
fn items_of_one_host_may_try_a_part_although_trials_of_another_have_no_outcome() {
    let start = Instant::now();
    let mut first = table_with_quarantined_part(0.0, start);
    let mut second = table_with_quarantined_part(1.0, start);
    let mut waited_until = None;

    for elapsed_ms in (0..60_000).step_by(10) {
        let now = start + Duration::from_millis(elapsed_ms);
        if permission(Source::Item, &first, now) == Permission::Trial {
            first.begin_trial(Source::Item, &[PART], now);
            second.record_trial(Source::Item, PART, now);
        }
        if permission(Source::Item, &second, now) == Permission::Trial {
            waited_until = Some(now);
            break;
        }
    }

    let waited_until = waited_until.expect("a trial of the second host within a minute");
    assert!(waited_until <= start + 2 * LONGEST_WAIT_OF_ITEMS);
}

/// Guards against a host that never has its turn.
#[test]
fn each_host_may_try_a_part_within_seconds() {
    let now = Instant::now();
    let table = table_with_quarantined_part(0.7, now);

    let mut times = (10_000..15_000).step_by(50).map(Duration::from_millis);

    assert!(times.any(|at| permission(Source::Caller, &table, now + at) == Permission::Trial));
}
