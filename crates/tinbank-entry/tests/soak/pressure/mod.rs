//! Online streams of a deployment under pressure: engines that crash as processes do, releases of versions one after another,
//! and hosts that are killed, stopped or without the store, while callers resume their streams at other hosts.

mod caller;
mod faults;
mod fleet;
mod order;

use std::{rc::Rc, time::Duration};

use fleet::{Fleet, Framing};
use rand::{SeedableRng, rngs::StdRng};
use tokio::time::Instant;

use crate::standin::run_local;

/// Events of a whole answer.
const EVENTS: u64 = 39;
/// How long faults are injected in CI and by hand.
const SHORT: Duration = Duration::from_secs(8);
const LONG: Duration = Duration::from_secs(15);
/// Least numbers of a short run, so that one that tests nothing fails: streams resumed by their callers, streams resumed within
/// an answer, and answers cut by a crash that closes connections in an orderly way.
const MIN_RESUMED: usize = 50;
const MIN_RESUMED_WITHIN: usize = 3;
const MIN_CLOSED: usize = 10;
/// Seed of the first run of CI.
const SEED: u64 = 70_000;

/// Guards against streams that lose or repeat events, join runs that do not go on from each other, or look whole before their
/// last event.
#[yare::parameterized(
    framed_by_chunks = { Framing::Chunks },
    framed_by_a_length = { Framing::Length },
    not_framed = { Framing::Unmarked },
)]
fn streams_under_pressure_stay_in_order(framing: Framing) {
    let run = Run {
        seed: SEED + framing as u64,
        framings: vec![framing],
        duration: SHORT,
    };
    let violations = run.play();
    assert!(violations.is_empty(), "{} violations", violations.len());
}

#[test]
#[ignore = "takes minutes; run manually with TINBANK_SOAK_SEEDS=FIRST..END"]
fn long_streams_under_pressure_stay_in_order() {
    let plays = crate::seeds().map(|seed| {
        let run = Run {
            seed,
            framings: vec![Framing::Chunks, Framing::Length, Framing::Unmarked],
            duration: LONG,
        };
        run.play()
    });
    let violations: Vec<_> = plays.flatten().collect();
    assert!(violations.is_empty(), "{} violations", violations.len());
}

/// A seeded run.
struct Run {
    seed: u64,
    /// Framings of the answers of engines.
    framings: Vec<Framing>,
    duration: Duration,
}

impl Run {
    /// Returns the violations, whose logs are kept.
    fn play(self) -> Vec<order::Violation> {
        let mut violations = Vec::new();
        run_local(async {
            let fleet = Rc::new(Fleet::start(self.seed, self.framings.clone()).await);
            let until = Instant::now() + self.duration;
            let callers = caller::start(&fleet, StdRng::seed_from_u64(self.seed), until);
            faults::inject(&fleet, StdRng::seed_from_u64(!self.seed), until).await;
            fleet.heal();
            let mut streams = Vec::new();
            for caller in callers {
                streams.extend(caller.await.unwrap());
            }
            violations = order::violations(&fleet, &streams);
            self.report(&fleet, &streams, &violations);
            if violations.is_empty() {
                fleet.remove_files();
            }
        });
        violations
    }

    fn report(&self, fleet: &Fleet, streams: &[caller::Stream], violations: &[order::Violation]) {
        let resumed: usize = streams.iter().map(caller::Stream::resumed).sum();
        let within: usize = streams.iter().map(order::resumed_within).sum();
        let seed = self.seed;
        println!(
            "seed {seed}: {} streams, {} whole, {resumed} resumed by callers, {within} within an answer, cut by crashes {:?}, {} versions, {} violations {:?}",
            streams.len(),
            streams.iter().filter(|it| it.is_whole()).count(),
            fleet.cuts.borrow(),
            fleet.versions(),
            violations.len(),
            order::counts(violations),
        );
        for violation in violations {
            let order::Violation {
                side,
                framings,
                what,
            } = violation;
            println!("seed {seed}: {side:?} {framings:?} {what}");
        }
        if !violations.is_empty() {
            println!("seed {seed}: logs in {}", fleet.folder().display());
        }
        let closed = fleet.closed();
        let is_enough =
            resumed >= MIN_RESUMED && within >= MIN_RESUMED_WITHIN && closed >= MIN_CLOSED;
        assert!(
            is_enough,
            "seed {seed}: {resumed} resumed, {within} within, {closed} closed"
        );
    }
}
