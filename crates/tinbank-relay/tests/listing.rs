//! Tests when an upstream whose entry is missing counts as gone.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tinbank_relay::{
    contact::{MAX_ANSWER_GAP, Period},
    listing::{Change, GONE_DURATION, Listing, RENEWAL_TIME, Reading, Reliability, Scope},
    upstream::Upstream,
};
use tinbank_test_support::property;
use yare::parameterized;

/// Time between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_millis(500);

fn at(now: Instant) -> Reading {
    Reading { position: 7, now }
}

/// Returns the reliability of a list of a host that has read the store for long.
fn reliable(now: Instant) -> Reliability {
    read_by_others(now - RENEWAL_TIME, now)
}

/// Returns the reliability of a list of a host that has just begun to read the store.
fn unreliable(now: Instant) -> Reliability {
    read_by_others(now, now)
}

fn read_by_others(since: Instant, until: Instant) -> Reliability {
    Reliability {
        missing: Vec::new(),
        contact: Some(Period { since, until }),
    }
}

/// Lets the store answer until missing upstreams expire. Returns when that is.
fn answer_for_the_renewal_time(listing: &mut Listing, now: Instant) -> Instant {
    for part in 1..=2 {
        listing.record_store_answer(now + RENEWAL_TIME * part / 2);
    }
    now + RENEWAL_TIME
}

fn upstream(index: u8) -> Upstream {
    Upstream {
        instance: format!("u{index}").into(),
        name: format!("u{index}").into(),
        address: SocketAddr::from(([10, 0, 1, index], 8000)),
        service: "notes".to_owned(),
        failure_domain: "north".to_owned(),
        slots: 4,
        leaving: false,
        build: "v1".into(),
        cold_until: None,
    }
}

/// Returns a listing of `upstreams` upstreams, read from a store that has answered for [`RENEWAL_TIME`].
fn listing(upstreams: u8, now: Instant) -> Listing {
    let mut listing = Listing::default();
    listing.record_store_answer(now - RENEWAL_TIME);
    listing.record_store_answer(now - RENEWAL_TIME / 2);
    listing.record_store_answer(now);
    listing.replace((0..upstreams).map(upstream).collect(), at(now));
    listing
}

fn serving(listing: &Listing) -> Vec<String> {
    let mut names: Vec<_> = listing
        .serving()
        .map(|it| it.instance.to_string())
        .collect();
    names.sort();
    names
}

/// An event at the store or in the list.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The store answers a read, this long after the last step.
    Answer(Duration),
    /// A read fails, this long after the last step.
    Fail(Duration),
    Remove(u8),
    Add(u8),
    /// A read of the whole list returns no entries.
    Empty,
}

use Step::{Add, Answer, Empty, Fail, Remove};

const SECOND: Duration = Duration::from_secs(1);
const TWO: Duration = Duration::from_secs(2);

fn play(steps: &[Step]) -> (Listing, Instant) {
    let mut now = Instant::now();
    let mut listing = listing(2, now);
    for step in steps {
        match *step {
            Answer(after) => {
                now += after;
                listing.record_store_answer(now);
            }
            Fail(after) => {
                now += after;
                listing.record_store_failure();
            }
            Remove(index) => drop(listing.remove(&upstream(index).instance, at(now))),
            Add(index) => drop(listing.add(upstream(index), at(now))),
            Empty => drop(listing.replace(Vec::new(), at(now))),
        }
        listing.expire_missing(at(now));
    }
    (listing, now)
}

