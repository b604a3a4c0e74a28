//! Simulation of hosts, the counters that they use, and a customer that sends requests to all of them.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tinbank_allowance::{Counter, Counts, Limit, Reachability, Tolerance, counter::Verdict};

const CUSTOMER: &str = "c";
/// How long the counters have known all requests before a simulation starts.
const WARM_UP: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(1);
/// Steps between two messages of a counter.
const EXCHANGE_STEPS: u64 = 50;
/// Steps between two heartbeats of a host.
const HEARTBEAT_STEPS: u64 = 1_000;
/// Time until every host has noticed the loss of an allocator: two heartbeats.
const LOSS_DETECTION: Duration = Duration::from_secs(2);
/// Minimum time from the loss of a host to its restart.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Number of counters, one per failure domain.
const COUNTERS: usize = 3;

/// How customers' requests are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Each failure domain has a counter, and they exchange their counts.
    Exchange,
    /// A single counter, which is queried for each request.
    Central,
    /// Each failure domain has a counter for its own part of the limit.
    Split,
}

/// A fault; times are relative to the start of the simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// A counter is lost, and another host replaces it.
    CounterLost {
        at: Duration,
    },
    /// All counters are lost at once. The hosts that replace them may have received their counts.
    CountersLost {
        at: Duration,
        standbys_receive_counts: bool,
    },
    /// All hosts are lost, and restart.
    AllLost {
        at: Duration,
        restart_after: Duration,
    },
    /// All hosts are lost twice within a window; the times are those of their restarts.
    AllLostTwice {
        at: Duration,
        again_after: Duration,
    },
    /// Counters can't reach each other, nor the hosts of other failure domains.
    CountersPartitioned {
        at: Duration,
        until: Duration,
    },
    /// Some hosts can reach callers and upstreams, but no other hosts.
    HostsIsolated {
        hosts: usize,
        at: Duration,
        until: Duration,
    },
    /// Some hosts form a partition with counters of their own, which had received the counts.
    GroupPartitioned {
        hosts: usize,
        at: Duration,
        until: Duration,
    },
    /// Some hosts are lost permanently.
    HostsLost {
        hosts: usize,
        at: Duration,
    },
    /// Messages are dropped.
    Lossy {
        percent: u32,
    },
    /// The limit is lowered.
    Lowered {
        at: Duration,
        to: f64,
    },
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Simulation {
    pub seed: u64,
    pub hosts: usize,
    pub rate: f64,
    pub burst: f64,
    /// Requests per second that the customer sends.
    pub sent: f64,
    pub fault: Fault,
    /// All requests arrive at the hosts of one failure domain.
    pub in_one_domain: bool,
    /// Duration of the simulation.
    pub length: Duration,
    /// Until then, the customer sends only 60% of its limit.
    pub above_limit_from: Duration,
}

impl Default for Simulation {
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
            above_limit_from: Duration::ZERO,
        }
    }
}

/// Result of a simulation.
#[derive(Debug)]
pub struct Outcome {
    pub sent: usize,
    /// Maximum number of requests admitted in a window.
    pub max_in_window: usize,
    pub refused: usize,
    /// Refused requests that the model would have admitted.
    pub wrongly_refused: usize,
    pub admitted_percent_of_limit: usize,
    pub messages_per_second: u64,
    /// When requests were admitted.
    admitted: Times,
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
    /// Returns the maximum number of requests admitted in a window that starts at least one window after `at`.
    pub fn max_in_window_after(&self, at: Duration) -> usize {
        let from = at.as_millis() as u64;
        let later: Vec<u64> = self
            .admitted
            .0
            .iter()
            .copied()
            .filter(|it| *it >= from + WINDOW_STEPS)
            .collect();
        max_in_any_window(&later)
    }
}

const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};
const WINDOW_STEPS: u64 = 5_000;

impl Simulation {
    /// Returns the number of requests that may be admitted in any window.
    pub fn max_allowed(&self) -> usize {
        let limit = self.limit();
        let within = limit.rate() * 5.0 + limit.burst();
        (within + TOLERANCE.excess(limit)) as usize
    }

    fn limit(&self) -> Limit {
        Limit::new(self.rate, self.burst).unwrap()
    }

