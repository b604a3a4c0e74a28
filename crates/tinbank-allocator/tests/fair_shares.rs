//! Shares of the customers whose requests compete for slots.

#[allow(dead_code, reason = "each test file uses its part")]
mod harness;

use std::time::{Duration, Instant};

use harness::{Harness, SLOTS, batch, host};
use proptest::prelude::*;
use tinbank_allocator::{
    Options,
    frame::{Queue, Share, SlotRequest},
    lease::{Class, Footprint, Held, Id, Outcome},
    order::{ByExpiry, FairShare, Order, Turnover, Waiter},
    size::Size,
};
use tinbank_test_support::property;

const SLOT_TIME: Duration = Duration::from_millis(800);

fn share(customer: &str) -> Option<Share> {
    Some(Share {
        customer: customer.to_owned(),
        weight: 1_000,
    })
}

fn fair(upstreams: u8) -> Harness {
    let options = Options {
        fair_shares: true,
        ..Options::default()
    };
    Harness::with_options(upstreams, options)
}

/// Returns an allocator whose slots are all used by a customer that is not part of the test, and the leases.
fn full(upstreams: u8) -> (Harness, Vec<Id>) {
    let mut harness = fair(upstreams);
    harness.share = share("other");
    let held = harness.request_granted(0, Class::Online);
    harness.now += SLOT_TIME;
    harness.release(0, held, Outcome::Served);
    let slots = usize::from(upstreams) * SLOTS;
    let leases = (0..slots).map(|_| harness.request_granted(0, Class::Online));
    let leases = leases.collect();
    harness.granted.clear();
    (harness, leases)
}

/// Sends requests of a customer that are not granted at once. Returns the leases.
fn queue(harness: &mut Harness, customer: &str, count: u64, max_wait_ms: u32) -> Vec<Id> {
    harness.share = share(customer);
    let first = harness.next_lease;
    for _ in 0..count {
        harness.request(0, Class::Online, Queue::Within(max_wait_ms));
        harness.now += Duration::from_micros(1);
    }
    (first..first + count).collect()
}

#[test]
fn waiting_customers_take_turns() {
    let (mut harness, held) = full(1);
    let busy = queue(&mut harness, "busy", 6, 5_000);
    let small = queue(&mut harness, "small", 2, 5_000);

    for lease in &held[..4] {
        harness.release(0, *lease, Outcome::Served);
    }

    assert_eq!(harness.granted, [busy[0], small[0], busy[1], small[1]]);
}

#[test]
fn a_customer_with_a_greater_weight_gets_more_slots() {
    let (mut harness, held) = full(2);
    let light = queue(&mut harness, "light", 8, 5_000);
    harness.share = share("heavy").map(|it| Share {
        weight: 3_000,
        ..it
    });
    let first = harness.next_lease;
    for _ in 0..8 {
        harness.request(0, Class::Online, Queue::Within(5_000));
    }

    for lease in held {
        harness.release(0, lease, Outcome::Served);
    }

    let of_heavy = harness.granted.iter().filter(|it| **it >= first).count();
    assert_eq!((of_heavy, harness.granted.len()), (6, 8));
    assert!(harness.granted.contains(&light[0]));
}

/// Guards against a place in the queue that counts all requests of a busy customer, which would refuse the others.
#[test]
fn a_full_queue_of_one_customer_does_not_refuse_another() {
    let (mut harness, _) = full(1);
    queue(&mut harness, "busy", 20, 410);

    let pending = harness.pending.len();
    queue(&mut harness, "small", 1, 410);

    assert_eq!((pending, harness.pending.len()), (2, 3));
}

/// Guards against a request that waits until it expires although others have taken its place.
#[test]
fn a_request_that_others_displace_is_denied_at_once() {
    let (mut harness, _) = full(1);
    queue(&mut harness, "busy", 2, 410);

    for customer in ["b", "c"] {
        queue(&mut harness, customer, 1, 700);
    }

    // The second request of the busy customer would wait for 800 ms.
    assert_eq!(harness.pending.len(), 3);
    assert_eq!(harness.retry_after.len(), 1);
}

#[test]
fn a_customer_gains_nothing_from_having_been_idle() {
    let (mut harness, held) = full(2);
    queue(&mut harness, "busy", 8, 5_000);
    for lease in &held[..4] {
        harness.release(0, *lease, Outcome::Served);
    }
    let idle = queue(&mut harness, "idle", 4, 5_000);

    for lease in &held[4..] {
        harness.release(0, *lease, Outcome::Served);
    }

    let of_idle = harness.granted.iter().filter(|it| idle.contains(it));
    assert_eq!(of_idle.count(), 2);
}

#[test]
fn one_grant_in_five_disregards_the_rank() {
    let (mut harness, held) = full(4);
    harness.rank = 1;
    let low = queue(&mut harness, "low", 6, 20_000);
    harness.rank = 0;
    queue(&mut harness, "high", 16, 5_000);

    for lease in held {
        harness.release(0, lease, Outcome::Served);
    }

    let of_low = harness.granted.iter().filter(|it| low.contains(it));
    assert_eq!((of_low.count(), harness.granted.len()), (3, 16));
}

