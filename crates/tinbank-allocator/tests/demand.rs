//! Compares ways to choose the failure domain of a request that finds no slot at home, in virtual time: hosts of three
//! failure domains, whose demand jumps between 0.4 and 1.9 of the mean.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tinbank_allocator::{
    Allocator, Options,
    allocator::Upstream,
    frame::{Frame, Holdings, Queue, Release, SlotRequest, Verdict},
    home::{self, Domains},
    lease::{Class, Footprint, Held, Outcome},
    room::Rooms,
    size::Size,
};
use tinbank_allowance::Tolerance;
use tinbank_base::id;
use yare::parameterized;

const DOMAINS: usize = 3;
/// Hosts of a failure domain.
const HOSTS: usize = 24;
/// Upstreams of a failure domain.
const UPSTREAMS: usize = 20;
const SLOTS: usize = 8;
const SERVICE: &str = "notes";
const HELD: Duration = Duration::from_millis(700);
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Round trip between failure domains.
const ROUND_TRIP: Duration = Duration::from_micros(2_300);
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(200);
const LENGTH: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Choice {
    /// All others in turn.
    Rotation,
    MostRoom,
    Proportional,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: usize,
    at_home: usize,
    elsewhere: usize,
    waited: usize,
    refused: usize,
    /// Slot requests to other failure domains.
    crossings: usize,
}

impl Tally {
    fn served(&self) -> usize {
        self.at_home + self.elsewhere + self.waited
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival(usize),
    Next(u64),
    WaitExpired(u64),
    Completed(u64),
    Heartbeat(usize),
    /// Allocators tell each other their room.
    Exchange,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    AtHome,
    Elsewhere,
    Waiting,
    Granted,
}

struct Request {
    host: usize,
    stage: Stage,
    domain: usize,
    others: Vec<usize>,
    upstream: id::Instance,
}

struct Simulation {
    choice: Choice,
    percent: f64,
    now: Instant,
    allocators: Vec<Allocator>,
    /// What the hosts know, then what the allocators know of each other.
    rooms: Vec<Rooms>,
    demand: [f64; DOMAINS],
    requests: BTreeMap<u64, Request>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: BTreeMap<u64, Event>,
    next: u64,
    /// For arrivals, which are the same with each choice.
    rng: StdRng,
    draws: StdRng,
    tally: Tally,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8], 7000))
}

fn upstream(domain: usize, index: usize) -> Upstream {
    Upstream {
        instance: format!("{domain}-{index}").into(),
        address: address(index),
        service: SERVICE.to_owned(),
        slots: SLOTS,
        memory_tokens: None,
        max_connections: None,
        cold: None,
    }
}

fn allocator(domain: usize, choice: Choice) -> Allocator {
    let options = Options {
        share_room: choice != Choice::Rotation,
        ..Options::default()
    };
    let mut allocator = Allocator::with_options(domain as u64, Tolerance::default(), options);
    allocator.set_upstreams((0..UPSTREAMS).map(|it| upstream(domain, it)).collect());
    allocator
}

/// Simulates a mean load of so many percent of all slots.
fn simulate(choice: Choice, percent: f64) -> Tally {
    let mut simulation = Simulation {
        choice,
        percent,
        now: Instant::now(),
        allocators: (0..DOMAINS).map(|it| allocator(it, choice)).collect(),
        rooms: (0..DOMAINS * HOSTS + DOMAINS)
            .map(|_| Rooms::default())
            .collect(),
        demand: [1.0; DOMAINS],
        requests: BTreeMap::new(),
        events: BinaryHeap::new(),
        pending: BTreeMap::new(),
        next: 0,
        rng: StdRng::seed_from_u64(7),
        draws: StdRng::seed_from_u64(11),
        tally: Tally::default(),
    };
    let end = simulation.now + LENGTH;
    for host in 0..DOMAINS * HOSTS {
        let offset = Duration::from_millis(13 * host as u64);
        simulation.schedule(offset, Event::Heartbeat(host));
    }
    for domain in 0..DOMAINS {
        // Allocators have learned by then.
        simulation.schedule(Duration::from_secs(3), Event::Arrival(domain));
    }
    simulation.schedule(Duration::ZERO, Event::Exchange);
    while let Some(Reverse((at, key))) = simulation.events.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        let event = simulation.pending.remove(&key).expect("an event");
        simulation.handle(event);
    }
    println!("{choice:?} at {percent}%: {:?}", simulation.tally);
    simulation.tally
}

