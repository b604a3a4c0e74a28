//! Which hosts act for a failure domain, as one host sees it: its allocator and its delegates.
//!
//! A few hosts of each failure domain, the delegates, read the platform's store for the others; the first of them is
//! also the allocator. If every host read the store itself, its traffic would be hosts times records. See
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

/// How long an unresponsive host is skipped at first, doubled each further time. Two heartbeats, so that a lost
/// datagram does not move the allocator for long.
const MIN_SKIP: Duration = Duration::from_secs(2);
/// Upper bound of the time for which an unresponsive host is skipped before it is probed again.
const MAX_SKIP: Duration = Duration::from_secs(16);

/// Delegates per failure domain: enough that some are left when several hosts are lost at once. Reads of the store and
/// the job partitions that a delegate takes over grow with this number.
const DELEGATES: usize = 4;

/// Hosts per failure domain that receive customer counts: the allocator and those that would replace it. Hosts notice
/// the loss of an allocator independently, up to two heartbeats apart, and a replacement must know the counts by then.
/// With a third of the hosts cut off, three new allocators that did not know the counts let a customer have 263
/// requests of 244 in a window.
const COUNTERS: usize = 3;

/// A host of the system, as listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Where it receives datagrams and serves updates to the hosts that follow it.
    pub address: SocketAddr,
    /// Where it accepts callers' requests.
    pub callers: SocketAddr,
    /// Failure domain it runs in, whose upstreams it may allocate.
    pub failure_domain: id::FailureDomain,
    /// Resources available to it.
    pub capacity: Capacity,
}

/// Resources available to a host, by its settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Capacity {
    /// CPU in thousandths of a core.
    pub cpu_millis: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Network bandwidth in megabits per second.
    pub link_mbps: u32,
}

impl Capacity {
    /// Returns the maximum of each resource.
    fn max(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            link_mbps: self.link_mbps.max(other.link_mbps),
        }
    }

    /// Returns how many times the best value was halved for the host's scarcest resource. Hosts that differ by less
    /// than a factor of two count as equal, so that work is spread over all of them.
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

/// Lower bound of the response timeout, which applies to nearby hosts.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(25);
/// Upper bound of the response timeout: a slot request must not make the caller's request late.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Response timeout in round trips, which leaves room for processing and queueing.
const TIMEOUT_ROUND_TRIPS: u32 = 3;
/// The newest round trip has a weight of one in this many in the smoothed one.
const SMOOTHING: u32 = 4;
/// Consecutive timeouts after which a host is skipped. More than one, since single datagrams get lost on lossy links, and
/// requests to several allocators make them grant slots without knowledge of each other.
const MAX_TIMEOUTS: u32 = 2;

/// The known hosts, and which of them are unresponsive.
#[derive(Debug, Default)]
pub struct Directory {
    /// Sorted by the order in which they act for their failure domains, once per list since each request looks up
    /// allocators.
    peers: Vec<Peer>,
    /// Positions of the hosts in `peers`.
    positions: HashMap<SocketAddr, usize>,
    /// The best of each resource that a host has.
    best: Capacity,
    /// The failure domains of the hosts, sorted.
    failure_domains: Vec<id::FailureDomain>,
    /// Hosts that missed a response and have sent nothing since.
    unresponsive: HashMap<SocketAddr, Timeouts>,
    /// When the heartbeat was sent that a host has yet to reply to.
    heartbeats_sent: HashMap<SocketAddr, Instant>,
    /// Smoothed round-trip times, from replies to heartbeats.
    round_trips: HashMap<SocketAddr, Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Timeouts {
    count: u32,
    /// End of the current or last time for which the host is skipped.
    skipped_until: Instant,
    /// How many times it was skipped.
    skips: u32,
}

impl Directory {
    /// Sets the list of hosts.
    pub fn set_hosts(&mut self, mut peers: Vec<Peer>) {
        let listed: HashSet<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
        let is_listed = |address: &SocketAddr| listed.contains(address);
        self.unresponsive.retain(|address, _| is_listed(address));
        self.heartbeats_sent.retain(|address, _| is_listed(address));
        self.round_trips.retain(|address, _| is_listed(address));
        let capacities = peers.iter().map(|peer| peer.capacity);
        let best = capacities.fold(Capacity::default(), Capacity::max);
        peers.sort_by_cached_key(|peer| Rank::new(peer, best));
        let failure_domains: BTreeSet<_> = peers.iter().map(|it| &it.failure_domain).collect();
        self.failure_domains = failure_domains.into_iter().cloned().collect();
        let positions = peers.iter().enumerate();
        self.positions = positions.map(|(index, it)| (it.address, index)).collect();
        self.best = best;
        self.peers = peers;
    }

