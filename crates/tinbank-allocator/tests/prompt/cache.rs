//! Estimate of the prompt parts that an upstream keeps.

use std::time::{Duration, Instant};

use tinbank_allocator::{
    lease::Outcome,
    pace::Sample,
    prefix::{Cache, Expectation, MAX_PARTS},
    size::{Prefix, Size, Tokens},
};
use yare::parameterized;

use crate::prompt;

/// Longer than any prompt of these tests takes to be read.
const READ: Duration = Duration::from_secs(1);

/// Returns a cache to which prompts were sent one after the other, and the time at which all are read.
fn cache_after(capacity: Option<Tokens>, prompts: &[&Size]) -> (Cache, Instant) {
    let (mut cache, mut now) = (Cache::default(), Instant::now());
    for size in prompts {
        cache.record_sent(size, capacity, now);
        now += READ;
    }
    (cache, now)
}

/// A part is useless without those before it, also when it was sent in another prompt.
#[parameterized(
    same_shared_parts = { &[(1, 100), (2, 50), (9, 70)], 150 },
    other_first_part = { &[(8, 100), (2, 50)], 0 },
)]
fn parts_count_if_all_before_them_are_kept(parts: &[(Prefix, Tokens)], kept: Tokens) {
    let (cache, now) = cache_after(None, &[&prompt(&[(1, 100), (2, 50), (3, 10)])]);

    assert_eq!(cache.kept_tokens(&prompt(parts), now), kept);
}

/// Two requests sent at the same moment both read their parts, and the second does not delay them further.
#[parameterized(reading = { 90, 0 }, read = { 140, 5_510 })]
fn parts_are_not_usable_before_they_are_read(after_ms: u64, kept: Tokens) {
    let (mut cache, start) = (Cache::default(), Instant::now());
    let size = prompt(&[(1, 5_500), (2, 10)]);
    cache.record_sent(&size, None, start);
    cache.record_sent(&size, None, start + Duration::from_millis(80));

    let now = start + Duration::from_millis(after_ms);

    assert_eq!(cache.kept_tokens(&size, now), kept);
}

/// The first part of a prompt is evicted last, since evicting it wastes the others.
#[parameterized(
    enough_memory = { 1_600, [600, 400, 600] },
    least_recently_used = { 1_200, [600, 0, 600] },
    last_part_before_first = { 1_000, [300, 0, 600] },
)]
fn the_least_recently_used_parts_are_evicted_first(capacity: Tokens, kept: [Tokens; 3]) {
    let prompts = [&[(1, 300), (2, 300)][..], &[(3, 400)], &[(4, 600)]].map(prompt);
    let [a, b, c] = &prompts;

    let (cache, now) = cache_after(Some(capacity), &[a, b, a, c]);

    assert_eq!(
        prompts.each_ref().map(|it| cache.kept_tokens(it, now)),
        kept
    );
}

/// An allocator's caches must fit in a small host, and prompts without parts take memory of the upstream too.
#[test]
fn the_number_of_parts_is_bounded_without_a_known_memory() {
    let prompts = (0..2 * MAX_PARTS as Prefix).map(|prefix| prompt(&[(prefix, 1)]));
    let prompts: Vec<_> = prompts.collect();
    let (mut cache, now) = cache_after(None, &prompts.iter().collect::<Vec<_>>());

    let unshared = Size {
        prompt_tokens: 1,
        ..Size::default()
    };
    cache.record_sent(&unshared, Some(1), now);

    assert_eq!(cache.kept_tokens(&prompts[2 * MAX_PARTS - 1], now), 0);
    assert_eq!(
        cache_after(None, &prompts.iter().collect::<Vec<_>>())
            .0
            .len(),
        MAX_PARTS
    );
}

#[test]
fn parts_of_a_refused_request_are_not_kept() {
    let size = prompt(&[(1, 100), (2, 50)]);
    let (mut cache, now) = cache_after(None, &[&prompt(&[(1, 100)])]);
    let expected = cache.record_sent(&size, None, now);

    cache.record_end(&expected, Outcome::Refused, None);

    assert_eq!(cache.kept_tokens(&size, now + READ), 100);
}

/// An upstream that evicts earlier than its memory suggests would be preferred for parts that it has to read again.
#[parameterized(read_again = { 60, 0 }, kept = { 5, 3_000 })]
fn a_first_event_as_late_as_without_kept_parts_lowers_the_estimate(event_ms: u32, kept: Tokens) {
    let (first, second) = (prompt(&[(1, 3_000)]), prompt(&[(2, 3_000)]));
    let (mut cache, now) = cache_after(None, &[&first, &second]);
    let mut record = |kept_tokens, first_event_ms| {
        let expected = Expectation {
            prompt_tokens: 3_000,
            kept_tokens,
            first_read: None,
        };
        let sample = Sample {
            first_event_ms,
            ..Sample::default()
        };
        cache.record_end(&expected, Outcome::Served, Some(sample));
    };

    record(0, 50);
    record(3_000, event_ms);
    cache.record_sent(&second, None, now);

    assert_eq!(cache.kept_tokens(&first, now), kept);
}
