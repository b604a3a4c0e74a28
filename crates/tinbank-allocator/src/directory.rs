//! Which hosts act for a failure domain, as one host sees it: its allocator, and its delegates.
//!
//! A few hosts of each failure domain, the delegates, read the platform's store for the others; the first of them is also the
//! allocator. If all hosts read it themselves, the store would have to move hosts times records. See
//! `docs/design/delegates.md`.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use tinbank_base::id;

/// For how long a host is passed over after its first missing answer. Doubled with each further one.
/// Source: two heartbeats, so that one lost datagram does not move the allocator for long.
const FIRST_SILENCE: Duration = Duration::from_secs(2);
/// Longest time for which a silent host is passed over before it is tried again.
const LONGEST_SILENCE: Duration = Duration::from_secs(16);

/// Delegates of a failure domain. Source: as many hosts as may be lost at once and as many again; what they read of the
/// store grows with their number, and so do the partitions of jobs that each runs when others are lost.
const DELEGATES: usize = 4;

/// Hosts of a failure domain that are told what customers use. Source: hosts notice each for itself that an allocator is lost,
/// which takes up to two heartbeats; until then only those that are told anyway hear of each other. With a third of the hosts
/// cut off, the three new allocators told the lost ones, and let a customer have 263 requests of 244 in a window.
const COUNTERS: usize = 3;

/// A host of the system, as it is listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Where it takes datagrams, and what other hosts follow at it.
    pub address: SocketAddr,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Failure domain it runs in, whose upstreams it deals out.
    pub failure_domain: id::FailureDomain,
    /// What it can carry.
    pub capacity: Capacity,
}

/// What a host has of its own, by its settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// Share of a core, in thousandths.
    pub cpu_millis: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Bandwidth of its link in megabits a second.
    pub link_mbps: u32,
}

impl Capacity {
    /// The largest of each.
    fn max(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            link_mbps: self.link_mbps.max(other.link_mbps),
        }
    }

    /// How far a host is from the best that there is, by what it has least of: how many times that was halved. Hosts
    /// that differ by less are equals, so that work falls on all of them.
    fn halvings(self, best: Self) -> u32 {
        let shares = [
            (self.cpu_millis, best.cpu_millis),
            (self.memory_mb, best.memory_mb),
            (self.link_mbps, best.link_mbps),
        ];
        let halvings = shares.map(|(own, best)| (best.max(1) / own.max(1)).max(1).ilog2());
        halvings.into_iter().max().unwrap_or_default()
    }
}

/// How long a host may take to answer at least, however near it is.
const LEAST_PATIENCE: Duration = Duration::from_millis(25);
/// How long it may take at most, however far away it is: a request must not be late for asking.
const MOST_PATIENCE: Duration = Duration::from_millis(150);
/// Round trips that an answer may take. Source: the time of the answer itself, and a queue on the way.
const ROUND_TRIPS: u32 = 3;
/// Weight of the newest round trip in the smoothed one, one part in so many.
const SMOOTHING: u32 = 4;
/// Missing answers in a row after which a host is passed over. Source: on a link that loses packets single answers go
/// missing all the time, and each host that another allocator is asked for makes allocators deal without each other's knowledge.
const MISSES: u32 = 2;

/// The hosts known, and which of them are silent.
#[derive(Debug, Default)]
pub struct Directory {
    /// In the order in which they act for their failure domains. Ranked once a list: each request asks for allocators.
    peers: Vec<Peer>,
    /// The failure domains of the hosts, sorted.
    failure_domains: Vec<id::FailureDomain>,
    /// Hosts of which an answer was missed and nothing was heard since.
    silent: HashMap<SocketAddr, Silence>,
    /// When the heartbeat was sent that a host has not answered yet.
    sent: HashMap<SocketAddr, Instant>,
    /// How far away hosts are, by their answers to heartbeats.
    round_trips: HashMap<SocketAddr, Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    misses: u32,
    /// Passed over until then, for the last time that it was.
    until: Instant,
    /// How many times it was passed over.
    strikes: u32,
}

impl Directory {
    /// Takes in the list of hosts.
    pub fn set_hosts(&mut self, mut peers: Vec<Peer>) {
        let listed: HashSet<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
        let is_listed = |address: &SocketAddr| listed.contains(address);
        self.silent.retain(|address, _| is_listed(address));
        self.sent.retain(|address, _| is_listed(address));
        self.round_trips.retain(|address, _| is_listed(address));
        let capacities = peers.iter().map(|peer| peer.capacity);
        let best = capacities.fold(Capacity::default(), Capacity::max);
        peers.sort_by_cached_key(|peer| Rank::new(peer, best));
        let failure_domains: BTreeSet<_> = peers.iter().map(|it| &it.failure_domain).collect();
        self.failure_domains = failure_domains.into_iter().cloned().collect();
        self.peers = peers;
    }