#[parameterized(
    removed_while_available = { &[Answer(SECOND), Remove(0)], &["u1"] },
    expired_during_outage = { &[Fail(SECOND), Answer(SECOND), Remove(0), Remove(1)], &["u0", "u1"] },
    still_missing_after_a_second = { &[Fail(SECOND), Answer(SECOND), Remove(0), Answer(SECOND)], &["u0", "u1"] },
    missing_longer_than_renewal_time = { &[Fail(SECOND), Answer(SECOND), Remove(0), Answer(SECOND), Answer(TWO)], &["u1"] },
    listed_again_in_time = { &[Fail(SECOND), Answer(SECOND), Remove(0), Answer(SECOND), Add(0), Answer(TWO)], &["u0", "u1"] },
    second_outage_within_renewal_time = { &[Fail(SECOND), Answer(SECOND), Remove(0), Fail(SECOND), Answer(RENEWAL_TIME)], &["u0", "u1"] },
    removed_long_after_outage = { &[Fail(SECOND), Answer(SECOND), Answer(TWO), Answer(SECOND), Remove(0)], &["u1"] },
    answer_gap_without_failure = { &[Answer(MAX_ANSWER_GAP + SECOND), Remove(0)], &["u0", "u1"] },
    empty_list_after_outage = { &[Fail(SECOND), Answer(SECOND), Empty], &["u0", "u1"] },
    empty_list_while_available = { &[Answer(SECOND), Empty], &[] },
)]
fn missing_upstreams_are_gone_only_after_the_renewal_time(steps: &[Step], expected: &[&str]) {
    let (listing, _) = play(steps);

    assert_eq!(serving(&listing), expected);
}

/// Guards against a follower that begins to read the store after an outage of which it knows nothing, and takes the entries
/// that lapsed for those of upstreams that are gone.
#[parameterized(
    records_since_the_last_position = { false },
    whole_list = { true },
)]
fn entries_absent_from_the_first_read_are_missing_until_the_renewal_time(is_whole: bool) {
    let now = Instant::now();
    let mut listing = Listing::default();
    listing.apply_snapshot(vec![upstream(0), upstream(1)], reliable(now), at(now));

    listing.record_store_answer(now);
    match is_whole {
        true => drop(listing.replace(vec![upstream(1)], at(now))),
        false => drop(listing.remove(&upstream(0).name, at(now))),
    }
    let at_first = serving(&listing);
    let expired_at = answer_for_the_renewal_time(&mut listing, now);
    listing.expire_missing(at(expired_at));

    assert_eq!(at_first, ["u0", "u1"]);
    assert_eq!(serving(&listing), ["u1"]);
}

#[test]
fn a_missing_upstream_that_reported_leaving_accepts_no_requests() {
    let (mut listing, now) = play(&[Fail(SECOND), Answer(SECOND), Remove(0)]);

    listing.mark_leaving(&upstream(0).instance);

    assert_eq!(serving(&listing), ["u1"]);
    assert!(listing.is_leaving(&upstream(0).instance, now));
}

#[test]
fn changes_are_reported_once_and_missing_upstreams_expire_on_time() {
    let (mut listing, now) = play(&[Fail(SECOND), Answer(SECOND)]);
    let gone = upstream(0).instance;

    let first = listing.remove(&gone, at(now));
    let second = listing.remove(&gone, at(now));
    let expires_at = listing.missing_expire_at().unwrap();
    let early = listing.expire_missing(at(now + READ_INTERVAL));
    let answered_at = answer_for_the_renewal_time(&mut listing, now);
    let expired = listing.expire_missing(at(expires_at));
    let again = listing.expire_missing(at(expires_at + READ_INTERVAL));

    assert_eq!(first, Some(Change::Missing(gone.clone())));
    assert_eq!(second, None);
    assert!(early.is_empty());
    assert_eq!(answered_at, expires_at);
    assert_eq!(expired[..], [Change::Gone(gone.clone())]);
    assert!(again.is_empty());
    assert!(listing.is_leaving(&gone, now));
}

