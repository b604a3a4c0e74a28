//! Network cost per host of the messages about limits, at the size of the target deployment.

use std::collections::VecDeque;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tinbank_base::frame::datagram::MAX_BYTES;
use tinbank_routing::limit::Scope;
use yare::parameterized;

use super::fleet::{Fleet, scope};

/// Byte budget of one host per second; see `docs/design/limits.md`.
const BYTES_PER_HOST: f64 = 900.0;
/// Simulation steps per second.
const STEPS: u64 = 100;
/// Duration of a request in steps.
const REQUEST_STEPS: u64 = 200;

/// Distribution of requests over customers.
#[derive(Clone, Copy, Debug)]
enum Spread {
    Even,
    /// Half of the requests are of one customer with this limit.
    Hot(u32),
    /// Even, with a limit of concurrent requests in addition.
    AtOnce,
}

#[parameterized(
    today = { 12, 13_000, 100, Spread::Even },
    today_hot = { 12, 13_000, 100, Spread::Hot(300) },
    target = { 370, 13_000, 1_100, Spread::Even },
    target_hot_large = { 370, 13_000, 1_100, Spread::Hot(1_000) },
    target_at_once = { 370, 13_000, 1_100, Spread::AtOnce },
    target_hot = { 370, 13_000, 1_100, Spread::Hot(300) },
)]
fn exchange_stays_within_byte_budget(
    hosts: u32,
    customers: usize,
    per_second: u32,
    spread: Spread,
) {
    const WARM_UP_SECONDS: u64 = 8;
    const SECONDS: u64 = 8;
    let mut fleet = Fleet::new(hosts, 11);
    let mut random = SmallRng::seed_from_u64(12);
    let mut scopes: Vec<Scope> = (0..customers)
        .map(|customer| scope(&format!("customer-{customer}"), 20))
        .collect();
    if matches!(spread, Spread::AtOnce) {
        for scope in &mut scopes {
            scope.limits.online_at_once = Some(8);
        }
    }
    let mut running = VecDeque::new();
    let (mut requested, mut admitted) = (0_u32, 0_u32);
    for step in 0..(WARM_UP_SECONDS + SECONDS) * STEPS {
        if step == WARM_UP_SECONDS * STEPS {
            (fleet.bytes, fleet.frames) = (0, 0);
        }
        fleet.step();
        let due = u64::from(per_second) * (step + 1) / STEPS - u64::from(per_second) * step / STEPS;
        for _ in 0..due {
            let scope = match spread {
                Spread::Hot(limit) if random.random_bool(0.5) => scope("hot", limit),
                _ => scopes[random.random_range(0..customers)],
            };
            let host = random.random_range(0..hosts) as usize;
            requested += 1;
            if fleet.begin(host, &[scope]) {
                admitted += 1;
                running.push_back((step + REQUEST_STEPS, host, scope));
            }
        }
        while let Some((_, host, scope)) = running.pop_front_if(|(until, ..)| *until <= step) {
            fleet.hosts[host].limiter.end(&[scope]);
        }
    }

    let per_host = |count: u64| count as f64 / f64::from(hosts) / SECONDS as f64;
    let accounts: usize = fleet.hosts.iter().map(|host| host.limiter.accounts()).sum();
    println!(
        "hosts={hosts} customers={customers} requests_per_s={per_second} spread={spread:?} \
         bytes_per_host_s={:.0} frames_per_host_s={:.1} largest_frame={} accounts_per_host={} let_in={:.3}",
        per_host(fleet.bytes),
        per_host(fleet.frames),
        fleet.largest,
        accounts / hosts as usize,
        f64::from(admitted) / f64::from(requested),
    );
    assert!(per_host(fleet.bytes) < BYTES_PER_HOST);
    assert!(fleet.largest < MAX_BYTES);
}
