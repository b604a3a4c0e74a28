//! Free slots of failure domains: what an allocator reports of its own, and what a host knows of all of them.
//!
//! See `docs/design/uneven-demand.md`.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::{
    entries::Entries,
    entry::Entry,
    frame::{Queue, Room, RoomReport, ServiceRoom, SlotRequest},
    lease::Class,
    order::Waiter,
    placement::Placement,
    size::Size,
};

/// Age from which on a report is not used: three heartbeats, so that two lost ones are tolerated.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// How long an allocator reports the same counts, since counting all slots for each datagram would cost more than granting
/// one. Far less than a request holds its slot.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of requests that are remembered as sent since a report. More than one host sends within
/// [`REPORT_LIFETIME`] to a failure domain that has room.
const MAX_SENT: usize = 64;

/// The counts that an allocator reports, which are refreshed at intervals.
#[derive(Debug, Default)]
pub(crate) struct Reporter {
    room: Room,
    refresh_at: Option<Instant>,
}

impl Reporter {
    /// Returns the counts, and measures them anew if they are due for it.
    pub fn room(&mut self, now: Instant, measure: impl FnOnce() -> Room) -> Room {
        if self.refresh_at.is_none_or(|at| now >= at) {
            self.room = measure();
            self.refresh_at = Some(now + REFRESH_INTERVAL);
        }
        self.room.clone()
    }
}

/// Counts the free slots and the waiting requests of each service. Batch leaves one slot of each upstream free for online
/// requests, at most `max_headroom`.
pub(crate) fn measure(
    upstreams: &Entries,
    waiting: &[Waiter],
    placement: &dyn Placement,
    max_headroom: usize,
    now: Instant,
) -> Room {
    let mut services: SmallVec<[ServiceRoom; 1]> = SmallVec::new();
    for entry in upstreams.iter() {
        let service = &entry.upstream.service;
        if services.iter().all(|it| it.service != *service) {
            let of_service = upstreams
                .iter()
                .filter(|it| it.upstream.service == *service);
            let mut room = measure_service(service, of_service, placement, max_headroom, now);
            let waiters = waiting.iter();
            room.waiting = waiters.filter(|it| it.request.service == *service).count() as u32;
            services.push(room);
        }
    }
    Room { services }
}

fn measure_service<'a>(
    service: &str,
    upstreams: impl Iterator<Item = &'a Entry>,
    placement: &dyn Placement,
    max_headroom: usize,
    now: Instant,
) -> ServiceRoom {
    let typical = typical_request(service);
    let (mut count, mut idle, mut batch) = (0, 0, 0);
    for entry in upstreams.filter(|it| it.accepts(&typical, now)) {
        count += 1;
        idle += entry.free_slots(&typical, placement, now);
        batch += entry.state.grants.batch_count();
    }
    ServiceRoom {
        service: service.to_owned(),
        free: (idle + batch) as u32,
        free_for_batch: idle.saturating_sub(max_headroom.min(count)) as u32,
        waiting: 0,
    }
}

/// Returns an online request without any peculiarity, for which slots are counted.
fn typical_request(service: &str) -> SlotRequest {
    SlotRequest {
        lease: 0,
        class: Class::Online,
        service: service.to_owned(),
        exclude: SmallVec::new(),
        queue: Queue::No,
        rank: 0,
        meter: None,
        share: None,
        size: Size::default(),
        build: None,
        max_gap_ms: None,
    }
}

/// What a host knows of the free slots of all failure domains.
#[derive(Debug, Default)]
pub struct Rooms {
    known: HashMap<id::FailureDomain, Known>,
}

/// The latest report of a failure domain, and what the host has sent there since.
#[derive(Debug)]
struct Known {
    room: Room,
    reported_at: Instant,
    sent: SmallVec<[Sent; 4]>,
}

#[derive(Debug)]
struct Sent {
    service: id::Service,
    at: Instant,
}

impl Rooms {
    /// Records a report, unless a newer one is known. Requests sent before the report are part of it.
    pub fn record(&mut self, domain: &str, room: Room, reported_at: Instant) {
        let Some(known) = self.known.get_mut(domain) else {
            let known = Known {
                room,
                reported_at,
                sent: SmallVec::new(),
            };
            self.known.insert(domain.to_owned(), known);
            return;
        };
        if known.reported_at <= reported_at {
            known.room = room;
            known.reported_at = reported_at;
            known.sent.retain(|it| it.at > reported_at);
        }
    }

    /// Records that this host sends a request to a failure domain.
    pub fn record_sent(&mut self, domain: &str, service: &str, now: Instant) {
        if let Some(known) = self.known.get_mut(domain)
            && known.sent.len() < MAX_SENT
        {
            known.sent.push(Sent {
                service: service.to_owned(),
                at: now,
            });
        }
    }

    /// Records that a failure domain has no slot for requests of this class, whatever it has reported before.
    pub fn record_denied(&mut self, domain: &str, service: &str, class: Class) {
        let Some(known) = self.known.get_mut(domain) else {
            return;
        };
        let mut services = known.room.services.iter_mut();
        let Some(room) = services.find(|it| it.service == service) else {
            return;
        };
        room.free_for_batch = 0;
        if !class.is_batch() {
            room.free = 0;
        }
    }

    /// Returns how many more requests a failure domain most likely has slots for, or `None` if there is no recent report.
    pub fn available(
        &self,
        domain: &str,
        service: &str,
        class: Class,
        now: Instant,
    ) -> Option<u32> {
        let known = self.known.get(domain)?;
        if now >= known.reported_at + REPORT_LIFETIME {
            return None;
        }
        let mut services = known.room.services.iter();
        let Some(room) = services.find(|it| it.service == service) else {
            return Some(0);
        };
        let free = match class {
            Class::Online => room.free,
            Class::Batch(_) => room.free_for_batch,
        };
        let sent = known.sent.iter().filter(|it| it.service == service).count();
        Some(free.saturating_sub(room.waiting + sent as u32))
    }

    /// Returns the recent reports of the failure domains, with their ages, to pass them on.
    pub fn recent(&self, now: Instant) -> impl Iterator<Item = RoomReport> {
        let recent = self
            .known
            .iter()
            .filter(move |(_, it)| now < it.reported_at + REPORT_LIFETIME);
        recent.map(move |(failure_domain, it)| RoomReport {
            failure_domain: failure_domain.clone(),
            age_ms: now.saturating_duration_since(it.reported_at).as_millis() as u32,
            room: it.room.clone(),
        })
    }
}
