//! A randomized soak: the real program as separate processes on one machine, with faults from outside, and the promises
//! checked from what callers and upstreams see.
//!
//! CI plays a few fixed seeds for some seconds. More by hand:
//! `TINBANK_SOAK_SEEDS=100..150 cargo test --release -p tinbank-entry --test soak -- --ignored --nocapture`.

mod caller;
mod deployment;
mod faults;
mod mortal;
mod promises;
mod proxy;
#[path = "../../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "the stand-ins serve other tests as well")]
mod standin;

use std::{rc::Rc, time::Duration};

use deployment::Deployment;
use rand::{SeedableRng, rngs::StdRng};
use standin::play;
use tokio::task;

/// Seeds that CI plays. One that ever failed is added with a line on its cause.
const SEEDS: [u64; 3] = [1, 2, 3];
/// For how long faults come.
const FAULTS: Duration = Duration::from_secs(5);

#[test]
fn a_short_soak_keeps_every_promise() {
    SEEDS.into_iter().for_each(soak);
}

#[test]
#[ignore = "takes minutes; played by hand, see docs/findings.md"]
fn a_long_soak_keeps_every_promise() {
    let range = std::env::var("TINBANK_SOAK_SEEDS").expect("TINBANK_SOAK_SEEDS=FIRST..END");
    let (first, end) = range.split_once("..").expect("FIRST..END");
    let seeds: std::ops::Range<u64> = first.parse().unwrap()..end.parse().unwrap();
    seeds.for_each(soak);
}

fn soak(seed: u64) {
    play(async move {
        let deployment = Deployment::start(seed).await;
        let until = tokio::time::Instant::now() + FAULTS;
        let mortals = Rc::clone(&deployment.mortals);
        let deadly = task::spawn_local(mortals.call(deployment.callers(), until));
        let callers = caller::start(&deployment, StdRng::seed_from_u64(seed), until);
        faults::play(&deployment, StdRng::seed_from_u64(!seed), until).await;
        deployment.heal().await;
        let seen = callers.finish().await;
        deadly.await.unwrap();
        let mut broken = promises::broken(&deployment, &seen).await;
        broken.extend(deployment.mortals.broken(&deployment.callers()).await);
        println!(
            "seed {seed}: {} streams, {} jobs, {} engines ended, {} broken",
            seen.streams(),
            seen.jobs(),
            deployment.mortals.ended(),
            broken.len()
        );
        assert!(
            broken.is_empty(),
            "seed {seed}, logs in {}: {broken:#?}",
            deployment.folder().display()
        );
        deployment.clean();
    });
}
