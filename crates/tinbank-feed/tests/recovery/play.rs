//! A fleet whose hosts all lost power and start again.

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
    Backoff, ResponseTimeout, Sources,
    source::{self, FirstDelegate},
};

use crate::store::{Answer, Outage, Store};

const FAILURE_DOMAINS: usize = 5;
/// One host in so many is strong.
const STRONG: usize = 5;
const USUAL_ANSWER: Duration = Duration::from_millis(700);
/// How long a delegate lets a follower wait for news.
const FOLLOW_WAIT: Duration = Duration::from_secs(1);
/// Bytes of an entry of a list at the store, and between hosts.
const ENTRY_BYTES: usize = 300;
const TOLD_BYTES: usize = 70;
/// Bytes of one read of the log of jobs, which delegates read.
const JOBS_PAGE: usize = 1 << 20;
/// A configuration between hosts, as a part of its size at the store.
const PACKED: usize = 3;
/// Bytes that a core reads in a second of what the store tells, and encodes and decodes of what hosts tell each other.
const READ_A_SECOND: f64 = 30e6;
const ENCODED_A_SECOND: f64 = 350e6;
const DECODED_A_SECOND: f64 = 95e6;
/// Longest time that is played.
const LONGEST: Duration = Duration::from_secs(30);
const SEED: u64 = 271;

/// Which parts of the design are in use.
#[derive(Clone, Copy, Debug)]
pub struct Way {
    /// Only delegates read the store.
    pub delegates: bool,
    /// A read that did not come in time is waited for longer.
    pub patient: bool,
    /// Pauses grow and differ by chance.
    pub backoff: bool,
    /// A host learns of the others from one that has read the whole list.
    pub introduced: bool,
    /// The first delegate of a failure domain reads the lists for the other ones, and a host is told of its own failure
    /// domain's upstreams.
    pub parts: bool,
    /// The log of jobs is read once the lists are known.
    pub lists_first: bool,
    /// The more hosts there are, the longer a host waits until it reads the store by itself.
    pub spread: bool,
}

