//! Compares ways to choose the failure domain of a request that finds no slot at home, in virtual time: hosts of three
//! failure domains, whose demand jumps between 0.4 and 1.9 of the mean.

#[allow(dead_code, reason = "each test file uses its part")]
mod harness;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use harness::{Harness, SLOTS};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tinbank_allocator::{
    frame::Queue,
    home,
    lease::{Class, Id, Outcome},
    room::Rooms,
};
use yare::parameterized;

/// Names of the failure domains.
const DOMAINS: [&str; 3] = ["0", "1", "2"];
/// Hosts of a failure domain.
const HOSTS: usize = 24;
/// Upstreams of a failure domain.
const UPSTREAMS: u8 = 40;
const SERVICE: &str = "notes";
const HELD_MS: u64 = 700;
const MAX_WAIT_MS: u32 = 200;
const EXCHANGE_MS: u64 = 200;
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
    served: usize,
    waited: usize,
    /// Slot requests to other failure domains, and those that were granted.
    crossings: usize,
    found: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    WaitExpired(usize, Id),
    Completed(usize, Id),
    Heartbeat(usize),
    /// Allocators tell each other their room.
    Exchange,
}

struct Simulation {
    choice: Choice,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    allocators: Vec<Harness>,
    /// What the hosts know, then what the allocators know of each other.
    rooms: Vec<Rooms>,
    /// The host of each lease, by failure domain and lease.
    hosts: BTreeMap<(usize, Id), usize>,
    tally: Tally,
    /// For arrivals, which are the same with each choice.
    arrivals: StdRng,
    draws: StdRng,
}

/// Simulates a mean load of so many percent of all slots.
fn simulate(choice: Choice, percent: f64) -> Tally {
    let allocators = DOMAINS.map(|_| Harness::reporting_room(UPSTREAMS));
    let now = allocators.iter().map(|it| it.now).max().expect("a time");
    let mut simulation = Simulation {
        choice,
        now,
        events: BinaryHeap::new(),
        allocators: allocators.into(),
        rooms: Vec::new(),
        hosts: BTreeMap::new(),
        tally: Tally::default(),
        arrivals: StdRng::seed_from_u64(7),
        draws: StdRng::seed_from_u64(11),
    };
    let known = DOMAINS.len() * (HOSTS + 1);
    simulation.rooms.resize_with(known, Rooms::default);
    (0..DOMAINS.len()).for_each(|it| simulation.schedule(0, Event::Arrival(it)));
    (0..DOMAINS.len() * HOSTS)
        .for_each(|it| simulation.schedule(13 * it as u64, Event::Heartbeat(it)));
    simulation.schedule(0, Event::Exchange);
    let mut demand = [1.0; DOMAINS.len()];
    let capacity = (usize::from(UPSTREAMS) * SLOTS) as f64 * 1_000.0 / HELD_MS as f64;
    while let Some(Reverse((at, event))) = simulation.events.pop() {
        if at > now + LENGTH {
            break;
        }
        simulation.now = at;
        simulation.allocators.iter_mut().for_each(|it| it.now = at);
        if let Event::Arrival(domain) = event {
            let per_second = capacity * percent / 100.0;
            // A jump each 1.5 s. Divided by the mean of the range, so that the mean load is as stated.
            if simulation.arrivals.random_bool(1.0 / (1.5 * per_second)) {
                demand[domain] = simulation.arrivals.random_range(0.4..1.9) / 1.15;
            }
            let gap = simulation.arrivals.random_range(0.0..2.0) / (per_second * demand[domain]);
            let next = at + Duration::from_secs_f64(gap);
            simulation.events.push(Reverse((next, event)));
        }
        simulation.handle(event);
    }
    println!("{choice:?} at {percent}%: {:?}", simulation.tally);
    simulation.tally
}

