//! Decides on a slot request: grants a slot, queues the request, or denies it.

use std::{net::SocketAddr, time::Instant};

use tinbank_allowance::counter;

use super::{Allocator, LEASE_DURATION, Outgoing};
use crate::{
    frame::{Frame, Grant, OverLimit, Queue, SlotRequest, SlotResponse, Verdict},
    grants,
    lease::{Class, Due},
    waiting::Waiter,
};

/// Maximum number of slots per failure domain that batch leaves free, one per upstream below that, so that an online
/// request seldom has to reclaim one. Covers the online requests that arrive while a slot is being reclaimed.
const MAX_HEADROOM: usize = 8;

impl Allocator {
    /// Responds to a slot request.
    pub(super) fn handle_request(
        &mut self,
        from: SocketAddr,
        request: SlotRequest,
        now: Instant,
        out: &mut Outgoing,
    ) {
        self.expire_leases(now);
        self.wait_queue.remove_expired(now);
        // A repeated request has lost its response, and gets the same one.
        let verdict = if let Some(index) = self.upstreams.index_of_lease(from, request.lease) {
            Verdict::Granted(self.grant(index, from, &request, now))
        } else if self.wait_queue.contains(from, request.lease) {
            Verdict::Waiting
        } else if let Some(over) = self.check_limit(&request, now) {
            Verdict::OverLimit(over)
        } else if let Some(index) = self.choose_upstream(&request, now, out) {
            Verdict::Granted(self.grant(index, from, &request, now))
        } else {
            self.enqueue(from, &request, now)
        };
        let lease = request.lease;
        out.push((from, Frame::SlotResponse(SlotResponse { lease, verdict })));
    }

    /// Returns the overrun if the request's customer has used up its allowance. Does not consume any of it.
    fn check_limit(&mut self, request: &SlotRequest, now: Instant) -> Option<OverLimit> {
        let meter = request.meter.as_ref()?;
        match self.counter.check(&meter.customer, meter.limit, now) {
            counter::Verdict::Within => None,
            counter::Verdict::Over(over) => Some(OverLimit {
                retry_after_ms: over.retry_after.as_millis() as u32,
                level_milli: over.level_milli,
            }),
        }
    }

    /// Returns the upstream at which a request may start now.
    fn choose_upstream(
        &mut self,
        request: &SlotRequest,
        now: Instant,
        out: &mut Outgoing,
    ) -> Option<usize> {
        match request.class {
            Class::Online => self.choose_online(request, now, out),
            Class::Batch(due) => self.choose_batch(request, due, now, out),
        }
    }

    /// Adds or renews a lease. A new one counts against the customer's allowance.
    fn grant(
        &mut self,
        index: usize,
        from: SocketAddr,
        request: &SlotRequest,
        now: Instant,
    ) -> Grant {
        let learning = self.is_learning(now);
        let entry = &mut self.upstreams[index];
        let is_known = entry.state.grants.contains(from, request.lease);
        if let (false, Some(meter)) = (is_known, &request.meter) {
            self.counter.take(&meter.customer, meter.limit, now);
        }
        if !is_known {
            entry.state.slow_start.record_request(now);
        }
        let others = entry.load() - usize::from(is_known);
        let queued = learning || others >= entry.upstream.slots;
        entry.state.grants.add(grants::Grant {
            holder: from,
            lease: request.lease,
            class: request.class,
            expires_at: now + LEASE_DURATION,
            granted_at: (!request.class.is_batch()).then_some(now),
        });
        let grant = Grant {
            upstream: entry.upstream.instance.clone(),
            address: entry.upstream.address,
            queued,
        };
        self.upstreams.add_holder(index, from);
        grant
    }

    /// Queues a request if a slot is likely to become free for it in time; denies it otherwise.
    fn enqueue(&mut self, from: SocketAddr, request: &SlotRequest, now: Instant) -> Verdict {
        let Some(max_wait) = request.queue.max_wait() else {
            return Verdict::Denied;
        };
        let slots: usize = self
            .upstreams
            .iter()
            .filter(|entry| entry.accepts(request, now))
            .map(|entry| entry.upstream.slots)
            .sum();
        if slots == 0 {
            return Verdict::Denied;
        }
        let ahead = self.wait_queue.count_ahead(request, max_wait, now);
        let wait = self.slot_time.get_or_zero() * (ahead + 1) as u32 / slots as u32;
        if wait > max_wait {
            return Verdict::Denied;
        }
        self.wait_queue.add(from, request.clone(), max_wait, now);
        Verdict::Waiting
    }

