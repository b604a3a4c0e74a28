//! Hosts, the counters they ask, and a customer that sends to all of them.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tinbank_allowance::{Counter, Counts, Limit, Reach, Tolerance, counter::Verdict};

const CUSTOMER: &str = "c";
/// How long the counters have known of all before a play.
const BEFORE: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(1);
/// Time between two messages of a counter.
const ROUND_STEPS: u64 = 50;
/// Time between two heartbeats of a host.
const HEARTBEAT_STEPS: u64 = 1_000;
/// Time until each host has noticed that an allocator is lost: two heartbeats.
const NOTICED: Duration = Duration::from_secs(2);
/// Time from the loss of a host to its start at the least.
const RESTART: Duration = Duration::from_millis(500);
/// Counters, one for each failure domain.
const COUNTERS: usize = 3;

/// How customers are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each failure domain counts, and they tell each other.
    Told,
    /// One counter of all, which each request asks.
    Owner,
    /// Each failure domain counts for itself, for its part of the limit.
    Parts,
}

/// What goes wrong, by the time since the start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// A counter is lost; another host begins to count in its place.
    CounterLost {
        at: Duration,
    },
    /// The counters of all failure domains are lost at once; other hosts, which may have been told, begin to count.
    CountersLost {
        at: Duration,
        standbys_are_told: bool,
    },
    /// All hosts are lost, and start again.
    AllLost {
        at: Duration,
        back_after: Duration,
    },
    /// All hosts are lost twice within a window; the times are those at which they are back.
    AllLostTwice {
        at: Duration,
        again_after: Duration,
    },
    /// Counters don't hear each other, nor the hosts of other failure domains.
    CountersCut {
        at: Duration,
        until: Duration,
    },
    /// Some hosts hear nobody, and nobody hears them, but callers and upstreams do.
    HostsCut {
        hosts: usize,
        at: Duration,
        until: Duration,
    },
    /// Some hosts are cut off from all others together, and have counters of their own, which had been told.
    GroupCut {
        hosts: usize,
        at: Duration,
        until: Duration,
    },
    /// Some hosts are lost for good.
    HostsLost {
        hosts: usize,
        at: Duration,
    },
    /// Messages are lost.
    Lossy {
        percent: u32,
    },
    /// The limit is lowered.
    Lowered {
        at: Duration,
        to: f64,
    },
}

/// A customer at a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub seed: u64,
    pub hosts: usize,
    pub rate: f64,
    pub burst: f64,
    /// Requests that the customer sends a second.
    pub sent: f64,
    pub fault: Fault,
    /// Its requests come to the hosts of one failure domain only.
    pub in_one_domain: bool,
    /// How long the play takes.
    pub length: Duration,
    /// Until then it sends 0.6 of its limit only.
    pub hot_from: Duration,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            seed: 1,
            hosts: 61,
            rate: 10.0,
            burst: 10.0,
            sent: 50.0,
            fault: Fault::None,
            in_one_domain: false,
            length: Duration::from_secs(16),
            hot_from: Duration::ZERO,
        }
    }
}

/// What came of a play.
#[derive(Debug)]
pub struct Outcome {
    pub sent: usize,
    /// Requests let in, in the fullest window.
    pub most_in_window: usize,
    pub refused: usize,
    /// Requests refused that a count that knows all would have let in.
    pub refused_within: usize,
    pub let_in_percent_of_limit: usize,
    pub messages_a_second: u64,
    /// When requests were let in.
    let_in: Times,
}

/// Times since the start, in milliseconds.
#[derive(Default)]
struct Times(Vec<u64>);

impl std::fmt::Debug for Times {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} times", self.0.len())
    }
}

impl Outcome {
    /// Requests let in, in the fullest window that begins at a time or later.
    pub fn most_in_window_after(&self, at: Duration) -> usize {
        let from = at.as_millis() as u64;
        let later: Vec<u64> = self
            .let_in
            .0
            .iter()
            .copied()
            .filter(|it| *it >= from + WINDOW_STEPS)
            .collect();
        fullest(&later)
    }
}

