//! Network cost of admission control: the figures of `docs/design/admission.md`. Run with `--nocapture` to print them.

mod world;

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use world::World;

/// Size of the target deployment.
const ENGINES: f64 = 600.0;
const HOSTS: f64 = 370.0;
const REQUESTS_PER_SECOND: f64 = 1_100.0;
const REQUEST_SECONDS: f64 = 4.0;
/// Bytes per second and host for admission control, besides heartbeats; see `crates/tinbank-membership/tests/cost.rs`.
const BYTE_BUDGET: f64 = 1_170.0;

#[test]
fn frames_of_all_engines_fit_byte_budget_of_each_host() {
    const SECONDS: u64 = 120;
    let holders = [
        (3, "north", 4),
        (4, "south", 4),
        (5, "east", 4),
        (6, "west", 4),
    ];
    let mut world = World::filled(16, 100, &holders, 1);
    let mut random = SmallRng::seed_from_u64(2);
    let per_step = REQUESTS_PER_SECOND / ENGINES * 0.01;
    let mut running: Vec<(u32, u64)> = Vec::new();
    let mut next_host = 100;
    world.bytes = 0;

    for step in 0..SECONDS * 100 {
        if random.random_bool(per_step) {
            next_host += 1;
            world.set_online(next_host, 1);
            let takes = REQUEST_SECONDS * 100.0 * random.random_range(0.5..1.5);
            running.push((next_host, step + takes as u64));
        }
        let (ended, still) = running.into_iter().partition(|(_, end)| *end <= step);
        running = still;
        for (host, _) in ended {
            world.set_online(host, 0);
        }
        world.run(Duration::from_millis(10));
    }

    let per_engine = world.bytes as f64 / SECONDS as f64;
    let per_host = per_engine * ENGINES / HOSTS;
    println!(
        "bytes_per_engine_s={per_engine:.0} bytes_per_host_s={per_host:.0} cancelled={}",
        world.cancelled
    );
    assert!(per_host < BYTE_BUDGET);
}
