//! Late streams at upstreams of different and changing speed, simulated in steps of a millisecond. Events pause while an upstream
//! reads a prompt, and arrive more slowly as more requests run.

use std::{collections::HashMap, net::SocketAddr, ops::Range, time::Instant};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tinbank_allocator::{
    Allocator, Options, allocator,
    frame::{Frame, Grant, Holdings, PaceReport, Release, SlotResponse, Verdict},
    lease::{Class, Due, Held, Outcome},
    options::Strategy,
    pace::{Meter, Sample},
};
use tinbank_allowance::Tolerance;
use yare::parameterized;

use crate::{host, ms, request};

const UPSTREAMS: usize = 24;
const HOSTS: u64 = 20;
/// Time of a step with one request in milliseconds, and its increase with each further one.
const STEP_MS: f64 = 2.8;
const STEP_SLOPE: f64 = 0.06;
const PROMPT_TOKENS_PER_MS: f64 = 110.0;
const STEPS_PER_EVENT: f64 = 12.0;
const EVENTS: u32 = 19;
const MAX_FIRST_EVENT_MS: u64 = 300;
const MAX_GAP_MS: u32 = 250;
/// While a third of the upstreams have a fifth of their speed, in milliseconds.
const SLOW: Range<u64> = 4_000..14_000;
const END: u64 = 18_000;

/// Returns the speed of an upstream at a time. A quarter of them always have 0.55 of the usual speed.
fn speed(index: usize, at: u64) -> f64 {
    let usual = if index.is_multiple_of(4) { 0.55 } else { 1.0 };
    let is_slow = index % 3 == 1 && SLOW.contains(&at);
    if is_slow { usual / 5.0 } else { usual }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Half of the samples are lost.
    LostSamples,
    /// One host finds all upstreams slow.
    BadLink,
    /// A new allocator takes over while upstreams are slow.
    LostAllocator,
}

#[derive(Clone)]
struct Stream {
    host: SocketAddr,
    lease: u64,
    meter: Option<Meter>,
    /// Prompt tokens that are yet to be read.
    unread: f64,
    steps: f64,
    events: u32,
    /// When the next event is late.
    due: u64,
    is_late: bool,
}

struct Simulation {
    strategy: Strategy,
    fault: Fault,
    allocator: Allocator,
    start: Instant,
    at: u64,
    /// Streams without a slot, by lease.
    waiting: HashMap<u64, Stream>,
    running: Vec<Vec<Stream>>,
    rng: StdRng,
    /// Class of the streams that arrive.
    class: Class,
    streams: u64,
    late: u64,
    /// Streams that each upstream was sent.
    sent: [u64; UPSTREAMS],
    /// Upstreams from which items were reclaimed.
    reclaimed: Vec<usize>,
}

fn name(index: usize) -> tinbank_base::id::Instance {
    index.to_string().as_str().into()
}

fn allocator(strategy: Strategy) -> Allocator {
    let options = Options {
        strategy,
        ..Options::default()
    };
    let mut allocator = Allocator::with_options(1, Tolerance::default(), options);
    allocator.set_upstreams(upstreams(8000));
    allocator
}

fn upstreams(port: u16) -> Vec<allocator::Upstream> {
    let upstream = |index: usize| allocator::Upstream {
        instance: name(index),
        address: SocketAddr::from(([10, 0, 1, index as u8], port)),
        service: "notes".to_owned(),
        slots: 8,
        memory_tokens: None,
        max_connections: None,
        build: "v1".into(),
        cold: None,
    };
    (0..UPSTREAMS).map(upstream).collect()
}

