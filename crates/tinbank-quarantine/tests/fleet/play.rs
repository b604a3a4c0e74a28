//! Hosts, upstreams, callers, and a request that ends each upstream that runs it, in virtual time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tinbank_base::id;
use tinbank_quarantine::{InFlight, Fingerprint, Quarantined, Update, Report, Table, table::Write};

const DEADLY: Fingerprint = 1;
/// Milliseconds of a step, until the first event and from one to the next, from the begin of a deadly run to the end of its upstream, and until that is back.
const STEP: u64 = 5;
const FIRST_EVENT: u64 = 45;
const EVENT: u64 = 25;
const DEADLY_RUN: u64 = 50;
const AWAY: u64 = 3_000;
/// Within this time every host has to know, and after a loss or a cut a host may not know yet.
pub const CONTACT: u64 = 3_000;
/// Longest time until a host has read a record of the store.
const READ: u64 = 460;
const SLOTS: usize = 8;
const LENGTH: u64 = 60_000;
/// When all hosts are lost: when two upstreams have ended, while the deadly request comes, and while it does not.
const ALL_LOST: [u64; 3] = [700, 12_000, 32_000];
/// Other requests a second for each upstream, with which six of ten slots are in use.
const OTHERS: f64 = 7.0;
/// How many times one of the others comes whose answer breaks.
const TRIES: u8 = 4;
/// Events of an answer, and of an item of a job, which comes again until it is whole.
const EVENTS: u64 = 28;
const ITEM_EVENTS: u64 = 200;

/// How hosts know of what happened at others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Nothing is remembered beyond a try.
    Nothing,
    /// Each host remembers what it saw.
    Alone,
    /// Hosts tell each other by datagrams.
    Told,
    /// Each report is a record of the store, which all read.
    Stored,
    /// Hosts tell each other, and what is held back stands in the store.
    ToldAndStored,
}

/// A fleet with a caller that comes again.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub way: Way,
    pub seed: u64,
    pub hosts: usize,
    /// Milliseconds between two tries of the deadly request, and copies that come at the same moment.
    pub every: u64,
    pub copies: usize,
    /// Datagrams that are lost, in percent.
    pub lost_percent: u32,
    /// A third of the hosts hears nobody, and not the store either, from 0.4 to 20 s.
    pub is_cut: bool,
    /// All hosts are lost, three times.
    pub all_lost: bool,
    /// A third of the upstreams end by themselves each two seconds.
    pub has_storm: bool,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Upstreams that ended.
    pub ended: usize,
    /// Tries sent later than the contact time after the third end, by hosts without a fault.
    pub retries: usize,
    /// Answers of others that broke, and others that were held back.
    pub broken: usize,
    pub held_wrongly: usize,
}

struct Host {
    table: Table,
    inbox: Vec<(u64, Update)>,
    /// Reads of what is held back, by the time at which they are done.
    reads: Vec<(u64, Vec<Quarantined>)>,
}

/// A request on its way. What it has of its answer it keeps when it comes again.
#[derive(Clone, Copy)]
struct Request {
    name: Fingerprint,
    tries: u8,
    /// Events that it has, and that it wants.
    events: u64,
    all_events: u64,
}

struct Run {
    host: usize,
    request: Request,
    began: u64,
}

impl Run {
    /// Events that the caller has now.
    fn reached(&self, now: u64) -> u64 {
        let running = now.saturating_sub(self.began + FIRST_EVENT);
        self.request.events + running / EVENT
    }
}

#[derive(Default)]
struct Upstream {
    name: String,
    back_at: u64,
    runs: Vec<Run>,
}

struct World {
    play: Play,
    random: StdRng,
    start: Instant,
    now: u64,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    starts: usize,
    stored: BTreeMap<Fingerprint, Quarantined>,
    reports: Vec<Update>,
    tries: Vec<(u64, Request)>,
    third_at: Option<u64>,
    outcome: Outcome,
}

impl Play {
    pub fn run(self) -> Outcome {
        let hosts = (0..self.hosts).map(|_| Host::new()).collect();
        let upstreams = self.hosts.max(9) * 3 / 2;
        let mut world = World {
            play: self,
            random: StdRng::seed_from_u64(self.seed),
            start: Instant::now(),
            now: 0,
            hosts,
            upstreams: (0..upstreams).map(|_| Upstream::default()).collect(),
            starts: 0,
            stored: BTreeMap::new(),
            reports: Vec::new(),
            tries: Vec::new(),
            third_at: None,
            outcome: Outcome::default(),
        };
        while world.now < LENGTH {
            world.step();
            world.now += STEP;
        }
        world.outcome
    }
}

