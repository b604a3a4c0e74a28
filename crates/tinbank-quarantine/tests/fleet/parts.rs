//! Simulation of hosts, upstreams, and requests that are no two alike, some of them with a part of their prompts that crashes each
//! upstream that begins to answer, in virtual time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use smallvec::{SmallVec, smallvec};
use tinbank_base::id;
use tinbank_quarantine::{
    CrashReport, Fingerprint, InFlight, Quarantined, Source, Table, Update,
    table::{Permission, Write},
};

/// Times in milliseconds: a simulation step, from the sending of a request to the crash, until an answer is beyond its start, until it
/// is complete, and from the crash of an upstream until its address is probed and until it runs again.
const STEP: u64 = 5;
const TIME_TO_CRASH: u64 = 100;
const START_TIME: u64 = 245;
const ANSWER_TIME: u64 = 700;
const PROBE_TIME: u64 = 30;
const RESTART_TIME: u64 = 3_000;
const DURATION: u64 = 40_000;
/// Time after a fault within which every host has to know all crashes.
const CONVERGENCE_TIME: u64 = 3_000;
/// Crashes that the aim allows before requests with the part have to stop.
const ALLOWED_CRASHES: usize = 5;
/// When a third of the hosts is cut off from all, and when all hosts restart.
const PARTITION: std::ops::Range<u64> = 300..15_000;
const RESTARTS_AT: [u64; 3] = [350, 9_000, 24_000];
/// Longest time until a host has read a record of the store.
const STORE_READ_DELAY: u64 = 460;
const SLOTS: usize = 8;
/// Requests per second for each 12 hosts.
const SOUND_RATE: f64 = 60.0;
/// First parts of sound requests, and parts that follow them.
const FIRST_PARTS: u128 = 20;
const SECOND_PARTS: u128 = 423;
/// Fingerprints from which on there are second parts, parts that crash upstreams, and contents.
const SECOND: Fingerprint = 1_000;
const GUILTY: Fingerprint = 5_000;
const CONTENTS: Fingerprint = 10_000;

/// Which parts crash upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guilt {
    /// One behind a first part that sound requests have as well.
    SecondPart,
    /// Two behind the same first part.
    TwoSecondParts,
    /// A first part, behind which others follow.
    FirstPart,
    /// None; upstreams crash for other reasons only.
    Nothing,
}

/// A fleet with callers of sound requests and of such that crash upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub hosts: usize,
    pub guilt: Guilt,
    /// Requests with a guilty part per second for each 12 hosts.
    pub guilty_rate: f64,
    pub loss_percent: u32,
    /// A third of the hosts receives nothing for a while, neither from hosts nor from the store.
    pub is_partitioned: bool,
    /// All hosts restart three times.
    pub restarts_all: bool,
    /// Each two seconds, a third of the upstreams crashes for other reasons.
    pub has_crash_storm: bool,
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Upstreams that crashed on a guilty part.
    pub crashes: usize,
    /// Requests with a guilty part sent later than the convergence time after the fifth crash, by hosts without a recent fault.
    pub late: usize,
    /// Sound requests, and those of them that were refused because of a quarantine.
    pub sound: usize,
    pub refused: usize,
    /// The same from twice the convergence time after the fifth crash, for requests with the first part of guilty ones.
    pub sound_beside: usize,
    pub refused_beside: usize,
}

#[derive(Default)]
struct Host {
    table: Table,
    probes: Vec<(u64, CrashReport)>,
    inbox: Vec<(u64, Update)>,
    reads: Vec<(u64, Vec<Quarantined>)>,
}

#[derive(Clone)]
struct Run {
    host: usize,
    parts: SmallVec<[Fingerprint; 2]>,
    content: Fingerprint,
    is_guilty: bool,
    sent: u64,
    is_beyond_start: bool,
}

#[derive(Default)]
struct Upstream {
    starts: usize,
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
    contents: Fingerprint,
    stored: BTreeMap<Fingerprint, Quarantined>,
    limit_at: Option<u64>,
    outcome: Outcome,
}

