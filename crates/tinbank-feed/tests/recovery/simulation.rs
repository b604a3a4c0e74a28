//! Simulation of a fleet whose hosts all lost power and restart.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tinbank_allocator::{
    Directory,
    directory::{Capacity, Peer},
};
use tinbank_feed::{
    Backoff, ResponseTimeout, SourceSelector,
    source::{self, FirstDelegate},
};

use crate::store::{Answer, Outage, Store};

const FAILURE_DOMAINS: usize = 5;
/// One in this many hosts is strong.
const HOSTS_PER_STRONG: usize = 5;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a delegate delays its response until there is an update.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);
/// Size of a list entry, in the store and in messages between hosts.
const ENTRY_BYTES: usize = 300;
const MESSAGE_ENTRY_BYTES: usize = 70;
/// Size of one page of the log of jobs, which delegates read.
const JOBS_PAGE: usize = 1 << 20;
/// Ratio of the size of a configuration in the store to its size in messages.
const COMPRESSION: usize = 3;
/// Throughput of one core: decoding answers of the store, and encoding and decoding messages between hosts.
const STORE_DECODE_BYTES_PER_SECOND: f64 = 30e6;
const ENCODE_BYTES_PER_SECOND: f64 = 350e6;
const DECODE_BYTES_PER_SECOND: f64 = 95e6;
/// End of the simulation if some hosts don't recover.
const TIME_LIMIT: Duration = Duration::from_secs(30);
const SEED: u64 = 271;

/// Features of the design, each of which can be disabled.
#[derive(Clone, Copy, Debug)]
pub struct Features {
    /// Only delegates read the store.
    pub delegates: bool,
    /// The timeout of a read doubles each time that it expires.
    pub adaptive_timeout: bool,
    /// Pauses between retries grow and are random.
    pub backoff: bool,
    /// A host receives the list of hosts from a first delegate when it starts.
    pub bootstrap: bool,
    /// The first delegate of a failure domain reads the lists for the other ones, and a host receives only the upstreams of its
    /// own failure domain.
    pub scoped_lists: bool,
    /// The log of jobs is read after the lists.
    pub lists_first: bool,
    /// The fallback to the store is delayed by more jitter in a larger fleet.
    pub jitter: bool,
}

