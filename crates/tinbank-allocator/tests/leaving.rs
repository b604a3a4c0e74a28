//! Reports that an upstream is leaving: heard if they are newer than the allocator's list, and never enough to lose a service.

#[allow(dead_code, reason = "each test file uses its part")]
mod harness;

use harness::{Harness, SLOTS, host, upstream};
use tinbank_allocator::{
    allocator::StateChange,
    frame::Queue,
    lease::{Class, Outcome},
    leaving::{
        Doubt,
        Evidence::{self, List, Reply},
        Missing,
    },
};
use tinbank_base::id;
use yare::parameterized;

/// Position of the allocator's list.
const OWN: u64 = 10;

fn harness(upstreams: u8) -> Harness {
    let mut harness = Harness::after_learning(upstreams);
    harness.allocator.set_list_position(OWN);
    harness
}

/// Makes a host return a grant with a report. Returns the upstream and what the allocator made of the report.
fn report(harness: &mut Harness, evidence: Evidence) -> (id::Instance, Option<StateChange>) {
    let lease = harness.next_lease;
    let upstream = harness.request(0, Class::Online, Queue::No).unwrap();
    let change = harness.release(0, lease, Outcome::Leaving(evidence));
    (upstream, change)
}

fn refused(upstream: &id::Instance, why: Doubt) -> Option<StateChange> {
    Some(StateChange::ReportRefused {
        upstream: upstream.clone(),
        from: host(0),
        why,
    })
}

/// Returns which upstreams the allocator still grants.
fn granted(harness: &mut Harness) -> Vec<id::Instance> {
    let requests = (0..40).map_while(|_| harness.request(1, Class::Online, Queue::No));
    let mut granted: Vec<_> = requests.collect();
    granted.sort();
    granted.dedup();
    granted
}

#[parameterized(
    newer_list = { List(OWN + 1) },
    reply_of_the_upstream = { Reply },
)]
fn a_report_that_the_own_list_cannot_know_is_acted_on_at_once(evidence: Evidence) {
    let mut harness = harness(2);

    let (leaving, change) = report(&mut harness, evidence);

    assert_eq!(change, Some(StateChange::Left(leaving.clone())));
    assert!(!granted(&mut harness).contains(&leaving));
}

/// Guards against hosts with a wrong list that take the upstreams of healthy failure domains away from everybody.
#[parameterized(
    same_list = { OWN },
    older_list = { 3 },
)]
fn a_report_by_a_list_that_is_not_newer_is_refused_and_the_slot_is_free_again(position: u64) {
    let mut harness = harness(2);

    let (upstream, change) = report(&mut harness, List(position));
    let slots = (0..40).map_while(|_| harness.request(1, Class::Online, Queue::No));

    let why = Doubt::NotNewer { own: OWN };
    assert_eq!(change, refused(&upstream, why));
    assert_eq!(slots.count(), 2 * SLOTS);
}

fn missing(upstream: &id::Instance) -> Vec<Missing> {
    Vec::from([Missing {
        upstream: upstream.clone(),
        listed_at: OWN - 3,
    }])
}

/// Guards against an allocator that was refused by the store and takes what it missed for an outage, while other hosts know better.
#[parameterized(
    read_since_it_was_listed = { OWN - 2, true },
    read_while_it_was_listed = { OWN - 3, false },
)]
fn a_report_of_a_missing_upstream_is_acted_on_if_it_is_newer_than_the_entry(
    position: u64,
    is_believed: bool,
) {
    let mut harness = harness(2);
    let upstreams: Vec<_> = (0..2).map(|index| upstream(index).instance).collect();
    let all_missing = upstreams.iter().flat_map(missing).collect();
    harness.allocator.set_list(OWN, all_missing);

    let (reported, change) = report(&mut harness, List(position));

    let why = Doubt::NotNewer { own: OWN - 3 };
    let expected = match is_believed {
        true => Some(StateChange::Left(reported.clone())),
        false => refused(&reported, why),
    };
    assert_eq!(change, expected);
    assert_eq!(!granted(&mut harness).contains(&reported), is_believed);
}

#[test]
fn a_reported_upstream_stays_removed_for_as_long_as_it_is_missing() {
    let mut harness = harness(2);
    let listed = || (0..2).map(upstream).collect();
    let all_missing = || (0..2).flat_map(|it| missing(&upstream(it).instance));
    harness.allocator.set_list(OWN, all_missing().collect());
    let (leaving, _) = report(&mut harness, List(OWN));

    harness.allocator.set_list(OWN + 1, all_missing().collect());
    harness.allocator.set_upstreams(listed());
    let while_missing = granted(&mut harness);
    harness.allocator.set_list(OWN + 2, Vec::new());
    harness.allocator.set_upstreams(listed());
    let when_listed_again = granted(&mut harness);

    assert!(!while_missing.contains(&leaving));
    assert!(when_listed_again.contains(&leaving));
}

#[test]
fn an_allocator_without_a_list_position_believes_reports() {
    let mut harness = Harness::after_learning(2);

    let (leaving, change) = report(&mut harness, List(1));

    assert_eq!(change, Some(StateChange::Left(leaving)));
}

#[parameterized(
    newer_lists = { List(OWN + 1) },
    replies_of_upstreams = { Reply },
)]
fn the_last_upstream_of_a_service_is_kept(evidence: Evidence) {
    let mut harness = harness(3);

    let (_, first) = report(&mut harness, evidence);
    let (_, second) = report(&mut harness, evidence);
    let (last, third) = report(&mut harness, evidence);

    assert!(matches!(first, Some(StateChange::Left(_))));
    assert!(matches!(second, Some(StateChange::Left(_))));
    assert_eq!(third, refused(&last, Doubt::LastOfService));
    assert_eq!(granted(&mut harness), [last]);
}

#[test]
fn refused_reports_of_an_upstream_are_logged_once_for_each_list() {
    let mut harness = harness(1);

    let (_, first) = report(&mut harness, List(OWN));
    let (_, second) = report(&mut harness, List(OWN));
    harness.allocator.set_list_position(OWN + 1);
    let (_, after_a_list) = report(&mut harness, List(OWN));

    assert!(first.is_some() && after_a_list.is_some());
    assert_eq!(second, None);
}

/// Guards against an allocator that reads an old list again and grants what newer lists have as gone.
#[test]
fn a_list_brings_a_reported_upstream_back_only_from_the_reported_position_on() {
    let mut harness = harness(2);
    let listed = || (0..2).map(upstream).collect();
    let (leaving, _) = report(&mut harness, List(OWN + 2));

    harness.allocator.set_list_position(OWN + 1);
    harness.allocator.set_upstreams(listed());
    let by_older_list = granted(&mut harness);
    let lacks_upstreams = harness.allocator.has_removed_upstreams();
    harness.allocator.set_list_position(OWN + 2);
    harness.allocator.set_upstreams(listed());
    let by_newer_list = granted(&mut harness);

    assert!(!by_older_list.contains(&leaving));
    assert!(lacks_upstreams);
    assert!(by_newer_list.contains(&leaving));
}
