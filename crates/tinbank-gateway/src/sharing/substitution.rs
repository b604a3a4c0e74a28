//! Allocators that act for failure domains none of whose hosts responds.
//!
//! [`tinbank_allocator::vacancy`] decides when. This module runs the allocators for other failure domains at this host, and finds
//! the one to which slot requests of this host go. See `docs/design/vacant-failure-domains.md`.

use std::{collections::BTreeSet, fmt, net::SocketAddr, time::Instant};

use rand::Rng;
use smallvec::SmallVec;
use tinbank_allocator::{
    Allocator,
    allocator::{Outgoing, Upstream},
    frame::{Denial, Frame, OnBehalf, Room, RoomReport, SlotResponse, Substitution, Verdict},
    home::Domains,
    vacancy::{Situation, Vacant},
};
use tinbank_base::id;

use super::{Sharing, State};
use crate::{measure, node::Node};

/// Number of returned hosts that are remembered for a failure domain. Others are found by its hosts' heartbeats.
const MAX_RETURNED: usize = 8;

/// The allocator that grants the slots of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Grantor {
    pub host: SocketAddr,
    /// The failure domain, if it is not that of the host.
    pub acting_for: Option<id::FailureDomain>,
}

impl Grantor {
    /// Addresses a frame to or from the allocator.
    pub fn address(&self, frame: Frame) -> Frame {
        let Some(failure_domain) = self.acting_for.clone() else {
            return frame;
        };
        Frame::OnBehalf(OnBehalf {
            failure_domain,
            frame: Box::new(frame),
        })
    }
}

impl From<SocketAddr> for Grantor {
    fn from(host: SocketAddr) -> Self {
        Self {
            host,
            acting_for: None,
        }
    }
}

impl fmt::Display for Grantor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.acting_for {
            Some(domain) => write!(f, "{} for {domain}", self.host),
            None => write!(f, "{}", self.host),
        }
    }
}

/// An allocator at this host for another failure domain.
pub(super) struct Substitute {
    pub allocator: Allocator,
    /// Hosts there that have sent something since.
    returned: SmallVec<[SocketAddr; 4]>,
}

impl State {
    /// Returns the allocator at this host that grants the slots of a failure domain, if there is one.
    pub(super) fn allocator_of(&mut self, acting_for: Option<&str>) -> Option<&mut Allocator> {
        let Some(domain) = acting_for else {
            return Some(&mut self.allocator);
        };
        let substitute = self.substitutes.get_mut(domain)?;
        Some(&mut substitute.allocator)
    }

    /// Returns all allocators at this host.
    pub(super) fn allocators(&self) -> impl Iterator<Item = &Allocator> {
        let substitutes = self.substitutes.values();
        std::iter::once(&self.allocator).chain(substitutes.map(|it| &it.allocator))
    }

    /// Returns all allocators at this host.
    pub(super) fn allocators_mut(&mut self) -> impl Iterator<Item = &mut Allocator> {
        let substitutes = self.substitutes.values_mut();
        std::iter::once(&mut self.allocator).chain(substitutes.map(|it| &mut it.allocator))
    }

    /// Returns the upstreams that were found to be slow.
    pub(super) fn slow_upstreams(&self, now: Instant) -> usize {
        self.allocators().map(|it| it.slow_upstreams(now)).sum()
    }

    /// Returns the failure domains whose slots this host may request: those that have hosts, see
    /// [`tinbank_allocator::Directory::failure_domains`], then those that an allocator acts for.
    pub(super) fn granted_domains(&self, own: &str, turn: u64, now: Instant) -> Domains {
        let mut domains = self.directory.failure_domains(own, turn);
        let announced: Domains = self.vacancies.announced(now).cloned().collect();
        for domain in announced {
            if !domains.contains(&domain) {
                domains.push(domain);
            }
        }
        domains
    }

    /// Returns the free slots of the failure domains that this host acts for.
    fn substitute_rooms(&mut self, now: Instant) -> SmallVec<[RoomReport; 2]> {
        let rooms = self.substitutes.iter_mut().filter_map(|(domain, it)| {
            Some(RoomReport {
                failure_domain: domain.clone(),
                age_ms: 0,
                room: it.allocator.room(now)?,
            })
        });
        rooms.collect()
    }

    fn acting_for(&self) -> Vacant {
        self.substitutes.keys().cloned().collect()
    }
}

impl Sharing {
    /// Returns the allocator to which requests for the slots of a failure domain go. A host there that reaches the store can grant
    /// them itself; until then, it uses the substitute as all others do, so that there is one.
    pub(super) fn grantor(&self, domain: &str, now: Instant) -> Option<Grantor> {
        let state = self.state.borrow();
        let substitute = state.vacancies.substitute(domain, &state.directory, now);
        if let Some(host) = substitute
            && !self.is_served(&state, domain, now)
        {
            return Some(Grantor {
                host,
                acting_for: Some(domain.to_owned()),
            });
        }
        let allocator = state.directory.allocator(domain, now)?;
        Some(Grantor::from(allocator))
    }

