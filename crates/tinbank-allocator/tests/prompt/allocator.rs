//! Placing by prompt and memory, as hosts see it.

use std::time::Duration;

use tinbank_allocator::{
    Options,
    allocator::{StateChange, Upstream},
    frame::{Frame, Queue, SlotRequest},
    lease::{Class, Footprint, Held, Outcome},
    size::{Prefix, Size, Tokens},
};
use tinbank_base::id;
use yare::parameterized;

use crate::{
    harness::{Harness, batch, host, upstream},
    prompt, slot_request,
};

const MEMORY: Tokens = 1_000;
/// Longer than prompts take to be read.
const READ: Duration = Duration::from_secs(1);

fn harness(prefix_affinity: bool, upstreams: u8) -> Harness {
    let options = Options {
        prefix_affinity,
        ..Options::default()
    };
    let mut harness = Harness::with_options(upstreams, options);
    list(&mut harness, 0..upstreams);
    harness
}

fn list(harness: &mut Harness, indices: impl Iterator<Item = u8>) {
    let upstreams = indices.map(|index| Upstream {
        memory_tokens: Some(MEMORY),
        ..upstream(index)
    });
    harness.allocator.set_upstreams(upstreams.collect());
}

fn sized(first: Prefix, tokens: Tokens) -> Size {
    prompt(&[(first, tokens / 2), (first + 1_000, tokens / 2)])
}

/// Requests a slot for a prompt. Returns the granted upstream.
fn place(harness: &mut Harness, size: Size, queue: Queue) -> Option<id::Instance> {
    harness.size = size;
    harness.request(0, Class::Online, queue)
}

/// Without the setting neither parts nor memory count.
#[parameterized(on = { true, 100, true }, off = { false, 2 * MEMORY, false })]
fn a_request_goes_where_its_shared_parts_are_kept(affinity: bool, tokens: Tokens, same: bool) {
    let mut harness = harness(affinity, 2);
    let first = place(&mut harness, sized(1, tokens), Queue::No).expect("a slot");
    harness.now += READ;

    let second = place(&mut harness, sized(1, tokens), Queue::No).expect("a slot");

    assert_eq!(first == second, same);
    let kept = if affinity { 100 } else { 0 };
    assert_eq!(harness.allocator.take_summary().kept_tokens, kept);
}

/// A new instance has an empty memory, and a refused request is not read; while an allocator is idle, another one sends requests.
#[parameterized(
    same = { 0, READ, Outcome::Served, 100 },
    restarted = { 1, READ, Outcome::Served, 0 },
    idle_allocator = { 0, Duration::from_secs(10), Outcome::Served, 0 },
    refused = { 0, READ, Outcome::Refused, 0 },
)]
fn what_an_upstream_kept_is_forgotten_in_time(
    index: u8,
    after: Duration,
    outcome: Outcome,
    kept: u64,
) {
    let mut harness = harness(true, 1);
    place(&mut harness, sized(1, 100), Queue::No);
    harness.release(0, 0, outcome);

    harness.now += after;
    list(&mut harness, index..index + 1);
    place(&mut harness, sized(1, 100), Queue::No);

    assert_eq!(harness.allocator.take_summary().kept_tokens, kept);
}

/// A caller that waits until its deadline for a slot that can't come loses the time to try elsewhere.
#[test]
fn a_request_that_fits_no_upstream_is_denied_at_once_and_reported_once() {
    let mut harness = harness(true, 2);
    let oversized = SlotRequest {
        queue: Queue::Within(200),
        ..slot_request(sized(1, MEMORY + 2))
    };

    let reports = [(); 2].map(|()| {
        let frame = Frame::SlotRequest(oversized.clone());
        harness.allocator.receive(host(0), frame, harness.now).1
    });
    place(&mut harness, sized(1, MEMORY + 2), Queue::Within(200));

    assert!(matches!(reports, [Some(StateChange::Oversized(_)), None]));
    assert!(harness.pending.is_empty(), "denied");
    assert_eq!(harness.allocator.take_summary().oversized, 3);
}

/// A stream that has begun is never refused, so it may queue inside an upstream.
#[test]
fn a_request_that_does_not_fit_beside_others_waits_until_it_does() {
    let mut harness = harness(true, 1);
    place(&mut harness, sized(1, 600), Queue::No);

    let waits = place(&mut harness, sized(2, 600), Queue::Within(200));
    let begun = place(&mut harness, sized(3, 600), Queue::InUpstream);
    harness.release(0, 0, Outcome::Served);
    let granted_beside_begun = harness.granted.contains(&1);
    harness.release(0, 2, Outcome::Served);

    assert_eq!((waits, begun.is_some()), (None, true));
    assert!(!granted_beside_begun);
    assert!(harness.granted.contains(&1));
}

#[test]
fn a_batch_item_is_reclaimed_only_if_the_request_then_fits() {
    let mut harness = harness(true, 1);
    harness.size = sized(1, 100);
    harness.request(0, batch(1), Queue::No);
    place(&mut harness, sized(2, 500), Queue::No);

    let too_large = place(&mut harness, sized(3, 600), Queue::No);
    let fits = place(&mut harness, sized(3, 450), Queue::No);

    assert_eq!((too_large, fits.is_some()), (None, true));
}

/// The successor of a lost allocator must not overfill upstreams.
#[test]
fn memory_of_reported_leases_counts() {
    let mut harness = harness(true, 1);
    let held = Held {
        lease: 0,
        upstream: upstream(0).instance,
        class: Class::Online,
        footprint: Footprint {
            memory: 600,
            ..Footprint::default()
        },
    };
    harness.next_lease = 1;
    harness.send_holdings(0, 1, vec![held]);

    assert_eq!(place(&mut harness, sized(1, 600), Queue::No), None);
}