impl Default for Way {
    fn default() -> Self {
        Self {
            delegates: true,
            patient: true,
            backoff: true,
            introduced: true,
            parts: true,
            lists_first: true,
            spread: true,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    pub hosts: usize,
    pub config_bytes: usize,
    pub upstreams: usize,
    /// Entries of a list in one answer.
    pub page: usize,
    /// Size of the log of jobs.
    pub jobs_bytes: usize,
    pub outage: Outage,
    pub way: Way,
}

#[derive(Debug)]
pub struct Report {
    /// Until 95 in 100 hosts serve.
    pub most: Duration,
    pub all: Duration,
    pub calls: usize,
    pub refused: usize,
    pub bytes: usize,
    /// What has to be read at least: by each host the names of the first delegates, by these the lists of hosts and
    /// upstreams, by each delegate the configuration and the jobs.
    pub needed_bytes: usize,
}

/// What a host reads, one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Leads,
    Hosts(usize),
    Config,
    Upstreams(usize),
    /// Bytes of the log of jobs that are left.
    Jobs(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A host makes its next call at the store.
    Call(usize),
    /// An answer of the store has come whole.
    Read(usize),
    /// A named first delegate reads the next page of the upstreams, beside the list of hosts.
    CallUpstreams(usize),
    /// That page has come whole.
    ReadUpstreams(usize),
    /// A call has failed; true if there was no answer.
    Failed(usize, bool),
    /// A host asks another one for the list of hosts.
    Ask(usize),
    /// A host has been told the list of hosts.
    Introduced(usize),
    /// A host asks a delegate.
    Follow(usize),
    /// A delegate has told a host all that it needs.
    Told(usize),
    /// A delegate had nothing to tell.
    Nothing(usize),
}

struct Host {
    peer: Peer,
    step: Step,
    backoff: Backoff,
    patience: ResponseTimeout,
    sources: Option<Sources>,
    knows_hosts: bool,
    has_config: bool,
    /// Pages of the upstreams that it reads beside the list of hosts.
    pages_left: usize,
    /// Those it has asked for the list of hosts.
    asked: usize,
    reads_store: bool,
    /// No delegate has told it anything for too long.
    is_alone: bool,
    /// When what it sends to others is out.
    free_at: Instant,
    /// Followers that wait for it to know something, and until when.
    waiting: Vec<(usize, Instant)>,
    /// Those that wait for it to know the hosts.
    asking: Vec<usize>,
    serves_at: Option<Instant>,
}

struct Play {
    fleet: Fleet,
    now: Instant,
    hosts: Vec<Host>,
    directory: Directory,
    /// The first delegates, as the store names them.
    leads: Vec<FirstDelegate>,
    store: Store,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    draw: StdRng,
}

/// Plays until all hosts serve, or for the longest time.
pub fn play(fleet: &Fleet) -> Report {
    let began = Instant::now();
    let mut play = Play::new(*fleet, began);
    while let Some(Reverse((at, event))) = play.events.pop() {
        let is_over = play.hosts.iter().all(|host| host.serves_at.is_some());
        if is_over || at > began + LONGEST {
            break;
        }
        play.now = at;
        play.take(event);
    }
    play.report(began)
}

impl Play {
    fn new(fleet: Fleet, began: Instant) -> Self {
        let mut draw = StdRng::seed_from_u64(SEED);
        let hosts = (0..fleet.hosts).map(|index| Host::new(index, fleet.way));
        let hosts: Vec<Host> = hosts.collect();
        let mut directory = Directory::default();
        directory.set_hosts(hosts.iter().map(|host| host.peer.clone()).collect());
        let domains = directory.failure_domains("d0", 0);
        let domains = domains.into_iter().filter(|_| fleet.hosts > 0);
        let leads = domains.filter_map(|failure_domain| {
            let address = directory.allocator(&failure_domain, began)?;
            Some(FirstDelegate {
                failure_domain,
                address,
            })
        });
        let leads = leads.collect();
        let starts = (0..fleet.hosts).map(|host| {
            let start = began + draw.random_range(Duration::ZERO..Duration::from_millis(300));
            Reverse((start, Event::Call(host)))
        });
        Self {
            events: starts.collect(),
            store: Store::new(fleet.outage, began),
            now: began,
            fleet,
            hosts,
            directory,
            leads,
            draw,
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Call(host) => self.call(host),
            Event::Read(host) => self.read(host),
            Event::CallUpstreams(host) => self.call_upstreams(host),
            Event::ReadUpstreams(host) => self.read_upstreams(host),
            Event::Failed(host, silent) => self.failed(host, silent),
            Event::Ask(host) => self.ask(host),
            Event::Introduced(host) => self.listed(host),
            Event::Follow(host) => self.follow(host),
            Event::Told(host) => self.serve(host),
            Event::Nothing(host) => self.nothing(host),
        }
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn bytes(&self, step: Step) -> usize {
        let of_page = |total: usize, page: usize| {
            (total - page * self.fleet.page).min(self.fleet.page) * ENTRY_BYTES
        };
        match step {
            Step::Leads => FAILURE_DOMAINS * ENTRY_BYTES,
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
        let until = self.now + self.hosts[index].patience.duration();
        match self.store.call(self.now, bytes) {
            Answer::At(at) if at <= until => {
                let whole = at
                    + self.hosts[index].transfer(bytes)
                    + self.hosts[index].work(bytes, READ_A_SECOND);
                self.at(whole, Event::Read(index));
            }
            Answer::Refused(at) => self.at(at, Event::Failed(index, false)),
            Answer::At(_) | Answer::Never => self.at(until, Event::Failed(index, true)),
        }
    }

    fn read(&mut self, index: usize) {
        let pages = |total: usize| total.div_ceil(self.fleet.page);
        let hosts = pages(self.fleet.hosts);
        let upstreams = pages(self.fleet.upstreams);
        let jobs = self.fleet.jobs_bytes;
        let way = self.fleet.way;
        let is_first = self.is_first(index);
        let is_delegate = self.is_delegate(index);
        let host = &mut self.hosts[index];
        host.backoff.succeeded();
        host.patience.on_response();
        host.step = match host.step {
            Step::Leads => {
                host.step = Step::Hosts(0);
                if is_first && way.parts {
                    host.pages_left = upstreams;
                    self.at(self.now, Event::CallUpstreams(index));
                }
                return self.ask(index);
            }
            Step::Hosts(page) if page + 1 < hosts => Step::Hosts(page + 1),
            Step::Hosts(_) => return self.listed(index),
            Step::Config if way.delegates && !way.lists_first && is_delegate => Step::Jobs(jobs),
            Step::Config if way.parts && way.delegates && !is_first && !host.is_alone => {
                return self.follow(index);
            }
            Step::Config if is_first && way.introduced && way.parts => {
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
        let until = self.now + self.hosts[index].patience.duration();
        match self.store.call(self.now, bytes) {
            Answer::At(at) if at <= until => {
                let host = &self.hosts[index];
                let whole = at + host.transfer(bytes) + host.work(bytes, READ_A_SECOND);
                self.at(whole, Event::ReadUpstreams(index));
            }
            Answer::Refused(at) => self.at(at, Event::CallUpstreams(index)),
            Answer::At(_) | Answer::Never => self.at(until, Event::CallUpstreams(index)),
        }
    }

    fn read_upstreams(&mut self, index: usize) {
        self.hosts[index].pages_left -= 1;
        match self.hosts[index].pages_left {
            0 => self.serve_once_known(index),
            _ => self.call_upstreams(index),
        }
    }

    /// A first delegate serves once it knows the configuration and the upstreams.
    fn serve_once_known(&mut self, index: usize) {
        let host = &self.hosts[index];
        if host.has_config && host.pages_left == 0 {
            self.serve(index);
        }
    }

    /// Asks one of those that read the whole list of hosts, or reads it on.
    fn ask(&mut self, index: usize) {
        if self.hosts[index].knows_hosts {
            return;
        }
        let introducers = source::introducers(&self.leads, &self.hosts[index].peer);
        let asked = self.hosts[index].asked;
        // A named one reads the list itself.
        let is_named = self.is_first(index);
        let mut introducers = introducers.iter().filter(|_| !is_named);
        let Some(introducer) = introducers.nth(asked).and_then(|it| self.index(*it)) else {
            return self.call(index);
        };
        self.hosts[index].asked += 1;
        if self.hosts[introducer].knows_hosts {
            return self.introduce(introducer, index);
        }
        self.hosts[introducer].asking.push(index);
        self.at(self.now + FOLLOW_WAIT, Event::Ask(index));
    }

    fn introduce(&mut self, from: usize, to: usize) {
        let bytes = self.fleet.hosts * TOLD_BYTES;
        let arrived = self.send(from, to, bytes);
        self.at(arrived, Event::Introduced(to));
    }

    /// When bytes that a host sends now have come to another one.
    fn send(&mut self, from: usize, to: usize, bytes: usize) -> Instant {
        let sent =
            self.hosts[from].transfer(bytes) + self.hosts[from].work(bytes, ENCODED_A_SECOND);
        let out = self.now.max(self.hosts[from].free_at) + sent;
        self.hosts[from].free_at = out;
        out + self.hosts[to].transfer(bytes) + self.hosts[to].work(bytes, DECODED_A_SECOND)
    }

    fn is_first(&self, index: usize) -> bool {
        let own = &self.hosts[index].peer;
        let first = self.directory.allocator(&own.failure_domain, self.now);
        first == Some(own.address)
    }

    /// The list of hosts is read: a delegate reads on, any other host follows one.
    fn listed(&mut self, index: usize) {
        if self.hosts[index].knows_hosts {
            return;
        }
        self.hosts[index].knows_hosts = true;
        for asking in std::mem::take(&mut self.hosts[index].asking) {
            if !self.hosts[asking].knows_hosts {
                self.introduce(index, asking);
            }
        }
        let sources = Sources::new(self.spread(), self.now, &mut self.draw);
        self.hosts[index].sources = Some(sources);
        self.hosts[index].step = Step::Config;
        if self.is_delegate(index) || !self.fleet.way.delegates {
            self.hosts[index].reads_store = true;
            return self.call(index);
        }
        self.follow(index);
    }

    /// Hosts over which the moments are spread at which hosts read the store by themselves.
    fn spread(&self) -> usize {
        match self.fleet.way.spread {
            true => self.fleet.hosts,
            false => 1,
        }
    }

    fn is_delegate(&self, index: usize) -> bool {
        let own = &self.hosts[index].peer;
        let delegates = self.directory.delegates(&own.failure_domain, self.now);
        delegates.iter().any(|it| it.address == own.address)
    }

    fn failed(&mut self, index: usize, silent: bool) {
        let way = self.fleet.way;
        let host = &mut self.hosts[index];
        if silent && way.patient {
            host.patience.on_timeout();
        }
        let again = match way.backoff {
            true => host.backoff.failed(self.now, &mut self.draw),
            false => self.now + Duration::from_millis(150),
        };
        self.at(again, Event::Call(index));
    }

    fn follow(&mut self, index: usize) {
        let now = self.now;
        if self.hosts[index].serves_at.is_some() {
            return;
        }
        let candidates = source::candidates(&self.directory, &self.hosts[index].peer, now);
        let sources = self.hosts[index].sources.as_mut();
        let delegate = sources.and_then(|it| it.choose(&candidates, now));
        let delegate = delegate.and_then(|it| self.index(it));
        let Some(delegate) = delegate else {
            return self.at(now + FOLLOW_WAIT, Event::Nothing(index));
        };
        if self.hosts[delegate].serves_at.is_some() {
            return self.tell(delegate, index);
        }
        let until = now + FOLLOW_WAIT;
        self.hosts[delegate].waiting.push((index, until));
        self.at(until, Event::Nothing(index));
    }

    fn tell(&mut self, from: usize, to: usize) {
        let config = match self.hosts[to].reads_store {
            true => 0,
            false => self.fleet.config_bytes / PACKED,
        };
        let entries = match self.fleet.way.parts && !self.is_delegate(to) {
            true => self.fleet.upstreams / FAILURE_DOMAINS,
            false => self.fleet.upstreams + self.fleet.hosts,
        };
        let bytes = config + entries * TOLD_BYTES;
        let arrived = self.send(from, to, bytes);
        self.at(arrived, Event::Told(to));
    }

    fn nothing(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if host.serves_at.is_some() {
            return;
        }
        let Some(sources) = &mut host.sources else {
            return;
        };
        sources.next(now);
        if sources.is_alone(now) && !host.is_alone {
            host.reads_store = true;
            host.is_alone = true;
            self.at(now, Event::Call(index));
        }
        self.at(now, Event::Follow(index));
    }

    fn serve(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if host.serves_at.is_some() {
            return;
        }
        host.serves_at = Some(now);
        let waiting = std::mem::take(&mut host.waiting);
        if self.fleet.way.lists_first && self.is_delegate(index) {
            self.hosts[index].step = Step::Jobs(self.fleet.jobs_bytes);
            self.at(now, Event::Call(index));
        }
        for (follower, until) in waiting {
            if until > now {
                self.tell(index, follower);
            }
        }
    }

    fn index(&self, address: SocketAddr) -> Option<usize> {
        let mut hosts = self.hosts.iter();
        hosts.position(|host| host.peer.address == address)
    }

    fn report(&self, began: Instant) -> Report {
        let never = began + LONGEST;
        let mut times: Vec<Instant> = self
            .hosts
            .iter()
            .map(|host| host.serves_at.unwrap_or(never))
            .collect();
        times.sort();
        let most = times[(times.len() * 95).div_ceil(100) - 1];
        let domains = FAILURE_DOMAINS.min(self.hosts.len());
        let delegates = self.hosts.len().min(domains * 4);
        let hosts = self.hosts.len() * ENTRY_BYTES;
        let upstreams = self.fleet.upstreams * ENTRY_BYTES;
        let of_delegate = self.fleet.config_bytes + self.fleet.jobs_bytes;
        Report {
            most: most - began,
            all: times[times.len() - 1] - began,
            calls: self.store.calls,
            refused: self.store.refused,
            bytes: self.store.bytes,
            needed_bytes: delegates * of_delegate
                + domains * (upstreams + hosts + self.hosts.len() * ENTRY_BYTES),
        }
    }
}

impl Host {
    fn new(index: usize, way: Way) -> Self {
        let [high, low] = (index as u16).to_be_bytes();
        let capacity = match index % STRONG {
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
            failure_domain: format!("d{}", index / STRONG % FAILURE_DOMAINS),
            capacity,
        };
        Self {
            peer,
            step: if way.introduced {
                Step::Leads
            } else {
                Step::Hosts(0)
            },
            backoff: Backoff::default(),
            patience: ResponseTimeout::new(USUAL_ANSWER),
            sources: None,
            knows_hosts: false,
            has_config: false,
            pages_left: 0,
            asked: 0,
            reads_store: false,
            is_alone: false,
            free_at: Instant::now(),
            waiting: Vec::new(),
            asking: Vec::new(),
            serves_at: None,
        }
    }

    /// The time that bytes take on the host's link.
    fn transfer(&self, bytes: usize) -> Duration {
        let megabits = bytes as f64 * 8.0 / 1e6;
        Duration::from_secs_f64(megabits / f64::from(self.peer.capacity.link_mbps))
    }

    /// The time that work on bytes takes of which a core does so many in a second.
    fn work(&self, bytes: usize, a_second: f64) -> Duration {
        let cores = f64::from(self.peer.capacity.cpu_millis) / 1_000.0;
        Duration::from_secs_f64(bytes as f64 / a_second / cores)
    }
}