    /// Where all hosts that are listed take datagrams.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.iter().map(|peer| peer.address).collect()
    }

    /// Number of hosts that are listed.
    pub fn host_count(&self) -> usize {
        self.peers.len()
    }

    /// Failure domains in which there are hosts, in the order in which a host of `own` asks them.
    pub fn failure_domains(&self, own: &str, turn: u64) -> SmallVec<[id::FailureDomain; 4]> {
        let others = self.failure_domains.iter().filter(|it| *it != own);
        let mut others: SmallVec<[id::FailureDomain; 4]> = others.cloned().collect();
        if !others.is_empty() {
            let shift = (turn % others.len() as u64) as usize;
            others.rotate_left(shift);
        }
        others.insert(0, own.to_owned());
        others
    }

    /// The allocator of a failure domain: the first of its delegates.
    pub fn allocator(&self, failure_domain: &str, now: Instant) -> Option<SocketAddr> {
        let mut candidates = self.candidates(failure_domain, now);
        candidates.next().map(|peer| peer.address)
    }

    /// The delegates of a failure domain: of the hosts that are not silent those that can carry most, and among equals the
    /// first by rendezvous hash.
    pub fn delegates(&self, failure_domain: &str, now: Instant) -> Delegates<'_> {
        self.candidates(failure_domain, now)
            .take(DELEGATES)
            .collect()
    }

    /// The hosts that count what customers use, and those that will once others are lost: the first delegates of each failure
    /// domain.
    pub fn counters(&self, now: Instant) -> SmallVec<[SocketAddr; 12]> {
        let domains = self.failure_domains.iter();
        let counters = domains.flat_map(|domain| self.candidates(domain, now).take(COUNTERS));
        counters.map(|peer| peer.address).collect()
    }

    fn candidates(&self, failure_domain: &str, now: Instant) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.iter();
        let of_domain = peers.filter(move |peer| peer.failure_domain == failure_domain);
        of_domain.filter(move |peer| !self.is_silent(peer.address, now))
    }

    /// Takes in that a heartbeat was sent to a host.
    pub fn record_heartbeat_sent(&mut self, address: SocketAddr, now: Instant) {
        self.sent.insert(address, now);
    }

    /// Takes in that a host has answered a heartbeat.
    pub fn record_heartbeat_reply(&mut self, address: SocketAddr, now: Instant) {
        let Some(sent) = self.sent.remove(&address) else {
            return;
        };
        let newest = now.saturating_duration_since(sent);
        let smoothed = self.round_trips.entry(address).or_insert(newest);
        *smoothed = (*smoothed * (SMOOTHING - 1) + newest) / SMOOTHING;
    }

    /// How long a host may take to answer an ask, by how far away it is.
    pub fn response_timeout(&self, address: SocketAddr) -> Duration {
        let round_trip = self.round_trips.get(&address).copied();
        let needed = round_trip.unwrap_or_default() * ROUND_TRIPS;
        needed.clamp(LEAST_PATIENCE, MOST_PATIENCE)
    }

    /// Takes in that a host has sent a datagram. True if it had been passed over.
    pub fn record_datagram(&mut self, address: SocketAddr) -> bool {
        let silence = self.silent.remove(&address);
        silence.is_some_and(|silence| silence.strikes > 0)
    }

    /// Takes in that an answer of a host is missing. True if it is passed over from now on.
    pub fn record_timeout(&mut self, address: SocketAddr, now: Instant) -> bool {
        if self.is_silent(address, now) {
            return false;
        }
        let silence = self.silent.entry(address).or_insert(Silence {
            misses: 0,
            until: now,
            strikes: 0,
        });
        silence.misses += 1;
        if silence.misses < MISSES {
            return false;
        }
        let wait = FIRST_SILENCE * 2u32.saturating_pow(silence.strikes);
        silence.until = now + wait.min(LONGEST_SILENCE);
        silence.strikes += 1;
        true
    }

    /// Hosts that were passed over and whose time is up; they are asked for a heartbeat before they count again.
    pub fn hosts_to_probe(&self, now: Instant) -> SmallVec<[SocketAddr; 4]> {
        let silent = self.silent.iter();
        let due = silent.filter(|(_, it)| it.strikes > 0 && it.until <= now);
        due.map(|(address, _)| *address).collect()
    }

    /// A host by the address at which it takes datagrams.
    pub fn peer(&self, address: SocketAddr) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.address == address)
    }

    /// The allocators of all failure domains.
    pub fn allocators(&self, now: Instant) -> SmallVec<[SocketAddr; 4]> {
        self.failure_domains
            .iter()
            .filter_map(|domain| self.allocator(domain, now))
            .collect()
    }

    fn is_silent(&self, address: SocketAddr, now: Instant) -> bool {
        self.silent
            .get(&address)
            .is_some_and(|silence| now < silence.until)
    }
}

/// Delegates of a failure domain, the allocator first.
pub type Delegates<'a> = SmallVec<[&'a Peer; DELEGATES]>;

/// The order in which the hosts of a failure domain act for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    halvings: u32,
    hash: u64,
}

impl Rank {
    fn new(peer: &Peer, best: Capacity) -> Self {
        let mut hasher = SipHasher13::new();
        peer.address.hash(&mut hasher);
        peer.failure_domain.hash(&mut hasher);
        Self {
            halvings: peer.capacity.halvings(best),
            hash: hasher.finish(),
        }
    }
}
