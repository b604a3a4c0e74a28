//! Simulation of hosts, upstreams, callers, and a request that crashes each upstream that runs it, in virtual time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tinbank_base::id;
use tinbank_quarantine::{
    CrashReport, Fingerprint, InFlight, Quarantined, Source, Table, Update,
    table::{Interruption, Write},
};

const POISON: Fingerprint = 1;
/// Times in milliseconds: a simulation step, the first event of an answer, the interval of its events, and the restart of an upstream.
const STEP: u64 = 5;
const FIRST_EVENT_DELAY: u64 = 45;
const EVENT_INTERVAL: u64 = 25;
const RESTART_TIME: u64 = 3_000;
/// Time after a fault within which every host has to know all crashes.
pub const CONVERGENCE_TIME: u64 = 3_000;
/// Longest time until a host has read a record of the store.
const STORE_READ_DELAY: u64 = 460;
const SLOTS: usize = 8;
const DURATION: u64 = 60_000;
/// When all hosts restart: after two crashes, while the poison request is being sent, and while it is not.
const RESTARTS_AT: [u64; 3] = [700, 12_000, 32_000];
/// Rate of other requests for each upstream, which keeps six of ten slots in use.
const OTHER_REQUESTS_PER_SECOND: f64 = 7.0;
/// Attempts of another request whose answer was interrupted.
const MAX_ATTEMPTS: u8 = 4;
/// Number of events of an answer, and of the answer to an item of a job, which is retried until it completes.
const EVENTS: u64 = 28;
const ITEM_EVENTS: u64 = 200;

/// How hosts share what they observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// Nothing is kept beyond an attempt.
    Stateless,
    /// Each host keeps its own observations.
    Local,
    /// Hosts send their observations to each other as datagrams.
    Broadcast,
    /// Each observation is a record of the store, which all hosts read.
    Stored,
    /// Hosts send their observations to each other, and the store has the quarantined requests.
    BroadcastAndStored,
}

/// Which requests wait until the upstreams that interrupted them are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    None,
    /// Those that were blamed for a crash before.
    Suspects,
    /// Those that one more crash may quarantine, see [`Table::must_wait_for_probes`].
    All,
}

/// A fleet with a caller that retries a poison request.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub strategy: Strategy,
    pub seed: u64,
    pub hosts: usize,
    /// Milliseconds between two attempts of the poison request, and how many copies are sent at a time.
    pub interval: u64,
    pub copies: usize,
    /// Number of upstreams at which its host runs it for one attempt of the caller, each as soon as the one before has crashed.
    pub runs: u8,
    /// Milliseconds from the start of its run to the crash.
    pub time_to_crash: u64,
    /// Milliseconds until a host knows that an upstream has crashed.
    pub probe_time: u64,
    pub wait: Wait,
    /// Share of datagrams that are lost, in percent.
    pub loss_percent: u32,
    /// From 0.4 to 20 s, a third of the hosts receives nothing, neither from hosts nor from the store.
    pub is_partitioned: bool,
    /// All hosts restart three times.
    pub restarts_all: bool,
    /// Each two seconds, a third of the upstreams crashes for other reasons.
    pub has_crash_storm: bool,
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Crashes caused by the poison request.
    pub crashes: usize,
    /// Attempts of the poison request sent later than the convergence time after the third crash, by hosts without a recent fault.
    pub retries: usize,
    /// Interrupted answers to other requests, and attempts of other requests that were quarantined.
    pub interrupted: usize,
    pub false_positives: usize,
}

struct Host {
    table: Table,
    /// Crashed upstreams that are being probed.
    probes: Vec<Probe>,
    inbox: Vec<(u64, Update)>,
    /// Results of reading the quarantined requests from the store, with the time at which they arrive.
    reads: Vec<(u64, Vec<Quarantined>)>,
}

struct Probe {
    ends_at: u64,
    report: CrashReport,
}

/// A request. When it is retried, it keeps the events that it has.
#[derive(Clone, Copy)]
struct Request {
    name: Fingerprint,
    attempts: u8,
    /// Events received, and events of the complete answer.
    events: u64,
    all_events: u64,
    /// The host at which it goes on; `None` for one that its caller sends.
    host: Option<usize>,
}

struct Run {
    host: usize,
    request: Request,
    began: u64,
}

impl Run {
    /// Returns the number of events that the caller has received.
    fn reached(&self, now: u64) -> u64 {
        let running = now.saturating_sub(self.began + FIRST_EVENT_DELAY);
        self.request.events + running / EVENT_INTERVAL
    }
}

