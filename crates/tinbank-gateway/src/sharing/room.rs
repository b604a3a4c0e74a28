//! Reports of free slots: which failure domain a request is sent to after the own one, and what allocators tell each other.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::Rng;
use tinbank_allocator::{
    allocator::Outgoing,
    frame::{DenialReport, Frame, Room, RoomReport, SlotResponse, Verdict},
    home::{self, Domains},
};
use tinbank_base::id;
use tokio::time;

use super::{Grantor, Sharing, SlotSpec, State, ask::SlotResult};
use crate::measure;

/// Time between two reports of an allocator to the others, which pass them on with denials. Demand of a failure domain
/// doubles within a second, so reports with heartbeats alone would often be too old.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a host that is no allocator checks whether it has become one. Each wake-up costs processor time on every host.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A slot request to another failure domain.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crossing {
    /// Whether a recent report of its free slots is known.
    has_report: bool,
}

impl Sharing {
    /// Returns the failure domains to ask for a free slot, in order, out of those that may be asked: the own one, then those
    /// that have room or no recent report.
    pub(super) fn order_by_room(&self, domains: &Domains, spec: &SlotSpec<'_>) -> Domains {
        if !self.shares_room {
            return domains.clone();
        }
        let own = &self.own.failure_domain;
        let (mut order, others): (Domains, Domains) =
            domains.iter().cloned().partition(|it| it == own);
        let draw = rand::rng().random();
        let state = self.state.borrow();
        let rooms = &state.rooms;
        let now = Instant::now();
        order.extend(home::order_others(
            &others,
            rooms,
            spec.service,
            spec.class,
            draw,
            now,
        ));
        order
    }

    /// Counts a request against the room that a failure domain has reported. Returns `None` for the own one.
    pub(super) fn record_crossing(&self, domain: &str, spec: &SlotSpec<'_>) -> Option<Crossing> {
        if !self.shares_room || domain == self.own.failure_domain {
            return None;
        }
        let now = Instant::now();
        let rooms = &mut self.state.borrow_mut().rooms;
        let available = rooms.available(domain, spec.service, spec.class, now);
        rooms.record_sent(domain, spec.service, now);
        Some(Crossing {
            has_report: available.is_some(),
        })
    }

    /// Records the result of a slot request. A denial of a request that can't use all upstreams, or that none of them can process,
    /// says nothing about others.
    pub(super) fn record_result(
        &self,
        domain: &str,
        spec: &SlotSpec<'_>,
        crossing: Option<Crossing>,
        result: &SlotResult,
    ) {
        let Some(Crossing { has_report }) = crossing else {
            return;
        };
        let is_granted = matches!(result, SlotResult::Granted(_));
        measure::record_crossing(has_report, is_granted);
        let takes_any = spec.exclude.is_empty() && spec.build.is_none();
        if takes_any && matches!(result, SlotResult::Denied(denied) if denied.is_usual()) {
            let rooms = &mut self.state.borrow_mut().rooms;
            rooms.record_denied(domain, spec.service, spec.class);
        }
    }

    /// Handles a denial that carries reports.
    pub(super) fn on_denial(&self, from: &Grantor, report: DenialReport, now: Instant) {
        let response = SlotResponse {
            lease: report.lease,
            verdict: Verdict::Denied(report.denial),
        };
        for room in report.rooms {
            self.record_room(room, now);
        }
        self.on_answer(from, response);
    }

    /// Records a report that another host has made or passed on.
    pub(super) fn record_room(&self, report: RoomReport, now: Instant) {
        let age = Duration::from_millis(report.age_ms.into());
        if let Some(reported_at) = now.checked_sub(age) {
            let rooms = &mut self.state.borrow_mut().rooms;
            rooms.record(&report.failure_domain, report.room, reported_at);
        }
    }

    /// Sends the free slots of the own failure domain to the other allocators, if this host is an allocator. Returns when to do
    /// so again.
    fn broadcast_room_once(&self, now: Instant) -> Instant {
        let mut state = self.state.borrow_mut();
        let Some(room) = state.allocator.room(now) else {
            return now + ROLE_CHECK_INTERVAL;
        };
        let mut allocators = state.directory.allocators(now);
        drop(state);
        allocators.retain(|it| *it != self.own.address);
        let own = RoomReport {
            failure_domain: self.own.failure_domain.clone(),
            age_ms: 0,
            room,
        };
        let substitutes = self.take_substitute_rooms(now).into_iter();
        for report in std::iter::once(own).chain(substitutes) {
            let frame = Frame::Room(report);
            allocators.iter().for_each(|it| self.send(*it, &frame));
        }
        now + BROADCAST_INTERVAL
    }
}

impl State {
    /// Records the room that an allocator reports of its own failure domain.
    pub(super) fn record_own_room(&mut self, allocator: SocketAddr, room: Room, now: Instant) {
        if let Some(peer) = self.directory.peer(allocator) {
            self.rooms.record(&peer.failure_domain, room, now);
        }
    }

    /// Adds what is known of free slots to denials: of the failure domain whose slots are denied from its allocator, and for hosts
    /// of the own failure domain also of the others from their reports. Bytes between failure domains have a price.
    pub(super) fn add_rooms(
        &mut self,
        out: &mut Outgoing,
        own: &id::FailureDomain,
        acting_for: Option<&str>,
        now: Instant,
    ) {
        let denied = acting_for.unwrap_or(own).to_owned();
        for (to, frame) in out.iter_mut() {
            let Frame::SlotResponse(SlotResponse { lease, verdict }) = frame else {
                continue;
            };
            let Verdict::Denied(denial) = *verdict else {
                continue;
            };
            let room = self.allocator_of(acting_for).and_then(|it| it.room(now));
            let denied_room = room.map(|room| RoomReport {
                failure_domain: denied.clone(),
                age_ms: 0,
                room,
            });
            let others = self.rooms.recent(now);
            let receiver = self.directory.peer(*to);
            let is_near = receiver.is_some_and(|it| it.failure_domain == *own);
            let others = others.filter(|it| is_near && it.failure_domain != denied);
            *frame = Frame::Denial(DenialReport {
                lease: *lease,
                denial,
                rooms: denied_room.into_iter().chain(others).collect(),
            });
        }
    }
}

/// Sends the free slots to the other allocators at each interval, forever.
pub(crate) async fn broadcast_room(sharing: Rc<Sharing>) {
    loop {
        let next = sharing.broadcast_room_once(Instant::now());
        time::sleep_until(next.into()).await;
    }
}
