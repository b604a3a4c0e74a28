//! A simulated network in virtual time, which delivers heartbeats between state machines, loses some, and can be
//! partitioned.

#![allow(dead_code, reason = "not every test file uses every item")]

mod delivery;
mod placement;

use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tinbank_base::{
    clock::Stamp,
    event::Kind,
    frame::{
        Body, Datagram,
        datagram::{Key, seal},
        heartbeat::{Health, Heartbeat, Phase},
    },
    id::Process,
    peer::Members,
    platform::hosts,
    record::Writer,
};
use tinbank_membership::state::{Action, Event, LocalProcess, State, TICK};

use self::delivery::Delivery;
pub use self::placement::{DOMAINS, address, domain, listed, processes};

const LATENCY: Duration = Duration::from_millis(1);

struct Member {
    state: State,
    incarnation: u64,
    next_tick: Instant,
    paused: bool,
    sequence: u64,
}

pub struct Network {
    pub now: Instant,
    pub start: Instant,
    pub seeds: Vec<SocketAddr>,
    /// Frame loss in per cent.
    pub loss: u32,
    /// Failure domain that is partitioned from the others.
    pub isolated: Option<usize>,
    /// Deaths as (observer, dead process).
    pub died: Vec<(Process, Process)>,
    pub sent_bytes: u64,
    pub sent_frames: u64,
    pub largest_frame: usize,
    members: BTreeMap<Process, Member>,
    by_address: BTreeMap<SocketAddr, Process>,
    ticks: BTreeSet<(Instant, Process)>,
    deliveries: BinaryHeap<Delivery>,
    number: u64,
    random: SmallRng,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            now,
            start: now,
            seeds: Vec::new(),
            loss: 0,
            isolated: None,
            died: Vec::new(),
            sent_bytes: 0,
            sent_frames: 0,
            largest_frame: 0,
            members: BTreeMap::new(),
            by_address: BTreeMap::new(),
            ticks: BTreeSet::new(),
            deliveries: BinaryHeap::new(),
            number: 0,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Creates a network of ready processes that have joined through a seed.
    pub fn joined(hosts: u32, seed: u64) -> Self {
        let mut network = Self::new(seed);
        network.seeds = vec![address(processes(1)[0])];
        for process in processes(hosts) {
            network.start(process);
        }
        let limit = network.now + Duration::from_secs(180);
        while !network.agree() {
            assert!(
                network.now < limit,
                "the processes did not discover each other"
            );
            network.run(Duration::from_secs(1));
        }
        network.sent_bytes = 0;
        network.sent_frames = 0;
        network
    }

    /// Creates a network of ready processes that know each other only from the platform's host list.
    pub fn listed(hosts: u32, seed: u64) -> Self {
        let mut network = Self::new(seed);
        let members = processes(hosts).into_iter().map(listed).collect();
        let list = Arc::new(hosts::List {
            version: 1,
            members,
            ..hosts::List::default()
        });
        for process in processes(hosts) {
            network.start(process);
            network.event(process, Event::Hosts(list.clone()));
        }
        network
    }

    /// Starts or restarts a process.
    pub fn start(&mut self, process: Process) {
        let incarnation = self
            .members
            .get(&process)
            .map_or(1, |member| member.incarnation)
            + 1;
        self.kill(process);
        let own = LocalProcess {
            writer: Writer {
                process,
                incarnation,
            },
            peer: address(process),
            http: address(process),
            failure_domain: DOMAINS[domain(process)].into(),
        };
        let seed = self.random.random();
        let state = State::new(own, self.seeds.clone(), seed, self.now);
        let offset = TICK.mul_f64(self.random.random_range(0.0..1.0));
        let next_tick = self.now + offset;
        let member = Member {
            state,
            incarnation,
            next_tick,
            paused: false,
            sequence: 0,
        };
        self.members.insert(process, member);
        self.by_address.insert(address(process), process);
        self.ticks.insert((next_tick, process));
        self.event(process, Event::Phase(Phase::Ready));
    }

    /// Stops a process abruptly. Its incarnation is kept for the next start.
    pub fn kill(&mut self, process: Process) {
        self.by_address.remove(&address(process));
        if let Some(member) = self.members.get(&process) {
            self.ticks.remove(&(member.next_tick, process));
        }
    }

    pub fn is_up(&self, process: Process) -> bool {
        self.by_address.contains_key(&address(process))
    }

    pub fn pause(&mut self, process: Process) {
        self.member(process).paused = true;
    }