    /// Returns whether a host of a failure domain is known to reach the store.
    fn is_served(&self, state: &State, domain: &str, now: Instant) -> bool {
        if domain == self.own.failure_domain && self.reaches_store(now) {
            return true;
        }
        let mut reports = state.store_reachable_at.keys();
        reports.any(|host| {
            let peer = state.directory.peer(*host);
            peer.is_some_and(|it| it.failure_domain == domain)
                && state.is_store_reachable_at(*host, now)
        })
    }

    /// Records that a host has sent a datagram.
    pub(super) fn record_domain_contact(&self, from: SocketAddr, now: Instant) {
        let state = &mut *self.state.borrow_mut();
        let Some(peer) = state.directory.peer(from) else {
            return;
        };
        let domain = &peer.failure_domain;
        state.vacancies.record_contact(domain, now);
        let Some(substitute) = state.substitutes.get_mut(domain) else {
            return;
        };
        let returned = &mut substitute.returned;
        if returned.len() < MAX_RETURNED && !returned.contains(&from) {
            returned.push(from);
        }
    }

    /// Tells a host that has sent a heartbeat for which failure domains this host acts. A host of such a failure domain is asked
    /// whether it can grant the slots there itself.
    pub(super) fn reply_substitution(&self, to: SocketAddr) {
        let state = self.state.borrow();
        if state.substitutes.is_empty() || to == self.own.address {
            return;
        }
        let acting_for = state.acting_for();
        let peer = state.directory.peer(to);
        let is_returned = peer.is_some_and(|it| acting_for.contains(&it.failure_domain));
        drop(state);
        let frame = Frame::Substitution(Substitution {
            acting_for,
            returned: SmallVec::new(),
        });
        self.send(to, &frame);
        if is_returned {
            self.send(to, &Frame::Ping);
        }
    }

    /// Records for which failure domains another host acts.
    pub(super) fn on_substitution(&self, from: SocketAddr, received: &Substitution, now: Instant) {
        let mut state = self.state.borrow_mut();
        for host in &received.returned {
            state.directory.record_datagram(*host);
        }
        let changed = state
            .vacancies
            .record_announcement(from, &received.acting_for, now);
        drop(state);
        if changed {
            log::info!(allocator:% = from, acting_for:? = received.acting_for, returned:? = received.returned; "allocator of failure domains without hosts changed");
            // A new allocator has to know the leases before it gets slot requests.
            self.send_holdings(now);
        }
    }

    /// Refuses a slot request for a failure domain that this host does not act for any more.
    pub(super) fn deny_on_behalf(&self, from: &Grantor, frame: Frame) {
        if let Frame::SlotRequest(request) = frame {
            let response = Frame::SlotResponse(SlotResponse {
                lease: request.lease,
                verdict: Verdict::Denied(Denial::default()),
            });
            self.send(from.host, &from.address(response));
        }
    }

    /// Returns the failure domains that this host acts for.
    pub(crate) fn acting_for(&self) -> Vacant {
        self.state.borrow().acting_for()
    }

    /// Sets the upstreams of a failure domain that this host acts for.
    pub(crate) fn set_substitute_upstreams(&self, domain: &str, upstreams: Vec<Upstream>) {
        let mut state = self.state.borrow_mut();
        let Some(substitute) = state.substitutes.get_mut(domain) else {
            return;
        };
        let out = substitute.allocator.set_upstreams(upstreams);
        drop(state);
        self.send_from(Some(domain), out);
    }

    /// Sends what an allocator at this host has to send.
    pub(super) fn send_from(&self, acting_for: Option<&str>, out: Outgoing) {
        let grantor = Grantor {
            host: self.own.address,
            acting_for: acting_for.map(str::to_owned),
        };
        for (to, frame) in out {
            self.send(to, &grantor.address(frame));
        }
    }

    /// Returns the free slots of failure domains that this host acts for, and records them for its own requests.
    pub(super) fn take_substitute_rooms(&self, now: Instant) -> SmallVec<[RoomReport; 2]> {
        let mut state = self.state.borrow_mut();
        let reports = state.substitute_rooms(now);
        for report in &reports {
            state
                .rooms
                .record(&report.failure_domain, report.room.clone(), now);
        }
        reports
    }

    /// Records the room that an allocator reports, of its own failure domain or of the one that it acts for.
    pub(super) fn record_grantor_room(&self, from: &Grantor, room: Room, now: Instant) {
        let mut state = self.state.borrow_mut();
        match &from.acting_for {
            Some(domain) => state.rooms.record(domain, room, now),
            None => state.record_own_room(from.host, room, now),
        }
    }
}