/// Guards against an allocator that takes over and serves a customer first that holds most of the slots.
#[test]
fn a_new_allocator_starts_with_the_work_that_hosts_hold() {
    let mut harness = fair(1);
    let customers = ["busy", "busy", "busy", "small"];
    let held = (0..).zip(customers).map(|(lease, customer)| Held {
        lease,
        upstream: "u0".into(),
        class: Class::Online,
        footprint: Footprint {
            work: 1,
            customer: Some(customer.to_owned()),
            ..Footprint::default()
        },
    });
    harness.next_lease = 100;
    harness.send_holdings(0, 100, held.clone().collect());
    let small = queue(&mut harness, "small", 1, 3_000);
    queue(&mut harness, "busy", 1, 2_000);

    let left = held.skip(1).collect();
    harness.send_holdings(0, 100, left);

    assert_eq!(harness.granted, small);
}

#[test]
fn the_slot_of_the_customer_that_is_most_above_its_share_is_reclaimed() {
    let mut harness = fair(1);
    harness.share = share("small");
    harness.request(0, batch(90), Queue::No).unwrap();
    harness.share = share("busy");
    harness.request(0, batch(50), Queue::No).unwrap();
    let latest = harness.next_lease;
    harness.request(0, batch(60), Queue::No).unwrap();
    harness.request(1, Class::Online, Queue::No).unwrap();

    harness.request(1, Class::Online, Queue::No).unwrap();

    assert_eq!(harness.reclaimed, [(host(0), latest)]);
}

#[test]
fn the_queue_of_a_customer_is_bounded() {
    let (mut harness, _) = full(1);

    queue(&mut harness, "busy", 70, 60_000);
    let of_busy = harness.pending.len();
    queue(&mut harness, "small", 1, 60_000);

    assert_eq!((of_busy, harness.pending.len()), (64, 65));
}

/// Guards against callers of a busy customer that all return at once, and callers of others that return as late as those.
#[test]
fn refused_callers_return_by_the_backlog_of_their_own_customer() {
    let (mut harness, _) = full(1);

    queue(&mut harness, "busy", 6, 410);
    queue(&mut harness, "small", 1, 190);

    // A slot becomes free every 200 ms, two requests wait, and every other turn is the small customer's.
    let of_busy = [Some(600), Some(800), Some(1_000), Some(1_200)];
    assert_eq!(harness.retry_after[..4], of_busy);
    assert_eq!(harness.retry_after[4..], [Some(800)]);
    let denials = harness.allocator.take_denials().expect("denials");
    assert_eq!((denials.total, denials.customers), (5, 2));
    assert_eq!((denials.busiest.as_str(), denials.of_busiest), ("busy", 4));
}

fn waiter(now: Instant, lease: Id, late: bool, rank: u8, expires_in_ms: u32, work: u32) -> Waiter {
    let queue = if late {
        Queue::LowPriority(expires_in_ms)
    } else {
        Queue::Within(expires_in_ms)
    };
    let request = SlotRequest {
        lease,
        class: Class::Online,
        service: "notes".to_owned(),
        exclude: Default::default(),
        queue,
        rank,
        meter: None,
        share: None,
        size: Size {
            prompt_tokens: work,
            ..Size::default()
        },
        max_gap_ms: None,
    };
    Waiter {
        from: host(0),
        request,
        expires_at: now + Duration::from_millis(expires_in_ms.into()),
    }
}

proptest! {
    #![proptest_config(property::config(200))]

    /// Guards against a change of behaviour where the configuration has no customers.
    #[test]
    fn requests_without_a_customer_are_served_in_order_of_expiry(
        requests in prop::collection::vec((any::<bool>(), 0u8..3, 0u32..40, 0u32..5_000), 1..30),
    ) {
        let now = Instant::now();
        let turnover = Turnover { slot_time: Some(SLOT_TIME), slots: 4 };
        let mut fair = FairShare::default();
        let mut waiting = Vec::new();
        for (lease, (late, rank, expires_in, work)) in requests.into_iter().enumerate() {
            let next = waiter(now, lease as Id, late, rank, expires_in, work);
            fair.record_queued(&next.request, &waiting, now);
            prop_assert_eq!(fair.count_ahead(&next, &waiting), ByExpiry.count_ahead(&next, &waiting));
            prop_assert!(fair.may_wait(&next.request, &waiting, 0));
            prop_assert_eq!(fair.return_after(&next.request, &waiting, turnover, now), None);
            for other in &waiting {
                prop_assert_eq!(fair.compare(&next, other), ByExpiry.compare(&next, other));
            }
            fair.record_grant(&next.request, now);
            waiting.push(next);
        }
    }
}