const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};
const WINDOW_STEPS: u64 = 5_000;

impl Play {
    /// Requests that may be let in, in any window.
    pub fn most_allowed(&self) -> usize {
        let limit = self.limit();
        let within = limit.rate() * 5.0 + limit.burst();
        (within + TOLERANCE.excess(limit)) as usize
    }

    fn limit(&self) -> Limit {
        Limit::new(self.rate, self.burst).unwrap()
    }

    pub fn run(&self, way: Way) -> Outcome {
        World::new(*self, way).run()
    }
}

/// A counter and the hosts that it hears.
struct Desk {
    counter: Counter,
    reach: Reach,
}

struct World {
    play: Play,
    way: Way,
    start: Instant,
    draw: StdRng,
    /// Counters of the failure domains, then one at each host that is cut off.
    desks: Vec<Desk>,
    /// Messages under way, by when they arrive, and to whom.
    messages: VecDeque<(u64, usize, SocketAddr, Counts)>,
    sent_messages: u64,
    starts: u64,
    let_in: Vec<u64>,
    /// A count that knows all at once: what is left of the allowance.
    exact: f64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7000))
}

fn fullest(times: &[u64]) -> usize {
    let windows = times.iter().enumerate().map(|(first, from)| {
        let within = times[first..]
            .iter()
            .take_while(|it| **it < from + WINDOW_STEPS);
        within.count()
    });
    windows.max().unwrap_or_default()
}

impl World {
    fn new(play: Play, way: Way) -> Self {
        let mut world = Self {
            play,
            way,
            start: Instant::now() + BEFORE * 2,
            draw: StdRng::seed_from_u64(play.seed),
            desks: Vec::new(),
            messages: VecDeque::new(),
            sent_messages: 0,
            starts: 0,
            let_in: Vec::new(),
            exact: play.burst,
        };
        for _ in 0..COUNTERS + play.hosts + COUNTERS {
            let mut desk = world.desk(0);
            desk.counter.forget(false, world.start - BEFORE);
            (0..play.hosts).for_each(|host| desk.reach.heard(address(host), world.start));
            world.desks.push(desk);
        }
        world
    }

    fn at(&self, step: u64) -> Instant {
        self.start + STEP * step as u32
    }

    /// A counter that has just begun to count, at a host that has known the others for long.
    fn desk(&mut self, step: u64) -> Desk {
        self.starts += 1;
        let mut desk = Desk {
            counter: Counter::new(self.starts, TOLERANCE),
            reach: Reach::default(),
        };
        desk.reach.listed(self.play.hosts, self.start - BEFORE);
        desk.counter.forget(false, self.at(step));
        desk
    }

    /// The counters of the failure domains at hosts that have all just started.
    fn start_anew(&mut self, step: u64) {
        for index in 0..COUNTERS {
            let mut desk = self.desk(step);
            desk.reach = Reach::default();
            desk.reach.listed(self.play.hosts, self.at(step));
            desk.counter.forget(true, self.at(step));
            self.desks[index] = desk;
        }
        self.messages.clear();
    }

    fn run(mut self) -> Outcome {
        let (mut sent, mut refused, mut refused_within) = (0, 0, 0);
        for step in 0..steps(self.play.length) {
            self.strike(step);
            self.deliver(step);
            if step % ROUND_STEPS == 0 {
                self.tell(step);
            }
            let limit = self.limit(step);
            self.exact = (self.exact + limit.rate() / 1_000.0).min(limit.burst().max(1.0));
            let arrivals = match step < steps(self.play.hot_from) {
                true => self.play.rate * 0.6 / 1_000.0,
                false => self.play.sent / 1_000.0,
            };
            if self.is_dark(step) || !self.draw.random_bool(arrivals.min(1.0)) {
                continue;
            }
            let mut host = self.draw.random_range(0..self.play.hosts);
            if self.play.in_one_domain {
                host = host / COUNTERS * COUNTERS;
            }
            if self.is_lost(host, step) {
                continue;
            }
            sent += 1;
            let is_within = self.exact >= 1.0;
            if is_within {
                self.exact -= 1.0;
            }
            if self.ask(host, limit, step) {
                self.let_in.push(step);
            } else {
                refused += 1;
                refused_within += usize::from(is_within);
            }
        }
        let of_limit = self.play.rate * self.play.length.as_secs_f64() + self.play.burst;
        Outcome {
            sent,
            most_in_window: fullest(&self.let_in),
            refused,
            refused_within,
            let_in_percent_of_limit: (self.let_in.len() as f64 * 100.0 / of_limit) as usize,
            messages_a_second: self.sent_messages * 1_000 / steps(self.play.length),
            let_in: Times(self.let_in),
        }
    }

