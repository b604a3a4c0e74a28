//! Granting, reclaiming and expiry of leases.

#[allow(dead_code, reason = "each test file uses its part")]
mod harness;

use std::time::{Duration, Instant};

use harness::{HOSTS, Harness, LEARNING_PERIOD, SLOTS, batch, host, late_batch, upstream};
use proptest::prelude::*;
use tinbank_allocator::{
    Allocator,
    allocator::{StateChange, Upstream},
    frame::{Frame, Queue, Release},
    lease::{Class, Due, Footprint, Held, Outcome},
    leaving::Evidence,
};
use tinbank_allowance::Tolerance;
use tinbank_test_support::property;

#[test]
fn an_online_request_gets_the_least_loaded_upstream() {
    let mut harness = Harness::after_learning(2);
    let first = harness.request(0, Class::Online, Queue::No).unwrap();

    let second = harness.request(1, Class::Online, Queue::No).unwrap();

    assert_ne!(first, second);
}

#[test]
fn batch_leaves_one_slot_per_upstream_free() {
    let mut harness = Harness::after_learning(2);

    let granted = (0..20).filter_map(|_| harness.request(0, batch(1), Queue::No));

    assert_eq!(granted.count(), 2 * (SLOTS - 1));
}

#[test]
fn an_online_request_reclaims_the_slot_of_the_item_with_the_latest_due_time() {
    let mut harness = Harness::after_learning(1);
    harness.request(0, batch(50), Queue::No).unwrap();
    let latest = harness.next_lease;
    harness.request(0, batch(90), Queue::No).unwrap();
    harness.request(0, batch(70), Queue::No).unwrap();
    harness.request(1, Class::Online, Queue::No).unwrap();

    harness.request(1, Class::Online, Queue::No).unwrap();

    assert_eq!(harness.reclaimed, [(host(0), latest)]);
}

#[test]
fn an_on_time_item_reclaims_the_slot_of_a_late_one() {
    let mut harness = Harness::after_learning(1);
    harness.request(0, late_batch(5), Queue::No).unwrap();
    let latest = harness.next_lease;
    harness.request(0, late_batch(7), Queue::No).unwrap();
    harness.request(0, batch(9), Queue::No).unwrap();

    let granted = harness.request(1, batch(10), Queue::No);
    let refused = harness.request(1, late_batch(1), Queue::No);

    assert!(granted.is_some());
    assert!(refused.is_none());
    assert_eq!(harness.reclaimed, [(host(0), latest)]);
}

/// Covers an allocator that can't reach the platform and does not know that the upstream is leaving.
#[test]
fn an_upstream_reported_as_leaving_is_not_granted_again() {
    let mut harness = Harness::after_learning(2);
    let held = harness.next_lease;
    let leaving = harness.request(0, Class::Online, Queue::No).unwrap();

    let change = harness.release(0, held, Outcome::Leaving(Evidence::List(1)));
    let requests = (0..40).map_while(|_| harness.request(1, Class::Online, Queue::No));
    let granted_after: Vec<_> = requests.collect();

    assert_eq!(change, Some(StateChange::Left(leaving.clone())));
    assert_eq!(granted_after.len(), SLOTS);
    assert!(!granted_after.contains(&leaving));
}

#[test]
fn an_upstream_is_ejected_by_failures_of_two_hosts_but_not_of_one() {
    let mut harness = Harness::after_learning(1);
    for _ in 0..3 {
        let held = harness.request_granted(0, Class::Online);
        harness.release(0, held, Outcome::Unresponsive);
    }
    let by_one = harness.request_granted(1, Class::Online);

    let change = harness.release(1, by_one, Outcome::Failed);
    let meanwhile = harness.request(2, Class::Online, Queue::InUpstream);
    harness.now += Duration::from_secs(2);
    let later = harness.request(2, Class::Online, Queue::InUpstream);

    assert_eq!(change, Some(StateChange::Ejected(upstream(0).instance)));
    assert_eq!(meanwhile, None);
    assert!(later.is_some());
}

/// After all hosts lose power, upstreams still process old requests, so new ones time out at most upstreams.
#[test]
fn at_most_half_of_the_upstreams_are_ejected_at_once() {
    let mut harness = Harness::after_learning(4);
    let mut ejected = 0;

    for _ in 0..40 {
        for host in [0, 1, 2] {
            let held = harness.request_granted(host, Class::Online);
            let change = harness.release(host, held, Outcome::Unresponsive);
            ejected += usize::from(matches!(change, Some(StateChange::Ejected(_))));
        }
    }

    assert_eq!(ejected, 2);
}

