//! Selection of the delegate that a host follows: one for as long as its updates are fresh, then the next, and the store itself
//! if no delegate sends fresh updates.

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

/// Age up to which an update counts as fresh. A delegate reads the store at least once a second while the store answers.
pub const MAX_AGE: Duration = Duration::from_millis(1_800);
/// Without a fresh update for this long, a host reads the store itself. Long enough to try each delegate of a failure
/// domain once with one of them not answering, and shorter than the 4 s in which a leaving upstream has to become
/// known. Trying them takes 1.7 s.
const FALLBACK_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Largest random delay added to the timeout for each [`HOSTS_PER_JITTER`] hosts, so that hosts that lost their
/// delegates together don't overload the store. The reads of one such host take the store some 60 ms.
const JITTER: Duration = Duration::from_millis(1_300);
/// Hosts for which one [`JITTER`] is enough.
const HOSTS_PER_JITTER: usize = 64;
/// How long a host follows another delegate before it tries its first candidate again. The first candidate is near, and the
/// hosts of a failure domain are distributed evenly by it.
const FAILBACK_INTERVAL: Duration = Duration::from_secs(10);

/// The first delegate of a failure domain, as registered in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstDelegate {
    /// The delegate's failure domain.
    pub failure_domain: id::FailureDomain,
    /// Address at which the delegate receives datagrams and serves followers.
    pub address: SocketAddr,
}

/// Delegates in the order in which a host tries them.
pub type Candidates = SmallVec<[SocketAddr; 8]>;

/// Returns the delegates that a host may follow: those of its own failure domain, in an order that distributes hosts evenly, then
/// the first delegates of the other failure domains. A delegate follows the first delegate, which reads the lists for it.
pub fn candidates(directory: &Directory, own: &Peer, now: Instant) -> Candidates {
    let near = directory.delegates(&own.failure_domain, now).into_iter();
    let mut candidates: Candidates = near.map(|it| it.address).collect();
    let is_delegate = candidates.contains(&own.address);
    candidates.retain(|it| *it != own.address);
    if !is_delegate {
        candidates.sort_by_cached_key(|it| rank(own.address, *it));
    }
    let domains = directory.failure_domains(&own.failure_domain, hash(&own.address));
    let far = domains.iter().filter(|it| **it != own.failure_domain);
    candidates.extend(far.filter_map(|domain| directory.allocator(domain, now)));
    candidates
}

/// Returns the first delegates that a starting host asks for the list of hosts: that of its own failure domain, then the others in
/// an order that distributes hosts evenly.
pub fn bootstrap_candidates(first_delegates: &[FirstDelegate], own: &Peer) -> Candidates {
    let others = first_delegates
        .iter()
        .filter(|it| it.address != own.address);
    let mut others: SmallVec<[&FirstDelegate; 8]> = others.collect();
    others.sort_by_cached_key(|it| {
        let is_far = it.failure_domain != own.failure_domain;
        (is_far, rank(own.address, it.address))
    });
    others.into_iter().map(|it| it.address).collect()
}

/// Ranks a delegate for a host (rendezvous hashing). The result is the same after each restart.
fn rank(own: SocketAddr, other: SocketAddr) -> u64 {
    hash(&(own, other))
}

fn hash(of: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    of.hash(&mut hasher);
    hasher.finish()
}

/// Selects the delegate that one host follows.
#[derive(Clone, Copy, Debug)]
pub struct SourceSelector {
    /// Index of the current candidate.
    index: usize,
    /// When the first candidate is tried again.
    failback_at: Instant,
    /// When the host falls back to reading the store, unless it receives a fresh update before.
    fallback_at: Instant,
}

impl SourceSelector {
    /// Creates the selector of a host that starts to follow, in a fleet of `hosts`.
    pub fn new(hosts: usize, now: Instant, rng: &mut impl Rng) -> Self {
        Self {
            index: 0,
            failback_at: now,
            fallback_at: fallback_at(hosts, now, rng),
        }
    }

    /// Returns the delegate to request an update from.
    pub fn select(&mut self, candidates: &Candidates, now: Instant) -> Option<SocketAddr> {
        if now >= self.failback_at {
            self.index = 0;
        }
        let count = candidates.len().max(1);
        candidates.get(self.index % count).copied()
    }

    /// Records a fresh update, which may be empty.
    pub fn on_fresh_update(&mut self, hosts: usize, now: Instant, rng: &mut impl Rng) {
        self.fallback_at = fallback_at(hosts, now, rng);
    }

    /// Moves on to the next candidate: the current one did not answer, or its update was stale.
    pub fn advance(&mut self, now: Instant) {
        self.index = self.index.wrapping_add(1);
        self.failback_at = now + FAILBACK_INTERVAL;
    }

    /// Returns whether the host has to read the store itself.
    pub fn must_read_store(&self, now: Instant) -> bool {
        now >= self.fallback_at
    }
}

fn fallback_at(hosts: usize, now: Instant, rng: &mut impl Rng) -> Instant {
    let jitter = JITTER * hosts.div_ceil(HOSTS_PER_JITTER).max(1) as u32;
    now + FALLBACK_TIMEOUT + rng.random_range(Duration::ZERO..=jitter)
}
