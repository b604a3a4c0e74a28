//! Compares placements on the same load of prompts. `docs/design/prompt-placement.md` has the figures, which
//! `cargo test -p tinbank-allocator --test prompt -- --nocapture` prints.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tinbank_allocator::{
    Options, memory,
    options::Strategy,
    pace::Pace,
    placement::{Candidate, Offer},
    prefix::Cache,
    size::{Part, Prefix, Size, Tokens},
};
use tinbank_base::id;
use yare::parameterized;

use crate::{prompt, slot_request};

const UPSTREAMS: usize = 15;
const SLOTS: usize = 8;
const MEMORY: Tokens = 101_495;
const REQUESTS_PER_S: f64 = 180.0;
/// Demand of a failure domain relative to the mean, which changes every two seconds.
const DEMAND: [f64; 4] = [0.4, 0.7, 1.0, 1.9];
const RUN: Duration = Duration::from_secs(60);
const FIRST_PARTS: u32 = 80;
const SECOND_PARTS: i32 = 3_000;
const LONG_PROMPT: Tokens = 6_000;

/// Whether rendezvous hashing and the estimate of kept parts take part in the choice. Neither is the least loaded upstream.
type Use = (bool, bool);

#[derive(Debug, Default)]
struct Outcome {
    /// Shared tokens that were read although an upstream of the service had read them before.
    read_again: u64,
    /// Tokens that were kept, and that were expected to be.
    kept: [u64; 2],
    /// Requests that found all slots of the failure domain in use.
    refused: usize,
    /// Largest load of an upstream.
    max_load: usize,
    /// Times to the first event of short prompts, in microseconds. Some wait until a long prompt is read.
    first_events: Vec<u128>,
}

impl Outcome {
    fn p99(&self) -> u128 {
        let mut sorted = self.first_events.clone();
        sorted.sort();
        sorted[sorted.len() * 99 / 100]
    }
}

/// An upstream as it is, and as its allocator estimates it.
#[derive(Default)]
struct Upstream {
    instance: id::Instance,
    /// Parts and when they are usable, the least recently used first.
    kept: Vec<(Part, Instant)>,
    /// End, output and reserved memory of each running request.
    running: Vec<(Instant, Tokens, Tokens)>,
    read_until: Option<Instant>,
    estimate: Cache,
    pace: Pace,
}

impl Upstream {
    /// Starts a request. Returns how many tokens of its prompt are kept, and when its first event is produced.
    fn start(&mut self, size: &Size, output: Tokens, now: Instant) -> (Tokens, Instant) {
        let find = |kept: &[(Part, _)], part: &Part| kept.iter().position(|it| it.0 == *part);
        let is_kept =
            |part: &&Part| find(&self.kept, part).is_some_and(|it| self.kept[it].1 <= now);
        let kept: Tokens = size
            .parts
            .iter()
            .take_while(is_kept)
            .map(|it| it.tokens)
            .sum();
        let read = Duration::from_millis(((size.prompt_tokens - kept) / 110).into());
        let arrival = now + Duration::from_millis(3);
        let ready_at = self.read_until.map_or(arrival, |it| it.max(arrival)) + read;
        self.read_until = Some(ready_at);
        for part in size.parts.iter().rev() {
            let before = find(&self.kept, part).map(|index| self.kept.remove(index).1);
            self.kept
                .push((*part, before.map_or(ready_at, |it| it.min(ready_at))));
        }
        let token_time = Duration::from_micros(2_800 + 250 * self.running.len() as u64);
        let reserved = memory::reservation(size);
        self.running
            .push((ready_at + token_time * output, output, reserved));
        let running: Tokens = self.running.iter().map(|it| it.1).sum();
        while running + self.kept.iter().map(|it| it.0.tokens).sum::<Tokens>() > MEMORY {
            self.kept.remove(0);
        }
        (kept, ready_at + token_time)
    }

    fn offer(&self, size: &Size, (_, has_estimate): Use, now: Instant) -> Offer<'_> {
        Offer {
            instance: &self.instance,
            candidate: Candidate {
                load: self.running.len(),
                slots: SLOTS,
                pace: &self.pace,
                kept_tokens: if has_estimate {
                    self.estimate.kept_tokens(size, now)
                } else {
                    0
                },
                memory_in_use: self.running.iter().map(|it| it.2).sum(),
                memory_tokens: Some(MEMORY),
            },
        }
    }
}

