//! Which missing upstreams count as gone, and when.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use proptest::prelude::*;
use tinbank_relay::{
    listing::{Change, LONGEST_PAUSE, Listing, RENEWAL_TIME},
    upstream::Upstream,
};
use tinbank_test_support::property;
use yare::parameterized;

/// Time between two reads that are answered.
const READ: Duration = Duration::from_millis(500);

fn upstream(index: u8) -> Upstream {
    Upstream {
        instance: format!("u{index}").into(),
        name: format!("u{index}").into(),
        address: SocketAddr::from(([10, 0, 1, index], 8000)),
        service: "notes".to_owned(),
        failure_domain: "north".to_owned(),
        slots: 4,
        leaving: false,
        cold_until: None,
    }
}

/// A listing that has read some upstreams from a store that answers.
fn listing(upstreams: u8, now: Instant) -> Listing {
    let mut listing = Listing::default();
    listing.record_store_answer(now);
    listing.replace((0..upstreams).map(upstream).collect(), now);
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

/// What happens to the store and the list.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A read is answered, some time after the last step.
    Answer(Duration),
    /// A read fails.
    Fail(Duration),
    Remove(u8),
    Add(u8),
    /// The whole list is read, and names none.
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
            Remove(index) => drop(listing.remove(&upstream(index).instance, now)),
            Add(index) => drop(listing.add(upstream(index))),
            Empty => drop(listing.replace(Vec::new(), now)),
        }
        listing.expire_missing(now);
    }
    (listing, now)
}

#[parameterized(
    removed_in_calm = { &[Answer(SECOND), Remove(0)], &["u1"] },
    lapsed_while_away = { &[Fail(SECOND), Answer(SECOND), Remove(0), Remove(1)], &["u0", "u1"] },
    still_missing_after_a_second = { &[Fail(SECOND), Answer(SECOND), Remove(0), Answer(SECOND)], &["u0", "u1"] },
    missing_for_too_long = { &[Fail(SECOND), Answer(SECOND), Remove(0), Answer(SECOND), Answer(TWO)], &["u1"] },
    back_in_time = { &[Fail(SECOND), Answer(SECOND), Remove(0), Answer(SECOND), Add(0), Answer(TWO)], &["u0", "u1"] },
    away_again_within_the_time = { &[Fail(SECOND), Answer(SECOND), Remove(0), Fail(SECOND), Answer(RENEWAL_TIME)], &["u0", "u1"] },
    removed_long_after_the_return = { &[Fail(SECOND), Answer(SECOND), Answer(TWO), Answer(SECOND), Remove(0)], &["u1"] },
    silence_without_a_failure = { &[Answer(LONGEST_PAUSE + SECOND), Remove(0)], &["u0", "u1"] },
    whole_list_after_an_outage = { &[Fail(SECOND), Answer(SECOND), Empty], &["u0", "u1"] },
    whole_list_in_calm = { &[Answer(SECOND), Empty], &[] },
)]
fn what_is_missing_is_gone_once_the_store_has_answered_for_long_enough(
    steps: &[Step],
    expected: &[&str],
) {
    let (listing, _) = play(steps);

    assert_eq!(serving(&listing), expected);
}

#[test]
fn a_missing_upstream_that_said_that_it_leaves_takes_no_requests() {
    let (mut listing, _) = play(&[Fail(SECOND), Answer(SECOND), Remove(0)]);

    listing.mark_leaving(&upstream(0).instance);

    assert_eq!(serving(&listing), ["u1"]);
    assert!(listing.is_leaving(&upstream(0).instance));
}

#[test]
fn each_change_is_told_once_and_the_time_of_the_next_is_known() {
    let (mut listing, now) = play(&[Fail(SECOND), Answer(SECOND)]);
    let gone = upstream(0).instance;

    let first = listing.remove(&gone, now);
    let second = listing.remove(&gone, now);
    let missing_expire_at = listing.missing_expire_at().unwrap();
    let early = listing.expire_missing(now + READ);
    let settled = listing.expire_missing(missing_expire_at);
    let again = listing.expire_missing(missing_expire_at + READ);

    assert_eq!(first, Some(Change::Missing(gone.clone())));
    assert_eq!(second, None);
    assert!(early.is_empty());
    assert_eq!(settled[..], [Change::Gone(gone.clone())]);
    assert!(again.is_empty());
    assert!(listing.is_leaving(&gone));
}

