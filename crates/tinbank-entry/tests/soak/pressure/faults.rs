//! Seeded faults, which overlap.

use std::{rc::Rc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tokio::{
    task,
    time::{self, Instant},
};

use super::fleet::{Crash, ENGINES, Fleet, Incarnation};
use crate::proxy;

/// Injects faults until `until`, and waits until those that have begun are over.
pub async fn inject(fleet: &Rc<Fleet>, mut random: StdRng, until: Instant) {
    let releases = task::spawn_local(release(
        Rc::clone(fleet),
        StdRng::seed_from_u64(random.random()),
        until,
    ));
    let mut running = vec![releases];
    while Instant::now() < until {
        let one = inject_one(Rc::clone(fleet), StdRng::seed_from_u64(random.random()));
        running.push(task::spawn_local(one));
        pause(&mut random, 30..250).await;
    }
    for fault in running {
        fault.await.unwrap();
    }
}

/// Replaces all engines by ones of the next version, one after another, again and again.
async fn release(fleet: Rc<Fleet>, mut random: StdRng, until: Instant) {
    for version in 2.. {
        pause(&mut random, 500..1_500).await;
        for place in 0..ENGINES {
            if Instant::now() > until {
                return;
            }
            let old = fleet.current(place);
            fleet.start_engine(place, version).await;
            fleet.remove(&old);
            pause(&mut random, 50..400).await;
        }
    }
}

async fn inject_one(fleet: Rc<Fleet>, mut random: StdRng) {
    let host = &fleet.hosts[random.random_range(0..fleet.hosts.len())];
    let place = random.random_range(0..ENGINES);
    match random.random_range(0..16) {
        0..=4 => crash(&fleet, place, &mut random).await,
        5 | 6 => {
            host.kill();
            pause(&mut random, 100..1_000).await;
            host.start();
        }
        7 => {
            host.stop().await;
            host.start();
        }
        8..=10 => {
            host.signal(Signal::STOP);
            pause(&mut random, 100..2_500).await;
            host.signal(Signal::CONT);
        }
        11 | 12 => {
            let modes = [
                proxy::Mode::Unresponsive,
                proxy::Mode::Reset,
                proxy::Mode::OneWay,
            ];
            host.store_proxy
                .set(modes[random.random_range(0..modes.len())]);
            pause(&mut random, 500..4_000).await;
            host.store_proxy.set(proxy::Mode::Pass);
        }
        13 => disturb(&fleet.current(place), &mut random).await,
        _ => fleet.disconnects.send_modify(|it| *it += 1),
    }
}

/// Resets the connections of an engine that lives on, or lets them be silent for a time.
async fn disturb(engine: &Incarnation, random: &mut StdRng) {
    if engine.has_crashed.get() {
        return;
    }
    let modes = [proxy::Mode::Unresponsive, proxy::Mode::Reset];
    engine.proxy.set(modes[random.random_range(0..modes.len())]);
    pause(random, 50..1_500).await;
    if !engine.has_crashed.get() {
        engine.proxy.set(proxy::Mode::Pass);
    }
}

/// Crashes an engine. Another one takes its place, and its entry lapses some time later.
async fn crash(fleet: &Fleet, place: usize, random: &mut StdRng) {
    let engine = fleet.current(place);
    let crash = match random.random_bool(0.6) {
        true => Crash::Closed,
        false => Crash::Reset,
    };
    fleet.crash(&engine, crash);
    pause(random, 100..600).await;
    if fleet.current(place).engine.name == engine.engine.name {
        fleet.start_engine(place, engine.version()).await;
    }
    pause(random, 1..2_500).await;
    fleet.remove(&engine);
}

async fn pause(random: &mut StdRng, range_ms: std::ops::Range<u64>) {
    let pause = random.random_range(range_ms);
    time::sleep(Duration::from_millis(pause)).await;
}
