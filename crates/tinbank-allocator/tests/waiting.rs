//! Online requests that wait at the allocator for a slot.

#[allow(dead_code, reason = "each test file uses its part")]
mod world;

use std::time::Duration;

use tinbank_allocator::{
    frame::{Frame, Queue, SlotResponse, Verdict},
    lease::{Class, Id, Outcome},
};
use world::{Desk, SLOTS, batch};

/// Time for which requests hold their slots.
const HELD: Duration = Duration::from_millis(800);

/// An allocator that has measured how long requests take, and whose slots are all in use. Also the leases in force.
fn full(upstreams: u8) -> (Desk, Vec<Id>) {
    let mut desk = Desk::learned(upstreams);
    let held = desk.ask_held(0, Class::Online);
    desk.now += HELD;
    desk.release(0, held, Outcome::Served);
    let slots = usize::from(upstreams) * SLOTS;
    let leases = (0..slots).map(|_| desk.ask_held(0, Class::Online));
    let leases = leases.collect();
    desk.served.clear();
    (desk, leases)
}

/// Asks for a slot that there is not, and gives the number of the lease.
fn wait(desk: &mut Desk, by: u8, queue: Queue) -> Id {
    let lease = desk.next;
    assert!(desk.ask(by, Class::Online, queue).is_none());
    lease
}

#[test]
fn a_request_waits_only_if_a_slot_is_likely_to_come_free_in_time() {
    let (mut desk, _) = full(1);

    // A slot comes free each 200 ms: four of them, for 800 ms each.
    wait(&mut desk, 0, Queue::Within(150));
    let too_short = desk.waiting.len();
    wait(&mut desk, 0, Queue::Within(210));
    let first = desk.waiting.len();
    wait(&mut desk, 0, Queue::Within(210));
    let second = desk.waiting.len();
    wait(&mut desk, 0, Queue::No);

    assert_eq!((too_short, first, second), (0, 1, 1));
    assert_eq!(desk.waiting.len(), 1);
    assert!(desk.ask(0, Class::Online, Queue::InUpstream).is_some());
}

#[test]
fn the_next_slot_of_any_upstream_goes_to_the_request_that_has_waited_longest() {
    let (mut desk, leases) = full(2);
    let first = wait(&mut desk, 0, Queue::Within(500));
    desk.now += Duration::from_millis(10);
    let second = wait(&mut desk, 1, Queue::Within(500));

    desk.release(0, leases[5], Outcome::Served);
    desk.release(0, leases[0], Outcome::Served);

    assert_eq!(desk.served, [first, second]);
    assert!(!desk.queued);
}

#[test]
fn a_late_request_waits_behind_all_that_can_be_in_time() {
    let (mut desk, leases) = full(1);
    let late = wait(&mut desk, 0, Queue::LowPriority(700));
    desk.now += Duration::from_millis(100);
    let new = wait(&mut desk, 1, Queue::Within(250));

    desk.release(0, leases[0], Outcome::Served);
    let first = desk.served.clone();
    desk.release(0, leases[1], Outcome::Served);

    assert_eq!(first, [new]);
    assert_eq!(desk.served, [new, late]);
}

#[test]
fn a_request_whose_time_is_up_gets_no_slot() {
    let (mut desk, leases) = full(1);
    wait(&mut desk, 0, Queue::Within(250));
    desk.now += Duration::from_millis(260);

    desk.release(0, leases[0], Outcome::Served);

    assert!(desk.served.is_empty());
}

#[test]
fn those_that_wait_hear_at_once_when_no_upstream_of_their_service_is_left() {
    let (mut desk, _) = full(1);
    wait(&mut desk, 0, Queue::Within(210));
    let before = desk.waiting.len();

    let told = desk.allocator.set_upstreams(Vec::new());

    assert_eq!((before, told.len()), (1, 1));
    assert!(matches!(
        told[0].1,
        Frame::SlotResponse(SlotResponse {
            verdict: Verdict::Denied,
            ..
        })
    ));
}

#[test]
fn a_caller_that_leaves_frees_its_place() {
    let (mut desk, leases) = full(1);
    let left = wait(&mut desk, 0, Queue::Within(210));
    desk.withdraw(0, left);
    let next = wait(&mut desk, 1, Queue::Within(210));

    desk.release(0, leases[0], Outcome::Served);

    assert_eq!(desk.served, [next]);
}

#[test]
fn batch_gets_no_slot_while_an_online_request_waits() {
    let (mut desk, leases) = full(1);
    let waits = wait(&mut desk, 0, Queue::Within(250));
    desk.release(0, leases[0], Outcome::Served);

    let item = desk.ask(1, batch(1), Queue::No);

    assert_eq!(desk.served, [waits]);
    assert!(item.is_none());
}

#[test]
fn a_request_of_higher_rank_gets_a_slot_first() {
    let (mut desk, leases) = full(1);
    desk.rank = 1;
    let lower = wait(&mut desk, 0, Queue::Within(400));
    desk.rank = 0;
    let higher = wait(&mut desk, 1, Queue::Within(450));

    desk.release(0, leases[0], Outcome::Served);
    desk.release(0, leases[1], Outcome::Served);

    assert_eq!(desk.served, [higher, lower]);
}

#[test]
fn a_late_request_of_higher_rank_waits_behind_one_that_can_be_in_time() {
    let (mut desk, leases) = full(1);
    let late = wait(&mut desk, 0, Queue::LowPriority(900));
    desk.rank = 1;
    let in_time = wait(&mut desk, 1, Queue::Within(450));

    desk.release(0, leases[0], Outcome::Served);
    desk.release(0, leases[1], Outcome::Served);

    assert_eq!(desk.served, [in_time, late]);
}