/// Begins or ends to act for failure domains without hosts. Called at each heartbeat.
pub(super) fn update(node: &Node, now: Instant) {
    let sharing = &node.sharing;
    let is_allocator = sharing.is_allocator(now);
    sharing
        .state
        .borrow_mut()
        .vacancies
        .record_role(is_allocator, now);
    let acting_for = sharing.acting_for();
    // A host that tracks the upstreams of its own failure domain only does not know those of others.
    let mut domains = match is_allocator && !node.view.is_own_domain_only() {
        true => domains_with_duties(node),
        false => BTreeSet::new(),
    };
    let mut changed = false;
    let mut returned = SmallVec::new();
    for domain in &acting_for {
        if !domains.remove(domain) || !sharing.must_act(domain, true, now) {
            returned.extend(sharing.end_acting(domain, now));
            changed = true;
        }
    }
    for domain in domains {
        if sharing.must_act(&domain, false, now) {
            sharing.begin_acting(&domain, node, now);
            changed = true;
        }
    }
    if !changed && acting_for.is_empty() {
        return;
    }
    if changed {
        sharing.announce(returned, now);
    } else {
        sharing.record_own_announcement(returned, now);
    }
}

/// Returns the failure domains that have upstreams, or of which the store says so.
fn domains_with_duties(node: &Node) -> BTreeSet<id::FailureDomain> {
    let mut domains = node.view.domains_with_upstreams();
    domains.extend(node.origins.builds.history().listed_domains().cloned());
    domains
}

impl Sharing {
    /// Ends to act for a failure domain one of whose hosts reaches the store, as soon as that is known.
    pub(super) fn hand_back(&self, to: SocketAddr, now: Instant) {
        let state = self.state.borrow();
        let Some(domain) = state.directory.peer(to).map(|it| it.failure_domain.clone()) else {
            return;
        };
        if !state.substitutes.contains_key(&domain) {
            return;
        }
        drop(state);
        let returned = self.end_acting(&domain, now);
        self.announce(returned, now);
    }

    /// Tells the allocator that acts for the own failure domain that this host reaches the store now.
    pub(super) fn report_return(&self, now: Instant) {
        let own = &self.own.failure_domain;
        let state = self.state.borrow();
        let substitute = state.vacancies.substitute(own, &state.directory, now);
        drop(state);
        if let Some(substitute) = substitute {
            self.send(substitute, &Frame::HeartbeatReply(self.alive(now)));
        }
    }

    /// Tells all hosts for which failure domains this one acts from now on, and which hosts have returned in others.
    fn announce(&self, returned: SmallVec<[SocketAddr; 4]>, now: Instant) {
        measure::set_vacant_failure_domains(self.acting_for().len());
        let substitution = self.record_own_announcement(returned, now);
        self.broadcast(&Frame::Substitution(substitution));
    }

    /// Records for this host's own requests for which failure domains it acts.
    fn record_own_announcement(
        &self,
        returned: SmallVec<[SocketAddr; 4]>,
        now: Instant,
    ) -> Substitution {
        let substitution = Substitution {
            acting_for: self.acting_for(),
            returned,
        };
        self.on_substitution(self.own.address, &substitution, now);
        substitution
    }

    fn must_act(&self, domain: &str, is_acting: bool, now: Instant) -> bool {
        let state = self.state.borrow();
        let situation = Situation {
            domain,
            is_acting,
            is_served: self.is_served(&state, domain, now),
        };
        state
            .vacancies
            .must_act(&state.directory, &self.own, situation, now)
    }

    fn begin_acting(&self, domain: &id::FailureDomain, node: &Node, now: Instant) {
        let upstreams = node.allocatable(domain, now);
        let mut state = self.state.borrow_mut();
        let seed = rand::rng().random();
        let mut allocator = state.allocator.for_other_domain(seed, self.options);
        if let Some(position) = node.view.replica().position() {
            allocator.set_list(position, node.view.replica().missing());
        }
        let count = upstreams.len();
        // A new allocator has no requests to deny.
        allocator.set_upstreams(upstreams);
        let substitute = Substitute {
            allocator,
            returned: SmallVec::new(),
        };
        state.substitutes.insert(domain.clone(), substitute);
        let listed_hosts = state.directory.host_count_in(domain);
        drop(state);
        log::warn!(failure_domain:% = domain, upstreams = count, listed_hosts; "no host of a failure domain responds, its slots are granted here");
    }

    /// Returns the hosts of the failure domain that respond again.
    fn end_acting(&self, domain: &id::FailureDomain, now: Instant) -> SmallVec<[SocketAddr; 4]> {
        let mut state = self.state.borrow_mut();
        let Some(mut substitute) = state.substitutes.remove(domain) else {
            return SmallVec::new();
        };
        let is_served = self.is_served(&state, domain, now);
        drop(state);
        // Denies the requests that wait, which may get a slot elsewhere.
        let out = substitute.allocator.set_upstreams(Vec::new());
        self.send_from(Some(domain), out);
        log::warn!(failure_domain:% = domain, returned:? = substitute.returned, is_served; "slots of a failure domain are no longer granted here");
        substitute.returned
    }
}