proptest! {
    #![proptest_config(property::config(400))]

    /// Reference model: an upstream is present if it is listed, or if its entry was removed during the last outage or less
    /// than the renewal time after it.
    #[test]
    fn serving_upstreams_match_the_reference_model(steps in prop::collection::vec((0u8..6, 0u8..2), 1..60)) {
        let mut now = Instant::now();
        let mut listing = listing(2, now);
        let mut listed = BTreeMap::from([(0u8, true), (1, true)]);
        let mut missing: BTreeMap<u8, bool> = BTreeMap::new();
        let mut returned_at: Option<Instant> = None;
        let mut is_unavailable = false;
        for (what, index) in steps {
            now += READ_INTERVAL;
            match what {
                0..=2 => {
                    if std::mem::take(&mut is_unavailable) {
                        returned_at = Some(now);
                    }
                    listing.record_store_answer(now);
                }
                3 => {
                    is_unavailable = true;
                    listing.record_store_failure();
                }
                4 if !is_unavailable => {
                    let was_listed = listed.insert(index, false) == Some(true);
                    let is_unreliable = returned_at.is_some_and(|at| now < at + RENEWAL_TIME);
                    if was_listed && is_unreliable {
                        missing.insert(index, true);
                    }
                    listing.remove(&upstream(index).instance, at(now));
                }
                5 if !is_unavailable => {
                    listed.insert(index, true);
                    missing.remove(&index);
                    listing.add(upstream(index), at(now));
                }
                _ => {}
            }
            // A reachable store answers reads without a gap.
            if !is_unavailable {
                listing.record_store_answer(now);
            }
            if !is_unavailable && returned_at.is_none_or(|at| now >= at + RENEWAL_TIME) {
                missing.clear();
            }
            listing.expire_missing(at(now));
            let expected: Vec<_> = (0..2u8)
                .filter(|index| listed[index] || missing.contains_key(index))
                .map(|index| format!("u{index}"))
                .collect();
            prop_assert_eq!(serving(&listing), expected);
        }
    }
}

#[test]
fn a_snapshot_from_another_host_applies_at_once() {
    let now = Instant::now();
    let mut listing = listing(3, now);

    let changes = listing.apply_snapshot(
        vec![upstream(1), upstream(2), upstream(5)],
        reliable(now),
        at(now),
    );

    let gone = Change::Gone("u0".into());
    assert_eq!(changes.as_slice(), [gone, Change::Listed(upstream(5))]);
    assert_eq!(serving(&listing), ["u1", "u2", "u5"]);
    assert!(listing.is_leaving(&"u0".into(), now));
}

/// Guards against a delegate that has just begun to read the store after an outage, and whose list is short.
#[test]
fn upstreams_absent_from_a_list_are_missing_until_it_can_be_relied_on() {
    let now = Instant::now();
    let mut listing = listing(3, now);

    let changes = listing.apply_snapshot(vec![upstream(1)], unreliable(now), at(now));
    let at_first = serving(&listing);
    listing.apply_update(vec![upstream(2)], vec![], unreliable(now), at(now));
    let later = listing.apply_update(vec![], vec![], reliable(now + SECOND), at(now + SECOND));

    assert!(changes.iter().all(|it| matches!(it, Change::Missing(_))));
    assert_eq!(at_first, ["u0", "u1", "u2"]);
    assert_eq!(later.as_slice(), [Change::Gone("u0".into())]);
    assert_eq!(serving(&listing), ["u1", "u2"]);
}

#[test]
fn upstreams_that_the_sender_misses_are_missing_until_it_has_them_as_gone() {
    let now = Instant::now();
    let mut listing = listing(2, now);
    let sent = Reliability {
        missing: vec!["u0".into()],
        ..reliable(now)
    };

    let changes = listing.apply_update(vec![], vec![], sent.clone(), at(now));
    listing.apply_update(vec![], vec![], sent, at(now + SECOND));
    let still_missing = serving(&listing);
    let gone = listing.apply_update(
        vec![],
        vec!["u0".into()],
        reliable(now + SECOND),
        at(now + SECOND),
    );

    assert_eq!(changes.as_slice(), [Change::Missing("u0".into())]);
    assert_eq!(still_missing, ["u0", "u1"]);
    assert_eq!(gone.as_slice(), [Change::Gone("u0".into())]);
}

