//! Choice of an upstream by the prompt parts that it keeps and by its memory.

use std::time::Instant;

use tinbank_allocator::{
    frame::{Queue, SlotRequest},
    lease::Class,
    memory,
    pace::Pace,
    placement::{Affinity, Candidate, Cost, LeastLoaded, Offer, Placement},
    size::{Part, Size, Tokens},
};
use tinbank_base::id;
use yare::parameterized;

const SLOTS: usize = 8;

/// An upstream with a load and kept tokens.
type Upstream = (usize, Tokens);

fn request(size: Size) -> SlotRequest {
    SlotRequest {
        lease: 1,
        class: Class::Online,
        service: "notes".to_owned(),
        exclude: Default::default(),
        queue: Queue::No,
        rank: 0,
        meter: None,
        share: None,
        size,
        max_gap_ms: None,
    }
}

/// Returns a prompt whose last part is its own.
fn prompt(first: u32) -> Size {
    let parts = [first, first + 1_000];
    let parts = parts.map(|prefix| Part {
        prefix,
        tokens: 100,
    });
    Size {
        parts: parts.into_iter().collect(),
        prompt_tokens: 200,
        expected_output: 50,
        max_output: 100,
    }
}

fn choose_with(
    placement: &Affinity,
    size: Size,
    upstreams: &[Upstream],
    memory_tokens: Option<Tokens>,
) -> Option<usize> {
    let pace = Pace::default();
    let names: Vec<id::Instance> = (0..upstreams.len())
        .map(|index| format!("u{index}").into())
        .collect();
    let offers = names.iter().zip(upstreams);
    let offers = offers.map(|(instance, (load, kept_tokens))| Offer {
        instance,
        candidate: Candidate {
            load: *load,
            slots: SLOTS,
            pace: &pace,
            kept_tokens: *kept_tokens,
            memory_in_use: *load as Tokens * 1_000,
            memory_tokens,
        },
    });
    let offers: Vec<_> = offers.collect();
    placement.choose(&request(size), &offers, Instant::now())
}

fn choose(size: Size, upstreams: &[Upstream]) -> Option<usize> {
    let placement = Affinity::new(Box::new(LeastLoaded), None);
    choose_with(&placement, size, upstreams, None)
}

#[parameterized(
    keeps_more = { &[(2, 0), (2, 100), (2, 50)], 1 },
    least_loaded_of_equals = { &[(3, 100), (2, 100), (3, 100)], 1 },
    over_the_mean = { &[(2, 0), (6, 100), (2, 50)], 2 },
    first_of_an_idle_failure_domain = { &[(0, 0), (0, 0), (0, 100)], 2 },
    no_free_slot = { &[(7, 0), (8, 100), (8, 100)], 0 },
)]
fn the_upstream_that_keeps_most_is_chosen_below_the_load_bound(
    upstreams: &[Upstream],
    chosen: usize,
) {
    assert_eq!(choose(prompt(1), upstreams), Some(chosen));
}

/// A part that is first read at all upstreams at once is read again at each of them.
#[test]
fn requests_with_the_same_new_part_start_at_the_same_upstream() {
    let idle = [(1, 0); 15];

    let same: Vec<_> = (0..5).map(|_| choose(prompt(7), &idle)).collect();
    let mut different: Vec<_> = (0..100).map(|first| choose(prompt(first), &idle)).collect();
    different.sort();
    different.dedup();

    assert!(same.iter().all(|it| *it == same[0]));
    assert_eq!(different.len(), 15, "parts are spread");
}

#[test]
fn a_prompt_without_shared_parts_goes_to_the_least_loaded_upstream() {
    let own = Size {
        parts: prompt(1).parts[..1].into(),
        ..prompt(1)
    };

    assert_eq!(choose(own, &[(2, 0), (1, 0), (2, 0)]), Some(1));
}

/// Where the cost is the time to the first event, affinity must not make a request late.
#[parameterized(
    cheap_enough = { Some(1), 2 },
    too_expensive = { Some(0), 0 },
    not_bounded = { None, 2 },
)]
fn the_cost_of_affinity_is_bounded(max_excess: Option<Cost>, chosen: usize) {
    let placement = Affinity::new(Box::new(LeastLoaded), max_excess);

    let choice = choose_with(&placement, prompt(1), &[(3, 0), (5, 0), (4, 100)], None);

    assert_eq!(choice, Some(chosen));
}

/// An upstream without memory preempts its newest request.
#[test]
fn a_request_is_sent_only_where_it_fits() {
    let placement = Affinity::new(Box::new(LeastLoaded), None);
    let memory = Some(2_200);

    let fits = choose_with(&placement, prompt(1), &[(2, 100), (1, 0)], memory);
    let fits_nowhere = choose_with(&placement, prompt(1), &[(2, 100), (3, 0)], memory);

    assert_eq!(fits, Some(1));
    assert_eq!(fits_nowhere, None);
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