    /// Grants free slots to queued requests.
    pub(super) fn serve_wait_queue(&mut self, now: Instant, out: &mut Outgoing) {
        if self.wait_queue.is_empty() || !self.has_available_slot() {
            return;
        }
        self.wait_queue.remove_expired(now);
        let mut left: Vec<Waiter> = Vec::new();
        for waiter in self.wait_queue.take() {
            // Other requests of the customer may have used up its allowance in the meantime.
            let verdict = if let Some(over) = self.check_limit(&waiter.request, now) {
                Verdict::OverLimit(over)
            } else if let Some(index) = self.choose_upstream(&waiter.request, now, out) {
                Verdict::Granted(self.grant(index, waiter.from, &waiter.request, now))
            } else {
                left.push(waiter);
                continue;
            };
            let response = SlotResponse {
                lease: waiter.request.lease,
                verdict,
            };
            out.push((waiter.from, Frame::SlotResponse(response)));
        }
        self.wait_queue.restore(left);
    }

    /// Returns whether an upstream has a slot that is free or can be reclaimed from batch.
    fn has_available_slot(&self) -> bool {
        let mut entries = self.upstreams.iter();
        entries.any(|it| it.load() < it.upstream.slots || it.has_batch())
    }

    /// Chooses a free slot, else one reclaimed from batch, else the least loaded upstream if the request may queue inside
    /// it.
    fn choose_online(
        &mut self,
        request: &SlotRequest,
        now: Instant,
        out: &mut Outgoing,
    ) -> Option<usize> {
        let least = self.least_loaded(request, now)?;
        let entry = &self.upstreams[least];
        if entry.load() < entry.upstream.slots {
            return Some(least);
        }
        if let Some((index, _)) = self.reclaimable(request, now) {
            self.reclaim(index, out);
            return Some(index);
        }
        (request.queue == Queue::InUpstream).then_some(least)
    }

    /// Chooses a slot that leaves the headroom for online requests free. An item that can still be on time takes the slot
    /// of a late one.
    fn choose_batch(
        &mut self,
        request: &SlotRequest,
        due: Due,
        now: Instant,
        out: &mut Outgoing,
    ) -> Option<usize> {
        if self.is_learning(now) {
            return None;
        }
        let least = self.least_loaded(request, now)?;
        let entry = &self.upstreams[least];
        if entry.load() < entry.upstream.slots && self.has_slot_beyond_headroom(request, now) {
            return Some(least);
        }
        let (index, last) = self.reclaimable(request, now)?;
        if due.late || !last.late {
            return None;
        }
        self.reclaim(index, out);
        Some(index)
    }

    /// Returns whether more slots are free than batch has to leave free.
    fn has_slot_beyond_headroom(&self, request: &SlotRequest, now: Instant) -> bool {
        let eligible = self.upstreams.iter().filter(|it| it.accepts(request, now));
        let (mut upstreams, mut free) = (0, 0);
        for entry in eligible {
            upstreams += 1;
            free += entry.upstream.slots.saturating_sub(entry.load());
        }
        free > upstreams.min(MAX_HEADROOM)
    }

    fn reclaim(&mut self, index: usize, out: &mut Outgoing) {
        if let Some(grant) = self.upstreams[index].state.grants.reclaim() {
            out.push((grant.holder, Frame::Reclaim(grant.lease)));
        }
    }

    /// Returns the upstream with the lowest load, rotating among equals.
    fn least_loaded(&mut self, request: &SlotRequest, now: Instant) -> Option<usize> {
        self.rotation = self.rotation.wrapping_add(1);
        let count = self.upstreams.len();
        let start = self.rotation as usize % count.max(1);
        (0..count)
            .map(|step| (start + step) % count)
            .filter(|index| self.upstreams[*index].accepts(request, now))
            .min_by_key(|index| self.upstreams[*index].load())
    }

    /// Returns the upstream that runs the batch item with the latest due time, and that due time.
    fn reclaimable(&self, request: &SlotRequest, now: Instant) -> Option<(usize, Due)> {
        (0..self.upstreams.len())
            .filter(|index| self.upstreams[*index].accepts(request, now))
            .filter_map(|index| Some((index, self.upstreams[index].state.grants.last_due()?)))
            .max_by_key(|(_, due)| *due)
    }
}
