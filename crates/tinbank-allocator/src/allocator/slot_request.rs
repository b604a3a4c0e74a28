//! Decides on a slot request: grants a slot, queues the request, or denies it.

use std::{collections::VecDeque, net::SocketAddr, time::Instant};

use tinbank_allowance::counter;

use super::{Allocator, LEASE_DURATION, Outgoing};
use crate::{
    frame::{Frame, Grant, OverLimit, Queue, SlotRequest, SlotResponse, Verdict},
    grants,
    lease::{Class, Due, Footprint},
    order::Waiter,
    placement::LATE,
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
            self.order.record_grant(&request, now);
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
        let kept_tokens = entry.state.cache.kept_tokens(&request.size, now);
        let unread_tokens = request.size.prompt_tokens.saturating_sub(kept_tokens);
        if !is_known {
            entry.state.pace.record_prompt(unread_tokens, now);
            entry.state.slow_start.record_request(now);
            let capacity = entry.upstream.memory_tokens;
            entry.state.cache.record_sent(&request.size, capacity, now);
        }
        let others = entry.load() - usize::from(is_known);
        let queued = learning || others >= entry.upstream.slots;
        entry.state.grants.add(grants::Grant {
            holder: from,
            lease: request.lease,
            class: request.class,
            expires_at: now + LEASE_DURATION,
            granted_at: (!request.class.is_batch()).then_some(now),
            footprint: footprint(request),
            unread_tokens: Some(unread_tokens),
        });
        // Further requests may start beside this one.
        let load = entry.upstream.slots;
        let pace = &entry.state.pace;
        let expected = pace.expected(request.class.is_batch(), load, unread_tokens, now);
        let grant = Grant {
            upstream: entry.upstream.instance.clone(),
            address: entry.upstream.address,
            queued,
            expected,
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
            .map(|entry| entry.concurrency(&*self.placement, now))
            .sum();
        if slots == 0 || !self.order.may_wait(request, self.wait_queue.waiters()) {
            return Verdict::Denied;
        }
        let waiter = Waiter {
            from,
            request: request.clone(),
            expires_at: now + max_wait,
        };
        let ahead = self.wait_queue.count_ahead(&waiter, &*self.order);
        let wait = self.slot_time.get_or_zero() * (ahead + 1) as u32 / slots as u32;
        if wait > max_wait {
            return Verdict::Denied;
        }
        let waiting = self.wait_queue.waiters();
        self.order.record_queued(request, waiting, now);
        self.wait_queue.add(waiter);
        Verdict::Waiting
    }

    /// Grants free slots to queued requests.
    pub(super) fn serve_wait_queue(&mut self, now: Instant, out: &mut Outgoing) {
        if self.wait_queue.is_empty() || !self.has_available_slot(now) {
            return;
        }
        self.wait_queue.remove_expired(now);
        let mut left: Vec<Waiter> = Vec::new();
        let mut waiters = VecDeque::from(self.wait_queue.take(&*self.order));
        while let Some(waiter) = waiters.pop_front() {
            // Other requests of the customer may have used up its allowance in the meantime.
            let verdict = if let Some(over) = self.check_limit(&waiter.request, now) {
                Verdict::OverLimit(over)
            } else if let Some(index) = self.choose_upstream(&waiter.request, now, out) {
                let grant = self.grant(index, waiter.from, &waiter.request, now);
                if self.order.record_grant(&waiter.request, now) {
                    let order = &*self.order;
                    waiters
                        .make_contiguous()
                        .sort_by(|a, b| order.compare(a, b));
                }
                Verdict::Granted(grant)
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
    fn has_available_slot(&self, now: Instant) -> bool {
        let mut entries = self.upstreams.iter();
        entries.any(|it| it.load() < it.concurrency(&*self.placement, now) || it.has_batch())
    }

    /// Chooses a free slot, else one reclaimed from batch, else the least loaded upstream if the request may queue inside
    /// it.
    fn choose_online(
        &mut self,
        request: &SlotRequest,
        now: Instant,
        out: &mut Outgoing,
    ) -> Option<usize> {
        let best = self.cheapest(request, now);
        if let Some(best) = best.filter(|it| self.has_free_slot(*it, request, now)) {
            return Some(best);
        }
        if let Some(index) = self.reclaimable_for_online(request, now) {
            self.reclaim(index, out);
            return Some(index);
        }
        best.filter(|_| request.queue == Queue::InUpstream)
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
        if let Some(best) = self.cheapest(request, now)
            && self.has_free_slot(best, request, now)
            && self.has_slot_beyond_headroom(request, now)
        {
            return Some(best);
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
            free += entry.free_slots(request, &*self.placement, now);
        }
        free > upstreams.min(MAX_HEADROOM)
    }

    pub(super) fn reclaim(&mut self, index: usize, out: &mut Outgoing) {
        if let Some(grant) = self.upstreams[index].state.grants.reclaim() {
            out.push((grant.holder, Frame::Reclaim(grant.lease)));
        }
    }

    fn has_free_slot(&self, index: usize, request: &SlotRequest, now: Instant) -> bool {
        self.upstreams[index].free_slots(request, &*self.placement, now) > 0
    }

    /// Returns the upstream with the lowest cost for a request, rotating among equals.
    fn cheapest(&mut self, request: &SlotRequest, now: Instant) -> Option<usize> {
        self.rotation = self.rotation.wrapping_add(1);
        let count = self.upstreams.len();
        let start = self.rotation as usize % count.max(1);
        let mut paces = self.upstreams.iter().map(|entry| &entry.state.pace);
        self.placement.refresh(&mut paces, now);
        let placement = &*self.placement;
        let candidates = (0..count)
            .map(|step| (start + step) % count)
            .filter(|index| self.upstreams[*index].accepts(request, now));
        let costs = candidates.filter_map(|index| {
            let candidate = self.upstreams[index].candidate(request, now);
            let is_full = placement.concurrency(&candidate, now) <= candidate.load;
            let cost = placement.cost(request, &candidate, now)?;
            Some((index, (is_full, cost)))
        });
        let cheapest = costs.min_by_key(|(_, cost)| *cost);
        cheapest.map(|(index, _)| index)
    }

    /// Returns an upstream with a batch item in whose place an online request may run: one where it is not expected to be late, and
    /// of these a slow one before the others. A slow upstream whose requests exceed its concurrency is of no use to it.
    fn reclaimable_for_online(&self, request: &SlotRequest, now: Instant) -> Option<usize> {
        let reclaimable = (0..self.upstreams.len()).filter_map(|index| {
            let entry = &self.upstreams[index];
            let is_slow = entry.state.pace.is_slow(now);
            let is_full = is_slow && entry.load() > entry.concurrency(&*self.placement, now);
            let due = entry.state.grants.last_due()?;
            if is_full || !entry.accepts(request, now) {
                return None;
            }
            let candidate = entry.candidate(request, now);
            let cost = self.placement.cost(request, &candidate, now);
            let is_on_time = cost.is_none_or(|it| it < LATE);
            Some((index, (is_on_time, is_slow, due)))
        });
        let (index, _) = reclaimable.max_by_key(|(_, key)| *key)?;
        Some(index)
    }

    /// Returns the upstream that runs the batch item with the latest due time, and that due time.
    fn reclaimable(&self, request: &SlotRequest, now: Instant) -> Option<(usize, Due)> {
        (0..self.upstreams.len())
            .filter(|index| self.upstreams[*index].accepts(request, now))
            .filter_map(|index| Some((index, self.upstreams[index].state.grants.last_due()?)))
            .max_by_key(|(_, due)| *due)
    }
}

/// Returns what a request takes of its upstream and of its customer's share.
fn footprint(request: &SlotRequest) -> Footprint {
    Footprint {
        memory: request.size.memory(),
        work: request.size.work(),
        customer: request.share.as_ref().map(|it| it.customer.clone()),
    }
}