proptest! {
    #![proptest_config(property::config(400))]

    /// A naive version: an upstream counts as there if it is listed, or was taken off after the last failure and less than
    /// the time for renewals after the answer that followed it, or before that answer.
    #[test]
    fn an_upstream_serves_as_in_a_naive_version(steps in prop::collection::vec((0u8..6, 0u8..2), 1..60)) {
        let mut now = Instant::now();
        let mut listing = listing(2, now);
        let mut listed = BTreeMap::from([(0u8, true), (1, true)]);
        let mut missing: BTreeMap<u8, bool> = BTreeMap::new();
        let mut returned_at: Option<Instant> = None;
        let mut is_away = false;
        for (what, index) in steps {
            now += READ;
            match what {
                0..=2 => {
                    if std::mem::take(&mut is_away) {
                        returned_at = Some(now);
                    }
                    listing.record_store_answer(now);
                }
                3 => {
                    is_away = true;
                    listing.record_store_failure();
                }
                4 if !is_away => {
                    let was_listed = listed.insert(index, false) == Some(true);
                    let doubtful = returned_at.is_some_and(|at| now < at + RENEWAL_TIME);
                    if was_listed && doubtful {
                        missing.insert(index, true);
                    }
                    listing.remove(&upstream(index).instance, now);
                }
                5 if !is_away => {
                    listed.insert(index, true);
                    missing.remove(&index);
                    listing.add(upstream(index));
                }
                _ => {}
            }
            // Reads are answered all the time while the store is there.
            if !is_away {
                listing.record_store_answer(now);
            }
            if !is_away && returned_at.is_none_or(|at| now >= at + RENEWAL_TIME) {
                missing.clear();
            }
            listing.expire_missing(now);
            let expected: Vec<_> = (0..2u8)
                .filter(|index| listed[index] || missing.contains_key(index))
                .map(|index| format!("u{index}"))
                .collect();
            prop_assert_eq!(serving(&listing), expected);
        }
    }
}

#[test]
fn what_another_host_tells_counts_at_once() {
    let now = Instant::now();
    let mut listing = listing(3, now);

    let changes = listing.apply_snapshot(vec![upstream(1), upstream(2), upstream(5)]);

    let gone = Change::Gone("u0".into());
    assert_eq!(changes.as_slice(), [gone, Change::Listed(upstream(5))]);
    assert_eq!(serving(&listing), ["u1", "u2", "u5"]);
    assert!(listing.is_leaving(&"u0".into()));
}

#[test]
fn an_upstream_that_was_heard_to_leave_does_not_come_back_by_hearsay() {
    let now = Instant::now();
    let mut listing = listing(2, now);
    listing.mark_leaving(&"u1".into());

    listing.apply_snapshot(vec![upstream(0), upstream(1)]);

    assert_eq!(serving(&listing), ["u0"]);
    assert!(listing.is_leaving(&"u1".into()));
}

#[test]
fn upstreams_that_leave_are_told_as_well() {
    let now = Instant::now();
    let mut teller = listing(2, now);
    teller.mark_leaving(&"u1".into());
    let mut told = Listing::default();

    told.apply_snapshot(teller.present().cloned().collect());

    assert_eq!(serving(&told), ["u0"]);
    assert!(told.is_leaving(&"u1".into()));
}

/// A later start of an upstream.
fn reborn(index: u8) -> Upstream {
    Upstream {
        instance: format!("u{index}@2").into(),
        ..upstream(index)
    }
}

#[test]
fn an_upstream_that_starts_again_under_its_name_is_another_one() {
    let now = Instant::now();
    let mut listing = listing(2, now);
    listing.mark_leaving(&"u0".into());

    let changes = listing.add(reborn(0));

    let gone = Change::Gone("u0".into());
    assert_eq!(changes.as_slice(), [gone, Change::Listed(reborn(0))]);
    assert_eq!(serving(&listing), ["u0@2", "u1"]);
    assert!(listing.is_leaving(&"u0".into()));
    assert!(!listing.is_leaving(&"u0@2".into()));
}

#[test]
fn what_is_taken_off_under_a_name_is_its_last_start() {
    let now = Instant::now();
    let mut listing = listing(2, now);
    listing.add(reborn(0));

    let change = listing.remove(&"u0".into(), now);

    assert_eq!(change, Some(Change::Gone("u0@2".into())));
    assert_eq!(serving(&listing), ["u1"]);
}

#[test]
fn a_whole_list_and_what_another_host_tells_replace_a_start_by_a_later_one() {
    let now = Instant::now();
    let (mut read, mut told) = (listing(2, now), listing(2, now));
    told.mark_leaving(&"u0".into());

    read.replace(vec![reborn(0), upstream(1)], now);
    told.apply_snapshot(vec![reborn(0), upstream(1)]);

    assert_eq!(serving(&read), ["u0@2", "u1"]);
    assert_eq!(serving(&told), ["u0@2", "u1"]);
}

#[test]
fn a_follower_takes_in_what_changed_and_keeps_the_rest() {
    let mut listing = Listing::default();
    listing.apply_snapshot(vec![upstream(0), upstream(1), upstream(2)]);
    listing.mark_leaving(&"u1".into());

    let changes = listing.apply_update(vec![upstream(1), upstream(3)], vec!["u0".into()]);

    // What was heard to leave here does not come back by what another host knows.
    assert_eq!(serving(&listing), ["u2", "u3"]);
    assert!(listing.is_leaving(&"u0".into()));
    assert_eq!(changes.len(), 2);
}

#[test]
fn what_is_of_other_failure_domains_is_unknown_and_not_gone_once_it_is_not_heard_of_any_more() {
    let mut listing = Listing::default();
    let far = Upstream {
        failure_domain: "south".to_owned(),
        ..upstream(1)
    };
    listing.apply_snapshot(vec![upstream(0), far]);

    listing.retain_failure_domain("north");

    assert_eq!(serving(&listing), ["u0"]);
    assert!(!listing.is_leaving(&"u1".into()));
}
