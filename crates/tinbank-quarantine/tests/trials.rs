//! Trials of a quarantined part at several hosts.

use std::time::{Duration, Instant};

use tinbank_quarantine::{Fingerprint, Kind, Quarantined, Source, Table, table::Permission};
use yare::parameterized;

const REQUEST: Fingerprint = 7;
const PART: Fingerprint = 8;
/// Further requests that may reach upstreams after a verdict, at any number of hosts.
const MAX_RETRIES: usize = 3;

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

/// Guards against a host that never has its turn.
#[test]
fn each_host_may_try_a_part_within_seconds() {
    let now = Instant::now();
    let table = table_with_quarantined_part(0.7, now);

    let mut times = (10_000..15_000).step_by(50).map(Duration::from_millis);

    assert!(times.any(|at| permission(Source::Caller, &table, now + at) == Permission::Trial));
}