impl Host {
    fn new() -> Self {
        Self {
            table: Table::default(),
            inbox: Vec::new(),
            reads: Vec::new(),
        }
    }
}

impl World {
    fn at(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn is_cut(&self, host: usize) -> bool {
        let in_time = (400..20_000).contains(&self.now);
        self.play.is_cut && in_time && host.is_multiple_of(3)
    }

    /// True if a host has had no fault for the contact time.
    fn is_in_touch(&self, host: usize) -> bool {
        let after = |at: &u64| (*at..at + CONTACT).contains(&self.now);
        let was_cut = (400..20_000 + CONTACT).contains(&self.now) && host.is_multiple_of(3);
        !(self.play.is_cut && was_cut || self.play.all_lost && ALL_LOST.iter().any(after))
    }

    fn step(&mut self) {
        if self.play.all_lost && ALL_LOST.contains(&self.now) {
            self.lose_all();
        }
        self.hear();
        self.end_upstreams();
        self.finish_runs();
        self.write();
        self.arrive();
    }

    fn lose_all(&mut self) {
        for host in 0..self.hosts.len() {
            self.hosts[host] = Host::new();
            let read_at = self.now + 100;
            match self.play.way {
                Way::ToldAndStored => {
                    let held = self.stored.values().copied().collect();
                    self.hosts[host].reads.push((read_at, held));
                }
                Way::Stored => {
                    let reports = self.reports.iter().map(|it| (read_at, it.clone()));
                    self.hosts[host].inbox = reports.collect();
                }
                Way::Nothing | Way::Alone | Way::Told => {}
            }
        }
    }

    fn hear(&mut self) {
        let (now, at) = (self.now, self.at());
        for index in 0..self.hosts.len() {
            if self.is_cut(index) {
                continue;
            }
            let host = &mut self.hosts[index];
            let (due, later) = host.inbox.drain(..).partition(|(time, _)| *time <= now);
            host.inbox = later;
            for (_, news) in due {
                match news {
                    Update::Ended(report) => drop(host.table.blame(&report, at)),
                    Update::Survived(request) => drop(host.table.clear(request)),
                }
            }
            let (due, later) = host.reads.drain(..).partition(|(time, _)| *time <= now);
            host.reads = later;
            due.into_iter()
                .for_each(|(_, held): (u64, Vec<Quarantined>)| drop(host.table.list_all(&held, at)));
        }
    }

    fn end_upstreams(&mut self) {
        for index in 0..self.upstreams.len() {
            let upstream = &mut self.upstreams[index];
            let is_deadly =
                |run: &Run| run.request.name == DEADLY && self.now >= run.began + DEADLY_RUN;
            let by_request = upstream.runs.iter().any(is_deadly);
            let by_itself = self.play.has_storm
                && self.now.is_multiple_of(2_000)
                && index as u64 % 3 == self.now / 2_000 % 3;
            if !by_request && !by_itself {
                continue;
            }
            upstream.back_at = self.now + AWAY;
            let name = id::Instance::from(upstream.name.as_str());
            let runs = std::mem::take(&mut upstream.runs);
            self.outcome.ended += usize::from(by_request);
            if by_request && self.outcome.ended == 3 {
                self.third_at = Some(self.now);
            }
            let mut by_host: BTreeMap<usize, Report> = BTreeMap::new();
            for run in runs {
                let report = by_host.entry(run.host).or_insert_with(|| Report {
                    upstream: name.clone(),
                    requests: Default::default(),
                });
                report.requests.push(InFlight {
                    request: run.request.name,
                    reached: run.reached(self.now),
                });
                if run.request.name != DEADLY {
                    self.outcome.broken += 1;
                    self.come_again(&run);
                }
            }
            let at = self.at();
            for (host, report) in by_host {
                if self.play.way != Way::Nothing {
                    self.hosts[host].table.blame(&report, at);
                }
                self.tell(host, Update::Ended(report));
            }
        }
    }

    fn finish_runs(&mut self) {
        for index in 0..self.upstreams.len() {
            let now = self.now;
            let runs = self.upstreams[index].runs.drain(..);
            let (done, left) = runs.partition(|run| {
                run.request.name != DEADLY && run.reached(now) >= run.request.all_events
            });
            self.upstreams[index].runs = left;
            for run in done {
                if self.hosts[run.host].table.clear(run.request.name).is_some() {
                    self.tell(run.host, Update::Survived(run.request.name));
                }
            }
        }
    }

    /// A caller comes again a few times, and goes on where it stands every second time; an item always does.
    fn come_again(&mut self, run: &Run) {
        let is_item = run.request.all_events == ITEM_EVENTS;
        if run.request.tries == 1 && !is_item {
            return;
        }
        let goes_on = is_item || self.random.random_bool(0.5);
        let request = Request {
            tries: run.request.tries - u8::from(!is_item),
            events: if goes_on { run.reached(self.now) } else { 0 },
            ..run.request
        };
        self.tries.push((self.now + 100, request));
    }

    /// News reach the others by the way that is played.
    fn tell(&mut self, from: usize, news: Update) {
        if self.play.way == Way::Stored && !self.is_cut(from) {
            self.reports.push(news.clone());
        }
        for host in 0..self.hosts.len() {
            let lost = self.random.random_range(0..100) < self.play.lost_percent;
            let again_lost = self.random.random_range(0..100) < self.play.lost_percent;
            let delay = match (self.play.way, lost, again_lost) {
                (Way::Nothing | Way::Alone, ..) | (Way::Told | Way::ToldAndStored, true, true) => {
                    continue;
                }
                (Way::Stored, ..) => self.random.random_range(10..READ),
                (_, true, false) => 180,
                (_, false, _) => self.random.random_range(31..50),
            };
            if host != from && !self.is_cut(from) && !self.is_cut(host) {
                self.hosts[host]
                    .inbox
                    .push((self.now + delay, news.clone()));
            }
        }
    }

    /// The first hosts of three failure domains write what is held back.
    fn write(&mut self) {
        if self.play.way != Way::ToldAndStored {
            return;
        }
        let at = self.at();
        for host in 0..3 {
            if self.is_cut(host) {
                continue;
            }
            for write in self.hosts[host].table.writes(at) {
                self.hosts[host].table.written(write);
                match write {
                    Write::Hold(held) => self.stored.insert(held.request, held),
                    Write::Lift(request) => self.stored.remove(&request),
                };
                let read_at = self.now + self.random.random_range(10..READ);
                let held: Vec<Quarantined> = self.stored.values().copied().collect();
                for host in &mut self.hosts {
                    host.reads.push((read_at, held.clone()));
                }
            }
        }
    }

    /// The deadly request comes again and again, but for 15 s of calm.
    fn arrive(&mut self) {
        let others = self.upstreams.len() as f64 * OTHERS * STEP as f64 / 1_000.0;
        let others = others as usize + usize::from(self.random.random_bool(others.fract()));
        for _ in 0..others {
            let is_item = self.random.random_bool(0.05);
            let request = Request {
                name: self.random.random_range(1_000..u128::MAX),
                tries: TRIES,
                events: 0,
                all_events: if is_item { ITEM_EVENTS } else { EVENTS },
            };
            self.tries.push((self.now, request));
        }
        let is_calm = (20_000..35_000).contains(&self.now);
        if self.now.is_multiple_of(self.play.every) && !is_calm {
            let deadly = Request {
                name: DEADLY,
                tries: 1,
                events: 0,
                all_events: EVENTS,
            };
            let copies = std::iter::repeat_n((self.now, deadly), self.play.copies);
            self.tries.extend(copies);
        }
        let (due, later) = self
            .tries
            .drain(..)
            .partition(|(time, ..)| *time <= self.now);
        self.tries = later;
        for (_, request) in due {
            self.send(request);
        }
    }

    /// An item waits for a slot, a caller leaves.
    fn wait(&mut self, request: Request) {
        if request.all_events == ITEM_EVENTS {
            self.tries.push((self.now + 100, request));
        }
    }

    fn send(&mut self, request: Request) {
        let host = self.random.random_range(0..self.hosts.len());
        let at = self.at();
        if self.play.way != Way::Nothing
            && self.hosts[host]
                .table
                .held_until(request.name, at)
                .is_some()
        {
            self.outcome.held_wrongly += usize::from(request.name != DEADLY);
            return;
        }
        let (now, start) = (self.now, self.random.random_range(0..self.upstreams.len()));
        let count = self.upstreams.len();
        let live = (0..count).map(|step| (start + step) % count);
        let live = live.filter(|index| self.upstreams[*index].back_at <= now);
        let least = live.min_by_key(|index| self.upstreams[*index].runs.len());
        let free = least.filter(|index| self.upstreams[*index].runs.len() < SLOTS);
        let Some(index) = free else {
            return self.wait(request);
        };
        let is_late = self.third_at.is_some_and(|third| now > third + CONTACT);
        if request.name == DEADLY && is_late && self.is_in_touch(host) {
            self.outcome.retries += 1;
        }
        let upstream = &mut self.upstreams[index];
        if upstream.name.is_empty() || upstream.back_at > 0 && upstream.runs.is_empty() {
            self.starts += 1;
            upstream.name = format!("u{}", self.starts);
        }
        upstream.runs.push(Run {
            host,
            request,
            began: now,
        });
    }
}