/// Draws a first part, a second part that belongs to it (Zipf, skew 0.3), and a part of the request.
fn draw(rng: &mut StdRng, own: Prefix) -> Size {
    let weight = |rank: f64| rank.powf(0.7);
    let draw = rng.random_range(0.0..weight(SECOND_PARTS.into()));
    let second = draw.powf(1.0 / 0.7) as u32;
    let first = second % FIRST_PARTS;
    let own_tokens = match rng.random_bool(0.01) {
        true => rng.random_range(LONG_PROMPT..17_000),
        false => rng.random_range(20..250),
    };
    let shared = [
        (first, 40 + first * 3 / 2),
        (1_000 + second, 40 + second % 120),
    ];
    Size {
        expected_output: 240,
        max_output: 1_000,
        ..prompt(&[shared[0], shared[1], (own, own_tokens)])
    }
}

fn simulate(inner: Strategy, strategy: Use, seed: u64, loss: Option<Duration>) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let options = Options {
        strategy: inner,
        prefix_affinity: strategy != (false, false),
        ..Options::default()
    };
    let placement = options.placement();
    let upstream = |index: usize| Upstream {
        // Upstreams of the same name have the same rank.
        instance: if strategy.0 {
            index.to_string()
        } else {
            String::new()
        }
        .into(),
        ..Upstream::default()
    };
    let mut domains = [0, 1, 2].map(|_| (0..UPSTREAMS).map(upstream).collect::<Vec<_>>());
    let mut read = HashSet::new();
    let (start, mut passed, mut lost_at) = (Instant::now(), Duration::ZERO, loss);
    for draws in 0.. {
        passed += Duration::from_secs_f64(rng.random_range(0.0..2.0) / REQUESTS_PER_S / 1.9);
        let now = start + passed;
        let size = draw(&mut rng, 1_000_000 + draws);
        let (index, output) = (rng.random_range(0..3), rng.random_range(100..380));
        let demand = DEMAND[(passed.as_secs() as usize / 2 * 7 + index * 3) % DEMAND.len()];
        if passed > RUN {
            return outcome;
        }
        if !rng.random_bool(demand / 1.9) {
            continue;
        }
        if lost_at.take_if(|at| passed >= *at).is_some() {
            let lost = domains.iter_mut().flatten();
            lost.for_each(|upstream| upstream.estimate = Cache::default());
        }
        let upstreams = &mut domains[index];
        upstreams.rotate_left(1);
        for upstream in upstreams.iter_mut() {
            upstream.running.retain(|it| now < it.0);
        }
        let offers = upstreams.iter().map(|it| it.offer(&size, strategy, now));
        let offers: Vec<_> = offers.collect();
        let chosen = placement.choose(&slot_request(size.clone()), &offers, now);
        let Some(chosen) = chosen.filter(|it| offers[*it].candidate.load < SLOTS) else {
            outcome.refused += 1;
            continue;
        };
        let Candidate {
            load,
            kept_tokens,
            memory_in_use,
            ..
        } = offers[chosen].candidate;
        let upstream = &mut upstreams[chosen];
        upstream
            .estimate
            .record_sent(&size, Some(MEMORY - memory_in_use), now);
        let (kept, first_event) = upstream.start(&size, output, now);
        outcome.kept[0] += u64::from(kept);
        outcome.kept[1] += u64::from(kept_tokens);
        outcome.max_load = outcome.max_load.max(load + 1);
        if size.prompt_tokens < LONG_PROMPT {
            outcome.first_events.push((first_event - now).as_micros());
        }
        let mut end = 0;
        for part in &size.parts[..2] {
            end += part.tokens;
            if !read.insert(part.prefix) && end > kept {
                outcome.read_again += u64::from(part.tokens);
            }
        }
    }
    outcome
}

/// The successor of a lost allocator starts without an estimate; rendezvous hashing sends first parts where they were sent before.
#[parameterized(
    one = { Strategy::LeastLoaded, 1, None },
    two = { Strategy::LeastLoaded, 2, None },
    three = { Strategy::LeastLoaded, 3, None },
    expected_first_event = { Strategy::ExpectedFirstEvent, 1, None },
    all_allocators_lost = { Strategy::LeastLoaded, 1, Some(RUN / 2) },
)]
fn half_as_much_is_read_again_without_later_first_events(
    inner: Strategy,
    seed: u64,
    loss: Option<Duration>,
) {
    let strategies = [(false, false), (true, false), (false, true), (true, true)];

    let outcomes = strategies.map(|strategy| simulate(inner, strategy, seed, loss));

    for (strategy, it) in strategies.iter().zip(&outcomes) {
        let Outcome {
            read_again,
            kept,
            refused,
            max_load,
            first_events,
        } = it;
        let (requests, p99) = (first_events.len(), it.p99());
        println!(
            "{inner:?} {strategy:?} {seed} {loss:?}: requests={requests} read_again={read_again} kept={kept:?} refused={refused} max_load={max_load} p99_us={p99}"
        );
    }
    let [today, _, estimate, both] = outcomes;
    assert!(both.p99() <= today.p99());
    match loss {
        None => assert!(both.read_again * 2 <= today.read_again),
        Some(_) => assert!(both.read_again < estimate.read_again),
    }
}
