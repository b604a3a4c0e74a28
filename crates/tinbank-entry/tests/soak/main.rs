//! Randomized soak test: runs the program as separate processes on one machine, injects faults, and checks the documented
//! guarantees against what callers and upstreams observe.
//!
//! CI runs a few fixed seeds for some seconds each. To run more seeds:
//! `TINBANK_SOAK_SEEDS=100..150 cargo test --release -p tinbank-entry --test soak -- --ignored --nocapture`.
//! A name limits this to one test: `a_long_soak`, or `long_streams` for streams under pressure. `TINBANK_SOAK_PROGRAM=PATH` runs another
//! build of the program.

mod caller;
mod crash;
mod deployment;
mod faults;
mod invariants;
mod lapse;
mod long_items;
mod paused;
mod pressure;
mod proxy;
#[path = "../../../../platform/tests/standin/mod.rs"]
#[allow(dead_code, reason = "the stand-ins are shared with other tests")]
mod standin;

use std::{rc::Rc, time::Duration};

use deployment::Deployment;
use rand::{SeedableRng, rngs::StdRng};
use standin::run_local;
use tokio::task;

/// Seeds that CI runs. A seed that ever failed is added, with a line on its cause:
/// - 3038: attempts were sent while the crashes of earlier ones were not known yet.
const SEEDS: [u64; 4] = [1, 2, 3, 3038];
/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(5);

#[test]
fn a_short_soak_violates_no_guarantee() {
    SEEDS.into_iter().for_each(soak);
}

#[test]
#[ignore = "takes minutes; run manually, see docs/findings.md"]
fn a_long_soak_violates_no_guarantee() {
    seeds().for_each(soak);
}

/// Returns the seeds of a long run.
fn seeds() -> std::ops::Range<u64> {
    let range = std::env::var("TINBANK_SOAK_SEEDS").expect("TINBANK_SOAK_SEEDS=FIRST..END");
    let (first, end) = range.split_once("..").expect("FIRST..END");
    first.parse().unwrap()..end.parse().unwrap()
}

fn soak(seed: u64) {
    run_local(async move {
        let deployment = Rc::new(Deployment::start(seed).await);
        let until = tokio::time::Instant::now() + FAULT_DURATION;
        let crashing_service = Rc::clone(&deployment.crashing_service);
        let crashing =
            task::spawn_local(crashing_service.send_requests(deployment.callers(), until));
        let callers = caller::start(&deployment, StdRng::seed_from_u64(seed), until);
        let late_appends = StdRng::seed_from_u64(seed.rotate_left(32));
        tokio::join!(
            faults::inject(&deployment, StdRng::seed_from_u64(!seed), until),
            faults::delay_appends(&deployment, late_appends, until),
        );
        deployment.heal().await;
        let observed = callers.finish().await;
        crashing.await.unwrap();
        let mut violations = invariants::violations(&deployment, &observed).await;
        violations.extend(
            deployment
                .crashing_service
                .violations(&deployment.callers())
                .await,
        );
        println!(
            "seed {seed}: {} streams, {} resumed, {} jobs, {} engine crashes, {} violations",
            observed.streams(),
            observed.resumed.get(),
            observed.jobs(),
            deployment.crashing_service.crashes(),
            violations.len()
        );
        assert!(
            violations.is_empty(),
            "seed {seed}, logs in {}: {violations:#?}",
            deployment.folder().display()
        );
        deployment.remove_files();
    });
}
