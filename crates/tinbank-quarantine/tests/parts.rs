//! Quarantine of parts of prompts that upstreams crash on.

use std::time::{Duration, Instant};

use smallvec::{SmallVec, smallvec};
use tinbank_base::id;
use tinbank_quarantine::{
    CrashReport, Fingerprint, InFlight, Kind, Quarantined, SharedPart, Source, Table,
    table::{Denial, Permission, Write},
};
use yare::parameterized;

const FIRST_TRIAL: Duration = Duration::from_secs(2);
const SECOND_TRIAL: Duration = Duration::from_secs(16);
/// Longest time for which items wait between two trials of a part.
const LONGEST_WAIT_OF_ITEMS: Duration = Duration::from_secs(10);
/// Time between two crashes, so that three are no single moment.
const INTERVAL: Duration = Duration::from_millis(100);
const DAY: Duration = Duration::from_secs(24 * 3_600);
/// A first part, or a part of all customers; the parts behind it, or those of its customers; and contents.
const FIRST: Fingerprint = 1;
const BAD: Fingerprint = 10;
const OTHER: Fingerprint = 11;
const CONTENT: Fingerprint = 100;

/// A request, by the shared parts of its prompt and its content.
type Request = (&'static [Fingerprint], Fingerprint);

fn in_flight(request: Request) -> InFlight {
    in_flight_of(Source::Caller, request)
}

fn in_flight_of(source: Source, (parts, request): Request) -> InFlight {
    InFlight {
        request,
        source,
        reached: 0,
        parts: SmallVec::from_slice(parts),
    }
}

fn upstream(number: usize) -> id::Instance {
    id::Instance::from(format!("u{number}"))
}

fn crash(number: usize, requests: &[Request]) -> CrashReport {
    CrashReport {
        upstream: upstream(number),
        requests: requests.iter().copied().map(in_flight).collect(),
    }
}

/// Returns a table after crashes of one upstream under each request, at intervals up to `now`.
fn table_after(requests: &[Request], now: Instant) -> Table {
    let mut table = Table::default();
    for (number, request) in requests.iter().enumerate() {
        let later = requests.len() - 1 - number;
        let at = now - INTERVAL * later as u32;
        table.record_crash(&crash(number, &[*request]), at);
    }
    table
}

/// Returns a table that has quarantined the part [`BAD`].
fn table_with_quarantined_part(now: Instant) -> Table {
    table_after(&[(&[BAD], 100), (&[BAD], 101), (&[BAD], 102)], now)
}

fn permission(table: &Table, now: Instant) -> Permission {
    table.permission(Source::Caller, CONTENT + 50, &[FIRST, BAD], now)
}

fn is_quarantined(table: &Table, part: Fingerprint, now: Instant) -> bool {
    table.permission(Source::Caller, CONTENT + 50, &[part], now) != Permission::Granted
}

fn denied_until(until: Instant) -> Permission {
    Permission::Denied(Denial {
        subject: BAD,
        kind: Kind::Part,
        until,
    })
}

fn stored(failed_trials: u32) -> Quarantined {
    Quarantined {
        subject: BAD,
        kind: Kind::Part,
        ended: 3 + failed_trials,
        reached: 0,
        failed_trials,
    }
}

/// Requests under which upstreams crashed, and which of the parts [`FIRST`], [`BAD`] and [`OTHER`] are quarantined.
#[parameterized(
    two_requests = { &[(&[BAD], 100), (&[BAD], 101)], [false, false, false] },
    three_requests = { &[(&[BAD], 100), (&[BAD], 101), (&[BAD], 102)], [false, true, false] },
    one_request_repeated = { &[(&[BAD], 100), (&[BAD], 100), (&[BAD], 100), (&[BAD], 100)], [false, false, false] },
    one_request_repeated_and_another = { &[(&[BAD], 100), (&[BAD], 100), (&[BAD], 101)], [false, true, false] },
    behind_one_first_part_or_of_one_customer = { &[(&[FIRST, BAD], 100), (&[FIRST, BAD], 101), (&[FIRST, BAD], 102), (&[FIRST, BAD], 103)], [false, true, false] },
    two_behind_one_first_part = { &[(&[FIRST, BAD], 100), (&[FIRST, OTHER], 101), (&[FIRST, BAD], 102), (&[FIRST, OTHER], 103), (&[FIRST, BAD], 104), (&[FIRST, OTHER], 105)], [false, true, true] },
    a_first_part_or_several_customers = { &[(&[FIRST, BAD], 100), (&[FIRST, OTHER], 101), (&[FIRST, 12], 102)], [true, false, false] },
    behind_other_parts = { &[(&[2, BAD], 100), (&[3, BAD], 101), (&[4, BAD], 102)], [false, true, false] },
)]
fn a_part_is_quarantined_after_crashes_with_different_continuations(
    requests: &[Request],
    expected: [bool; 3],
) {
    let now = Instant::now();

    let table = table_after(requests, now);

    let found = [FIRST, BAD, OTHER].map(|part| is_quarantined(&table, part, now));
    assert_eq!(found, expected);
}