impl Default for Features {
    fn default() -> Self {
        Self {
            delegates: true,
            adaptive_timeout: true,
            backoff: true,
            bootstrap: true,
            scoped_lists: true,
            lists_first: true,
            jitter: true,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub hosts: usize,
    pub config_bytes: usize,
    pub upstreams: usize,
    /// Entries of a list in one answer of the store.
    pub page: usize,
    /// Size of the log of jobs.
    pub jobs_bytes: usize,
    pub outage: Outage,
    pub features: Features,
}

#[derive(Debug)]
pub struct Report {
    /// Time until 95 in 100 hosts serve.
    pub p95: Duration,
    pub all: Duration,
    pub calls: usize,
    pub refused: usize,
    pub bytes: usize,
    /// Lower bound of the bytes read from the store: each host reads the first delegates, these read the lists of hosts and
    /// upstreams, and each delegate reads the configuration and the jobs.
    pub needed_bytes: usize,
}

/// What a host reads next from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    FirstDelegates,
    Hosts(usize),
    Config,
    Upstreams(usize),
    /// Remaining bytes of the log of jobs.
    Jobs(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A host makes its next call to the store.
    Call(usize),
    /// A response of the store was received in full.
    Read(usize),
    /// A first delegate reads the next page of the upstreams, concurrently with the list of hosts.
    CallUpstreams(usize),
    /// That page was received in full.
    ReadUpstreams(usize),
    /// A call failed. The flag says whether it timed out.
    Failed(usize, bool),
    /// A host requests the list of hosts from a first delegate.
    Bootstrap(usize),
    /// A host received the list of hosts.
    ReceivedHosts(usize),
    /// A host requests an update from a delegate.
    Follow(usize),
    /// A host received an update with everything that it needs to serve.
    ReceivedUpdate(usize),
    /// A delegate had no update to send.
    NoUpdate(usize),
}

struct Host {
    peer: Peer,
    step: Step,
    backoff: Backoff,
    timeout: ResponseTimeout,
    selector: Option<SourceSelector>,
    knows_hosts: bool,
    has_config: bool,
    /// Remaining pages of the upstreams, read concurrently with the list of hosts.
    pages_left: usize,
    /// First delegates from which it has requested the list of hosts.
    bootstrap_attempts: usize,
    reads_store: bool,
    /// Whether it has fallen back to reading the store.
    has_fallen_back: bool,
    /// When its link is free again.
    free_at: Instant,
    /// Followers whose requests wait for its next update, and until when.
    followers: Vec<(usize, Instant)>,
    /// Hosts that wait for its list of hosts.
    bootstrapping: Vec<usize>,
    serves_at: Option<Instant>,
}

struct Simulation {
    fleet: Fleet,
    now: Instant,
    hosts: Vec<Host>,
    directory: Directory,
    /// First delegates, as registered in the store.
    first_delegates: Vec<FirstDelegate>,
    store: Store,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    rng: StdRng,
}

/// Runs the simulation until all hosts serve, or until the time limit.
pub fn simulate(fleet: &Fleet) -> Report {
    let started_at = Instant::now();
    let mut simulation = Simulation::new(*fleet, started_at);
    while let Some(Reverse((at, event))) = simulation.events.pop() {
        let is_over = simulation.hosts.iter().all(|host| host.serves_at.is_some());
        if is_over || at > started_at + TIME_LIMIT {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.report(started_at)
}

impl Simulation {
    fn new(fleet: Fleet, started_at: Instant) -> Self {
        let mut rng = StdRng::seed_from_u64(SEED);
        let hosts = (0..fleet.hosts).map(|index| Host::new(index, fleet.features));
        let hosts: Vec<Host> = hosts.collect();
        let mut directory = Directory::default();
        directory.set_hosts(hosts.iter().map(|host| host.peer.clone()).collect());
        let domains = directory.failure_domains("d0", 0);
        let domains = domains.into_iter().filter(|_| fleet.hosts > 0);
        let first_delegates = domains.filter_map(|failure_domain| {
            let address = directory.allocator(&failure_domain, started_at)?;
            Some(FirstDelegate {
                failure_domain,
                address,
            })
        });
        let first_delegates = first_delegates.collect();
        let starts = (0..fleet.hosts).map(|host| {
            let start = started_at + rng.random_range(Duration::ZERO..Duration::from_millis(300));
            Reverse((start, Event::Call(host)))
        });
        Self {
            events: starts.collect(),
            store: Store::new(fleet.outage, started_at),
            now: started_at,
            fleet,
            hosts,
            directory,
            first_delegates,
            rng,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(host) => self.call(host),
            Event::Read(host) => self.on_read(host),
            Event::CallUpstreams(host) => self.call_upstreams(host),
            Event::ReadUpstreams(host) => self.read_upstreams(host),
            Event::Failed(host, is_timeout) => self.on_failure(host, is_timeout),
            Event::Bootstrap(host) => self.bootstrap_hosts(host),
            Event::ReceivedHosts(host) => self.on_hosts(host),
            Event::Follow(host) => self.follow(host),
            Event::ReceivedUpdate(host) => self.serve(host),
            Event::NoUpdate(host) => self.on_no_update(host),
        }
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn bytes(&self, step: Step) -> usize {
        let of_page = |total: usize, page: usize| {
            (total - page * self.fleet.page).min(self.fleet.page) * ENTRY_BYTES
        };
        match step {
            Step::FirstDelegates => FAILURE_DOMAINS * ENTRY_BYTES,
            Step::Hosts(page) => of_page(self.fleet.hosts, page),
            Step::Config => self.fleet.config_bytes,
            Step::Upstreams(page) => of_page(self.fleet.upstreams, page),
            Step::Jobs(left) => left.min(JOBS_PAGE),
        }
    }

    fn call(&mut self, index: usize) {
        let reads_jobs = matches!(self.hosts[index].step, Step::Jobs(_));
        if self.hosts[index].serves_at.is_some() && !reads_jobs {
            return;
        }
        let bytes = self.bytes(self.hosts[index].step);
        let until = self.now + self.hosts[index].timeout.duration();
        match self.store.call(self.now, bytes) {
            Answer::At(at) if at <= until => {
                let received_at = at
                    + self.hosts[index].transfer(bytes)
                    + self.hosts[index].work(bytes, STORE_DECODE_BYTES_PER_SECOND);
                self.schedule(received_at, Event::Read(index));
            }
            Answer::Refused(at) => self.schedule(at, Event::Failed(index, false)),
            Answer::At(_) | Answer::Never => self.schedule(until, Event::Failed(index, true)),
        }
    }

    fn on_read(&mut self, index: usize) {
        let pages = |total: usize| total.div_ceil(self.fleet.page);
        let hosts = pages(self.fleet.hosts);
        let upstreams = pages(self.fleet.upstreams);
        let jobs = self.fleet.jobs_bytes;
        let features = self.fleet.features;
        let is_first = self.is_first(index);
        let is_delegate = self.is_delegate(index);
        let host = &mut self.hosts[index];
        host.backoff.succeeded();
        host.timeout.on_response();
        host.step = match host.step {
            Step::FirstDelegates => {
                host.step = Step::Hosts(0);
                if is_first && features.scoped_lists {
                    host.pages_left = upstreams;
                    self.schedule(self.now, Event::CallUpstreams(index));
                }
                return self.bootstrap_hosts(index);
            }
            Step::Hosts(page) if page + 1 < hosts => Step::Hosts(page + 1),
            Step::Hosts(_) => return self.on_hosts(index),
            Step::Config if features.delegates && !features.lists_first && is_delegate => {
                Step::Jobs(jobs)
            }
            Step::Config
                if features.scoped_lists
                    && features.delegates
                    && !is_first
                    && !host.has_fallen_back =>
            {
                return self.follow(index);
            }
            Step::Config if is_first && features.bootstrap && features.scoped_lists => {
                host.has_config = true;
                return self.serve_once_known(index);
            }
            Step::Config => Step::Upstreams(0),
            Step::Upstreams(page) if page + 1 < upstreams => Step::Upstreams(page + 1),
            Step::Upstreams(_) => return self.serve(index),
            Step::Jobs(left) if left > JOBS_PAGE => Step::Jobs(left - JOBS_PAGE),
            Step::Jobs(_) if host.serves_at.is_some() => return,
            Step::Jobs(_) => Step::Upstreams(0),
        };
        self.call(index);
    }

    fn call_upstreams(&mut self, index: usize) {
        let bytes = self.fleet.page.min(self.fleet.upstreams) * ENTRY_BYTES;
        let until = self.now + self.hosts[index].timeout.duration();
        match self.store.call(self.now, bytes) {
            Answer::At(at) if at <= until => {
                let host = &self.hosts[index];
                let received_at =
                    at + host.transfer(bytes) + host.work(bytes, STORE_DECODE_BYTES_PER_SECOND);
                self.schedule(received_at, Event::ReadUpstreams(index));
            }
            Answer::Refused(at) => self.schedule(at, Event::CallUpstreams(index)),
            Answer::At(_) | Answer::Never => self.schedule(until, Event::CallUpstreams(index)),
        }
    }

    fn read_upstreams(&mut self, index: usize) {
        self.hosts[index].pages_left -= 1;
        match self.hosts[index].pages_left {
            0 => self.serve_once_known(index),
            _ => self.call_upstreams(index),
        }
    }

    /// Makes a first delegate serve once it knows the configuration and the upstreams.
    fn serve_once_known(&mut self, index: usize) {
        let host = &self.hosts[index];
        if host.has_config && host.pages_left == 0 {
            self.serve(index);
        }
    }

    /// Requests the list of hosts from a first delegate, or reads it from the store.
    fn bootstrap_hosts(&mut self, index: usize) {
        if self.hosts[index].knows_hosts {
            return;
        }
        let candidates =
            source::bootstrap_candidates(&self.first_delegates, &self.hosts[index].peer);
        let attempts = self.hosts[index].bootstrap_attempts;
        // A first delegate reads the list from the store.
        let is_first = self.is_first(index);
        let mut candidates = candidates.iter().filter(|_| !is_first);
        let Some(delegate) = candidates.nth(attempts).and_then(|it| self.index(*it)) else {
            return self.call(index);
        };
        self.hosts[index].bootstrap_attempts += 1;
        if self.hosts[delegate].knows_hosts {
            return self.send_hosts(delegate, index);
        }
        self.hosts[delegate].bootstrapping.push(index);
        self.schedule(self.now + FOLLOW_WAIT, Event::Bootstrap(index));
    }

    fn send_hosts(&mut self, from: usize, to: usize) {
        let bytes = self.fleet.hosts * MESSAGE_ENTRY_BYTES;
        let arrived = self.send(from, to, bytes);
        self.schedule(arrived, Event::ReceivedHosts(to));
    }

    /// Sends bytes to another host and returns when they arrive.
    fn send(&mut self, from: usize, to: usize, bytes: usize) -> Instant {
        let sent = self.hosts[from].transfer(bytes)
            + self.hosts[from].work(bytes, ENCODE_BYTES_PER_SECOND);
        let out = self.now.max(self.hosts[from].free_at) + sent;
        self.hosts[from].free_at = out;
        out + self.hosts[to].transfer(bytes) + self.hosts[to].work(bytes, DECODE_BYTES_PER_SECOND)
    }

    fn is_first(&self, index: usize) -> bool {
        let own = &self.hosts[index].peer;
        let first = self.directory.allocator(&own.failure_domain, self.now);
        first == Some(own.address)
    }

    /// Handles the list of hosts: a delegate reads on, any other host follows one.
    fn on_hosts(&mut self, index: usize) {
        if self.hosts[index].knows_hosts {
            return;
        }
        self.hosts[index].knows_hosts = true;
        for host in std::mem::take(&mut self.hosts[index].bootstrapping) {
            if !self.hosts[host].knows_hosts {
                self.send_hosts(index, host);
            }
        }
        let selector = SourceSelector::new(self.jitter_hosts(), self.now, &mut self.rng);
        self.hosts[index].selector = Some(selector);
        self.hosts[index].step = Step::Config;
        if self.is_delegate(index) || !self.fleet.features.delegates {
            self.hosts[index].reads_store = true;
            return self.call(index);
        }
        self.follow(index);
    }

    /// Returns the fleet size by which the jitter of the fallback to the store is scaled.
    fn jitter_hosts(&self) -> usize {
        match self.fleet.features.jitter {
            true => self.fleet.hosts,
            false => 1,
        }
    }

    fn is_delegate(&self, index: usize) -> bool {
        let own = &self.hosts[index].peer;
        let delegates = self.directory.delegates(&own.failure_domain, self.now);
        delegates.iter().any(|it| it.address == own.address)
    }

    fn on_failure(&mut self, index: usize, is_timeout: bool) {
        let features = self.fleet.features;
        let host = &mut self.hosts[index];
        if is_timeout && features.adaptive_timeout {
            host.timeout.on_timeout();
        }
        let retry_at = match features.backoff {
            true => host.backoff.failed(self.now, &mut self.rng),
            false => self.now + Duration::from_millis(150),
        };
        self.schedule(retry_at, Event::Call(index));
    }

    fn follow(&mut self, index: usize) {
        let now = self.now;
        if self.hosts[index].serves_at.is_some() {
            return;
        }
        let candidates = source::candidates(&self.directory, &self.hosts[index].peer, now);
        let selector = self.hosts[index].selector.as_mut();
        let delegate = selector.and_then(|it| it.select(&candidates, now));
        let delegate = delegate.and_then(|it| self.index(it));
        let Some(delegate) = delegate else {
            return self.schedule(now + FOLLOW_WAIT, Event::NoUpdate(index));
        };
        if self.hosts[delegate].serves_at.is_some() {
            return self.send_update(delegate, index);
        }
        let until = now + FOLLOW_WAIT;
        self.hosts[delegate].followers.push((index, until));
        self.schedule(until, Event::NoUpdate(index));
    }

    fn send_update(&mut self, from: usize, to: usize) {
        let config = match self.hosts[to].reads_store {
            true => 0,
            false => self.fleet.config_bytes / COMPRESSION,
        };
        let entries = match self.fleet.features.scoped_lists && !self.is_delegate(to) {
            true => self.fleet.upstreams / FAILURE_DOMAINS,
            false => self.fleet.upstreams + self.fleet.hosts,
        };
        let bytes = config + entries * MESSAGE_ENTRY_BYTES;
        let arrived = self.send(from, to, bytes);
        self.schedule(arrived, Event::ReceivedUpdate(to));
    }

    fn on_no_update(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if host.serves_at.is_some() {
            return;
        }
        let Some(selector) = &mut host.selector else {
            return;
        };
        selector.advance(now);
        if selector.must_read_store(now) && !host.has_fallen_back {
            host.reads_store = true;
            host.has_fallen_back = true;
            self.schedule(now, Event::Call(index));
        }
        self.schedule(now, Event::Follow(index));
    }

    fn serve(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if host.serves_at.is_some() {
            return;
        }
        host.serves_at = Some(now);
        let followers = std::mem::take(&mut host.followers);
        if self.fleet.features.lists_first && self.is_delegate(index) {
            self.hosts[index].step = Step::Jobs(self.fleet.jobs_bytes);
            self.schedule(now, Event::Call(index));
        }
        for (follower, until) in followers {
            if until > now {
                self.send_update(index, follower);
            }
        }
    }

    fn index(&self, address: SocketAddr) -> Option<usize> {
        let mut hosts = self.hosts.iter();
        hosts.position(|host| host.peer.address == address)
    }

    fn report(&self, started_at: Instant) -> Report {
        let never = started_at + TIME_LIMIT;
        let mut times: Vec<Instant> = self
            .hosts
            .iter()
            .map(|host| host.serves_at.unwrap_or(never))
            .collect();
        times.sort();
        let p95 = times[(times.len() * 95).div_ceil(100) - 1];
        let domains = FAILURE_DOMAINS.min(self.hosts.len());
        let delegates = self.hosts.len().min(domains * 4);
        let hosts = self.hosts.len() * ENTRY_BYTES;
        let upstreams = self.fleet.upstreams * ENTRY_BYTES;
        let of_delegate = self.fleet.config_bytes + self.fleet.jobs_bytes;
        Report {
            p95: p95 - started_at,
            all: times[times.len() - 1] - started_at,
            calls: self.store.calls,
            refused: self.store.refused,
            bytes: self.store.bytes,
            needed_bytes: delegates * of_delegate
                + domains * (upstreams + hosts + self.hosts.len() * ENTRY_BYTES),
        }
    }
}

impl Host {
    fn new(index: usize, features: Features) -> Self {
        let [high, low] = (index as u16).to_be_bytes();
        let capacity = match index % HOSTS_PER_STRONG {
            0 => Capacity {
                cpu_millis: 500,
                memory_mb: 512,
                link_mbps: 600,
            },
            _ => Capacity {
                cpu_millis: 120,
                memory_mb: 160,
                link_mbps: 30,
            },
        };
        let peer = Peer {
            address: SocketAddr::from(([10, 0, high, low], 7000)),
            callers: SocketAddr::from(([10, 0, high, low], 80)),
            failure_domain: format!("d{}", index / HOSTS_PER_STRONG % FAILURE_DOMAINS),
            capacity,
        };
        Self {
            peer,
            step: if features.bootstrap {
                Step::FirstDelegates
            } else {
                Step::Hosts(0)
            },
            backoff: Backoff::default(),
            timeout: ResponseTimeout::new(ANSWER_TIMEOUT),
            selector: None,
            knows_hosts: false,
            has_config: false,
            pages_left: 0,
            bootstrap_attempts: 0,
            reads_store: false,
            has_fallen_back: false,
            free_at: Instant::now(),
            followers: Vec::new(),
            bootstrapping: Vec::new(),
            serves_at: None,
        }
    }

    /// Returns the transfer time of bytes on the host's link.
    fn transfer(&self, bytes: usize) -> Duration {
        let megabits = bytes as f64 * 8.0 / 1e6;
        Duration::from_secs_f64(megabits / f64::from(self.peer.capacity.link_mbps))
    }

    /// Returns the processing time of bytes, at a throughput of `bytes_per_second` for each core.
    fn work(&self, bytes: usize, bytes_per_second: f64) -> Duration {
        let cores = f64::from(self.peer.capacity.cpu_millis) / 1_000.0;
        Duration::from_secs_f64(bytes as f64 / bytes_per_second / cores)
    }
}
