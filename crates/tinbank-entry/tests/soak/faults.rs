//! Random faults, which may overlap and repeat.

use std::{rc::Rc, time::Duration};

use rand::{Rng, rngs::StdRng};
use rustix::process::Signal;
use tokio::time::{self, Instant};

use crate::{
    deployment::{Deployment, ENGINES},
    lapse, proxy,
    standin::{engine, store},
};

/// How often all engines crash in a burst.
const CRASHES_IN_A_BURST: usize = 5;
/// Time for which a crashed engine refuses connections, longer than a probe takes to see it.
const TIME_DOWN: Duration = Duration::from_millis(100);
/// Time between two crashes in milliseconds. Mostly shorter than the wait of an item for its next run together with that run.
const TIME_UP_MS: std::ops::Range<u64> = 40..160;

/// Injects faults until `until`.
pub async fn inject(deployment: &Rc<Deployment>, mut random: StdRng, until: Instant) {
    while Instant::now() < until {
        inject_one(deployment, &mut random).await;
        let pause = random.random_range(20..220);
        time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Makes the store do some appends to the job log late and without an answer, until `until`.
pub async fn delay_appends(deployment: &Rc<Deployment>, mut random: StdRng, until: Instant) {
    let store = &deployment.store;
    while Instant::now() < until {
        let delay = random.random_range(700..3_000);
        store.append_delay.set(Duration::from_millis(delay));
        store.late_appends.set(random.random_range(0..3));
        let pause = random.random_range(100..900);
        time::sleep(Duration::from_millis(pause)).await;
    }
    store.late_appends.set(0);
}

/// Starts or ends one fault. Each fault sets a state that a later one may reset.
async fn inject_one(deployment: &Rc<Deployment>, random: &mut StdRng) {
    let host = &deployment.hosts[random.random_range(0..deployment.hosts.len())];
    let index = random.random_range(0..ENGINES);
    match random.random_range(0..18) {
        0 => host.kill(),
        1 => host.stop().await,
        2 | 3 => deployment.hosts.iter().for_each(|host| host.start()),
        4 => {
            host.signal(Signal::STOP);
            time::sleep(Duration::from_millis(random.random_range(50..1_800))).await;
            host.signal(Signal::CONT);
        }
        5 => host.signal(Signal::HUP),
        6 => deployment.store.mode.set(store_mode(random)),
        7 => deployment.store.mode.set(store::Mode::Up),
        8 => host.store_proxy.set(proxy_mode(random)),
        9 => deployment.engine(index).proxy.set(proxy_mode(random)),
        16 => deployment.release(index),
        17 => crash_engines(deployment, random).await,
        14 => lapse::inject(deployment, random).await,
        10..=13 => deployment
            .engine(index)
            .engine
            .mode
            .set(engine_mode(random)),
        _ => deployment.configure(),
    }
}

/// Lets all engines crash and start again a few times, so that an item may be under way in several crashes.
async fn crash_engines(deployment: &Deployment, random: &mut StdRng) {
    for _ in 0..CRASHES_IN_A_BURST {
        for index in 0..ENGINES {
            deployment.engine(index).proxy.set(proxy::Mode::Refuse);
        }
        time::sleep(TIME_DOWN).await;
        for index in 0..ENGINES {
            deployment.engine(index).proxy.set(proxy::Mode::Pass);
        }
        let time_up = random.random_range(TIME_UP_MS);
        time::sleep(Duration::from_millis(time_up)).await;
    }
}

fn store_mode(random: &mut StdRng) -> store::Mode {
    match random.random_range(0..5) {
        0 => store::Mode::Busy,
        1 => store::Mode::DropsAnswers,
        2 => store::Mode::Unresponsive,
        3 => store::Mode::IgnoresLongPolls,
        _ => store::Mode::DropsSomeAnswers,
    }
}

fn proxy_mode(random: &mut StdRng) -> proxy::Mode {
    match random.random_range(0..7) {
        0 => proxy::Mode::Delay,
        1 => proxy::Mode::Reset,
        2 => proxy::Mode::Unresponsive,
        3 => proxy::Mode::OneWay,
        _ => proxy::Mode::Pass,
    }
}

fn engine_mode(random: &mut StdRng) -> engine::Mode {
    match random.random_range(0..8) {
        0 => engine::Mode::BreaksAfter(random.random_range(0..engine::EVENTS)),
        1 => engine::Mode::StallsAfter(random.random_range(0..engine::EVENTS)),
        2 => engine::Mode::Sheds,
        3 => engine::Mode::Fails,
        4 => engine::Mode::DropsAnswer,
        5 => engine::Mode::RefusesAnother,
        _ => engine::Mode::Serves,
    }
}
