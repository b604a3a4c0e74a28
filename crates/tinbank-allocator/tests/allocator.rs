//! What an allocator grants, and what it takes back.

#[allow(dead_code, reason = "each test file uses its part")]
mod world;

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tinbank_allocator::{
    Allocator,
    allocator::StateChange,
    frame::{Frame, Queue, Release},
    lease::{Class, Due, Held, Outcome},
};
use tinbank_allowance::Tolerance;
use tinbank_test_support::property;
use world::{Desk, HOSTS, LEARNED, SLOTS, batch, host, late, upstream};

#[test]
fn an_online_request_gets_the_least_loaded_upstream() {
    let mut desk = Desk::learned(2);
    let first = desk.ask(0, Class::Online, Queue::No).unwrap();

    let second = desk.ask(1, Class::Online, Queue::No).unwrap();

    assert_ne!(first, second);
}

#[test]
fn batch_leaves_a_slot_free_of_each_upstream() {
    let mut desk = Desk::learned(2);

    let granted = (0..20).filter_map(|_| desk.ask(0, batch(1), Queue::No));

    assert_eq!(granted.count(), 2 * (SLOTS - 1));
}

#[test]
fn an_online_request_takes_the_slot_of_the_item_that_is_due_last() {
    let mut desk = Desk::learned(1);
    desk.ask(0, batch(50), Queue::No).unwrap();
    let latest = desk.next;
    desk.ask(0, batch(90), Queue::No).unwrap();
    desk.ask(0, batch(70), Queue::No).unwrap();
    desk.ask(1, Class::Online, Queue::No).unwrap();

    desk.ask(1, Class::Online, Queue::No).unwrap();

    assert_eq!(desk.reclaimed, [(host(0), latest)]);
}

#[test]
fn an_item_in_time_takes_the_slot_of_one_that_is_late() {
    let mut desk = Desk::learned(1);
    desk.ask(0, late(5), Queue::No).unwrap();
    let latest = desk.next;
    desk.ask(0, late(7), Queue::No).unwrap();
    desk.ask(0, batch(9), Queue::No).unwrap();

    let granted = desk.ask(1, batch(10), Queue::No);
    let refused = desk.ask(1, late(1), Queue::No);

    assert!(granted.is_some());
    assert!(refused.is_none());
    assert_eq!(desk.reclaimed, [(host(0), latest)]);
}

/// The allocator was cut off from the platform and dealt out an upstream that leaves.
#[test]
fn an_upstream_that_a_host_knows_to_leave_is_dealt_out_no_more() {
    let mut desk = Desk::learned(1);
    let held = desk.ask_held(0, Class::Online);

    let change = desk.release(0, held, Outcome::Leaving);
    let next = desk.ask(1, Class::Online, Queue::InUpstream);

    assert_eq!(change, Some(StateChange::Left(upstream(0).instance)));
    assert_eq!(next, None);
}

#[test]
fn two_hosts_in_trouble_eject_an_upstream_and_one_does_not() {
    let mut desk = Desk::learned(1);
    for _ in 0..3 {
        let held = desk.ask_held(0, Class::Online);
        desk.release(0, held, Outcome::Unresponsive);
    }
    let by_one = desk.ask_held(1, Class::Online);

    let change = desk.release(1, by_one, Outcome::Failed);
    let meanwhile = desk.ask(2, Class::Online, Queue::InUpstream);
    desk.now += Duration::from_secs(2);
    let later = desk.ask(2, Class::Online, Queue::InUpstream);

    assert_eq!(change, Some(StateChange::Ejected(upstream(0).instance)));
    assert_eq!(meanwhile, None);
    assert!(later.is_some());
}

/// After all hosts had lost power, upstreams still worked on what they had run for them. New requests
/// waited inside, were taken for unanswered ones, and most upstreams were ejected.
#[test]
fn half_of_the_upstreams_at_most_are_ejected_at_once() {
    let mut desk = Desk::learned(4);
    let mut ejected = 0;

    for _ in 0..40 {
        for host in [0, 1, 2] {
            let held = desk.ask_held(host, Class::Online);
            let change = desk.release(host, held, Outcome::Unresponsive);
            ejected += usize::from(matches!(change, Some(StateChange::Ejected(_))));
        }
    }

    assert_eq!(ejected, 2);
}