    pub fn run(&self, strategy: Strategy) -> Outcome {
        Run::new(*self, strategy).run()
    }
}

/// A counter and the hosts that it can reach.
struct Node {
    counter: Counter,
    reachability: Reachability,
}

struct Run {
    simulation: Simulation,
    strategy: Strategy,
    start: Instant,
    rng: StdRng,
    /// Counters of the failure domains, then one per host for isolated hosts, then the standby counters.
    nodes: Vec<Node>,
    /// Messages in transit: when they arrive, receiver, sender and contents.
    messages: VecDeque<(u64, usize, SocketAddr, Counts)>,
    sent_messages: u64,
    starts: u64,
    admitted: Vec<u64>,
    /// Remaining allowance of the model with global knowledge.
    model_level: f64,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7000))
}

fn max_in_any_window(times: &[u64]) -> usize {
    let windows = times.iter().enumerate().map(|(first, from)| {
        let within = times[first..]
            .iter()
            .take_while(|it| **it < from + WINDOW_STEPS);
        within.count()
    });
    windows.max().unwrap_or_default()
}

impl Run {
    fn new(simulation: Simulation, strategy: Strategy) -> Self {
        let mut run = Self {
            simulation,
            strategy,
            start: Instant::now() + WARM_UP * 2,
            rng: StdRng::seed_from_u64(simulation.seed),
            nodes: Vec::new(),
            messages: VecDeque::new(),
            sent_messages: 0,
            starts: 0,
            admitted: Vec::new(),
            model_level: simulation.burst,
        };
        for _ in 0..COUNTERS + simulation.hosts + COUNTERS {
            let mut node = run.node(0);
            node.counter.reset(false, run.start - WARM_UP);
            (0..simulation.hosts)
                .for_each(|host| node.reachability.record_host(address(host), run.start));
            run.nodes.push(node);
        }
        run
    }

    fn at(&self, step: u64) -> Instant {
        self.start + STEP * step as u32
    }

    /// Creates a new counter on a host that has known the others for long.
    fn node(&mut self, step: u64) -> Node {
        self.starts += 1;
        let mut node = Node {
            counter: Counter::new(self.starts, TOLERANCE),
            reachability: Reachability::default(),
        };
        node.reachability
            .set_host_count(self.simulation.hosts, self.start - WARM_UP);
        node.counter.reset(false, self.at(step));
        node
    }

    /// Replaces the counters of the failure domains by new ones on hosts that have just started.
    fn restart_all(&mut self, step: u64) {
        for index in 0..COUNTERS {
            let mut node = self.node(step);
            node.reachability = Reachability::default();
            node.reachability
                .set_host_count(self.simulation.hosts, self.at(step));
            node.counter.reset(true, self.at(step));
            self.nodes[index] = node;
        }
        self.messages.clear();
    }

    fn run(mut self) -> Outcome {
        let (mut sent, mut refused, mut wrongly_refused) = (0, 0, 0);
        for step in 0..steps(self.simulation.length) {
            self.apply_fault(step);
            self.deliver(step);
            if step % EXCHANGE_STEPS == 0 {
                self.exchange(step);
            }
            let limit = self.limit(step);
            self.model_level =
                (self.model_level + limit.rate() / 1_000.0).min(limit.burst().max(1.0));
            let arrivals = match step < steps(self.simulation.above_limit_from) {
                true => self.simulation.rate * 0.6 / 1_000.0,
                false => self.simulation.sent / 1_000.0,
            };
            if self.is_outage(step) || !self.rng.random_bool(arrivals.min(1.0)) {
                continue;
            }
            let mut host = self.rng.random_range(0..self.simulation.hosts);
            if self.simulation.in_one_domain {
                host = host / COUNTERS * COUNTERS;
            }
            if self.is_lost(host, step) {
                continue;
            }
            sent += 1;
            let model_admits = self.model_level >= 1.0;
            if model_admits {
                self.model_level -= 1.0;
            }
            if self.admit(host, limit, step) {
                self.admitted.push(step);
            } else {
                refused += 1;
                wrongly_refused += usize::from(model_admits);
            }
        }
        let of_limit =
            self.simulation.rate * self.simulation.length.as_secs_f64() + self.simulation.burst;
        Outcome {
            sent,
            max_in_window: max_in_any_window(&self.admitted),
            refused,
            wrongly_refused,
            admitted_percent_of_limit: (self.admitted.len() as f64 * 100.0 / of_limit) as usize,
            messages_per_second: self.sent_messages * 1_000 / steps(self.simulation.length),
            admitted: Times(self.admitted),
        }
    }