    /// The limit by the configuration.
    fn limit(&self, step: u64) -> Limit {
        match self.play.fault {
            Fault::Lowered { at, to } if step >= steps(at) => Limit::new(to, to).unwrap(),
            _ => self.play.limit(),
        }
    }

    fn strike(&mut self, step: u64) {
        match self.play.fault {
            Fault::CounterLost { at } if step == steps(at) => {
                self.desks[0] = self.desk(step);
            }
            Fault::GroupCut { at, .. } if step == steps(at) => {
                // Nobody but the hosts of their own group is heard there from now on.
                let standbys = self.standbys();
                for desk in &mut self.desks[standbys..] {
                    desk.reach.forget();
                }
            }
            Fault::CountersLost { at, .. } if step == steps(at) => {
                let standbys = self.standbys();
                for domain in 0..COUNTERS {
                    self.desks.swap(domain, standbys + domain);
                    let desk = &mut self.desks[domain];
                    let now = self.start + STEP * step as u32;
                    if !desk.reach.is_told(now) {
                        desk.counter.forget(false, now);
                    }
                }
            }
            Fault::AllLost { at, back_after } if step == steps(at + back_after) => {
                self.start_anew(step)
            }
            Fault::AllLostTwice { at, again_after }
                if step == steps(at) || step == steps(at + again_after) =>
            {
                self.start_anew(step);
            }
            Fault::HostsCut { hosts, at, .. } if step == steps(at) => {
                for host in 0..hosts {
                    self.desks[COUNTERS + host] = self.desk(step);
                }
            }
            _ => {}
        }
    }

    /// True while no host is there.
    fn is_dark(&self, step: u64) -> bool {
        let is_between =
            |from: Duration, until: Duration| (steps(from)..steps(until)).contains(&step);
        match self.play.fault {
            Fault::AllLost { at, back_after } => is_between(at, at + back_after),
            Fault::AllLostTwice { at, again_after } => {
                let again = at + again_after;
                is_between(at - RESTART, at) || is_between(again - RESTART, again)
            }
            _ => false,
        }
    }

    fn is_lost(&self, host: usize, step: u64) -> bool {
        matches!(self.play.fault, Fault::HostsLost { hosts, at } if host < hosts && step >= steps(at))
    }

    fn is_cut(&self, host: usize, step: u64) -> bool {
        matches!(self.play.fault, Fault::HostsCut { hosts, at, until }
            if host < hosts && (steps(at)..steps(until)).contains(&step))
    }

    fn is_in_group(&self, host: usize, step: u64) -> bool {
        matches!(self.play.fault, Fault::GroupCut { hosts, at, until }
            if host < hosts && (steps(at)..steps(until)).contains(&step))
    }

    /// Index of the first of the hosts that begin to count when counters are lost or cut off.
    fn standbys(&self) -> usize {
        self.desks.len() - COUNTERS
    }

    fn are_counters_cut(&self, step: u64) -> bool {
        matches!(self.play.fault, Fault::CountersCut { at, until }
            if (steps(at)..steps(until)).contains(&step))
    }

