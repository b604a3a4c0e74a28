//! Request rate of cold upstreams, over all hosts.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tinbank_allocator::{
    Allocator,
    allocator::{Outgoing, Upstream},
    frame::{Frame, Holdings, Queue, Release, SlotRequest, Verdict},
    lease::{Class, Outcome},
    size::Size,
    slow_start::ColdStart,
};
use tinbank_allowance::Tolerance;
use tinbank_base::id;
use yare::parameterized;

/// Requests per second that a cold upstream handles, and the tolerance on top of that.
const COLD_RATE: u32 = 20;
const OVERSHOOT: f64 = 1.5;
const SLACK: usize = 5;
/// Requests per second that arrive, far more than cold upstreams handle.
const ARRIVAL_RATE: u32 = 400;
const SLOT_TIME: Duration = Duration::from_millis(40);

fn host(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

fn upstream(index: usize, cold: Option<ColdStart>) -> Upstream {
    Upstream {
        instance: format!("u{index}").into(),
        address: SocketAddr::from(([10, 1, 0, index as u8], 8000)),
        service: "notes".to_owned(),
        build: "v1".into(),
        slots: 8,
        memory_tokens: None,
        max_connections: None,
        cold,
    }
}

fn slot_request(lease: u64) -> SlotRequest {
    SlotRequest {
        lease,
        class: Class::Online,
        service: "notes".to_owned(),
        exclude: Default::default(),
        queue: Queue::No,
        rank: 0,
        meter: None,
        share: None,
        size: Size::default(),
        build: None,
        max_gap_ms: None,
    }
}

/// A failure domain of cold upstreams, and the requests granted at each of them.
struct Simulation {
    allocators: Vec<Allocator>,
    upstreams: Vec<Upstream>,
    now: Instant,
    next_lease: u64,
    granted: HashMap<id::Instance, Vec<Instant>>,
    held: Vec<(Instant, usize, SocketAddr, Release)>,
}

impl Simulation {
    /// Creates upstreams that stay cold for `cold_for`, and allocators without knowledge of each other.
    fn new(upstreams: usize, allocators: usize, cold_for: Duration) -> Self {
        let now = Instant::now();
        let cold = ColdStart {
            until: now + cold_for,
            per_second: COLD_RATE,
        };
        let upstreams: Vec<Upstream> = (0..upstreams)
            .map(|index| upstream(index, Some(cold)))
            .collect();
        let mut simulation = Self {
            allocators: Vec::new(),
            upstreams,
            now,
            next_lease: 1,
            granted: HashMap::new(),
            held: Vec::new(),
        };
        (0..allocators).for_each(|_| simulation.add_allocator());
        simulation
    }

    /// Adds an allocator without any state, as when another host takes over.
    fn add_allocator(&mut self) {
        let mut allocator = Allocator::new(self.next_lease, Tolerance::default());
        allocator.set_upstreams(self.upstreams.clone());
        self.allocators.push(allocator);
    }

    /// Sends requests of `hosts` hosts to the allocator `at`, or to all in turn.
    fn run(&mut self, time: Duration, hosts: usize, at: Option<usize>) {
        let mut rng = StdRng::seed_from_u64(7);
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_secs(1) / ARRIVAL_RATE;
            self.release();
            let from = host(rng.random_range(0..hosts));
            let to = at.unwrap_or(self.next_lease as usize % self.allocators.len());
            if self.next_lease.is_multiple_of(40) {
                let holdings = Holdings {
                    next: self.next_lease,
                    held: Vec::new(),
                };
                self.allocators[to].receive(host(hosts), Frame::Holdings(holdings), self.now);
            }
            let lease = self.next_lease;
            self.next_lease += 1;
            let (out, _) = self.allocators[to].receive(
                from,
                Frame::SlotRequest(slot_request(lease)),
                self.now,
            );
            self.apply(out, to, from);
        }
    }

    fn apply(&mut self, out: Outgoing, allocator: usize, from: SocketAddr) {
        for (_, frame) in out {
            let Frame::SlotResponse(response) = frame else {
                continue;
            };
            if let Verdict::Granted(grant) = response.verdict {
                let granted = self.granted.entry(grant.upstream.clone()).or_default();
                granted.push(self.now);
                let release = Release {
                    lease: response.lease,
                    upstream: grant.upstream,
                    outcome: Outcome::Served,
                    pace: None,
                };
                self.held
                    .push((self.now + SLOT_TIME, allocator, from, release));
            }
        }
    }

    fn release(&mut self) {
        let now = self.now;
        let (due, held) = self.held.drain(..).partition(|(at, ..)| *at <= now);
        self.held = held;
        let due: Vec<(Instant, usize, SocketAddr, Release)> = due;
        for (_, allocator, from, release) in due {
            let (out, _) = self.allocators[allocator].receive(from, Frame::Release(release), now);
            assert!(out.is_empty());
        }
    }

    /// Returns the maximum number of requests granted at one upstream within a second.
    fn max_per_second(&self) -> usize {
        let max_of = |times: &Vec<Instant>| {
            let from = |at: &Instant| {
                let within = |it: &&Instant| **it >= *at && **it < *at + Duration::from_secs(1);
                times.iter().filter(within).count()
            };
            times.iter().map(from).max().unwrap_or_default()
        };
        self.granted.values().map(max_of).max().unwrap_or_default()
    }

    fn total_granted(&self) -> usize {
        self.granted.values().map(Vec::len).sum()
    }
}