    /// Returns the configured limit.
    fn limit(&self, step: u64) -> Limit {
        match self.simulation.fault {
            Fault::Lowered { at, to } if step >= steps(at) => Limit::new(to, to).unwrap(),
            _ => self.simulation.limit(),
        }
    }

    fn apply_fault(&mut self, step: u64) {
        match self.simulation.fault {
            Fault::CounterLost { at } if step == steps(at) => {
                self.nodes[0] = self.node(step);
            }
            Fault::GroupPartitioned { at, .. } if step == steps(at) => {
                // From now on, these counters reach only the hosts of their own group.
                let standbys = self.first_standby();
                for node in &mut self.nodes[standbys..] {
                    node.reachability.reset();
                }
            }
            Fault::CountersLost { at, .. } if step == steps(at) => {
                let standbys = self.first_standby();
                for domain in 0..COUNTERS {
                    self.nodes.swap(domain, standbys + domain);
                    let node = &mut self.nodes[domain];
                    let now = self.start + STEP * step as u32;
                    if !node.reachability.has_fresh_report(now) {
                        node.counter.reset(false, now);
                    }
                }
            }
            Fault::AllLost { at, restart_after } if step == steps(at + restart_after) => {
                self.restart_all(step)
            }
            Fault::AllLostTwice { at, again_after }
                if step == steps(at) || step == steps(at + again_after) =>
            {
                self.restart_all(step);
            }
            Fault::HostsIsolated { hosts, at, .. } if step == steps(at) => {
                for host in 0..hosts {
                    self.nodes[COUNTERS + host] = self.node(step);
                }
            }
            _ => {}
        }
    }

    /// Returns whether all hosts are down.
    fn is_outage(&self, step: u64) -> bool {
        let is_between =
            |from: Duration, until: Duration| (steps(from)..steps(until)).contains(&step);
        match self.simulation.fault {
            Fault::AllLost { at, restart_after } => is_between(at, at + restart_after),
            Fault::AllLostTwice { at, again_after } => {
                let again = at + again_after;
                is_between(at - RESTART_TIME, at) || is_between(again - RESTART_TIME, again)
            }
            _ => false,
        }
    }

    fn is_lost(&self, host: usize, step: u64) -> bool {
        matches!(self.simulation.fault, Fault::HostsLost { hosts, at } if host < hosts && step >= steps(at))
    }

    fn is_isolated(&self, host: usize, step: u64) -> bool {
        matches!(self.simulation.fault, Fault::HostsIsolated { hosts, at, until }
            if host < hosts && (steps(at)..steps(until)).contains(&step))
    }

    fn is_in_partition(&self, host: usize, step: u64) -> bool {
        matches!(self.simulation.fault, Fault::GroupPartitioned { hosts, at, until }
            if host < hosts && (steps(at)..steps(until)).contains(&step))
    }

    /// Returns the index of the first standby counter, which are used when counters are lost or partitioned.
    fn first_standby(&self) -> usize {
        self.nodes.len() - COUNTERS
    }

    fn are_counters_partitioned(&self, step: u64) -> bool {
        matches!(self.simulation.fault, Fault::CountersPartitioned { at, until }
            if (steps(at)..steps(until)).contains(&step))
    }