/// On links that lost packets two hosts had trouble with any upstream now and then, and it was ejected
/// though it served nearly all.
#[test]
fn an_upstream_that_serves_nearly_all_is_not_ejected() {
    let mut desk = Desk::learned(1);
    let mut ejected = false;

    for round in 0..200 {
        let (host, outcome) = match round % 20 {
            9 => (0, Outcome::Unresponsive),
            19 => (1, Outcome::Unresponsive),
            _ => (2, Outcome::Served),
        };
        let held = desk.ask_held(host, Class::Online);
        ejected |= desk.release(host, held, outcome).is_some();
    }

    assert!(!ejected);
}

#[test]
fn a_grant_of_an_allocator_that_learns_may_have_to_wait() {
    let mut desk = Desk::learned(1);
    desk.now += Duration::from_secs(60);

    desk.ask(0, Class::Online, Queue::No).unwrap();

    assert!(desk.queued);
}

/// A request that was let in to wait was given up as if its upstream were silent, and two of those
/// ejected the upstream.
#[test]
fn a_grant_says_whether_the_request_has_to_wait() {
    let mut desk = Desk::learned(1);

    let queued: Vec<bool> = (0..=SLOTS)
        .map(|_| {
            desk.ask(0, Class::Online, Queue::InUpstream).unwrap();
            desk.queued
        })
        .collect();

    let mut expected = vec![false; SLOTS];
    expected.push(true);
    assert_eq!(queued, expected);
}

#[test]
fn an_upstream_that_refuses_is_not_ejected() {
    let mut desk = Desk::learned(1);
    for host in [0, 1, 2] {
        let held = desk.ask_held(host, Class::Online);
        assert_eq!(desk.release(host, held, Outcome::Refused), None);
    }

    assert!(desk.ask(0, Class::Online, Queue::No).is_some());
}

#[test]
fn an_allocator_that_takes_over_learns_before_it_grants_to_batch() {
    let mut desk = Desk::learned(1);
    desk.now += Duration::from_secs(60);

    let at_once = desk.ask(0, batch(1), Queue::No);
    let online = desk.ask(0, Class::Online, Queue::No);
    let held = (0..3).map(|lease| Held {
        lease,
        upstream: upstream(0).instance,
        class: Class::Online,
    });
    desk.holdings(1, 10, held.collect());
    desk.now += LEARNED;
    desk.holdings(1, 10, Vec::new());
    let learned = desk.ask(0, batch(1), Queue::No);

    assert!(at_once.is_none());
    assert!(online.is_some());
    assert!(learned.is_some());
}

/// After all hosts had lost power, allocators dealt out slots that upstreams still used for lost hosts.
#[test]
fn what_upstreams_do_for_lost_hosts_counts_until_they_are_done() {
    let mut desk = Desk::learned(2);
    let (busy, idle) = (upstream(0).instance, upstream(1).instance);

    desk.allocator.record_load(&busy, SLOTS, desk.now);
    let while_busy: Vec<_> = (0..SLOTS + 1)
        .map(|_| desk.ask(0, Class::Online, Queue::No))
        .collect();
    desk.now += Duration::from_secs(1);
    desk.allocator.record_load(&busy, 1, desk.now);
    let later = (0..SLOTS).filter_map(|_| desk.ask(0, Class::Online, Queue::No));

    let mut expected = vec![Some(idle); SLOTS];
    expected.push(None);
    assert_eq!(while_busy, expected);
    assert_eq!(later.count(), SLOTS - 1);
}

#[test]
fn what_was_granted_before_a_report_was_made_is_no_lost_host_s() {
    let mut desk = Desk::learned(1);
    desk.ask(0, Class::Online, Queue::No).unwrap();
    desk.now += Duration::from_millis(250);

    desk.allocator.record_load(&upstream(0).instance, 1, desk.now);

    let free = (0..SLOTS).filter_map(|_| desk.ask(0, Class::Online, Queue::No));
    assert_eq!(free.count(), SLOTS - 1);
}

/// On a start of 63 hosts all of them asked upstreams four times a second for ten seconds, though four were allocators.
#[test]
fn an_allocator_that_nobody_asks_needs_no_reports() {
    let mut desk = Desk::learned(1);
    desk.allocator
        .record_load(&upstream(0).instance, SLOTS, desk.now);
    let while_asked = desk.allocator.needs_load_reports(desk.now);

    desk.now += Duration::from_millis(2_100);

    assert!(while_asked);
    assert!(!desk.allocator.needs_load_reports(desk.now));
}

