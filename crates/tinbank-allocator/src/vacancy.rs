//! Failure domains none of whose hosts responds, and who grants the slots of their upstreams.
//!
//! The allocator of another failure domain acts as a substitute. Every host sends a heartbeat to each allocator once a second, so
//! an allocator knows whether any host of a failure domain lives, however many there are. It announces to all hosts for which
//! failure domains it acts; hosts decide nothing of their own. See `docs/design/vacant-failure-domains.md`.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::{
    allocator::LEASE_DURATION,
    directory::{Directory, Peer},
};

/// Time without a datagram of any of its hosts after which a failure domain counts as vacant. By then its allocator grants nothing
/// that a host still reports.
pub const SILENCE_TIMEOUT: Duration = LEASE_DURATION;
/// The same for a failure domain whose hosts have left the list, so that none of them can have missed a heartbeat.
const UNLISTED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a new allocator waits for the heartbeats of all hosts before it takes a failure domain for vacant.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);
/// How long an announcement is valid: two and a half heartbeats, so that two lost ones are tolerated.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(2_500);

/// Failure domains that a host acts for.
pub type Vacant = SmallVec<[id::FailureDomain; 2]>;

/// What a host knows of the failure domains that may have no hosts.
#[derive(Debug, Default)]
pub struct Vacancies {
    /// When a host of each failure domain was last in contact with this host.
    contacts: HashMap<id::FailureDomain, Instant>,
    /// Since when hosts send their heartbeats to this host, as an allocator.
    allocator_since: Option<Instant>,
    /// Since when this host has received datagrams.
    listening_since: Option<Instant>,
    announcements: HashMap<id::FailureDomain, SmallVec<[Announcement; 1]>>,
}

/// Announcement of an allocator that it acts for a failure domain.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    from: SocketAddr,
    expires_at: Instant,
}

/// What decides whether a host acts for a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// The failure domain.
    pub domain: &'a str,
    /// Whether this host acts for it already.
    pub is_acting: bool,
    /// Whether a host there reaches the store, so that it can grant the slots itself.
    pub is_served: bool,
}

impl Vacancies {
    /// Records that a host of a failure domain has sent a datagram.
    pub fn record_contact(&mut self, domain: &str, now: Instant) {
        match self.contacts.get_mut(domain) {
            Some(at) => *at = now,
            None => drop(self.contacts.insert(domain.to_owned(), now)),
        }
    }

    /// Records whether this host is the allocator of its failure domain.
    pub fn record_role(&mut self, is_allocator: bool, now: Instant) {
        self.listening_since.get_or_insert(now);
        match is_allocator {
            true => drop(self.allocator_since.get_or_insert(now)),
            false => self.allocator_since = None,
        }
    }

    /// Forgets when hosts were in contact, for use after a pause of the process, in which none could be.
    pub fn reset(&mut self, now: Instant) {
        self.contacts.clear();
        self.listening_since = Some(now);
    }

    /// Records for which failure domains another allocator acts, or this one. Returns whether that has changed.
    pub fn record_announcement(
        &mut self,
        from: SocketAddr,
        domains: &[id::FailureDomain],
        now: Instant,
    ) -> bool {
        let mut changed = false;
        for (domain, announcements) in &mut self.announcements {
            let before = announcements.len();
            let is_continued = domains.contains(domain);
            announcements.retain(|it| now < it.expires_at && (it.from != from || is_continued));
            changed |= announcements.len() != before;
        }
        self.announcements.retain(|_, it| !it.is_empty());
        let expires_at = now + ANNOUNCEMENT_LIFETIME;
        for domain in domains {
            let announcements = self.announcements.entry(domain.clone()).or_default();
            match announcements.iter_mut().find(|it| it.from == from) {
                Some(known) => known.expires_at = expires_at,
                None => {
                    announcements.push(Announcement { from, expires_at });
                    changed = true;
                }
            }
        }
        changed
    }

    /// Returns the failure domains for which an allocator acts.
    pub fn announced(&self, now: Instant) -> impl Iterator<Item = &id::FailureDomain> {
        let announced = self.announcements.iter();
        let valid = announced
            .filter(move |(_, it)| it.iter().any(|announcement| now < announcement.expires_at));
        valid.map(|(domain, _)| domain)
    }

    /// Returns the allocator that acts for a failure domain. If several do for a while, all hosts choose the same one.
    pub fn substitute(
        &self,
        domain: &str,
        directory: &Directory,
        now: Instant,
    ) -> Option<SocketAddr> {
        let announcements = self.announcements.get(domain)?.iter();
        let valid = announcements.filter(|it| now < it.expires_at);
        let responsive = valid.filter_map(|it| directory.responsive_peer(it.from, now));
        let first = responsive.min_by_key(|peer| directory.substitute_rank(domain, peer))?;
        Some(first.address)
    }

    /// Returns whether this host acts for a failure domain from now on.
    pub fn must_act(
        &self,
        directory: &Directory,
        own: &Peer,
        of: Situation<'_>,
        now: Instant,
    ) -> bool {
        let is_allocator = directory.allocator(&own.failure_domain, now) == Some(own.address);
        if !is_allocator || of.is_served || own.failure_domain == of.domain {
            return false;
        }
        if let Some(other) = self.substitute(of.domain, directory, now)
            && other != own.address
        {
            return false;
        }
        of.is_acting
            || self.is_vacant(of.domain, directory, now)
                && self.is_elected(directory, own, of.domain, now)
    }

    /// Returns whether no host of a failure domain lives, as far as an allocator can tell.
    fn is_vacant(&self, domain: &str, directory: &Directory, now: Instant) -> bool {
        let (Some(allocator_since), Some(listening_since)) =
            (self.allocator_since, self.listening_since)
        else {
            return false;
        };
        let silent_since = match self.contacts.get(domain) {
            Some(at) if directory.host_count_in(domain) == 0 => *at + UNLISTED_TIMEOUT,
            Some(at) => *at + SILENCE_TIMEOUT,
            None => listening_since + SILENCE_TIMEOUT,
        };
        now >= silent_since && now >= allocator_since + OBSERVATION_TIME
    }

    /// Returns whether this host is the one that all allocators choose to act for a failure domain.
    fn is_elected(&self, directory: &Directory, own: &Peer, domain: &str, now: Instant) -> bool {
        let is_responsive = |candidate: &Peer| {
            let contact = self.contacts.get(&candidate.failure_domain);
            candidate.address == own.address
                || contact.is_some_and(|at| now < *at + SILENCE_TIMEOUT)
        };
        let allocators = directory.allocators(now);
        let candidates = allocators.iter().filter_map(|it| directory.peer(*it));
        let candidates = candidates.filter(|it| it.failure_domain != domain && is_responsive(it));
        let first = candidates.min_by_key(|it| directory.substitute_rank(domain, it));
        first.is_some_and(|it| it.address == own.address)
    }
}