impl Simulation {
    fn schedule(&mut self, after_ms: u64, event: Event) {
        let at = self.now + Duration::from_millis(after_ms);
        self.events.push(Reverse((at, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(domain) => self.arrive(domain),
            Event::WaitExpired(domain, lease) => {
                let host = self.hosts[&(domain, lease)] as u8;
                let allocator = &mut self.allocators[domain];
                if allocator
                    .pending
                    .contains_key(&(harness::host(host), lease))
                {
                    allocator.withdraw(host, lease);
                }
            }
            Event::Completed(domain, lease) => {
                let host = self.hosts[&(domain, lease)] as u8;
                self.allocators[domain].release(host, lease, Outcome::Served);
                self.tally.waited += self.start_granted(domain);
            }
            Event::Heartbeat(host) => {
                for (domain, name) in DOMAINS.iter().enumerate() {
                    self.allocators[domain].send_heartbeat(host as u8);
                    if let Some(room) = self.allocators[domain].reported.clone() {
                        self.rooms[host].record(name, room, self.now);
                    }
                }
                self.schedule(1_000, event);
            }
            Event::Exchange => {
                for (domain, name) in DOMAINS.iter().enumerate() {
                    let room = self.allocators[domain].allocator.room(self.now);
                    let others = (0..DOMAINS.len()).filter(|it| *it != domain);
                    for (other, room) in others.zip(room.into_iter().cycle()) {
                        self.rooms[DOMAINS.len() * HOSTS + other].record(name, room, self.now);
                    }
                }
                self.schedule(EXCHANGE_MS, event);
            }
        }
    }

    fn arrive(&mut self, home: usize) {
        let host = home * HOSTS + self.arrivals.random_range(0..HOSTS);
        self.tally.requests += 1;
        if self.is_granted(home, host) {
            return;
        }
        for other in self.others(home, host) {
            self.tally.crossings += 1;
            self.rooms[host].record_sent(DOMAINS[other], SERVICE, self.now);
            if self.is_granted(other, host) {
                self.tally.found += 1;
                return;
            }
        }
        let lease = self.request(home, host, Queue::Within(MAX_WAIT_MS));
        self.schedule(MAX_WAIT_MS.into(), Event::WaitExpired(home, lease));
    }

    /// Requests a free slot. A denial carries what the allocator knows of free slots.
    fn is_granted(&mut self, domain: usize, host: usize) -> bool {
        self.request(domain, host, Queue::No);
        if self.start_granted(domain) > 0 {
            return true;
        }
        let known = &self.rooms[DOMAINS.len() * HOSTS + domain];
        for report in known.recent(self.now).collect::<Vec<_>>() {
            let at = self.now - Duration::from_millis(report.age_ms.into());
            self.rooms[host].record(&report.failure_domain, report.room, at);
        }
        self.rooms[host].record_denied(DOMAINS[domain], SERVICE, Class::Online);
        false
    }

    fn request(&mut self, domain: usize, host: usize, queue: Queue) -> Id {
        let lease = self.allocators[domain].next_lease;
        self.hosts.insert((domain, lease), host);
        self.allocators[domain].request(host as u8, Class::Online, queue);
        lease
    }

    /// Lets the requests run that were granted a slot, and returns their number.
    fn start_granted(&mut self, domain: usize) -> usize {
        let granted = std::mem::take(&mut self.allocators[domain].granted);
        for lease in &granted {
            let held_ms = HELD_MS / 2 + self.draws.random_range(0..HELD_MS);
            self.schedule(held_ms, Event::Completed(domain, *lease));
        }
        self.tally.served += granted.len();
        granted.len()
    }

    /// Returns the failure domains to ask after the own one.
    fn others(&mut self, home: usize, host: usize) -> Vec<usize> {
        let others = (1..DOMAINS.len()).map(|it| (home + it) % DOMAINS.len());
        let mut others: Vec<usize> = others.collect();
        others.rotate_left(self.draws.random_range(0..DOMAINS.len() - 1));
        let draw = self.draws.random();
        let (rooms, now) = (&self.rooms[host], self.now);
        let room = |it: &usize| rooms.available(DOMAINS[*it], SERVICE, Class::Online, now);
        match self.choice {
            Choice::Rotation => others,
            Choice::MostRoom => {
                let most = others.into_iter().max_by_key(|it| room(it));
                most.into_iter().filter(|it| room(it) != Some(0)).collect()
            }
            Choice::Proportional => {
                let names: Vec<_> = others.iter().map(|it| DOMAINS[*it].to_owned()).collect();
                let order = home::order_others(&names, rooms, SERVICE, Class::Online, draw, now);
                order
                    .iter()
                    .map(|it| it.parse().expect("an index"))
                    .collect()
            }
        }
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
    assert!(proportional.served * 100 > rotation.served * 99);
    assert!(proportional.served * 100 > most_room.served * 99);
}