#[test]
fn one_crash_reported_by_several_hosts_counts_once() {
    let now = Instant::now();
    let mut table = table_after(&[(&[BAD], 100)], now);

    table.record_crash(&crash(0, &[(&[BAD], 101)]), now + INTERVAL);
    let later = now + 3 * INTERVAL;
    table.record_crash(&crash(0, &[(&[BAD], 102), (&[BAD], 103)]), later);

    assert!(!is_quarantined(&table, BAD, now));
}

/// Whether an answer clears a part, by when it began relative to the first crash.
#[parameterized(
    began_before = { false, true },
    began_after = { true, false },
)]
fn only_answers_begun_after_the_first_crash_clear_a_part(is_after: bool, expected: bool) {
    let first_crash = Instant::now();
    let second_crash = first_crash + INTERVAL;
    let third_crash = second_crash + INTERVAL;
    let mut table = table_after(&[(&[BAD], 100), (&[BAD], 101)], second_crash);

    let began_at = if is_after {
        first_crash
    } else {
        first_crash - INTERVAL
    };
    table.record_sound_parts(&[FIRST, BAD], began_at);
    table.record_crash(&crash(2, &[(&[BAD], 102)]), third_crash);

    assert_eq!(is_quarantined(&table, BAD, third_crash), expected);
}

/// Upstreams that crash at one moment with and without a part, and whether it is quarantined then.
#[parameterized(
    alone = { 3, 0, true },
    mostly = { 3, 1, true },
    with_others = { 3, 2, false },
    many_with_others = { 6, 6, false },
)]
fn upstreams_that_crash_at_one_moment_quarantine_a_part_that_most_had(
    with_part: usize,
    others: usize,
    expected: bool,
) {
    let now = Instant::now();
    let mut table = Table::default();

    for number in 0..others {
        table.record_crash(&crash(100 + number, &[(&[OTHER], 200)]), now);
    }
    for number in 0..with_part {
        let request: Request = (&[BAD], CONTENT + number as Fingerprint);
        table.record_crash(&crash(number, &[request]), now);
    }
    let at_once = is_quarantined(&table, BAD, now);
    let later = now + 3 * INTERVAL;
    table.record_crash(&crash(50, &[(&[BAD], 150)]), later);

    assert_eq!(at_once, expected);
    assert!(is_quarantined(&table, BAD, later));
}

#[test]
fn one_request_at_a_time_tries_a_quarantined_part() {
    let now = Instant::now();
    let mut table = table_with_quarantined_part(now);
    let due = now + FIRST_TRIAL;

    let before = permission(&table, now);
    let first = permission(&table, due);
    let tried = table.begin_trial(Source::Caller, &[FIRST, BAD], due);
    let second = permission(&table, due);

    assert_eq!(before, denied_until(due));
    assert_eq!(first, Permission::Trial);
    assert_eq!(tried.as_slice(), [BAD]);
    assert_eq!(second, denied_until(due + FIRST_TRIAL));
}

#[test]
fn a_trial_that_crashes_an_upstream_delays_the_next_one() {
    let now = Instant::now();
    let mut table = table_with_quarantined_part(now);
    let due = now + FIRST_TRIAL;

    table.begin_trial(Source::Caller, &[BAD], due);
    table.record_crash(&crash(3, &[(&[BAD], 103)]), due);

    assert_eq!(permission(&table, due), denied_until(due + SECOND_TRIAL));
}

#[test]
fn crashes_of_requests_sent_before_the_quarantine_delay_no_trial() {
    let now = Instant::now();
    let mut table = table_with_quarantined_part(now);

    table.record_crash(&crash(3, &[(&[BAD], 103)]), now);
    table.record_crash(&crash(4, &[(&[BAD], 104)]), now);

    assert_eq!(permission(&table, now), denied_until(now + FIRST_TRIAL));
}

#[test]
fn a_trial_at_another_host_is_waited_for() {
    let now = Instant::now();
    let mut table = table_with_quarantined_part(now);
    let due = now + FIRST_TRIAL;

    let is_known = table.record_trial(Source::Caller, BAD, due);

    assert!(is_known);
    assert_eq!(permission(&table, due), denied_until(due + FIRST_TRIAL));
}

/// Guards against items that wait for trials of callers, which become rare.
#[test]
fn the_wait_of_an_item_for_a_trial_of_a_part_is_bounded() {
    let now = Instant::now();
    let mut table = Table::default();

    table.replace_stored(&[stored(4)], now);
    let item = table.permission(Source::Item, CONTENT, &[BAD], now + LONGEST_WAIT_OF_ITEMS);
    let caller = table.permission(Source::Caller, CONTENT, &[BAD], now + LONGEST_WAIT_OF_ITEMS);

    assert_eq!(item, Permission::Trial);
    assert!(matches!(caller, Permission::Denied(_)));
}