    fn ask(&mut self, host: usize, limit: Limit, step: u64) -> bool {
        let desk = match (self.is_cut(host, step), self.way) {
            _ if self.is_in_group(host, step) => self.standbys() + host % COUNTERS,
            (true, _) => COUNTERS + host,
            (false, Way::Owner) => 0,
            (false, _) => host % COUNTERS,
        };
        if self.way == Way::Owner {
            self.sent_messages += 2;
        }
        let now = self.at(step);
        let is_part = self.way == Way::Parts && desk < COUNTERS;
        let desk = &mut self.desks[desk];
        desk.reach.heard(address(host), now);
        let share = desk.reach.share(now);
        desk.counter.give_out(share, now);
        let limit = match is_part {
            true => part(limit),
            false => limit,
        };
        if desk.counter.check(CUSTOMER, limit, now) != Verdict::Within {
            return false;
        }
        desk.counter.take(CUSTOMER, limit, now);
        true
    }

    /// Heartbeats of all hosts at the counters, and what counters tell each other.
    fn tell(&mut self, step: u64) {
        let now = self.at(step);
        for host in 0..self.play.hosts {
            let is_due = step % HEARTBEAT_STEPS == (host as u64 * ROUND_STEPS) % HEARTBEAT_STEPS;
            if !is_due || self.is_lost(host, step) || self.is_dark(step) {
                continue;
            }
            if self.is_cut(host, step) {
                self.desks[COUNTERS + host].reach.heard(address(host), now);
                continue;
            }
            if self.is_in_group(host, step) {
                let standbys = self.standbys();
                let group = &mut self.desks[standbys..];
                group
                    .iter_mut()
                    .for_each(|desk| desk.reach.heard(address(host), now));
                continue;
            }
            for domain in 0..COUNTERS {
                if !self.are_counters_cut(step) || host % COUNTERS == domain {
                    self.desks[domain].reach.heard(address(host), now);
                }
            }
        }
        if self.way != Way::Told || self.is_dark(step) {
            return;
        }
        let mut counting: Vec<usize> = (0..COUNTERS).collect();
        if self.is_in_group(0, step) {
            counting.extend(self.standbys()..self.desks.len());
        }
        for from in counting {
            let desk = &mut self.desks[from];
            let Some(counts) = desk.counter.news(&desk.reach, now) else {
                continue;
            };
            for to in self.hear(from, step) {
                self.sent_messages += 1;
                if !self.are_counters_cut(step) && !self.loses() {
                    let message = (step + 1, to, address(1_000 + from), counts.clone());
                    self.messages.push_back(message);
                }
            }
        }
    }

    /// Which counters hear what one says: the others, and the hosts that take over when they are lost.
    fn hear(&self, from: usize, step: u64) -> Vec<usize> {
        let standbys = self.standbys()..self.desks.len();
        if standbys.contains(&from) {
            return standbys.filter(|to| *to != from).collect();
        }
        let others = (0..COUNTERS).filter(move |to| *to != from);
        match self.play.fault {
            // Until each host has noticed for itself who is lost, those that were not told hear nothing.
            Fault::CountersLost {
                at,
                standbys_are_told: false,
            } if (steps(at)..steps(at + NOTICED)).contains(&step) => Vec::new(),
            Fault::CountersLost {
                standbys_are_told: true,
                ..
            } => others.chain(standbys).collect(),
            Fault::GroupCut { .. } if !self.is_in_group(0, step) => {
                others.chain(standbys).collect()
            }
            _ => others.collect(),
        }
    }

    fn loses(&mut self) -> bool {
        match self.play.fault {
            Fault::Lossy { percent } => self.draw.random_range(0..100) < percent,
            _ => false,
        }
    }

    fn deliver(&mut self, step: u64) {
        let now = self.at(step);
        while self.messages.front().is_some_and(|(at, ..)| *at <= step) {
            if let Some((_, to, from, counts)) = self.messages.pop_front() {
                let desk = &mut self.desks[to];
                desk.reach.told(from, &counts, now);
                desk.counter.told(from, counts, now);
            }
        }
    }
}

/// What one failure domain has of a limit where each has its own.
fn part(limit: Limit) -> Limit {
    let counters = COUNTERS as f64;
    Limit::new(limit.rate() / counters, limit.burst() / counters).unwrap()
}

fn steps(time: Duration) -> u64 {
    time.as_millis() as u64
}