impl Scenario {
    pub fn run(self) -> Outcome {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut simulation = Simulation {
            scenario: self,
            start: Instant::now(),
            now: 0,
            hosts: (0..self.hosts).map(|_| Host::new(&mut rng)).collect(),
            upstreams: (0..self.hosts * 3 / 2)
                .map(|_| Upstream::default())
                .collect(),
            contents: CONTENTS,
            stored: BTreeMap::new(),
            limit_at: None,
            rng,
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
    fn new(rng: &mut StdRng) -> Self {
        Self {
            table: Table::with_trial_jitter(rng.random()),
            ..Self::default()
        }
    }
}

impl Simulation {
    fn at(&self, time: u64) -> Instant {
        self.start + Duration::from_millis(time)
    }

    fn is_partitioned(&self, host: usize) -> bool {
        self.scenario.is_partitioned && PARTITION.contains(&self.now) && host.is_multiple_of(3)
    }

    /// Returns whether a host has had no fault for the convergence time.
    fn has_converged(&self, host: usize) -> bool {
        let cut = PARTITION.start..PARTITION.end + CONVERGENCE_TIME;
        let was_cut =
            self.scenario.is_partitioned && cut.contains(&self.now) && host.is_multiple_of(3);
        let after = |at: &u64| (*at..at + CONVERGENCE_TIME).contains(&self.now);
        let has_restarted = self.scenario.restarts_all && RESTARTS_AT.iter().any(after);
        !was_cut && !has_restarted
    }

    fn step(&mut self) {
        if self.scenario.restarts_all && RESTARTS_AT.contains(&self.now) {
            self.restart_all();
        }
        self.receive();
        self.end_probes();
        self.crash_upstreams();
        self.advance_runs();
        self.write();
        let sound = self.arrivals(SOUND_RATE);
        (0..sound).for_each(|_| self.send_sound());
        if self.scenario.guilt != Guilt::Nothing {
            let guilty = self.arrivals(self.scenario.guilty_rate);
            (0..guilty).for_each(|_| self.send_guilty());
        }
    }

    /// Returns how many requests arrive in a step at a rate for each 12 hosts.
    fn arrivals(&mut self, rate: f64) -> usize {
        let expected = rate * self.scenario.hosts as f64 / 12.0 * STEP as f64 / 1_000.0;
        expected as usize + usize::from(self.rng.random_bool(expected.fract()))
    }

    fn restart_all(&mut self) {
        let stored: Vec<Quarantined> = self.stored.values().copied().collect();
        for host in &mut self.hosts {
            *host = Host::new(&mut self.rng);
            host.reads.push((self.now + 100, stored.clone()));
        }
        // The answers end with their hosts.
        self.upstreams.iter_mut().for_each(|it| it.runs.clear());
    }

    fn receive(&mut self) {
        let (now, at) = (self.now, self.at(self.now));
        for index in 0..self.hosts.len() {
            if self.is_partitioned(index) {
                continue;
            }
            let host = &mut self.hosts[index];
            for (_, update) in host.inbox.extract_if(.., |(time, _)| *time <= now) {
                match update {
                    Update::Crashed(report) => drop(host.table.record_crash(&report, at)),
                    Update::Cleared(subject) => drop(host.table.clear(subject)),
                    Update::TrialStarted { subject, source } => {
                        host.table.record_trial(source, subject, at);
                    }
                }
            }
            for (_, stored) in host.reads.extract_if(.., |(time, _)| *time <= now) {
                host.table.replace_stored(&stored, at);
            }
        }
    }

    fn end_probes(&mut self) {
        let (now, at) = (self.now, self.at(self.now));
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            let ended = host.probes.extract_if(.., |(time, _)| *time <= now);
            for (_, report) in ended.collect::<Vec<_>>() {
                self.hosts[index].table.record_crash(&report, at);
                self.broadcast(index, &Update::Crashed(report));
            }
        }
    }

    fn crash_upstreams(&mut self) {
        for index in 0..self.upstreams.len() {
            let now = self.now;
            let upstream = &mut self.upstreams[index];
            let is_due = |run: &Run| run.is_guilty && now >= run.sent + TIME_TO_CRASH;
            let by_part = upstream.runs.iter().any(is_due);
            let by_storm = self.scenario.has_crash_storm
                && now.is_multiple_of(2_000)
                && index as u64 % 3 == now / 2_000 % 3;
            if !by_part && !by_storm {
                continue;
            }
            let name = id::Instance::from(format!("u{index}.{}", upstream.starts));
            upstream.starts += 1;
            upstream.up_at = now + RESTART_TIME;
            let runs = std::mem::take(&mut upstream.runs);
            self.outcome.crashes += usize::from(by_part);
            if by_part && self.outcome.crashes == ALLOWED_CRASHES {
                self.limit_at = Some(now);
            }
            let mut reports: BTreeMap<usize, CrashReport> = BTreeMap::new();
            for run in runs {
                let report = reports.entry(run.host).or_insert_with(|| CrashReport {
                    upstream: name.clone(),
                    requests: SmallVec::new(),
                });
                report.requests.push(InFlight {
                    request: run.content,
                    source: Source::Caller,
                    reached: 0,
                    parts: if run.is_beyond_start {
                        smallvec![]
                    } else {
                        run.parts
                    },
                });
            }
            for (host, report) in reports {
                self.hosts[host].probes.push((now + PROBE_TIME, report));
            }
        }
    }

    fn advance_runs(&mut self) {
        let now = self.now;
        let mut started = Vec::new();
        for upstream in &mut self.upstreams {
            for run in &mut upstream.runs {
                if !run.is_guilty && !run.is_beyond_start && now >= run.sent + START_TIME {
                    run.is_beyond_start = true;
                    started.push(run.clone());
                }
            }
            upstream.runs.retain(|run| now < run.sent + ANSWER_TIME);
        }
        for run in started {
            let at = self.at(now);
            let table = &mut self.hosts[run.host].table;
            let cleared: Vec<Fingerprint> = run
                .parts
                .iter()
                .copied()
                .filter(|part| !table.record_sound_parts(&[*part], at).is_empty())
                .collect();
            for part in cleared {
                self.broadcast(run.host, &Update::Cleared(part));
            }
        }
    }

    /// Sends an update to the other hosts, twice.
    fn broadcast(&mut self, from: usize, update: &Update) {
        for host in 0..self.hosts.len() {
            let is_cut = self.is_partitioned(from) || self.is_partitioned(host);
            for resend_delay in [0, 150] {
                let is_lost = self.rng.random_range(0..100) < self.scenario.loss_percent;
                let at = self.now + resend_delay + self.rng.random_range(1..20);
                if host != from && !is_cut && !is_lost {
                    self.hosts[host].inbox.push((at, update.clone()));
                }
            }
        }
    }

    /// Writes what is quarantined to the store, at the first hosts of three failure domains.
    fn write(&mut self) {
        let at = self.at(self.now);
        for host in 0..3 {
            if self.is_partitioned(host) {
                continue;
            }
            for write in self.hosts[host].table.pending_writes(at) {
                self.hosts[host].table.confirm_write(write);
                match write {
                    Write::Quarantine(stored) => self.stored.insert(stored.subject, stored),
                    Write::Release(subject) => self.stored.remove(&subject),
                };
                let read_at = self.now + self.rng.random_range(10..STORE_READ_DELAY);
                let stored: Vec<Quarantined> = self.stored.values().copied().collect();
                for host in &mut self.hosts {
                    host.reads.push((read_at, stored.clone()));
                }
            }
        }
    }

    fn send_sound(&mut self) {
        let first = 1 + self.rng.random_range(0..FIRST_PARTS);
        let second = SECOND + self.rng.random_range(0..SECOND_PARTS);
        let is_sent = self.send(smallvec![first, second], false);
        self.outcome.sound += 1;
        self.outcome.refused += usize::from(!is_sent);
        let from = self.limit_at.map(|at| at + 2 * CONVERGENCE_TIME);
        if first == 1 && from.is_some_and(|from| self.now >= from) {
            self.outcome.sound_beside += 1;
            self.outcome.refused_beside += usize::from(!is_sent);
        }
    }

    fn send_guilty(&mut self) {
        let parts = match self.scenario.guilt {
            Guilt::SecondPart => smallvec![1, GUILTY],
            Guilt::TwoSecondParts => smallvec![1, GUILTY + self.rng.random_range(0..2)],
            Guilt::FirstPart => {
                smallvec![GUILTY, SECOND + self.rng.random_range(0..SECOND_PARTS)]
            }
            Guilt::Nothing => return,
        };
        self.send(parts, true);
    }

    /// Sends a request by a host to the least loaded upstream. Returns false if a quarantine prevents that.
    fn send(&mut self, parts: SmallVec<[Fingerprint; 2]>, is_guilty: bool) -> bool {
        let index = self.rng.random_range(0..self.hosts.len());
        let (now, at) = (self.now, self.at(self.now));
        self.contents += 1;
        let content = self.contents;
        let host = &mut self.hosts[index];
        let permission = host.table.permission(Source::Caller, content, &parts, at);
        if matches!(permission, Permission::Denied(_)) {
            return false;
        }
        let request = InFlight {
            request: content,
            source: Source::Caller,
            reached: 0,
            parts: parts.clone(),
        };
        let probes = host.probes.iter();
        let probed = probes.flat_map(|(_, it)| it.requests.iter().map(|run| (&it.upstream, run)));
        let probed: Vec<(&id::Instance, &InFlight)> = probed.collect();
        if host.table.parts_must_wait_for_probes(&request, &probed, at) {
            // It waits for less than its caller notices, and is refused if the part is quarantined then.
            return true;
        }
        let start = self.rng.random_range(0..self.upstreams.len());
        let count = self.upstreams.len();
        let live = (0..count).map(|step| (start + step) % count);
        let live = live.filter(|it| self.upstreams[*it].up_at <= now);
        let Some(chosen) = live.min_by_key(|it| self.upstreams[*it].runs.len()) else {
            return true;
        };
        if self.upstreams[chosen].runs.len() >= SLOTS {
            return true;
        }
        if permission == Permission::Trial {
            let source = Source::Caller;
            let table = &mut self.hosts[index].table;
            for subject in table.begin_trial(source, &parts, at) {
                self.broadcast(index, &Update::TrialStarted { subject, source });
            }
        }
        let is_late = self
            .limit_at
            .is_some_and(|limit| now > limit + CONVERGENCE_TIME);
        self.outcome.late += usize::from(is_guilty && is_late && self.has_converged(index));
        self.upstreams[chosen].runs.push(Run {
            host: index,
            parts,
            content,
            is_guilty,
            sent: now,
            is_beyond_start: false,
        });
        true
    }
}