/// Guards against callers that wait longer because upstreams crashed under items, which are not the cause.
#[test]
fn a_trial_by_an_item_that_crashes_an_upstream_delays_items_alone() {
    let now = Instant::now();
    let mut table = table_with_quarantined_part(now);
    let due = now + FIRST_TRIAL;
    table.begin_trial(Source::Item, &[BAD], due);
    let report = CrashReport {
        upstream: upstream(3),
        requests: smallvec![in_flight_of(Source::Item, (&[BAD], 103))],
    };

    table.record_crash(&report, due);

    let item = table.permission(Source::Item, CONTENT, &[BAD], due);
    assert_eq!(item, denied_until(due + 2 * FIRST_TRIAL));
    assert_eq!(permission(&table, due), Permission::Trial);
}

#[test]
fn a_trial_that_is_answered_ends_the_quarantine() {
    let now = Instant::now();
    let mut table = table_with_quarantined_part(now);
    table.confirm_write(Write::Quarantine(stored(0)));
    let due = now + FIRST_TRIAL;
    table.begin_trial(Source::Caller, &[BAD], due);

    table.record_sound_parts(&[BAD], due);

    assert_eq!(permission(&table, due), Permission::Granted);
    assert_eq!(table.pending_writes(due), [Write::Release(BAD)]);
}

#[test]
fn a_starting_host_goes_on_with_the_trials_in_the_store() {
    let now = Instant::now();
    let mut table = Table::default();

    table.replace_stored(&[stored(1)], now);

    assert_eq!(permission(&table, now), denied_until(now + SECOND_TRIAL));
    assert!(table.pending_writes(now).is_empty());
}

#[test]
fn a_failed_trial_is_written_to_the_store() {
    let now = Instant::now();
    let mut table = table_with_quarantined_part(now);
    table.confirm_write(Write::Quarantine(stored(0)));
    let due = now + FIRST_TRIAL;

    table.record_crash(&crash(3, &[(&[BAD], 103)]), due);
    let writes = table.pending_writes(due);
    table.confirm_write(Write::Quarantine(stored(1)));

    assert_eq!(writes, [Write::Quarantine(stored(1))]);
    assert!(table.pending_writes(due).is_empty());
}

#[test]
fn a_part_without_a_crash_for_a_day_is_released() {
    let now = Instant::now();
    let mut table = table_with_quarantined_part(now);

    table.pending_writes(now + DAY);

    assert!(table.is_empty());
    assert!(!table.has_quarantined());
}

/// Requests known to have crashed an upstream each, requests whose upstreams are being probed, and whether one more has to wait.
#[parameterized(
    nothing_probed = { &[(&[BAD], 100), (&[BAD], 101)], &[], false },
    first = { &[], &[(&[BAD], 100)], false },
    second = { &[], &[(&[BAD], 100), (&[BAD], 101)], true },
    after_a_crash = { &[(&[BAD], 100)], &[(&[BAD], 101)], true },
    of_another_part = { &[(&[BAD], 100)], &[(&[OTHER], 101)], false },
)]
fn a_request_waits_for_probes_that_may_quarantine_its_part(
    crashed: &[Request],
    probed: &[Request],
    expected: bool,
) {
    let now = Instant::now();
    let table = table_after(crashed, now);
    let probed: Vec<(id::Instance, InFlight)> = probed
        .iter()
        .enumerate()
        .map(|(number, request)| (upstream(10 + number), in_flight(*request)))
        .collect();
    let probed: Vec<(&id::Instance, &InFlight)> = probed.iter().map(|(a, b)| (a, b)).collect();

    let request = in_flight((&[BAD], 102));
    let later = now + 2 * INTERVAL;
    let waits = table.parts_must_wait_for_probes(&request, &probed, later);

    assert_eq!(waits, expected);
}

#[test]
fn a_crash_beyond_the_start_of_an_answer_blames_no_part() {
    let now = Instant::now();
    let mut table = Table::default();

    for number in 0..4 {
        let request = CONTENT + number as Fingerprint;
        let beyond = InFlight {
            request,
            source: Source::Caller,
            reached: 40,
            parts: smallvec![],
        };
        let report = CrashReport {
            upstream: upstream(number),
            requests: smallvec![beyond],
        };
        table.record_crash(&report, now);
    }

    assert_eq!(table.quarantined(Kind::Part), 0);
}

#[test]
fn a_part_is_known_by_its_id_and_customer() {
    let part = |customer, id| SharedPart { customer, id }.fingerprint();

    assert_eq!(part(Some("north"), "5c1e"), part(Some("north"), "5c1e"));
    assert_ne!(part(Some("north"), "5c1e"), part(Some("south"), "5c1e"));
    assert_ne!(part(None, "5c1e"), part(Some(""), "5c1e"));
    assert_ne!(part(None, "5c1e"), part(None, "5c1f"));
}