impl Simulation {
    fn schedule(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now + after, self.next)));
        self.pending.insert(self.next, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(domain) => self.on_arrival(domain),
            Event::Next(lease) => self.ask_next(lease),
            Event::WaitExpired(lease) => self.on_wait_expired(lease),
            Event::Completed(lease) => self.on_completed(lease),
            Event::Heartbeat(host) => self.on_heartbeat(host),
            Event::Exchange => self.on_exchange(),
        }
    }

    fn on_arrival(&mut self, domain: usize) {
        let per_second = (UPSTREAMS * SLOTS) as f64 / HELD.as_secs_f64() * self.percent / 100.0;
        // A jump each 1.5 s. Divided by the mean of the range, so that the mean load is as stated.
        if self.rng.random_bool(1.0 / (1.5 * per_second)) {
            self.demand[domain] = self.rng.random_range(0.4..1.9) / 1.15;
        }
        let gap = self.rng.random_range(0.0..2.0) / (per_second * self.demand[domain]);
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival(domain));
        self.tally.requests += 1;
        self.next += 1;
        let request = Request {
            host: domain * HOSTS + self.rng.random_range(0..HOSTS),
            stage: Stage::AtHome,
            domain,
            others: Vec::new(),
            upstream: "".into(),
        };
        self.requests.insert(self.next, request);
        self.ask(self.next, Queue::No);
    }

    /// Returns the failure domains to ask after the own one, the first one last.
    fn others(&mut self, host: usize) -> Vec<usize> {
        let own = host / HOSTS;
        let others = (1..DOMAINS).map(|it| ((own + it) % DOMAINS).to_string());
        let mut others: Domains = others.collect();
        others.rotate_left(self.draws.random_range(0..DOMAINS - 1));
        let draw = self.draws.random();
        let (rooms, now) = (&self.rooms[host], self.now);
        let room = |it: &String| rooms.available(it, SERVICE, Class::Online, now);
        match self.choice {
            Choice::Rotation => {}
            Choice::MostRoom => {
                others.sort_by_key(|it| Reverse(room(it)));
                others.truncate(1);
                others.retain(|it| room(it) != Some(0));
            }
            Choice::Proportional => {
                others = home::order_others(&others, rooms, SERVICE, Class::Online, draw, now);
            }
        }
        let others = others.iter().rev();
        others.map(|it| it.parse().expect("an index")).collect()
    }

    /// Continues with a request that was denied.
    fn ask_next(&mut self, lease: u64) {
        let Request { host, stage, .. } = self.requests[&lease];
        if stage == Stage::AtHome {
            let others = self.others(host);
            let request = self.requests.get_mut(&lease).expect("a request");
            request.others = others;
            request.stage = Stage::Elsewhere;
        }
        let request = self.requests.get_mut(&lease).expect("a request");
        if let Some(other) = request.others.pop() {
            request.domain = other;
            self.tally.crossings += 1;
            self.rooms[host].record_sent(&other.to_string(), SERVICE, self.now);
            return self.ask(lease, Queue::No);
        }
        request.domain = host / HOSTS;
        request.stage = Stage::Waiting;
        self.schedule(MAX_WAIT, Event::WaitExpired(lease));
        self.ask(lease, Queue::Within(MAX_WAIT.as_millis() as u32));
    }

    fn ask(&mut self, lease: u64, queue: Queue) {
        let Request { host, domain, .. } = self.requests[&lease];
        let frame = Frame::SlotRequest(SlotRequest {
            lease,
            class: Class::Online,
            service: SERVICE.to_owned(),
            exclude: Default::default(),
            queue,
            rank: 0,
            meter: None,
            share: None,
            size: Size::default(),
            max_gap_ms: None,
        });
        self.deliver(domain, host, frame);
    }

    /// Delivers a datagram to an allocator, and its responses.
    fn deliver(&mut self, domain: usize, host: usize, frame: Frame) {
        let (out, _) = self.allocators[domain].receive(address(host), frame, self.now);
        for (_, frame) in out {
            match frame {
                Frame::SlotResponse(response) => self.on_response(response.lease, response.verdict),
                Frame::HeartbeatReply(reply) => {
                    if let Some(room) = reply.room {
                        self.rooms[host].record(&domain.to_string(), room, self.now);
                    }
                }
                _ => {}
            }
        }
    }

    fn on_response(&mut self, lease: u64, verdict: Verdict) {
        let request = self.requests.get_mut(&lease).expect("a request");
        match verdict {
            Verdict::Granted(grant) => {
                match request.stage {
                    Stage::AtHome => self.tally.at_home += 1,
                    Stage::Elsewhere => self.tally.elsewhere += 1,
                    Stage::Waiting | Stage::Granted => self.tally.waited += 1,
                }
                request.stage = Stage::Granted;
                request.upstream = grant.upstream;
                let held = HELD.mul_f64(self.draws.random_range(0.5..1.5));
                self.schedule(held, Event::Completed(lease));
            }
            Verdict::Denied(_) if request.stage == Stage::Waiting => {}
            Verdict::Denied(_) => self.on_denied(lease),
            _ => {}
        }
    }

    /// Records what a denial says of free slots: of the allocator's own failure domain, and of the others as it knows them.
    fn on_denied(&mut self, lease: u64) {
        let Request { host, domain, .. } = self.requests[&lease];
        let own = self.allocators[domain].room(self.now);
        let reports: Vec<_> = self.rooms[DOMAINS * HOSTS + domain]
            .recent(self.now)
            .collect();
        let rooms = &mut self.rooms[host];
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            rooms.record(&report.failure_domain, report.room, self.now - age);
        }
        if let Some(room) = own {
            rooms.record(&domain.to_string(), room, self.now);
        }
        rooms.record_denied(&domain.to_string(), SERVICE, Class::Online);
        self.schedule(ROUND_TRIP, Event::Next(lease));
    }

    fn on_wait_expired(&mut self, lease: u64) {
        let request = self.requests.get(&lease);
        if request.is_some_and(|it| it.stage == Stage::Waiting) {
            let request = self.requests.remove(&lease).expect("a request");
            self.tally.refused += 1;
            self.deliver(request.domain, request.host, Frame::Withdraw(lease));
        }
    }

    fn on_completed(&mut self, lease: u64) {
        let request = self.requests.remove(&lease).expect("a request");
        let release = Release {
            lease,
            upstream: request.upstream,
            outcome: Outcome::Served,
            pace: None,
        };
        self.deliver(request.domain, request.host, Frame::Release(release));
    }

    fn on_heartbeat(&mut self, host: usize) {
        for domain in 0..DOMAINS {
            let held = self.requests.iter().filter(|(_, it)| {
                it.host == host && it.domain == domain && it.stage == Stage::Granted
            });
            let held = held.map(|(lease, it)| Held {
                lease: *lease,
                upstream: it.upstream.clone(),
                class: Class::Online,
                footprint: Footprint::default(),
            });
            let held = held.collect();
            let next = self.next;
            self.deliver(domain, host, Frame::Holdings(Holdings { next, held }));
        }
        self.schedule(Duration::from_secs(1), Event::Heartbeat(host));
    }

    fn on_exchange(&mut self) {
        for domain in 0..DOMAINS {
            let Some(room) = self.allocators[domain].room(self.now) else {
                continue;
            };
            for other in (0..DOMAINS).filter(|it| *it != domain) {
                let rooms = &mut self.rooms[DOMAINS * HOSTS + other];
                rooms.record(&domain.to_string(), room.clone(), self.now);
            }
        }
        self.schedule(EXCHANGE_INTERVAL, Event::Exchange);
    }
}

/// Guards against a choice that saves messages by refusing requests that would find a slot.
#[parameterized(
    at_the_capacity = { 95.0 },
    above_the_capacity = { 120.0 },
)]
fn reported_room_saves_crossings_without_refusing_more(percent: f64) {
    let rotation = simulate(Choice::Rotation, percent);
    let most_room = simulate(Choice::MostRoom, percent);
    let proportional = simulate(Choice::Proportional, percent);

    assert!(proportional.crossings * 3 < rotation.crossings);
    assert!(proportional.served() * 100 > rotation.served() * 99);
    assert!(proportional.served() * 100 > most_room.served() * 99);
}
