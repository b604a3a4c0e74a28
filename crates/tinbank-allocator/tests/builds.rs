//! Slots for requests that go on with a text, for which only upstreams of one build will do.

#[allow(dead_code, reason = "each test file uses its part")]
mod harness;

use harness::{Harness, SLOTS, upstream};
use tinbank_allocator::{
    allocator::Upstream,
    frame::Queue,
    lease::{Class, Outcome},
};
use tinbank_base::id;

/// Returns an upstream of a build.
fn of_build(index: u8, build: &str) -> Upstream {
    Upstream {
        build: build.into(),
        ..upstream(index)
    }
}

/// Creates an allocator with one upstream of `v1` and two of `v2`.
fn mixed() -> Harness {
    let mut harness = Harness::after_learning(0);
    harness.allocator.set_upstreams(vec![
        of_build(0, "v1"),
        of_build(1, "v2"),
        of_build(2, "v2"),
    ]);
    harness
}

fn request(harness: &mut Harness, build: &str, queue: Queue) -> Option<id::Instance> {
    harness.build = Some(build.into());
    let granted = harness.request(0, Class::Online, queue);
    harness.build = None;
    granted
}

#[test]
fn a_resumed_request_is_granted_its_build_however_full_that_is() {
    let mut harness = mixed();

    for _ in 0..3 * SLOTS {
        let granted = request(&mut harness, "v1", Queue::InUpstream);

        assert_eq!(granted.as_deref(), Some("u0"));
    }
}

#[test]
fn a_resumed_request_is_denied_at_once_if_its_build_has_no_upstream() {
    let mut harness = mixed();

    let granted = request(&mut harness, "v0", Queue::InUpstream);

    assert_eq!(granted, None);
    assert_eq!(harness.retry_after, [None]);
}

/// Guards against a request that waits for the slot of one build and keeps others from free slots of another.
#[test]
fn a_request_that_waits_for_its_build_does_not_hold_up_others() {
    let mut harness = mixed();
    let mut at_v2 = None;
    for _ in 0..3 * SLOTS {
        let lease = harness.next_lease;
        let granted = harness.request(0, Class::Online, Queue::No);
        at_v2 = granted.filter(|it| &**it == "u1").map(|_| lease).or(at_v2);
    }
    assert_eq!(request(&mut harness, "v1", Queue::Within(1_000)), None);
    assert_eq!(
        harness.request(1, Class::Online, Queue::Within(1_000)),
        None
    );

    let granted = harness.granted.len();
    harness.release(0, at_v2.unwrap(), Outcome::Served);

    assert_eq!(harness.granted.len(), granted + 1);
}
