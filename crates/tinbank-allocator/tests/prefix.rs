//! Estimate of the prompt parts that an upstream keeps.

use std::time::{Duration, Instant};

use tinbank_allocator::{
    prefix::{Cache, MAX_PARTS},
    size::{Part, Prefix, Size, Tokens},
};

/// Longer than any prompt of these tests takes to be read.
const READ: Duration = Duration::from_secs(1);

fn prompt(parts: &[(Prefix, Tokens)]) -> Size {
    let parts = parts.iter();
    let parts = parts.map(|(prefix, tokens)| Part {
        prefix: *prefix,
        tokens: *tokens,
    });
    Size {
        parts: parts.collect(),
        ..Size::default()
    }
}

/// Returns a cache to which the prompts were sent one after the other, and the time at which all are read.
fn cache_after(capacity: Option<Tokens>, prompts: &[Size]) -> (Cache, Instant) {
    let mut cache = Cache::default();
    let mut now = Instant::now();
    for size in prompts {
        cache.record_sent(size, capacity, now);
        now += READ;
    }
    (cache, now)
}

#[test]
fn shared_parts_of_a_prompt_that_was_read_are_kept() {
    let (cache, now) = cache_after(None, &[prompt(&[(1, 100), (2, 50), (3, 10)])]);

    assert_eq!(
        cache.kept_tokens(&prompt(&[(1, 100), (2, 50), (9, 70)]), now),
        150
    );
    assert_eq!(
        cache.kept_tokens(&prompt(&[(8, 100), (7, 50), (9, 70)]), now),
        0
    );
}

/// Two requests sent at the same moment both read their parts.
#[test]
fn parts_are_not_usable_before_they_are_read() {
    let mut cache = Cache::default();
    let now = Instant::now();
    let size = prompt(&[(1, 5_500), (2, 10)]);

    cache.record_sent(&size, None, now);

    assert_eq!(cache.kept_tokens(&size, now), 0);
    assert_eq!(
        cache.kept_tokens(&size, now + Duration::from_millis(90)),
        0,
        "still reading"
    );
    assert_eq!(cache.kept_tokens(&size, now + READ), 5_510);
}

#[test]
fn a_later_request_does_not_delay_parts_that_are_being_read() {
    let mut cache = Cache::default();
    let now = Instant::now();
    let size = prompt(&[(1, 5_500), (2, 10)]);
    cache.record_sent(&size, None, now);

    cache.record_sent(&size, None, now + Duration::from_millis(100));

    assert_eq!(
        cache.kept_tokens(&size, now + Duration::from_millis(140)),
        5_510
    );
}

#[test]
fn the_least_recently_used_parts_are_evicted_first() {
    let (a, b) = (prompt(&[(1, 400)]), prompt(&[(2, 400)]));
    let c = prompt(&[(3, 400)]);

    let (cache, now) = cache_after(Some(1_000), &[a.clone(), b.clone(), a.clone(), c.clone()]);

    assert_eq!(cache.kept_tokens(&a, now), 400);
    assert_eq!(cache.kept_tokens(&b, now), 0);
    assert_eq!(cache.kept_tokens(&c, now), 400);
}

/// A part is useless without those before it, so evicting the first part of a prompt would waste the others.
#[test]
fn later_parts_of_a_prompt_are_evicted_before_earlier_ones() {
    let (a, b) = (prompt(&[(1, 300), (2, 300)]), prompt(&[(3, 300)]));

    let (cache, now) = cache_after(Some(700), &[a.clone(), b]);

    assert_eq!(cache.kept_tokens(&a, now), 300);
}

#[test]
fn a_part_counts_only_if_all_before_it_are_kept() {
    let (a, b) = (prompt(&[(1, 300), (2, 300)]), prompt(&[(2, 300)]));

    let (cache, now) = cache_after(None, &[b]);

    assert_eq!(cache.kept_tokens(&a, now), 0);
}

/// Running requests grow into the memory of kept parts.
#[test]
fn parts_are_evicted_when_running_requests_need_the_memory() {
    let (a, b) = (prompt(&[(1, 400)]), prompt(&[(2, 400)]));
    let (mut cache, now) = cache_after(Some(1_000), std::slice::from_ref(&a));

    cache.record_sent(&b, Some(500), now);

    assert_eq!(cache.kept_tokens(&a, now + READ), 0);
    assert_eq!(cache.kept_tokens(&b, now + READ), 400);
}

/// An allocator's caches must fit in a small host.
#[test]
fn the_number_of_parts_is_bounded_without_a_known_memory() {
    let prompts = (0..2 * MAX_PARTS as Prefix).map(|prefix| prompt(&[(prefix, 1)]));

    let (cache, now) = cache_after(None, &prompts.collect::<Vec<_>>());

    assert_eq!(cache.len(), MAX_PARTS);
    assert_eq!(
        cache.kept_tokens(&prompt(&[(2 * MAX_PARTS as Prefix - 1, 1)]), now),
        1
    );
}

/// A request that was refused, or a first event that took as long as an unread prompt, shows that the estimate is wrong.
#[test]
fn a_part_that_turns_out_to_be_missing_ends_the_kept_prefix() {
    let size = prompt(&[(1, 100), (2, 50), (3, 10)]);
    let (mut cache, now) = cache_after(None, std::slice::from_ref(&size));

    cache.forget(2);

    assert_eq!(cache.kept_tokens(&size, now), 100);
}