impl Simulation {
    fn new(strategy: Strategy, fault: Fault) -> Self {
        Self {
            strategy,
            fault,
            allocator: allocator(strategy),
            start: Instant::now(),
            at: 0,
            waiting: HashMap::new(),
            running: vec![Vec::new(); UPSTREAMS],
            rng: StdRng::seed_from_u64(7),
            class: Class::Online,
            streams: 0,
            late: 0,
            sent: [0; UPSTREAMS],
            reclaimed: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + ms(self.at)
    }

    fn run(&mut self, per_second: u64, until: u64) {
        while self.at < until {
            self.at += 1;
            if self.rng.random_range(0..1_000) < per_second {
                self.arrive();
            }
            (0..UPSTREAMS).for_each(|index| self.step(index));
            if self.at == SLOW.start + 3_000 && self.fault == Fault::LostAllocator {
                self.allocator = allocator(self.strategy);
                self.send_holdings();
            }
        }
    }

    fn arrive(&mut self) {
        self.streams += 1;
        let host = host(self.rng.random_range(0..HOSTS));
        let prompt_tokens = match self.rng.random_ratio(1, 50) {
            true => self.rng.random_range(6_000..17_000),
            false => self.rng.random_range(250..650),
        };
        let stream = Stream {
            host,
            lease: self.streams,
            meter: None,
            unread: prompt_tokens.into(),
            steps: 0.0,
            events: 0,
            due: self.at + MAX_FIRST_EVENT_MS,
            is_late: false,
        };
        self.waiting.insert(self.streams, stream);
        let request = request(self.streams, self.class, prompt_tokens, Some(MAX_GAP_MS));
        self.send(host, Frame::SlotRequest(request));
    }

    fn send(&mut self, from: SocketAddr, frame: Frame) {
        let (out, _) = self.allocator.receive(from, frame, self.now());
        for (_, frame) in out {
            match frame {
                Frame::SlotResponse(SlotResponse {
                    lease,
                    verdict: Verdict::Granted(grant),
                }) => self.begin(lease, grant),
                Frame::Reclaim(lease) => self.reclaim(lease),
                _ => {}
            }
        }
    }

    fn begin(&mut self, lease: u64, grant: Grant) {
        let mut stream = self.waiting.remove(&lease).expect("a waiting request");
        let upstream: usize = grant.upstream.parse().expect("a number");
        stream.meter = Some(Meter::new(grant.expected, grant.queued, self.now()));
        self.sent[upstream] += 1;
        self.running[upstream].push(stream);
    }

    fn reclaim(&mut self, lease: u64) {
        for (index, running) in self.running.iter_mut().enumerate() {
            let reclaimed = running.extract_if(.., |it| it.lease == lease);
            self.reclaimed.extend(reclaimed.map(|_| index));
        }
    }

    /// Advances an upstream by a millisecond.
    fn step(&mut self, index: usize) {
        let (at, now, speed) = (self.at, self.now(), speed(index, self.at));
        let running = &mut self.running[index];
        let step_ms = STEP_MS * (1.0 + STEP_SLOPE * (running.len() as f64 - 1.0));
        let reading = running.iter_mut().find(|it| it.unread > 0.0);
        let steps = if reading.is_some() {
            0.0
        } else {
            speed / step_ms
        };
        if let Some(it) = reading {
            it.unread -= PROMPT_TOKENS_PER_MS * speed;
        }
        let mut measured = Vec::new();
        for it in running.iter_mut() {
            let mut late = it.meter.as_mut().and_then(|it| it.take_late(now));
            it.steps += steps;
            if it.steps >= STEPS_PER_EVENT {
                it.steps -= STEPS_PER_EVENT;
                it.events += 1;
                it.is_late |= at > it.due;
                it.due = at + u64::from(MAX_GAP_MS);
                late = it.meter.as_mut().and_then(|it| it.record_event(now));
            }
            measured.extend(late.map(|sample| (it.host, it.lease, Some(sample), false)));
        }
        for it in running.extract_if(.., |it| it.events == EVENTS) {
            self.late += u64::from(it.is_late);
            let sample = it.meter.and_then(|it| it.sample());
            measured.push((it.host, it.lease, sample, true));
        }
        for (host, lease, sample, has_ended) in measured {
            let sample = sample.and_then(|it| self.transfer(host, it));
            let frame = match (has_ended, sample) {
                (true, pace) => Frame::Release(Release {
                    lease,
                    upstream: name(index),
                    outcome: Outcome::Served,
                    pace,
                }),
                (false, Some(sample)) => Frame::Pace(PaceReport {
                    lease,
                    upstream: name(index),
                    sample,
                }),
                (false, None) => continue,
            };
            self.send(host, frame);
        }
    }

    /// Returns a sample as the allocator gets it.
    fn transfer(&mut self, by: SocketAddr, mut sample: Sample) -> Option<Sample> {
        if self.fault == Fault::BadLink && by == host(0) {
            sample.interval_us *= 6;
        }
        let is_lost = self.fault == Fault::LostSamples && self.rng.random();
        (!is_lost).then_some(sample)
    }

    fn send_holdings(&mut self) {
        for host in 0..HOSTS {
            let host = crate::host(host);
            let streams = self.running.iter().enumerate();
            let streams = streams.flat_map(|(index, it)| it.iter().map(move |it| (index, it)));
            let held = streams
                .filter(|(_, it)| it.host == host)
                .map(|(index, it)| Held {
                    lease: it.lease,
                    upstream: name(index),
                    class: Class::Online,
                    footprint: Default::default(),
                });
            let held = held.collect();
            let next = self.streams + 1;
            self.send(host, Frame::Holdings(Holdings { next, held }));
        }
    }

    /// Returns the largest ratio of an upstream's streams to its share by speed.
    fn busiest(&self) -> f64 {
        let total = |index| (0..END).step_by(10).map(|at| speed(index, at)).sum::<f64>();
        let all: f64 = (0..UPSTREAMS).map(total).sum();
        let sent = self.sent.iter().sum::<u64>() as f64;
        let ratio = |index: usize| self.sent[index] as f64 / sent / (total(index) / all);
        (0..UPSTREAMS).map(ratio).fold(0.0, f64::max)
    }
}

fn run(strategy: Strategy, fault: Fault, per_second: u64) -> Simulation {
    let mut simulation = Simulation::new(strategy, fault);
    simulation.run(per_second, END);
    let Simulation { streams, late, .. } = simulation;
    let refused = streams - simulation.sent.iter().sum::<u64>();
    let busiest = simulation.busiest();
    println!(
        "{strategy:?} {fault:?} {per_second}/s: {streams} streams, {late} late, {refused} refused, busiest {busiest:.2}"
    );
    simulation
}

#[parameterized(
    light = { 50, Fault::None },
    usual = { 80, Fault::None },
    heavy = { 120, Fault::None },
    lost_samples = { 100, Fault::LostSamples },
    bad_link = { 100, Fault::BadLink },
    lost_allocator = { 100, Fault::LostAllocator },
)]
fn few_streams_are_late_at_uneven_upstreams(per_second: u64, fault: Fault) {
    let least_loaded = run(Strategy::LeastLoaded, fault, per_second);
    let first_event = run(Strategy::ExpectedFirstEvent, fault, per_second);

    assert!(first_event.late * 50 <= first_event.streams);
    assert!(first_event.late < least_loaded.late);
    assert!(first_event.busiest() <= 1.3);
}