    /// Returns the datagram addresses of all listed hosts.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.iter().map(|peer| peer.address).collect()
    }

    /// Returns whether any listed host but `own` is not skipped as unresponsive.
    pub fn has_responsive_other(&self, own: SocketAddr, now: Instant) -> bool {
        let mut others = self.peers.iter().filter(|it| it.address != own);
        others.any(|it| !self.is_skipped(it.address, now))
    }

    /// Returns the number of listed hosts.
    pub fn host_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of listed hosts in a failure domain.
    pub fn host_count_in(&self, failure_domain: &str) -> usize {
        let peers = self.peers.iter();
        peers
            .filter(|it| it.failure_domain == failure_domain)
            .count()
    }

    /// Returns the failure domains that have hosts, in the order in which a host of `own` sends slot requests to them:
    /// its own first, then the others rotated by `turn`.
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

    /// Returns the allocator of a failure domain, which is its first delegate.
    pub fn allocator(&self, failure_domain: &str, now: Instant) -> Option<SocketAddr> {
        let mut candidates = self.candidates(failure_domain, now);
        candidates.next().map(|peer| peer.address)
    }

    /// Returns the delegates of a failure domain: of the responsive hosts, those with the most capacity, and among
    /// equals the first by rendezvous hash.
    pub fn delegates(&self, failure_domain: &str, now: Instant) -> Delegates<'_> {
        self.candidates(failure_domain, now)
            .take(DELEGATES)
            .collect()
    }

    /// Returns the hosts that count customers' requests or would take over the count: the first delegates of each failure
    /// domain.
    pub fn counters(&self, now: Instant) -> SmallVec<[SocketAddr; 12]> {
        let domains = self.failure_domains.iter();
        let counters = domains.flat_map(|domain| self.candidates(domain, now).take(COUNTERS));
        counters.map(|peer| peer.address).collect()
    }

    /// Returns the hosts that keep what belongs to a key, `count` of each failure domain: of the responsive hosts, the first by
    /// rendezvous hash. Hosts that know different ones as responsive mostly agree on one of two.
    pub fn keepers(
        &self,
        key: u64,
        count: impl Fn(&str) -> usize,
        now: Instant,
    ) -> SmallVec<[SocketAddr; 8]> {
        let mut keepers = SmallVec::new();
        for domain in &self.failure_domains {
            let candidates = self.candidates(domain, now);
            let mut ranked: SmallVec<[(u64, SocketAddr); 8]> = candidates
                .map(|it| (keeper_hash(key, it.address), it.address))
                .collect();
            ranked.sort_unstable();
            keepers.extend(ranked.into_iter().take(count(domain)).map(|it| it.1));
        }
        keepers
    }

    fn candidates(&self, failure_domain: &str, now: Instant) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.iter();
        let of_domain = peers.filter(move |peer| peer.failure_domain == failure_domain);
        of_domain.filter(move |peer| !self.is_skipped(peer.address, now))
    }

    /// Records that a heartbeat was sent to a host.
    pub fn record_heartbeat_sent(&mut self, address: SocketAddr, now: Instant) {
        self.heartbeats_sent.insert(address, now);
    }

    /// Records that a host has replied to a heartbeat.
    pub fn record_heartbeat_reply(&mut self, address: SocketAddr, now: Instant) {
        let Some(sent) = self.heartbeats_sent.remove(&address) else {
            return;
        };
        let newest = now.saturating_duration_since(sent);
        let smoothed = self.round_trips.entry(address).or_insert(newest);
        *smoothed = (*smoothed * (SMOOTHING - 1) + newest) / SMOOTHING;
    }

    /// Returns how long to wait for a host's response to a slot request, based on its round-trip time.
    pub fn response_timeout(&self, address: SocketAddr) -> Duration {
        let round_trip = self.round_trips.get(&address).copied();
        let needed = round_trip.unwrap_or_default() * TIMEOUT_ROUND_TRIPS;
        needed.clamp(MIN_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT)
    }

    /// Records that a host has sent a datagram. Returns whether it had been skipped as unresponsive.
    pub fn record_datagram(&mut self, address: SocketAddr) -> bool {
        let timeouts = self.unresponsive.remove(&address);
        timeouts.is_some_and(|timeouts| timeouts.skips > 0)
    }

    /// Records that a host did not respond in time. Returns whether it is skipped from now on.
    pub fn record_timeout(&mut self, address: SocketAddr, now: Instant) -> bool {
        if self.is_skipped(address, now) {
            return false;
        }
        let timeouts = self.unresponsive.entry(address).or_insert(Timeouts {
            count: 0,
            skipped_until: now,
            skips: 0,
        });
        timeouts.count += 1;
        if timeouts.count < MAX_TIMEOUTS {
            return false;
        }
        let skip = MIN_SKIP * 2u32.saturating_pow(timeouts.skips);
        timeouts.skipped_until = now + skip.min(MAX_SKIP);
        timeouts.skips += 1;
        true
    }

    /// Returns the hosts that are no longer skipped but have sent nothing since. They are sent a ping.
    pub fn hosts_to_probe(&self, now: Instant) -> SmallVec<[SocketAddr; 4]> {
        let unresponsive = self.unresponsive.iter();
        let due = unresponsive.filter(|(_, it)| it.skips > 0 && it.skipped_until <= now);
        due.map(|(address, _)| *address).collect()
    }

    /// Returns the host with this datagram address.
    pub fn peer(&self, address: SocketAddr) -> Option<&Peer> {
        self.peers.get(*self.positions.get(&address)?)
    }

    /// Returns the host with this datagram address, unless it is skipped as unresponsive.
    pub fn responsive_peer(&self, address: SocketAddr, now: Instant) -> Option<&Peer> {
        self.peer(address)
            .filter(|peer| !self.is_skipped(peer.address, now))
    }

    /// Returns the sort key for the order in which allocators act for a failure domain without hosts. The strongest goes first,
    /// since it also acts for its own.
    pub fn substitute_rank(&self, vacant: &str, allocator: &Peer) -> impl Ord {
        let mut hasher = SipHasher13::new();
        (vacant, &allocator.failure_domain, allocator.address).hash(&mut hasher);
        (allocator.capacity.halvings(self.best), hasher.finish())
    }

    /// Returns the allocators of all failure domains.
    pub fn allocators(&self, now: Instant) -> SmallVec<[SocketAddr; 4]> {
        self.failure_domains
            .iter()
            .filter_map(|domain| self.allocator(domain, now))
            .collect()
    }

    fn is_skipped(&self, address: SocketAddr, now: Instant) -> bool {
        self.unresponsive
            .get(&address)
            .is_some_and(|timeouts| now < timeouts.skipped_until)
    }
}

fn keeper_hash(key: u64, address: SocketAddr) -> u64 {
    let mut hasher = SipHasher13::new();
    (key, address).hash(&mut hasher);
    hasher.finish()
}

/// Delegates of a failure domain, the allocator first.
pub type Delegates<'a> = SmallVec<[&'a Peer; DELEGATES]>;

/// Sort key for the order in which the hosts of a failure domain act for it.
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