#[test]
fn what_a_host_tells_that_it_holds_is_no_lost_host_s() {
    let mut desk = Desk::learned(1);
    desk.allocator.record_load(&upstream(0).instance, 2, desk.now);
    let held = (0..2).map(|lease| Held {
        lease: 1_000 + lease,
        upstream: upstream(0).instance,
        class: Class::Online,
    });

    desk.holdings(1, 2_000, held.collect());

    let free = (0..SLOTS).filter_map(|_| desk.ask(0, Class::Online, Queue::No));
    assert_eq!(free.count(), SLOTS - 2);
}

#[test]
fn holdings_end_what_their_host_does_not_hold_and_keep_what_it_asked_for_since() {
    let mut desk = Desk::learned(1);
    let lost = desk.ask_held(0, Class::Online);
    let asked_since = desk.ask_held(0, Class::Online);

    desk.holdings(0, asked_since, Vec::new());

    let free = (0..SLOTS).filter_map(|_| desk.ask(1, Class::Online, Queue::No));
    assert_eq!(free.count(), SLOTS - 1);
    assert_ne!(lost, asked_since);
}

#[test]
fn an_ask_that_comes_again_gets_the_same_grant() {
    let mut desk = Desk::learned(2);
    let lease = desk.next;
    let first = desk.ask(0, Class::Online, Queue::No);

    desk.next = lease;
    let again = desk.ask(0, Class::Online, Queue::No);

    let rest = (0..20).filter_map(|_| desk.ask(1, Class::Online, Queue::No));
    assert!(first.is_some());
    assert_eq!(first, again);
    assert_eq!(rest.count(), 2 * SLOTS - 1);
}

#[test]
fn a_lease_ends_when_its_host_is_silent() {
    let mut desk = Desk::learned(1);
    for _ in 0..SLOTS {
        desk.ask(0, Class::Online, Queue::No).unwrap();
    }
    let before = desk.ask(1, Class::Online, Queue::No);

    desk.now += Duration::from_secs(4);

    assert!(before.is_none());
    assert!(desk.ask(1, Class::Online, Queue::No).is_some());
}

#[test]
fn a_second_allocator_that_knows_nothing_harms_nobody() {
    let now = Instant::now();
    let mut other = Allocator::new(9, Tolerance::default());
    other.set_upstreams(vec![upstream(0)]);
    let release = Release {
        lease: 4,
        upstream: upstream(0).instance,
        outcome: Outcome::Served,
    };

    let (out, change) = other.receive(host(0), Frame::Release(release), now);

    assert!(out.is_empty());
    assert_eq!(change, None);
}

#[derive(Clone, Debug)]
enum Step {
    Ask { host: u8, class: Class },
    Release { pick: usize },
    Tell { host: u8 },
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop_oneof![
        Just(Class::Online),
        (0..50u64, any::<bool>()).prop_map(|(at_ms, late)| Class::Batch(Due { late, at_ms })),
    ];
    prop_oneof![
        4 => (0..HOSTS, class).prop_map(|(host, class)| Step::Ask { host, class }),
        3 => any::<usize>().prop_map(|pick| Step::Release { pick }),
        1 => (0..HOSTS).prop_map(|host| Step::Tell { host }),
        1 => (0..900u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(property::config(400))]

    /// Against a version that knows all leases at once: while hosts tell their holdings in time, the allocator grants
    /// no slot twice, and finds one for an online request whenever the other version sees one that batch can give.
    #[test]
    fn grants_are_those_of_a_version_that_knows_all(steps in prop::collection::vec(step(), 1..120)) {
        let mut desk = Desk::learned(3);
        for step in steps {
            match step {
                Step::Ask { host, class } => {
                    let free = desk.slots_for(class);
                    let granted = desk.ask(host, class, Queue::No).is_some();
                    if class == Class::Online {
                        prop_assert_eq!(granted, free > 0);
                    } else if granted {
                        prop_assert!(free > 0);
                    }
                }
                Step::Release { pick } => desk.release_any(pick),
                Step::Tell { host } => desk.tell(host),
                Step::Wait { millis } => {
                    desk.now += Duration::from_millis(millis);
                    (0..HOSTS).for_each(|host| desk.tell(host));
                }
            }
            prop_assert!(desk.most_held() <= SLOTS);
        }
    }
}
