//! Placing by prompt and memory, as hosts see it.

use std::time::Duration;

use tinbank_allocator::{
    Options,
    allocator::{StateChange, Upstream},
    cause::Cause,
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

/// Returns a harness with an upstream that runs items of a size, due at these times.
fn running_items(tokens: Tokens, dues_ms: &[u64]) -> Harness {
    let mut harness = harness(true, 1);
    harness.size = sized(1, tokens);
    for due_ms in dues_ms {
        harness.request(0, batch(*due_ms), Queue::No).unwrap();
    }
    harness
}

/// Guards against a host that can't tell whether other items would be denied as well.
#[parameterized(
    slots_in_use = { 100, "notes", &[1, 1, 1], Cause::Slot },
    memory_in_use = { 950, "notes", &[1], Cause::Memory },
    larger_than_the_memory = { MEMORY + 2, "notes", &[], Cause::Size },
    no_upstream_of_the_service = { 100, "drafts", &[], Cause::Upstream },
)]
fn a_denied_item_is_told_what_it_lacks(
    tokens: Tokens,
    service: &str,
    running: &[u64],
    expected: Cause,
) {
    let mut harness = running_items(100, running);
    harness.size = sized(2, tokens);
    harness.service = service.to_owned();

    let granted = harness.request(1, batch(1), Queue::No);

    assert_eq!((granted, &harness.causes[..]), (None, &[expected][..]));
}

/// Guards against a large item that never runs, because small ones take all memory that becomes free.
#[test]
fn a_large_item_reclaims_the_memory_of_items_that_are_due_later() {
    let mut harness = running_items(100, &[1_000, 90_000, 60_000]);
    harness.size = sized(2, 850);

    let granted = harness.request(1, batch(30_000), Queue::No);

    assert!(granted.is_some());
    assert_eq!(harness.reclaimed, [(host(0), 1), (host(0), 2)]);
}

#[parameterized(
    that_are_due_earlier = { 100, &[1_000, 20_000], 850, 0 },
    that_are_due_at_about_the_same_time = { 100, &[30_100, 30_500], 850, 0 },
    that_would_not_be_enough = { 100, &[60_000, 90_000], 850, 200 },
    if_it_is_small = { 250, &[60_000, 70_000, 80_000], 400, 0 },
)]
fn an_item_reclaims_no_memory_of_items(
    running_tokens: Tokens,
    running: &[u64],
    tokens: Tokens,
    online_tokens: Tokens,
) {
    let mut harness = running_items(running_tokens, running);
    if online_tokens > 0 {
        place(&mut harness, sized(3, online_tokens), Queue::No).unwrap();
    }
    harness.size = sized(2, tokens);

    let granted = harness.request(1, batch(30_000), Queue::No);

    assert_eq!(granted, None);
    assert!(harness.reclaimed.is_empty());
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