fn max_allowed() -> usize {
    (f64::from(COLD_RATE) * OVERSHOOT) as usize + SLACK
}

#[parameterized(
    few = { 3, 1 },
    medium_fleet = { 60, 4 },
    large_fleet = { 1_000, 8 },
)]
fn cold_upstreams_are_used_up_to_their_rate_limit(hosts: usize, upstreams: usize) {
    let mut simulation = Simulation::new(upstreams, 1, Duration::from_secs(10));

    simulation.run(Duration::from_secs(5), hosts, None);

    assert!(simulation.max_per_second() <= COLD_RATE as usize);
    // Each gets at least half of its rate if enough requests arrive.
    let minimum = (COLD_RATE as usize / 2 * 3 * upstreams).min(ARRIVAL_RATE as usize * 3);
    assert!(
        simulation.total_granted() >= minimum,
        "{}",
        simulation.total_granted()
    );
}

#[test]
fn two_independent_allocators_stay_within_the_tolerance() {
    let mut simulation = Simulation::new(2, 2, Duration::from_secs(10));

    simulation.run(Duration::from_secs(5), 60, None);

    assert!(simulation.max_per_second() <= max_allowed());
}

#[test]
fn a_new_allocator_does_not_repeat_the_requests_of_the_last_second() {
    let mut simulation = Simulation::new(2, 1, Duration::from_secs(20));

    simulation.run(Duration::from_secs(3), 60, Some(0));
    for replacement in 1..4 {
        simulation.add_allocator();
        simulation.run(Duration::from_secs(2), 60, Some(replacement));
    }

    assert!(simulation.max_per_second() <= COLD_RATE as usize);
}

#[test]
fn a_warm_upstream_is_limited_by_its_slots_until_it_is_cold_again() {
    let mut simulation = Simulation::new(1, 1, Duration::from_secs(3));
    simulation.run(Duration::from_secs(3), 60, None);
    simulation.granted.clear();
    simulation.run(Duration::from_secs(3), 60, None);
    let warm = simulation.max_per_second();
    simulation.granted.clear();

    let cold = ColdStart {
        until: simulation.now + Duration::from_secs(5),
        per_second: COLD_RATE,
    };
    simulation.upstreams[0].cold = Some(cold);
    simulation.allocators[0].set_upstreams(simulation.upstreams.clone());
    simulation.run(Duration::from_secs(4), 60, None);

    assert!(warm > 2 * COLD_RATE as usize, "{warm}");
    assert!(simulation.max_per_second() <= COLD_RATE as usize);
}