#[test]
fn online_requests_take_the_places_of_items_at_upstreams_that_are_not_slow() {
    let mut simulation = Simulation::new(Strategy::ExpectedFirstEvent, Fault::None);
    simulation.run(100, SLOW.start - 2_000);
    simulation.class = Class::Batch(Due {
        late: false,
        at_ms: 0,
    });

    simulation.run(300, SLOW.start + 1_000);
    let excess = std::mem::take(&mut simulation.reclaimed);
    simulation.class = Class::Online;
    simulation.run(300, SLOW.start + 1_200);

    // To run again elsewhere costs an item more than the time that is lost at the slow upstream.
    assert!(excess.is_empty(), "{excess:?}");
    let first = &simulation.reclaimed[..8];
    assert!(first.iter().all(|it| it % 3 != 1), "{first:?}");
}

/// A restarted upstream may keep its name, but not its pace.
#[test]
fn an_upstream_at_another_address_is_not_slow() {
    let mut simulation = Simulation::new(Strategy::ExpectedFirstEvent, Fault::None);
    simulation.run(100, SLOW.start + 500);
    let now = simulation.now();
    let slow = simulation.allocator.slow_upstreams(now);

    simulation.allocator.set_upstreams(upstreams(8001));

    assert_eq!((slow, simulation.allocator.slow_upstreams(now)), (8, 0));
}