    fn admit(&mut self, host: usize, limit: Limit, step: u64) -> bool {
        let node = match (self.is_isolated(host, step), self.strategy) {
            _ if self.is_in_partition(host, step) => self.first_standby() + host % COUNTERS,
            (true, _) => COUNTERS + host,
            (false, Strategy::Central) => 0,
            (false, _) => host % COUNTERS,
        };
        if self.strategy == Strategy::Central {
            self.sent_messages += 2;
        }
        let now = self.at(step);
        let is_split = self.strategy == Strategy::Split && node < COUNTERS;
        let node = &mut self.nodes[node];
        node.reachability.record_host(address(host), now);
        let share = node.reachability.share(now);
        node.counter.set_share(share, now);
        let limit = match is_split {
            true => split_limit(limit),
            false => limit,
        };
        if node.counter.check(CUSTOMER, limit, now) != Verdict::Within {
            return false;
        }
        node.counter.take(CUSTOMER, limit, now);
        true
    }

    /// Sends the heartbeats of all hosts to the counters, and the counts to other counters.
    fn exchange(&mut self, step: u64) {
        let now = self.at(step);
        for host in 0..self.simulation.hosts {
            let is_due = step % HEARTBEAT_STEPS == (host as u64 * EXCHANGE_STEPS) % HEARTBEAT_STEPS;
            if !is_due || self.is_lost(host, step) || self.is_outage(step) {
                continue;
            }
            if self.is_isolated(host, step) {
                self.nodes[COUNTERS + host]
                    .reachability
                    .record_host(address(host), now);
                continue;
            }
            if self.is_in_partition(host, step) {
                let standbys = self.first_standby();
                let group = &mut self.nodes[standbys..];
                group
                    .iter_mut()
                    .for_each(|node| node.reachability.record_host(address(host), now));
                continue;
            }
            for domain in 0..COUNTERS {
                if !self.are_counters_partitioned(step) || host % COUNTERS == domain {
                    self.nodes[domain]
                        .reachability
                        .record_host(address(host), now);
                }
            }
        }
        if self.strategy != Strategy::Exchange || self.is_outage(step) {
            return;
        }
        let mut senders: Vec<usize> = (0..COUNTERS).collect();
        if self.is_in_partition(0, step) {
            senders.extend(self.first_standby()..self.nodes.len());
        }
        for from in senders {
            let node = &mut self.nodes[from];
            let Some(counts) = node.counter.next_counts(&node.reachability, now) else {
                continue;
            };
            for to in self.receivers(from, step) {
                self.sent_messages += 1;
                if !self.are_counters_partitioned(step) && !self.drops_message() {
                    let message = (step + 1, to, address(1_000 + from), counts.clone());
                    self.messages.push_back(message);
                }
            }
        }
    }

    /// Returns the counters that receive a counter's messages: the others, and possibly their standbys.
    fn receivers(&self, from: usize, step: u64) -> Vec<usize> {
        let standbys = self.first_standby()..self.nodes.len();
        if standbys.contains(&from) {
            return standbys.filter(|to| *to != from).collect();
        }
        let others = (0..COUNTERS).filter(move |to| *to != from);
        match self.simulation.fault {
            // Without standbys among the receivers, nothing is received until every host has noticed the loss.
            Fault::CountersLost {
                at,
                standbys_receive_counts: false,
            } if (steps(at)..steps(at + LOSS_DETECTION)).contains(&step) => Vec::new(),
            Fault::CountersLost {
                standbys_receive_counts: true,
                ..
            } => others.chain(standbys).collect(),
            Fault::GroupPartitioned { .. } if !self.is_in_partition(0, step) => {
                others.chain(standbys).collect()
            }
            _ => others.collect(),
        }
    }

    fn drops_message(&mut self) -> bool {
        match self.simulation.fault {
            Fault::Lossy { percent } => self.rng.random_range(0..100) < percent,
            _ => false,
        }
    }

    fn deliver(&mut self, step: u64) {
        let now = self.at(step);
        while self.messages.front().is_some_and(|(at, ..)| *at <= step) {
            if let Some((_, to, from, counts)) = self.messages.pop_front() {
                let node = &mut self.nodes[to];
                node.reachability.record_counts(from, &counts, now);
                node.counter.apply(from, counts, now);
            }
        }
    }
}

/// Returns the part of a limit that belongs to one failure domain.
fn split_limit(limit: Limit) -> Limit {
    let counters = COUNTERS as f64;
    Limit::new(limit.rate() / counters, limit.burst() / counters).unwrap()
}

fn steps(time: Duration) -> u64 {
    time.as_millis() as u64
}