    pub fn resume(&mut self, process: Process) {
        self.member(process).paused = false;
    }

    pub fn up(&self) -> Vec<Process> {
        self.by_address.values().copied().collect()
    }

    pub fn state(&self, process: Process) -> &State {
        &self.members[&process].state
    }

    pub fn view(&self, process: Process) -> Members {
        self.members[&process].state.members()
    }

    pub fn event(&mut self, process: Process, event: Event) {
        let now = self.now;
        let member = self.member(process);
        let writer = Writer {
            process,
            incarnation: member.incarnation,
        };
        let actions = member.state.handle(event, now);
        for action in actions {
            match action {
                Action::Send { to, heartbeat } => self.send(writer, to, *heartbeat),
                Action::Note {
                    process: dead,
                    kind: Kind::Died,
                } => self.died.push((process, dead)),
                _ => {}
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let tick = self.ticks.first().map(|(at, _)| *at);
            let delivery = self.deliveries.peek().map(|delivery| delivery.at);
            let Some(next) = tick.into_iter().chain(delivery).min() else {
                break;
            };
            if next > end {
                break;
            }
            self.now = next;
            if delivery == Some(next) {
                self.deliver();
            } else {
                self.tick();
            }
        }
        self.now = end;
    }

    /// Returns whether every process considers exactly those alive that are up.
    pub fn agree(&self) -> bool {
        let up = self.up();
        up.iter().all(|&process| self.alive(process) == up)
    }

    /// Returns the processes that a process considers alive.
    pub fn alive(&self, process: Process) -> Vec<Process> {
        let view = self.view(process);
        view.members
            .iter()
            .filter(|member| member.health == Health::Alive)
            .map(|member| member.writer.process)
            .collect()
    }

    /// Runs until a condition holds and returns how long that took; panics after `limit`.
    pub fn until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.now - start < limit, "not within {limit:?}");
            self.run(Duration::from_millis(100));
        }
        self.now - start
    }

    fn member(&mut self, process: Process) -> &mut Member {
        self.members.get_mut(&process).unwrap()
    }

    fn tick(&mut self) {
        let (at, process) = self.ticks.pop_first().unwrap();
        let member = self.member(process);
        member.next_tick = at + TICK;
        let next = member.next_tick;
        let paused = member.paused;
        self.ticks.insert((next, process));
        if !paused {
            self.event(process, Event::Tick);
        }
    }

    fn deliver(&mut self) {
        let delivery = self.deliveries.pop().unwrap();
        let Some(&to) = self.by_address.get(&delivery.to) else {
            return;
        };
        if self.member(to).paused || self.is_isolated(delivery.from.process, to) {
            return;
        }
        let event = Event::Heartbeat {
            from: delivery.from,
            heartbeat: Box::new(delivery.heartbeat),
        };
        self.event(to, event);
    }

    fn is_isolated(&self, from: Process, to: Process) -> bool {
        self.isolated
            .is_some_and(|cut| (domain(from) == cut) != (domain(to) == cut))
    }

    fn send(&mut self, from: Writer, to: SocketAddr, heartbeat: Heartbeat) {
        let member = self.member(from.process);
        member.sequence += 1;
        let sequence = member.sequence;
        self.count(from, sequence, &heartbeat);
        if self.random.random_range(0..100) < self.loss {
            return;
        }
        self.number += 1;
        self.deliveries.push(Delivery {
            at: self.now + LATENCY,
            number: self.number,
            from,
            to,
            heartbeat,
        });
    }

    /// Counts the bytes of the encoded frame, with an incarnation and a stamp of realistic size.
    fn count(&mut self, from: Writer, sequence: u64, heartbeat: &Heartbeat) {
        const MICROS: u64 = 1_790_000_000_000_000;
        let datagram = Datagram {
            sender: Writer {
                incarnation: MICROS,
                ..from
            },
            sequence: sequence + 1_000_000,
            stamp: Stamp {
                micros: MICROS,
                counter: 3,
            },
            body: Body::Heartbeat(Box::new(heartbeat.clone())),
        };
        let key = Key {
            number: 1,
            secret: [1; 32],
        };
        let mut size = seal(&datagram, &key).len();
        // Simulated incarnations are encoded in 1 byte, real ones in 8.
        size += 7 * heartbeat.news.len();
        self.sent_frames += 1;
        self.sent_bytes += size as u64;
        self.largest_frame = self.largest_frame.max(size);
    }
}