/// On lossy links any upstream has occasional failures of two hosts.
#[test]
fn an_upstream_with_a_low_failure_rate_is_not_ejected() {
    let mut harness = Harness::after_learning(1);
    let mut ejected = false;

    for round in 0..200 {
        let (host, outcome) = match round % 20 {
            9 => (0, Outcome::Unresponsive),
            19 => (1, Outcome::Unresponsive),
            _ => (2, Outcome::Served),
        };
        let held = harness.request_granted(host, Class::Online);
        ejected |= harness.release(host, held, outcome).is_some();
    }

    assert!(!ejected);
}

#[test]
fn a_grant_during_learning_is_marked_as_queued() {
    let mut harness = Harness::after_learning(1);
    harness.now += Duration::from_secs(60);

    harness.request(0, Class::Online, Queue::No).unwrap();

    assert!(harness.queued);
}

/// The requesting host allows more time for a queued request; without the mark it times out and ejects the upstream.
#[test]
fn a_grant_is_marked_as_queued_only_if_all_slots_are_in_use() {
    let mut harness = Harness::after_learning(1);

    let queued: Vec<bool> = (0..=SLOTS)
        .map(|_| {
            harness
                .request(0, Class::Online, Queue::InUpstream)
                .unwrap();
            harness.queued
        })
        .collect();

    let mut expected = vec![false; SLOTS];
    expected.push(true);
    assert_eq!(queued, expected);
}

#[test]
fn refusals_do_not_eject_an_upstream() {
    let mut harness = Harness::after_learning(1);
    for host in [0, 1, 2] {
        let held = harness.request_granted(host, Class::Online);
        assert_eq!(harness.release(host, held, Outcome::Refused), None);
    }

    assert!(harness.request(0, Class::Online, Queue::No).is_some());
}

#[test]
fn a_new_allocator_grants_no_slot_to_batch_while_learning() {
    let mut harness = Harness::after_learning(1);
    harness.now += Duration::from_secs(60);

    let at_once = harness.request(0, batch(1), Queue::No);
    let online = harness.request(0, Class::Online, Queue::No);
    let held = (0..3).map(|lease| Held {
        lease,
        upstream: upstream(0).instance,
        class: Class::Online,
        footprint: Footprint::default(),
    });
    harness.send_holdings(1, 10, held.collect());
    harness.now += LEARNING_PERIOD;
    harness.send_holdings(1, 10, Vec::new());
    let learned = harness.request(0, batch(1), Queue::No);

    assert!(at_once.is_none());
    assert!(online.is_some());
    assert!(learned.is_some());
}

/// Guards against granting slots that upstreams still use for hosts that have lost power.
#[test]
fn orphaned_requests_occupy_slots_until_they_end() {
    let mut harness = Harness::after_learning(2);
    let (busy, idle) = (upstream(0).instance, upstream(1).instance);

    harness.allocator.record_load(&busy, SLOTS, harness.now);
    let while_busy: Vec<_> = (0..SLOTS + 1)
        .map(|_| harness.request(0, Class::Online, Queue::No))
        .collect();
    harness.now += Duration::from_secs(1);
    harness.allocator.record_load(&busy, 1, harness.now);
    let later = (0..SLOTS).filter_map(|_| harness.request(0, Class::Online, Queue::No));

    let mut expected = vec![Some(idle); SLOTS];
    expected.push(None);
    assert_eq!(while_busy, expected);
    assert_eq!(later.count(), SLOTS - 1);
}

#[test]
fn requests_granted_before_a_load_report_are_not_orphaned() {
    let mut harness = Harness::after_learning(1);
    harness.request(0, Class::Online, Queue::No).unwrap();
    harness.now += Duration::from_millis(250);

    harness
        .allocator
        .record_load(&upstream(0).instance, 1, harness.now);

    let free = (0..SLOTS).filter_map(|_| harness.request(0, Class::Online, Queue::No));
    assert_eq!(free.count(), SLOTS - 1);
}

/// Guards against every starting host polling all upstreams, although only allocators need to.
#[test]
fn an_inactive_allocator_needs_no_load_reports() {
    let mut harness = Harness::after_learning(1);
    harness
        .allocator
        .record_load(&upstream(0).instance, SLOTS, harness.now);
    let while_active = harness.allocator.needs_load_reports(harness.now);

    harness.now += Duration::from_millis(2_100);

    assert!(while_active);
    assert!(!harness.allocator.needs_load_reports(harness.now));
}

#[test]
fn requests_in_a_hosts_holdings_are_not_orphaned() {
    let mut harness = Harness::after_learning(1);
    harness
        .allocator
        .record_load(&upstream(0).instance, 2, harness.now);
    let held = (0..2).map(|lease| Held {
        lease: 1_000 + lease,
        upstream: upstream(0).instance,
        class: Class::Online,
        footprint: Footprint::default(),
    });

    harness.send_holdings(1, 2_000, held.collect());

    let free = (0..SLOTS).filter_map(|_| harness.request(0, Class::Online, Queue::No));
    assert_eq!(free.count(), SLOTS - 2);
}