/// Guards against a host that follows a delegate in an outage and then reads the store itself.
#[test]
fn the_first_read_of_a_follower_counts_as_a_read_after_an_outage() {
    let now = Instant::now();
    let mut listing = Listing::default();
    listing.apply_snapshot(vec![upstream(0), upstream(1)], reliable(now), at(now));

    listing.record_store_answer(now + SECOND);
    listing.remove(&"u0".into(), at(now + SECOND));

    assert_eq!(serving(&listing), ["u0", "u1"]);
}

/// What happens at a host that reads the store, and at others.
#[derive(Clone, Copy, Debug)]
enum Contact {
    /// This host reads, so long after the last event.
    Read(Duration),
    /// A read of this host fails, so long after the last event.
    Failure(Duration),
    /// Another host reports a moment later that the store has answered it for this long.
    Report(Duration),
    /// A delegate sends a list that it has read a moment later, and that the store has answered it for this long.
    List(Duration),
}

const MOMENT: Duration = Duration::from_millis(100);

use Contact::{Failure, List, Read, Report};

/// Guards against a host that takes a pause or a refusal of its own for an outage of the store, and against one that forgets its
/// contact with the store when it receives a list.
#[parameterized(
    reader_receives_a_list = { &[Read(SECOND), List(TWO), Read(SECOND)], &["u1"] },
    reader_receives_a_list_of_a_host_that_has_begun_to_read = { &[Read(SECOND), List(Duration::ZERO), Read(SECOND)], &["u1"] },
    refused_host_follows_a_delegate = { &[Failure(SECOND), Failure(TWO), List(TWO * 3), Read(SECOND), Report(TWO * 3)], &["u1"] },
    refused_host_reads_again = { &[Failure(SECOND), Failure(TWO), Read(SECOND), Report(TWO * 3)], &["u1"] },
    paused_host_reads_again = { &[Read(TWO * 2), Report(TWO * 3)], &["u1"] },
    paused_host_reads_and_receives_a_list = { &[Read(TWO * 2), List(TWO * 3), Read(SECOND)], &["u1"] },
    others_have_read_for_the_renewal_time_only = { &[Failure(SECOND), Read(TWO), Report(RENEWAL_TIME + MOMENT)], &["u1"] },
    others_have_begun_to_read_as_well = { &[Failure(SECOND), Failure(TWO), Read(SECOND), Report(SECOND)], &["u0", "u1"] },
    nobody_else_is_there = { &[Failure(SECOND), Failure(TWO), Read(SECOND)], &["u0", "u1"] },
    report_from_before_the_first_read = { &[Failure(SECOND), Report(TWO * 3), Failure(TWO), Read(SECOND)], &["u0", "u1"] },
    report_of_the_moment_of_the_first_read = { &[Failure(SECOND), Report(TWO * 3), Read(Duration::ZERO)], &["u0", "u1"] },
    list_from_before_the_first_read = { &[Failure(SECOND), List(TWO * 3), Failure(TWO), Read(SECOND)], &["u0", "u1"] },
)]
fn an_upstream_is_gone_at_once_if_the_store_has_answered_some_host(
    events: &[Contact],
    expected: &[&str],
) {
    let mut now = Instant::now();
    let mut listing = listing(2, now);
    for event in events {
        match *event {
            Read(after) => {
                now += after;
                listing.record_store_answer(now);
            }
            Failure(after) => {
                now += after;
                listing.record_store_failure();
            }
            Report(answering_for) => {
                now += MOMENT;
                listing.record_reported_contact(Period {
                    since: now - answering_for,
                    until: now,
                });
            }
            List(answering_for) => {
                now += MOMENT;
                let reliability = read_by_others(now - answering_for, now);
                listing.apply_update(vec![], vec![], reliability, at(now));
            }
        }
    }

    listing.remove(&"u0".into(), at(now));
    listing.expire_missing(at(now));

    assert_eq!(serving(&listing), expected);
}

