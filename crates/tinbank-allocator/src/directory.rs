//! Which host is the allocator of a failure domain, as one host sees it.

use std::{
    collections::HashMap,
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::{Duration, Instant},
};

use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use tinbank_base::id;

/// For how long a host is passed over after its first missing answer. Doubled with each further one.
/// Source: two heartbeats, so that one lost datagram does not move the allocator for long.
const FIRST_SILENCE: Duration = Duration::from_secs(2);
/// Longest time for which a silent host is passed over before it is tried again.
const LONGEST_SILENCE: Duration = Duration::from_secs(16);

/// A host that may be an allocator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Failure domain it runs in, whose upstreams it deals out.
    pub failure_domain: id::FailureDomain,
}

/// How long a host may take to answer at least. Source: measured, see `docs/design/users-platform.md`.
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
    peers: Vec<Peer>,
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
    pub fn list(&mut self, peers: Vec<Peer>) {
        let is_listed = |address: &SocketAddr| peers.iter().any(|peer| peer.address == *address);
        self.silent.retain(|address, _| is_listed(address));
        self.sent.retain(|address, _| is_listed(address));
        self.round_trips.retain(|address, _| is_listed(address));
        self.peers = peers;
    }

    /// Failure domains in which there are hosts, in the order in which a host of `own` asks them.
    pub fn failure_domains(&self, own: &str, turn: u64) -> SmallVec<[id::FailureDomain; 4]> {
        let mut others: SmallVec<[id::FailureDomain; 4]> = SmallVec::new();
        for peer in &self.peers {
            if peer.failure_domain != own && !others.contains(&peer.failure_domain) {
                others.push(peer.failure_domain.clone());
            }
        }
        others.sort();
        if !others.is_empty() {
            let shift = (turn % others.len() as u64) as usize;
            others.rotate_left(shift);
        }
        others.insert(0, own.to_owned());
        others
    }

    /// The allocator of a failure domain: the first by rendezvous hash that is not silent.
    pub fn allocator(&self, failure_domain: &str, now: Instant) -> Option<SocketAddr> {
        self.peers
            .iter()
            .filter(|peer| peer.failure_domain == failure_domain)
            .filter(|peer| !self.is_silent(peer.address, now))
            .max_by_key(|peer| rank(peer))
            .map(|peer| peer.address)
    }

    /// Takes in that a heartbeat was sent to a host.
    pub fn told(&mut self, address: SocketAddr, now: Instant) {
        self.sent.insert(address, now);
    }

    /// Takes in that a host has answered a heartbeat.
    pub fn answered(&mut self, address: SocketAddr, now: Instant) {
        let Some(sent) = self.sent.remove(&address) else {
            return;
        };
        let newest = now.saturating_duration_since(sent);
        let smoothed = self.round_trips.entry(address).or_insert(newest);
        *smoothed = (*smoothed * (SMOOTHING - 1) + newest) / SMOOTHING;
    }

    /// How long a host may take to answer an ask, by how far away it is.
    pub fn patience(&self, address: SocketAddr) -> Duration {
        let round_trip = self.round_trips.get(&address).copied();
        let needed = round_trip.unwrap_or_default() * ROUND_TRIPS;
        needed.clamp(LEAST_PATIENCE, MOST_PATIENCE)
    }

    /// Takes in that a host has sent a datagram. True if it had been passed over.
    pub fn heard(&mut self, address: SocketAddr) -> bool {
        let silence = self.silent.remove(&address);
        silence.is_some_and(|silence| silence.strikes > 0)
    }

    /// Takes in that an answer of a host is missing. True if it is passed over from now on.
    pub fn missed(&mut self, address: SocketAddr, now: Instant) -> bool {
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
    pub fn due(&self, now: Instant) -> SmallVec<[SocketAddr; 4]> {
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
        let mut domains: SmallVec<[&str; 4]> = SmallVec::new();
        for peer in &self.peers {
            if !domains.contains(&peer.failure_domain.as_str()) {
                domains.push(&peer.failure_domain);
            }
        }
        domains.sort_unstable();
        let domains = domains.into_iter();
        domains
            .filter_map(|domain| self.allocator(domain, now))
            .collect()
    }

    fn is_silent(&self, address: SocketAddr, now: Instant) -> bool {
        self.silent
            .get(&address)
            .is_some_and(|silence| now < silence.until)
    }
}

/// Weight of a host in its failure domain; the highest one is the allocator.
fn rank(peer: &Peer) -> u64 {
    let mut hasher = SipHasher13::new();
    peer.address.hash(&mut hasher);
    peer.failure_domain.hash(&mut hasher);
    hasher.finish()
}
