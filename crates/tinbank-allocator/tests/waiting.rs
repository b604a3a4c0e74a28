//! Online requests that queue at the allocator.

#[allow(dead_code, reason = "each test file uses its part")]
mod harness;

use std::time::Duration;

use harness::{Harness, SLOTS, batch, upstream};
use tinbank_allocator::{
    allocator::Upstream,
    cause::Cause,
    frame::{Denial, Frame, Queue, SlotResponse, Verdict},
    lease::{Class, Id, Outcome},
};

/// How long requests hold their slots.
const SLOT_TIME: Duration = Duration::from_millis(800);

/// Returns an allocator that has measured [`SLOT_TIME`] and whose slots are all in use, and the active leases.
fn full(upstreams: u8) -> (Harness, Vec<Id>) {
    let mut harness = Harness::after_learning(upstreams);
    let held = harness.request_granted(0, Class::Online);
    harness.now += SLOT_TIME;
    harness.release(0, held, Outcome::Served);
    let slots = usize::from(upstreams) * SLOTS;
    let leases = (0..slots).map(|_| harness.request_granted(0, Class::Online));
    let leases = leases.collect();
    harness.granted.clear();
    (harness, leases)
}

/// Sends a request that is not granted at once. Returns the lease.
fn request_without_grant(harness: &mut Harness, by: u8, queue: Queue) -> Id {
    let lease = harness.next_lease;
    assert!(harness.request(by, Class::Online, queue).is_none());
    lease
}

#[test]
fn a_request_is_queued_only_if_a_slot_is_expected_in_time() {
    let (mut harness, _) = full(1);

    // With four slots of 800 ms each, one becomes free every 200 ms.
    request_without_grant(&mut harness, 0, Queue::Within(150));
    let too_short = harness.pending.len();
    request_without_grant(&mut harness, 0, Queue::Within(210));
    let first = harness.pending.len();
    request_without_grant(&mut harness, 0, Queue::Within(210));
    let second = harness.pending.len();
    request_without_grant(&mut harness, 0, Queue::No);

    assert_eq!((too_short, first, second), (0, 1, 1));
    assert_eq!(harness.pending.len(), 1);
    assert!(
        harness
            .request(0, Class::Online, Queue::InUpstream)
            .is_some()
    );
}

#[test]
fn the_next_slot_of_any_upstream_goes_to_the_oldest_request() {
    let (mut harness, leases) = full(2);
    let first = request_without_grant(&mut harness, 0, Queue::Within(500));
    harness.now += Duration::from_millis(10);
    let second = request_without_grant(&mut harness, 1, Queue::Within(500));

    harness.release(0, leases[5], Outcome::Served);
    harness.release(0, leases[0], Outcome::Served);

    assert_eq!(harness.granted, [first, second]);
    assert!(!harness.queued);
}

#[test]
fn a_late_request_is_queued_behind_on_time_ones() {
    let (mut harness, leases) = full(1);
    let late = request_without_grant(&mut harness, 0, Queue::LowPriority(700));
    harness.now += Duration::from_millis(100);
    let new = request_without_grant(&mut harness, 1, Queue::Within(250));

    harness.release(0, leases[0], Outcome::Served);
    let first = harness.granted.clone();
    harness.release(0, leases[1], Outcome::Served);

    assert_eq!(first, [new]);
    assert_eq!(harness.granted, [new, late]);
}

#[test]
fn an_expired_request_gets_no_slot() {
    let (mut harness, leases) = full(1);
    request_without_grant(&mut harness, 0, Queue::Within(250));
    harness.now += Duration::from_millis(260);

    harness.release(0, leases[0], Outcome::Served);

    assert!(harness.granted.is_empty());
}

#[test]
fn queued_requests_are_denied_when_their_service_has_no_upstream_left() {
    let (mut harness, _) = full(1);
    request_without_grant(&mut harness, 0, Queue::Within(210));
    let before = harness.pending.len();

    let responses = harness.allocator.set_upstreams(Vec::new());

    assert_eq!((before, responses.len()), (1, 1));
    assert!(matches!(
        responses[0].1,
        Frame::SlotResponse(SlotResponse {
            verdict: Verdict::Denied(Denial {
                retry_after_ms: None,
                cause: Cause::Upstream,
            }),
            ..
        })
    ));
}

#[test]
fn a_withdrawn_request_gives_up_its_place_in_the_queue() {
    let (mut harness, leases) = full(1);
    let withdrawn = request_without_grant(&mut harness, 0, Queue::Within(210));
    harness.withdraw(0, withdrawn);
    let second = request_without_grant(&mut harness, 1, Queue::Within(210));

    harness.release(0, leases[0], Outcome::Served);

    assert_eq!(harness.granted, [second]);
}

#[test]
fn batch_gets_no_slot_while_an_online_request_waits() {
    let (mut harness, leases) = full(1);
    let queued = request_without_grant(&mut harness, 0, Queue::Within(250));
    harness.release(0, leases[0], Outcome::Served);

    let item = harness.request(1, batch(1), Queue::No);

    assert_eq!(harness.granted, [queued]);
    assert!(item.is_none());
}

#[test]
fn a_request_of_higher_rank_gets_a_slot_first() {
    let (mut harness, leases) = full(1);
    harness.rank = 1;
    let lower = request_without_grant(&mut harness, 0, Queue::Within(400));
    harness.rank = 0;
    let higher = request_without_grant(&mut harness, 1, Queue::Within(450));

    harness.release(0, leases[0], Outcome::Served);
    harness.release(0, leases[1], Outcome::Served);

    assert_eq!(harness.granted, [higher, lower]);
}

#[test]
fn a_late_request_of_higher_rank_is_queued_behind_an_on_time_one() {
    let (mut harness, leases) = full(1);
    let late = request_without_grant(&mut harness, 0, Queue::LowPriority(900));
    harness.rank = 1;
    let in_time = request_without_grant(&mut harness, 1, Queue::Within(450));

    harness.release(0, leases[0], Outcome::Served);
    harness.release(0, leases[1], Outcome::Served);

    assert_eq!(harness.granted, [in_time, late]);
}

/// Guards against requests of a busy service that keep others behind them from slots of another service.
#[test]
fn a_free_slot_goes_past_the_requests_that_cannot_use_it() {
    let (mut harness, _) = full(1);
    let other = Upstream {
        service: "mail".to_owned(),
        ..upstream(1)
    };
    harness.allocator.set_upstreams(vec![upstream(0), other]);
    harness.service = "mail".to_owned();
    let mail: Vec<_> = (0..SLOTS)
        .map(|_| harness.request_granted(0, Class::Online))
        .collect();
    harness.service = "notes".to_owned();
    for _ in 0..6 {
        request_without_grant(&mut harness, 0, Queue::Within(1_990));
    }
    harness.service = "mail".to_owned();
    harness.granted.clear();
    let waiting = request_without_grant(&mut harness, 0, Queue::Within(2_000));

    harness.release(0, mail[0], Outcome::Served);

    assert_eq!(harness.granted, [waiting]);
}
