//! The admission controller's state machine: time a tick, a load and a wish, and its bytes.

use std::time::{Duration, Instant};

use tinbank_admission::{
    Engine, Settings,
    controller::{Controller, Event, LEARNING_PERIOD, Rank},
};
use tinbank_base::{
    frame::credit::{CreditRequest, Load},
    id::{self, Process, Role},
};

use super::{Allocated, Point, Series, micros, point, processor_time, weight};

const ENGINES: [u32; 4] = [12, 60, 300, 600];
const HOLDERS: [u32; 4] = [2, 4, 8, 16];
/// Engines that a process is first for, and as many second.
const OWN: u32 = 2;
const HOLDERS_USUAL: u32 = 8;
/// Online processes with requests in an engine.
const ONLINE: u32 = 27;
const SLOTS: u16 = 64;
const TICK: Duration = Duration::from_millis(100);
const TICKS: u32 = 100;
const CHANGES: u32 = 500;

/// Ticks in which loads and wishes are as they were.
pub(super) fn tick() -> Series {
    let points = points(&ENGINES, |engines| {
        let start = Instant::now();
        let ready = ready(engines, HOLDERS_USUAL, start);
        let work = |(mut controller, now)| run(&mut controller, now, TICKS);
        micros(processor_time(|| ready.clone(), work)) / f64::from(TICKS)
    });
    Series::new("admission tick", "engine known, at each tick", "µs", points)
}

/// A rise and a fall of the load of one engine.
pub(super) fn load() -> Series {
    let points = points(&HOLDERS, |holders| {
        let ready = ready(600, holders, Instant::now());
        let work = |(mut controller, now): (Controller, Instant)| {
            for change in 0..CHANGES {
                let event = load_of(1, 1, 1 + (change % 2) as u16 * 3);
                std::hint::black_box(controller.handle(event, now));
            }
        };
        micros(processor_time(|| ready.clone(), work)) / f64::from(CHANGES)
    });
    Series::new(
        "admission load",
        "holder, at each change of load",
        "µs",
        points,
    )
}

/// A wish and the tick that grants it.
pub(super) fn wish() -> Series {
    let points = points(&HOLDERS, |holders| {
        let ready = ready(600, holders, Instant::now());
        let work = |(mut controller, mut now): (Controller, Instant)| {
            for round in 0..TICKS {
                let wanted = 2 + (round % 3) as u16;
                controller.handle(wish_of(1, round % holders, wanted), now);
                run(&mut controller, now, 1);
                now += TICK;
            }
        };
        micros(processor_time(|| ready.clone(), work)) / f64::from(TICKS)
    });
    Series::new(
        "admission wish",
        "holder, at each wish with its tick",
        "µs at 600 engines",
        points,
    )
}

pub(super) fn bytes(allocated: Allocated) -> Series {
    let points = points(&ENGINES, |engines| {
        weight(allocated, || ready(engines, HOLDERS_USUAL, Instant::now()))
    });
    Series::new("admission bytes", "engine known", "bytes", points)
}

fn points(sizes: &[u32], measure: impl Fn(u32) -> f64) -> Vec<Point> {
    sizes
        .iter()
        .map(|size| point(*size as usize, measure(*size)))
        .collect()
}

/// A controller that has learned, with loads and wishes for the engines that are its own.
fn ready(engines: u32, holders: u32, start: Instant) -> (Controller, Instant) {
    let mut controller = Controller::new(Settings::default());
    let list = (1..=engines).map(|upstream| Engine {
        upstream,
        slots: SLOTS,
    });
    controller.handle(Event::Engines(list.collect()), start);
    for upstream in 1..=2 * OWN {
        let rank = if upstream <= OWN {
            Rank::First
        } else {
            Rank::Second
        };
        controller.handle(Event::Rank { upstream, rank }, start);
        for online in 1..=ONLINE {
            controller.handle(load_of(upstream, online, 1), start);
        }
    }
    let now = start + LEARNING_PERIOD + TICK;
    for upstream in 1..=2 * OWN {
        for holder in 0..holders {
            controller.handle(wish_of(upstream, holder, 2), now);
        }
    }
    run(&mut controller, now, 10);
    (controller, now + 10 * TICK)
}

fn run(controller: &mut Controller, start: Instant, ticks: u32) {
    for tick in 0..ticks {
        std::hint::black_box(controller.handle(Event::Tick, start + tick * TICK));
    }
}

fn load_of(upstream: id::Upstream, host: id::Host, online: u16) -> Event {
    Event::Load {
        from: Process {
            host,
            role: Role::Online,
        },
        load: Load { upstream, online },
    }
}

fn wish_of(upstream: id::Upstream, holder: u32, wanted: u16) -> Event {
    Event::CreditRequest {
        from: Process {
            host: holder + 1,
            role: Role::Batch,
        },
        request: CreditRequest {
            upstream,
            customer: "moreton-basin".into(),
            wanted,
            due_in_ms: 60_000,
        },
    }
}