/// Guards against a delegate that was refused, and sends a whole list with what it keeps as missing.
#[test]
fn an_upstream_that_is_gone_here_stays_gone_if_the_sender_misses_it() {
    let now = Instant::now();
    let mut listing = listing(2, now);
    listing.remove(&"u0".into(), at(now));
    let sent = Reliability {
        missing: vec!["u0".into()],
        ..unreliable(now)
    };

    listing.apply_snapshot(vec![upstream(0), upstream(1)], sent, at(now));

    assert_eq!(serving(&listing), ["u1"]);
    assert!(listing.is_leaving(&"u0".into(), now));
}

#[test]
fn a_snapshot_does_not_reinstate_an_upstream_that_reported_leaving_here() {
    let now = Instant::now();
    let mut listing = listing(2, now);
    listing.mark_leaving(&"u1".into());

    listing.apply_snapshot(vec![upstream(0), upstream(1)], reliable(now), at(now));

    assert_eq!(serving(&listing), ["u0"]);
    assert!(listing.is_leaving(&"u1".into(), now));
}

#[test]
fn a_snapshot_includes_leaving_upstreams() {
    let now = Instant::now();
    let mut sender = listing(2, now);
    sender.mark_leaving(&"u1".into());
    let mut receiver = Listing::default();

    receiver.apply_snapshot(sender.present().cloned().collect(), reliable(now), at(now));

    assert_eq!(serving(&receiver), ["u0"]);
    assert!(receiver.is_leaving(&"u1".into(), now));
}

/// Returns a later instance of an upstream.
fn restarted(index: u8) -> Upstream {
    Upstream {
        instance: format!("u{index}@2").into(),
        ..upstream(index)
    }
}

#[test]
fn a_restarted_upstream_replaces_the_previous_instance() {
    let now = Instant::now();
    let mut listing = listing(2, now);
    listing.mark_leaving(&"u0".into());

    let changes = listing.add(restarted(0), at(now));

    let gone = Change::Gone("u0".into());
    assert_eq!(changes.as_slice(), [gone, Change::Listed(restarted(0))]);
    assert_eq!(serving(&listing), ["u0@2", "u1"]);
    assert!(listing.is_leaving(&"u0".into(), now));
    assert!(!listing.is_leaving(&"u0@2".into(), now));
}

#[test]
fn removing_a_name_removes_its_latest_instance() {
    let now = Instant::now();
    let mut listing = listing(2, now);
    listing.add(restarted(0), at(now));

    let change = listing.remove(&"u0".into(), at(now));

    assert_eq!(change, Some(Change::Gone("u0@2".into())));
    assert_eq!(serving(&listing), ["u1"]);
}

#[test]
fn full_reads_and_snapshots_replace_an_instance_by_a_later_one() {
    let now = Instant::now();
    let (mut read, mut received) = (listing(2, now), listing(2, now));
    received.mark_leaving(&"u0".into());

    read.replace(vec![restarted(0), upstream(1)], at(now));
    received.apply_snapshot(vec![restarted(0), upstream(1)], reliable(now), at(now));

    assert_eq!(serving(&read), ["u0@2", "u1"]);
    assert_eq!(serving(&received), ["u0@2", "u1"]);
}

#[test]
fn an_update_changes_only_the_named_upstreams() {
    let now = Instant::now();
    let mut listing = Listing::default();
    listing.apply_snapshot(
        vec![upstream(0), upstream(1), upstream(2)],
        reliable(now),
        at(now),
    );
    listing.mark_leaving(&"u1".into());

    let changes = listing.apply_update(
        vec![upstream(1), upstream(3)],
        vec!["u0".into()],
        reliable(now),
        at(now),
    );

    // u1 reported to this host that it is leaving, so the update does not reinstate it.
    assert_eq!(serving(&listing), ["u2", "u3"]);
    assert!(listing.is_leaving(&"u0".into(), now));
    assert_eq!(changes.len(), 2);
}