#[derive(Default)]
struct Upstream {
    name: String,
    up_at: u64,
    runs: Vec<Run>,
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    start: Instant,
    now: u64,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    started: usize,
    stored: BTreeMap<Fingerprint, Quarantined>,
    reports: Vec<Update>,
    attempts: Vec<(u64, Request)>,
    threshold_at: Option<u64>,
    outcome: Outcome,
}

impl Scenario {
    pub fn run(self) -> Outcome {
        let hosts = (0..self.hosts).map(|_| Host::new()).collect();
        let upstreams = self.hosts.max(9) * 3 / 2;
        let mut simulation = Simulation {
            scenario: self,
            rng: StdRng::seed_from_u64(self.seed),
            start: Instant::now(),
            now: 0,
            hosts,
            upstreams: (0..upstreams).map(|_| Upstream::default()).collect(),
            started: 0,
            stored: BTreeMap::new(),
            reports: Vec::new(),
            attempts: Vec::new(),
            threshold_at: None,
            outcome: Outcome::default(),
        };
        while simulation.now < DURATION {
            simulation.step();
            simulation.now += STEP;
        }
        simulation.outcome
    }
}

impl Host {
    fn new() -> Self {
        Self {
            table: Table::default(),
            probes: Vec::new(),
            inbox: Vec::new(),
            reads: Vec::new(),
        }
    }

    fn must_wait(&self, wait: Wait, request: Fingerprint) -> bool {
        let interruptions = self.probes.iter().flat_map(|Probe { report, .. }| {
            let in_flight = report.requests.iter();
            let interrupted = in_flight.filter(move |it| it.request == request);
            interrupted.map(|it| Interruption {
                upstream: report.upstream.clone(),
                reached: it.reached,
            })
        });
        let may_wait = match wait {
            Wait::None => false,
            Wait::Suspects => self.table.is_suspect(request),
            Wait::All => true,
        };
        may_wait
            && self
                .table
                .must_wait_for_probes(request, interruptions.collect())
    }
}

impl Simulation {
    fn at(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn is_partitioned(&self, host: usize) -> bool {
        let is_during_partition = (400..20_000).contains(&self.now);
        self.scenario.is_partitioned && is_during_partition && host.is_multiple_of(3)
    }

    /// Returns whether a host has had no fault for the convergence time.
    fn has_converged(&self, host: usize) -> bool {
        let after = |at: &u64| (*at..at + CONVERGENCE_TIME).contains(&self.now);
        let was_partitioned =
            (400..20_000 + CONVERGENCE_TIME).contains(&self.now) && host.is_multiple_of(3);
        !(self.scenario.is_partitioned && was_partitioned
            || self.scenario.restarts_all && RESTARTS_AT.iter().any(after))
    }

    fn step(&mut self) {
        if self.scenario.restarts_all && RESTARTS_AT.contains(&self.now) {
            self.restart_all();
        }
        self.receive();
        self.end_probes();
        self.crash_upstreams();
        self.finish_runs();
        self.write();
        self.submit_requests();
    }

    fn restart_all(&mut self) {
        for host in 0..self.hosts.len() {
            self.hosts[host] = Host::new();
            let read_at = self.now + 100;
            match self.scenario.strategy {
                Strategy::BroadcastAndStored => {
                    let stored = self.stored.values().copied().collect();
                    self.hosts[host].reads.push((read_at, stored));
                }
                Strategy::Stored => {
                    let reports = self.reports.iter().map(|it| (read_at, it.clone()));
                    self.hosts[host].inbox = reports.collect();
                }
                Strategy::Stateless | Strategy::Local | Strategy::Broadcast => {}
            }
        }
    }

    fn receive(&mut self) {
        let (now, at) = (self.now, self.at());
        for index in 0..self.hosts.len() {
            if self.is_partitioned(index) {
                continue;
            }
            let host = &mut self.hosts[index];
            let (due, later) = host.inbox.drain(..).partition(|(time, _)| *time <= now);
            host.inbox = later;
            for (_, update) in due {
                match update {
                    Update::Crashed(report) => drop(host.table.record_crash(&report, at)),
                    Update::Cleared(request) => drop(host.table.clear(request)),
                    Update::TrialStarted { subject, source } => {
                        host.table.record_trial(source, subject, at);
                    }
                }
            }
            let (due, later) = host.reads.drain(..).partition(|(time, _)| *time <= now);
            host.reads = later;
            due.into_iter()
                .for_each(|(_, stored): (u64, Vec<Quarantined>)| {
                    drop(host.table.replace_stored(&stored, at))
                });
        }
    }

    fn crash_upstreams(&mut self) {
        for index in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[index];
            let is_crash = |run: &Run| {
                run.request.name == POISON && self.now >= run.began + self.scenario.time_to_crash
            };
            let by_request = upstream.runs.iter().any(is_crash);
            let by_storm = self.scenario.has_crash_storm
                && self.now.is_multiple_of(2_000)
                && index as u64 % 3 == self.now / 2_000 % 3;
            if !by_request && !by_storm {
                continue;
            }
            upstream.up_at = self.now + RESTART_TIME;
            let name = id::Instance::from(upstream.name.as_str());
            let runs = std::mem::take(&mut upstream.runs);
            self.outcome.crashes += usize::from(by_request);
            if by_request && self.outcome.crashes == 3 {
                self.threshold_at = Some(self.now);
            }
            let mut by_host: BTreeMap<usize, CrashReport> = BTreeMap::new();
            for run in runs {
                let report = by_host.entry(run.host).or_insert_with(|| CrashReport {
                    upstream: name.clone(),
                    requests: Default::default(),
                });
                report.requests.push(InFlight {
                    request: run.request.name,
                    source: Source::Caller,
                    reached: run.reached(self.now),
                    parts: Default::default(),
                });
                if run.request.name == POISON {
                    self.resume(&run);
                } else {
                    self.outcome.interrupted += 1;
                    self.retry(&run);
                }
            }
            let ends_at = self.now + self.scenario.probe_time;
            for (host, report) in by_host {
                self.hosts[host].probes.push(Probe { ends_at, report });
            }
        }
    }

