//! Choice of an upstream, and what fits it.

use std::time::Instant;

use tinbank_allocator::{
    memory,
    pace::Pace,
    placement::{Affinity, Candidate, Cost, LeastLoaded, Offer, Placement},
    size::{Prefix, Size, Tokens},
};
use tinbank_base::id;
use yare::parameterized;

use crate::{prompt, slot_request};

/// Chooses among upstreams with these loads and kept tokens.
fn choose(
    max_excess: Option<Cost>,
    size: Size,
    upstreams: &[(usize, Tokens)],
    memory_tokens: Option<Tokens>,
) -> Option<usize> {
    let names: Vec<id::Instance> = (0..upstreams.len())
        .map(|it| it.to_string().into())
        .collect();
    let pace = Pace::default();
    let offers = names.iter().zip(upstreams);
    let offers = offers.map(|(instance, &(load, kept_tokens))| Offer {
        instance,
        candidate: Candidate {
            load,
            slots: 8,
            pace: &pace,
            kept_tokens,
            memory_in_use: load as Tokens * 1_000,
            memory_tokens,
        },
    });
    let placement = Affinity::new(Box::new(LeastLoaded), max_excess);
    placement.choose(
        &slot_request(size),
        &offers.collect::<Vec<_>>(),
        Instant::now(),
    )
}

fn shared(first: Prefix) -> Size {
    prompt(&[(first, 100), (first + 1_000, 100)])
}

/// Preferring an upstream at any load would make requests late, and one without memory preempts its newest request.
#[parameterized(
    keeps_more = { shared(1), None, None, &[(2, 0), (2, 100), (2, 50)], Some(1) },
    least_loaded_of_equals = { shared(1), None, None, &[(3, 100), (2, 100), (3, 100)], Some(1) },
    over_the_mean = { shared(1), None, None, &[(2, 0), (7, 100), (2, 50)], Some(2) },
    idle = { shared(1), None, None, &[(0, 0), (0, 0), (0, 100)], Some(2) },
    no_free_slot = { shared(1), None, None, &[(7, 0), (8, 100), (8, 100)], Some(0) },
    own_part_only = { prompt(&[(1, 200)]), None, None, &[(1, 0), (0, 0), (1, 100)], Some(1) },
    cheap_enough = { shared(1), Some(1), None, &[(3, 0), (5, 0), (4, 100)], Some(2) },
    too_expensive = { shared(1), Some(0), None, &[(3, 0), (5, 0), (4, 100)], Some(0) },
    fits = { shared(1), None, Some(2_100), &[(2, 100), (1, 0)], Some(1) },
    fits_nowhere = { shared(1), None, Some(2_100), &[(2, 100), (3, 0)], None },
)]
fn the_upstream_that_keeps_most_is_chosen_within_bounds(
    size: Size,
    max_excess: Option<Cost>,
    memory_tokens: Option<Tokens>,
    upstreams: &[(usize, Tokens)],
    chosen: Option<usize>,
) {
    let choice = choose(max_excess, size, upstreams, memory_tokens);

    assert_eq!(choice, chosen);
}

/// A part that is first read at all upstreams at once is read again at each of them.
#[test]
fn requests_with_the_same_new_part_start_at_the_same_upstream() {
    let idle = [(1, 0); 15];

    let same = [(); 5].map(|()| choose(None, shared(7), &idle, None));
    let mut different: Vec<_> = (0..100)
        .map(|it| choose(None, shared(it), &idle, None))
        .collect();
    different.sort();
    different.dedup();

    assert!(same.iter().all(|it| *it == same[0]));
    assert_eq!(different.len(), 15, "parts are spread");
}

fn sized(prompt_tokens: Tokens, expected_output: Tokens, max_output: Tokens) -> Size {
    Size {
        prompt_tokens,
        expected_output,
        max_output,
        ..Size::default()
    }
}

/// A limit far above what is used must not keep slots empty.
#[parameterized(
    hinted = { sized(400, 100, 10_000), 600 },
    no_more_than_the_limit = { sized(400, 90, 100), 500 },
    generous_limit = { sized(400, 50_000, 100_000), 4_496 },
    unknown = { Size::default(), 0 },
)]
fn more_than_the_expected_output_is_reserved(size: Size, reserved: Tokens) {
    assert_eq!(memory::reservation(&size), reserved);
}

/// Only what certainly can't run is kept out of an empty upstream.
#[parameterized(
    beside_others = { sized(500, 50, 100), 400, Some(1_000), true },
    not_beside_others = { sized(500, 50, 100), 401, Some(1_000), false },
    output_too_large_alone = { sized(500, 2_000, 4_000), 0, Some(1_000), true },
    output_too_large_beside_others = { sized(500, 2_000, 4_000), 1, Some(1_000), false },
    prompt_too_large = { sized(1_001, 0, 0), 0, Some(1_000), false },
    unknown_size = { Size::default(), 2_000, Some(1_000), true },
    unknown_memory = { sized(1_001, 0, 0), 0, None, true },
    no_memory_configured = { sized(1_001, 0, 0), 0, Some(0), true },
)]
fn a_request_fits_beside_the_running_ones(
    size: Size,
    in_use: Tokens,
    memory: Option<Tokens>,
    fits: bool,
) {
    assert_eq!(memory::fits(&size, in_use, memory), fits);
}
