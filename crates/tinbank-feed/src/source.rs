//! Whom a host follows: one delegate for as long as it tells fresh news, then the next, and the store itself where no
//! delegate can tell anything.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::Rng;
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use tinbank_allocator::{Directory, directory::Peer};
use tinbank_base::id;

/// What a delegate tells may be so old. Source: it reads the store at least once a second while that answers.
pub const FRESH: Duration = Duration::from_millis(1_800);
/// Without fresh news for this long a host reads the store itself. Source: longer than it takes to ask each delegate of a
/// failure domain once when one of them does not answer (1.7 s), below the shortest time in which a leaving upstream has to
/// be heard of (4 s).
const PATIENCE: Duration = Duration::from_millis(2_200);
/// Most that chance adds to that for each so many hosts, so that hosts that lost their delegates do not come to the store as one:
/// what a host reads that is alone takes the store some 60 ms, and a fleet that reads alone is told nothing by anybody.
const SPREAD: Duration = Duration::from_millis(1_300);
/// Hosts for which that spread is enough.
const SPREAD_HOSTS: usize = 64;
/// A host that follows another delegate than its first tries the first again after this long: it is the one by which the
/// hosts of a failure domain are dealt out evenly, and it is near.
const RETURN: Duration = Duration::from_secs(10);

/// The first delegate of a failure domain, as it was named in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstDelegate {
    /// The failure domain.
    pub failure_domain: id::FailureDomain,
    /// Where the delegate takes datagrams, and what other hosts follow at it.
    pub address: SocketAddr,
}

/// Delegates in the order in which a host asks them.
pub type Candidates = SmallVec<[SocketAddr; 8]>;

/// The delegates that a host may follow: those of its own failure domain, in an order by which its hosts fall on all of
/// them, and the first ones of the others. A delegate follows the first one, which reads the lists for it.
pub fn candidates(directory: &Directory, own: &Peer, now: Instant) -> Candidates {
    let near = directory.delegates(&own.failure_domain, now).into_iter();
    let mut candidates: Candidates = near.map(|it| it.address).collect();
    let is_delegate = candidates.contains(&own.address);
    candidates.retain(|it| *it != own.address);
    if !is_delegate {
        candidates.sort_by_cached_key(|it| order(own.address, *it));
    }
    let domains = directory.failure_domains(&own.failure_domain, hash(&own.address));
    let far = domains.iter().filter(|it| **it != own.failure_domain);
    candidates.extend(far.filter_map(|domain| directory.allocator(domain, now)));
    candidates
}

/// The first delegates that a host asks for the list of hosts when it starts: that of its own failure domain, then the others
/// in an order by which the hosts fall on all of them.
pub fn introducers(leads: &[FirstDelegate], own: &Peer) -> Candidates {
    let others = leads.iter().filter(|it| it.address != own.address);
    let mut others: SmallVec<[&FirstDelegate; 8]> = others.collect();
    others.sort_by_cached_key(|it| {
        let is_far = it.failure_domain != own.failure_domain;
        (is_far, order(own.address, it.address))
    });
    others.into_iter().map(|it| it.address).collect()
}

/// A number by which hosts fall evenly on others, the same at each start.
fn order(own: SocketAddr, other: SocketAddr) -> u64 {
    hash(&(own, other))
}

fn hash(of: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    of.hash(&mut hasher);
    hasher.finish()
}

/// The sources of one host.
#[derive(Clone, Copy, Debug)]
pub struct Sources {
    /// Which of the candidates is followed.
    turn: usize,
    /// When the first one is tried again.
    returns_at: Instant,
    /// From then on the host reads the store itself, unless a delegate tells fresh news before.
    alone_from: Instant,
}

impl Sources {
    /// Those of one of so many hosts that starts, or begins to follow others.
    pub fn new(hosts: usize, now: Instant, draw: &mut impl Rng) -> Self {
        Self {
            turn: 0,
            returns_at: now,
            alone_from: alone_from(hosts, now, draw),
        }
    }

    /// The delegate to ask.
    pub fn choose(&mut self, candidates: &Candidates, now: Instant) -> Option<SocketAddr> {
        if now >= self.returns_at {
            self.turn = 0;
        }
        let count = candidates.len().max(1);
        candidates.get(self.turn % count).copied()
    }

    /// The delegate has told fresh news, or that there is none.
    pub fn fresh(&mut self, hosts: usize, now: Instant, draw: &mut impl Rng) {
        self.alone_from = alone_from(hosts, now, draw);
    }

    /// The delegate did not answer, or has not read the store lately.
    pub fn next(&mut self, now: Instant) {
        self.turn = self.turn.wrapping_add(1);
        self.returns_at = now + RETURN;
    }

    /// True if the host has to read the store itself.
    pub fn is_alone(&self, now: Instant) -> bool {
        now >= self.alone_from
    }
}

fn alone_from(hosts: usize, now: Instant, draw: &mut impl Rng) -> Instant {
    let spread = SPREAD * hosts.div_ceil(SPREAD_HOSTS).max(1) as u32;
    now + PATIENCE + draw.random_range(Duration::ZERO..=spread)
}