    fn end_probes(&mut self) {
        let (now, at) = (self.now, self.at());
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            let ended = host.probes.extract_if(.., |it| it.ends_at <= now);
            let ended: Vec<Probe> = ended.collect();
            for Probe { report, .. } in ended {
                if self.scenario.strategy != Strategy::Stateless {
                    self.hosts[index].table.record_crash(&report, at);
                }
                self.broadcast(index, Update::Crashed(report));
            }
        }
    }

    /// Resumes a poison request at its host.
    fn resume(&mut self, run: &Run) {
        if run.request.attempts == 1 {
            return;
        }
        let request = Request {
            attempts: run.request.attempts - 1,
            events: run.reached(self.now),
            host: Some(run.host),
            ..run.request
        };
        self.attempts.push((self.now, request));
    }

    fn finish_runs(&mut self) {
        for index in 0..self.upstreams.len() {
            let now = self.now;
            let runs = self.upstreams[index].runs.drain(..);
            let (done, left) = runs.partition(|run| {
                run.request.name != POISON && run.reached(now) >= run.request.all_events
            });
            self.upstreams[index].runs = left;
            for run in done {
                if self.hosts[run.host].table.clear(run.request.name).is_some() {
                    self.broadcast(run.host, Update::Cleared(run.request.name));
                }
            }
        }
    }

    /// Retries an interrupted request. A caller does so a few times, and resumes the answer half of the time; an item always does.
    fn retry(&mut self, run: &Run) {
        let is_item = run.request.all_events == ITEM_EVENTS;
        if run.request.attempts == 1 && !is_item {
            return;
        }
        let resumes = is_item || self.rng.random_bool(0.5);
        let request = Request {
            attempts: run.request.attempts - u8::from(!is_item),
            events: if resumes { run.reached(self.now) } else { 0 },
            host: None,
            ..run.request
        };
        self.attempts.push((self.now + 100, request));
    }

    /// Distributes an observation by the simulated strategy.
    fn broadcast(&mut self, from: usize, update: Update) {
        if self.scenario.strategy == Strategy::Stored && !self.is_partitioned(from) {
            self.reports.push(update.clone());
        }
        for host in 0..self.hosts.len() {
            let lost = self.rng.random_range(0..100) < self.scenario.loss_percent;
            let resend_lost = self.rng.random_range(0..100) < self.scenario.loss_percent;
            let delay = match (self.scenario.strategy, lost, resend_lost) {
                (Strategy::Stateless | Strategy::Local, ..)
                | (Strategy::Broadcast | Strategy::BroadcastAndStored, true, true) => {
                    continue;
                }
                (Strategy::Stored, ..) => self.rng.random_range(10..STORE_READ_DELAY),
                (_, true, false) => 150,
                (_, false, _) => self.rng.random_range(1..20),
            };
            if host != from && !self.is_partitioned(from) && !self.is_partitioned(host) {
                self.hosts[host]
                    .inbox
                    .push((self.now + delay, update.clone()));
            }
        }
    }

    /// Writes the quarantined requests to the store, at the first hosts of three failure domains.
    fn write(&mut self) {
        if self.scenario.strategy != Strategy::BroadcastAndStored {
            return;
        }
        let at = self.at();
        for host in 0..3 {
            if self.is_partitioned(host) {
                continue;
            }
            for write in self.hosts[host].table.pending_writes(at) {
                self.hosts[host].table.confirm_write(write);
                match write {
                    Write::Quarantine(stored) => self.stored.insert(stored.subject, stored),
                    Write::Release(request) => self.stored.remove(&request),
                };
                let read_at = self.now + self.rng.random_range(10..STORE_READ_DELAY);
                let stored: Vec<Quarantined> = self.stored.values().copied().collect();
                for host in &mut self.hosts {
                    host.reads.push((read_at, stored.clone()));
                }
            }
        }
    }

    /// Submits new requests. The poison request is sent repeatedly, with a pause of 15 s.
    fn submit_requests(&mut self) {
        let others =
            self.upstreams.len() as f64 * OTHER_REQUESTS_PER_SECOND * STEP as f64 / 1_000.0;
        let others = others as usize + usize::from(self.rng.random_bool(others.fract()));
        for _ in 0..others {
            let is_item = self.rng.random_bool(0.05);
            let request = Request {
                name: self.rng.random_range(1_000..u128::MAX),
                attempts: MAX_ATTEMPTS,
                events: 0,
                all_events: if is_item { ITEM_EVENTS } else { EVENTS },
                host: None,
            };
            self.attempts.push((self.now, request));
        }
        let is_pause = (20_000..35_000).contains(&self.now);
        if self.now.is_multiple_of(self.scenario.interval) && !is_pause {
            let poison = Request {
                name: POISON,
                attempts: self.scenario.runs,
                events: 0,
                all_events: EVENTS,
                host: None,
            };
            let copies = std::iter::repeat_n((self.now, poison), self.scenario.copies);
            self.attempts.extend(copies);
        }
        let (due, later) = self
            .attempts
            .drain(..)
            .partition(|(time, ..)| *time <= self.now);
        self.attempts = later;
        for (_, request) in due {
            self.send(request);
        }
    }

    /// Requeues an item until there is a slot. Callers give up instead.
    fn requeue_item(&mut self, request: Request) {
        if request.all_events == ITEM_EVENTS {
            self.attempts.push((self.now + 100, request));
        }
    }

    fn send(&mut self, request: Request) {
        let any_host = self.rng.random_range(0..self.hosts.len());
        let host = request.host.unwrap_or(any_host);
        let at = self.at();
        if self.hosts[host].must_wait(self.scenario.wait, request.name) {
            let host = Some(host);
            return self
                .attempts
                .push((self.now + STEP, Request { host, ..request }));
        }
        if self.scenario.strategy != Strategy::Stateless
            && self.hosts[host]
                .table
                .quarantined_until(request.name, at)
                .is_some()
        {
            self.outcome.false_positives += usize::from(request.name != POISON);
            return;
        }
        let (now, start) = (self.now, self.rng.random_range(0..self.upstreams.len()));
        let count = self.upstreams.len();
        let live = (0..count).map(|step| (start + step) % count);
        let live = live.filter(|index| self.upstreams[*index].up_at <= now);
        let least_loaded = live.min_by_key(|index| self.upstreams[*index].runs.len());
        let free = least_loaded.filter(|index| self.upstreams[*index].runs.len() < SLOTS);
        let Some(index) = free else {
            return self.requeue_item(request);
        };
        let is_late = self
            .threshold_at
            .is_some_and(|threshold| now > threshold + CONVERGENCE_TIME);
        if request.name == POISON && is_late && self.has_converged(host) {
            self.outcome.retries += 1;
        }
        let upstream = &mut self.upstreams[index];
        if upstream.name.is_empty() || upstream.up_at > 0 && upstream.runs.is_empty() {
            self.started += 1;
            upstream.name = format!("u{}", self.started);
        }
        upstream.runs.push(Run {
            host,
            request,
            began: now,
        });
    }
}
