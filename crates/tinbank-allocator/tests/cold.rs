//! What cold upstreams are given, over all hosts.

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
    slow_start::ColdStart,
};
use tinbank_allowance::Tolerance;
use tinbank_base::id;
use yare::parameterized;

/// Requests a second that a cold upstream bears, and what the users allow beyond that.
const BORNE: u32 = 20;
const OVERSHOOT: f64 = 1.5;
const SLACK: usize = 5;
/// Requests a second that come, far more than cold upstreams bear.
const ASKED: u32 = 400;
const HELD: Duration = Duration::from_millis(40);

fn host(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

fn upstream(index: usize, cold: Option<ColdStart>) -> Upstream {
    Upstream {
        instance: format!("u{index}").into(),
        address: SocketAddr::from(([10, 1, 0, index as u8], 8000)),
        service: "notes".to_owned(),
        slots: 8,
        cold,
    }
}

fn ask(lease: u64) -> SlotRequest {
    SlotRequest {
        lease,
        class: Class::Online,
        service: "notes".to_owned(),
        exclude: Default::default(),
        queue: Queue::No,
        rank: 0,
        meter: None,
    }
}

/// A cold failure domain, and what its upstreams were given.
struct Play {
    allocators: Vec<Allocator>,
    upstreams: Vec<Upstream>,
    now: Instant,
    next: u64,
    given: HashMap<id::Instance, Vec<Instant>>,
    held: Vec<(Instant, usize, SocketAddr, Release)>,
}

impl Play {
    /// Upstreams that stay cold for so long, dealt out by as many allocators, of which none knows of the other.
    fn new(upstreams: usize, allocators: usize, cold_for: Duration) -> Self {
        let now = Instant::now();
        let cold = ColdStart {
            until: now + cold_for,
            per_second: BORNE,
        };
        let upstreams: Vec<Upstream> = (0..upstreams)
            .map(|index| upstream(index, Some(cold)))
            .collect();
        let mut play = Self {
            allocators: Vec::new(),
            upstreams,
            now,
            next: 1,
            given: HashMap::new(),
            held: Vec::new(),
        };
        (0..allocators).for_each(|_| play.add_allocator());
        play
    }

    /// Another host takes over, and knows of nothing.
    fn add_allocator(&mut self) {
        let mut allocator = Allocator::new(self.next, Tolerance::default());
        allocator.set_upstreams(self.upstreams.clone());
        self.allocators.push(allocator);
    }

    /// Plays requests of so many hosts at an allocator, or at each of all in turn.
    fn run(&mut self, time: Duration, hosts: usize, at: Option<usize>) {
        let mut draw = StdRng::seed_from_u64(7);
        let until = self.now + time;
        while self.now < until {
            self.now += Duration::from_secs(1) / ASKED;
            self.release();
            let from = host(draw.random_range(0..hosts));
            let to = at.unwrap_or(self.next as usize % self.allocators.len());
            if self.next.is_multiple_of(40) {
                let holdings = Holdings {
                    next: self.next,
                    held: Vec::new(),
                };
                self.allocators[to].receive(host(hosts), Frame::Holdings(holdings), self.now);
            }
            let lease = self.next;
            self.next += 1;
            let (out, _) = self.allocators[to].receive(from, Frame::SlotRequest(ask(lease)), self.now);
            self.take(out, to, from);
        }
    }

    fn take(&mut self, out: Outgoing, allocator: usize, from: SocketAddr) {
        for (_, frame) in out {
            let Frame::SlotResponse(answer) = frame else {
                continue;
            };
            if let Verdict::Granted(grant) = answer.verdict {
                let given = self.given.entry(grant.upstream.clone()).or_default();
                given.push(self.now);
                let release = Release {
                    lease: answer.lease,
                    upstream: grant.upstream,
                    outcome: Outcome::Served,
                };
                self.held.push((self.now + HELD, allocator, from, release));
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

    /// Most requests that an upstream was given in a second.
    fn most_in_a_second(&self) -> usize {
        let most = |times: &Vec<Instant>| {
            let from = |at: &Instant| {
                let within = |it: &&Instant| **it >= *at && **it < *at + Duration::from_secs(1);
                times.iter().filter(within).count()
            };
            times.iter().map(from).max().unwrap_or_default()
        };
        self.given.values().map(most).max().unwrap_or_default()
    }

    fn given(&self) -> usize {
        self.given.values().map(Vec::len).sum()
    }
}

fn allowed() -> usize {
    (f64::from(BORNE) * OVERSHOOT) as usize + SLACK
}

#[parameterized(
    few = { 3, 1 },
    a_grown_fleet = { 60, 4 },
    a_whole_fleet = { 1_000, 8 },
)]
fn cold_upstreams_get_what_they_bear_and_no_more(hosts: usize, upstreams: usize) {
    let mut play = Play::new(upstreams, 1, Duration::from_secs(10));

    play.run(Duration::from_secs(5), hosts, None);

    assert!(play.most_in_a_second() <= BORNE as usize);
    // They are not left idle either: each gets half of what it bears, if there is so much to do.
    let least = (BORNE as usize / 2 * 3 * upstreams).min(ASKED as usize * 3);
    assert!(play.given() >= least, "{}", play.given());
}

#[test]
fn two_allocators_that_know_nothing_of_each_other_stay_within_the_bound() {
    let mut play = Play::new(2, 2, Duration::from_secs(10));

    play.run(Duration::from_secs(5), 60, None);

    assert!(play.most_in_a_second() <= allowed());
}

#[test]
fn an_allocator_that_takes_over_does_not_give_the_share_of_a_second_again() {
    let mut play = Play::new(2, 1, Duration::from_secs(20));

    play.run(Duration::from_secs(3), 60, Some(0));
    for taken_over in 1..4 {
        play.add_allocator();
        play.run(Duration::from_secs(2), 60, Some(taken_over));
    }

    assert!(play.most_in_a_second() <= BORNE as usize);
}

#[test]
fn an_upstream_that_is_warm_gets_what_its_slots_say_and_little_again_once_it_turns_cold() {
    let mut play = Play::new(1, 1, Duration::from_secs(3));
    play.run(Duration::from_secs(3), 60, None);
    play.given.clear();
    play.run(Duration::from_secs(3), 60, None);
    let warm = play.most_in_a_second();
    play.given.clear();

    let cold = ColdStart {
        until: play.now + Duration::from_secs(5),
        per_second: BORNE,
    };
    play.upstreams[0].cold = Some(cold);
    play.allocators[0].set_upstreams(play.upstreams.clone());
    play.run(Duration::from_secs(4), 60, None);

    assert!(warm > 2 * BORNE as usize, "{warm}");
    assert!(play.most_in_a_second() <= BORNE as usize);
}