#[test]
fn holdings_end_missing_leases_but_keep_those_requested_since() {
    let mut harness = Harness::after_learning(1);
    let lost = harness.request_granted(0, Class::Online);
    let requested_since = harness.request_granted(0, Class::Online);

    harness.send_holdings(0, requested_since, Vec::new());

    let free = (0..SLOTS).filter_map(|_| harness.request(1, Class::Online, Queue::No));
    assert_eq!(free.count(), SLOTS - 1);
    assert_ne!(lost, requested_since);
}

#[test]
fn a_repeated_slot_request_gets_the_same_grant() {
    let mut harness = Harness::after_learning(2);
    let lease = harness.next_lease;
    let first = harness.request(0, Class::Online, Queue::No);

    harness.next_lease = lease;
    let again = harness.request(0, Class::Online, Queue::No);

    let rest = (0..20).filter_map(|_| harness.request(1, Class::Online, Queue::No));
    assert!(first.is_some());
    assert_eq!(first, again);
    assert_eq!(rest.count(), 2 * SLOTS - 1);
}

#[test]
fn a_lease_expires_without_heartbeats() {
    let mut harness = Harness::after_learning(1);
    for _ in 0..SLOTS {
        harness.request(0, Class::Online, Queue::No).unwrap();
    }
    let before = harness.request(1, Class::Online, Queue::No);

    harness.now += Duration::from_secs(4);

    assert!(before.is_none());
    assert!(harness.request(1, Class::Online, Queue::No).is_some());
}

#[test]
fn an_allocator_ignores_the_release_of_an_unknown_lease() {
    let now = Instant::now();
    let mut other = Allocator::new(9, Tolerance::default());
    other.set_upstreams(vec![upstream(0)]);
    let release = Release {
        lease: 4,
        upstream: upstream(0).instance,
        outcome: Outcome::Served,
        pace: None,
    };

    let (out, change) = other.receive(host(0), Frame::Release(release), now);

    assert!(out.is_empty());
    assert_eq!(change, None);
}

#[derive(Clone, Debug)]
enum Step {
    Request { host: u8, class: Class },
    Release { pick: usize },
    Heartbeat { host: u8 },
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop_oneof![
        Just(Class::Online),
        (0..50u64, any::<bool>()).prop_map(|(at_ms, late)| Class::Batch(Due { late, at_ms })),
    ];
    prop_oneof![
        4 => (0..HOSTS, class).prop_map(|(host, class)| Step::Request { host, class }),
        3 => any::<usize>().prop_map(|pick| Step::Release { pick }),
        1 => (0..HOSTS).prop_map(|host| Step::Heartbeat { host }),
        1 => (0..900u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

proptest! {
    #![proptest_config(property::config(400))]

    /// Compares with a model that knows all leases: while heartbeats arrive in time, the allocator grants no slot
    /// twice, and grants an online request whenever the model has a slot that is free or used by batch.
    #[test]
    fn grants_match_a_model_with_global_knowledge(steps in prop::collection::vec(step(), 1..120)) {
        let mut harness = Harness::after_learning(3);
        for step in steps {
            match step {
                Step::Request { host, class } => {
                    let free = harness.available_slots(class);
                    let granted = harness.request(host, class, Queue::No).is_some();
                    if class == Class::Online {
                        prop_assert_eq!(granted, free > 0);
                    } else if granted {
                        prop_assert!(free > 0);
                    }
                }
                Step::Release { pick } => harness.release_any(pick),
                Step::Heartbeat { host } => harness.send_heartbeat(host),
                Step::Wait { millis } => {
                    harness.now += Duration::from_millis(millis);
                    (0..HOSTS).for_each(|host| harness.send_heartbeat(host));
                }
            }
            prop_assert!(harness.max_leases_per_upstream() <= SLOTS);
        }
    }
}

/// Guards against connections that an upstream resets because all hosts together opened too many.
#[test]
fn an_upstream_is_given_no_more_leases_than_it_accepts_connections() {
    let mut harness = Harness::after_learning(0);
    let limited = Upstream {
        max_connections: Some(6),
        ..upstream(0)
    };
    harness.allocator.set_upstreams(vec![limited]);

    let granted = (0..9).filter(|it| {
        let request = harness.request(it % HOSTS, Class::Online, Queue::InUpstream);
        request.is_some()
    });

    assert_eq!(granted.count(), 6);
}