fn far(index: u8) -> Upstream {
    Upstream {
        failure_domain: "south".to_owned(),
        ..upstream(index)
    }
}

fn own_domain() -> Scope {
    Scope::Domain("north".to_owned())
}

/// How a host learns about upstreams of another failure domain.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The store has the entry, or no longer.
    Read {
        is_listed: bool,
    },
    /// A delegate sent an update of all upstreams with the entry, or without.
    Snapshot {
        is_listed: bool,
    },
    /// A delegate reports the upstream as gone, as it does to followers of every scope.
    Update,
    Scope(fn() -> Scope),
}

const ALL: Event = Event::Scope(Scope::default);
const OWN: Event = Event::Scope(own_domain);
const LISTED: Event = Event::Read { is_listed: true };
const REMOVED: Event = Event::Read { is_listed: false };
const TOLD: Event = Event::Snapshot { is_listed: true };
const TOLD_WITHOUT: Event = Event::Snapshot { is_listed: false };

/// Guards against marks of upstreams about which a host receives no more updates: they would last although the upstreams are
/// listed again, and make the host return each grant of them.
#[parameterized(
    delegate_hears_of_the_removal = { &[ALL, TOLD, Event::Update], true },
    delegate_becomes_follower = { &[ALL, TOLD, Event::Update, OWN], false },
    delegate_reads_and_becomes_follower = { &[ALL, LISTED, REMOVED, OWN], false },
    reader_of_all_becomes_reader_of_its_own_domain = { &[ALL, LISTED, OWN, REMOVED], false },
    reader_of_its_own_domain = { &[OWN, LISTED, REMOVED], false },
    follower_hears_of_the_removal = { &[OWN, TOLD, Event::Update], false },
    follower_becomes_delegate = { &[OWN, TOLD, Event::Update, ALL, TOLD], false },
    delegate_becomes_follower_and_delegate_again = { &[ALL, TOLD, Event::Update, OWN, ALL, TOLD], false },
    delegate_becomes_follower_by_a_list_of_its_domain = { &[ALL, TOLD, OWN, TOLD_WITHOUT], false },
    listed_again = { &[ALL, LISTED, REMOVED, LISTED], false },
)]
fn a_mark_ends_with_the_updates_on_its_failure_domain(events: &[Event], is_leaving: bool) {
    let now = Instant::now();
    let mut listing = listing(1, now);

    for event in events {
        match event {
            Event::Read { is_listed: true } => drop(listing.add(far(1), at(now))),
            Event::Read { is_listed: false } => drop(listing.remove(&"u1".into(), at(now))),
            Event::Snapshot { is_listed } => {
                let upstreams = [upstream(0)].into_iter().chain(is_listed.then(|| far(1)));
                listing.apply_snapshot(upstreams.collect(), reliable(now), at(now));
            }
            Event::Update => {
                drop(listing.apply_update(vec![], vec!["u1".into()], reliable(now), at(now)))
            }
            Event::Scope(scope) => listing.set_scope(scope()),
        }
    }

    assert_eq!(listing.is_leaving(&"u1".into(), now), is_leaving);
    let is_far = |it: &Upstream| it.failure_domain == "south";
    assert!(*listing.scope() == Scope::All || !listing.present().any(is_far));
}

#[test]
fn an_upstream_counts_as_gone_for_a_limited_time() {
    let now = Instant::now();
    let mut listing = listing(2, now);
    let gone = upstream(0).instance;

    listing.remove(&gone, at(now));

    let last = now + GONE_DURATION - Duration::from_millis(1);
    assert!(listing.is_leaving(&gone, last));
    assert!(!listing.is_leaving(&gone, now + GONE_DURATION));
}
