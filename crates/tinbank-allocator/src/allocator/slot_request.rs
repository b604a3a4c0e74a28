//! Decides on a slot request: grants a slot, queues the request, or denies it.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Instant,
};

use smallvec::SmallVec;
use tinbank_allowance::counter;

use super::{Allocator, LEASE_DURATION, OVERSIZED_REPORT_INTERVAL, Outgoing, Oversized};
use crate::{
    entry::Entry,
    frame::{Denial, Frame, Grant, OverLimit, Queue, SlotRequest, SlotResponse, Verdict},
    grants,
    lease::{self, Class, Due, Footprint},
    memory,
    order::{Turnover, Waiter},
    placement::{LATE, Offer},
    prefix::Expectation,
    size::Tokens,
};

/// Maximum number of slots per failure domain that batch leaves free, one per upstream below that, so that an online
/// request seldom has to reclaim one. Covers the online requests that arrive while a slot is being reclaimed.
pub(super) const MAX_HEADROOM: usize = 8;

/// A queued request is denied if its expected wait exceeds this percentage of the time that it has left. Slots become free
/// irregularly, so at 100 many requests would be denied that get one in time.
const DISPLACED_PERCENT: u32 = 150;

/// Queued requests for which no upstream is found before the rest of the queue is left for the next datagram. Slots that few of
/// the requests can use, at slow upstreams or with little memory, would otherwise make each datagram cost the whole queue.
const MAX_FAILED_CHOICES: usize = 4;

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
            self.enqueue(from, &request, now, out)
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
        }
        let mut expectation = Expectation::default();
        if !is_known && self.prefix_affinity {
            let in_use = entry.state.grants.memory();
            let capacity = entry.upstream.memory_tokens;
            let left = capacity.map(|memory| memory.saturating_sub(in_use));
            expectation = entry.state.cache.record_sent(&request.size, left, now);
            let read = expectation.prompt_tokens - expectation.kept_tokens;
            self.summary.kept_tokens += u64::from(expectation.kept_tokens);
            self.summary.read_tokens += u64::from(read);
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
            expectation,
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
    fn enqueue(
        &mut self,
        from: SocketAddr,
        request: &SlotRequest,
        now: Instant,
        out: &mut Outgoing,
    ) -> Verdict {
        let denied = Verdict::Denied(Denial::default());
        if self.is_oversized(request) {
            self.record_oversized(request, now);
            return denied;
        }
        let Some(max_wait) = request.queue.max_wait() else {
            return denied;
        };
        let slots: usize = self
            .upstreams
            .iter()
            .filter(|entry| entry.accepts(request, now))
            .filter(|entry| self.has_memory(entry, request, 0))
            .map(|entry| entry.concurrency(request.max_gap_ms, &*self.placement, now))
            .sum();
        if slots == 0 {
            return denied;
        }
        let waiter = Waiter {
            from,
            request: request.clone(),
            expires_at: now + max_wait,
        };
        let waiting = self.wait_queue.waiters();
        self.order.record_queued(request, waiting, now);
        let ahead = self.order.count_ahead(&waiter, waiting);
        let turnover = Turnover {
            slot_time: self.slot_time.get(),
            slots,
        };
        let wait = turnover.wait(ahead);
        if wait > max_wait || !self.order.may_wait(request, waiting, slots) {
            return self.deny(request, turnover, now);
        }
        let is_last = ahead >= waiting.len();
        self.wait_queue.add(waiter);
        if !is_last {
            self.deny_displaced(&request.service, turnover, now, out);
        }
        Verdict::Waiting
    }

    fn deny(&mut self, request: &SlotRequest, turnover: Turnover, now: Instant) -> Verdict {
        let waiting = self.wait_queue.waiters();
        let after = self.order.return_after(request, waiting, turnover, now);
        Verdict::Denied(Denial {
            retry_after_ms: after.map(|it| it.as_micros().div_ceil(1_000) as u32),
        })
    }

    /// Denies queued requests that can't be served in time any more because others came before them, so that they can wait
    /// elsewhere.
    fn deny_displaced(
        &mut self,
        service: &str,
        turnover: Turnover,
        now: Instant,
        out: &mut Outgoing,
    ) {
        let mut places = self.order.places(service, self.wait_queue.waiters());
        places.sort_by_key(|it| it.ahead);
        let mut denied = 0;
        for place in places {
            let left = place.expires_at.saturating_duration_since(now);
            let wait = turnover.wait(place.ahead.saturating_sub(denied));
            if wait * 100 <= left * DISPLACED_PERCENT {
                continue;
            }
            denied += 1;
            let Some(waiter) = self.wait_queue.remove(place.from, place.lease) else {
                continue;
            };
            let verdict = self.deny(&waiter.request, turnover, now);
            let response = SlotResponse {
                lease: place.lease,
                verdict,
            };
            out.push((place.from, Frame::SlotResponse(response)));
        }
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
            let mut is_reordered = false;
            // Other requests of the customer may have used up its allowance in the meantime.
            let verdict = if let Some(over) = self.check_limit(&waiter.request, now) {
                Verdict::OverLimit(over)
            } else if let Some(index) = self.choose_upstream(&waiter.request, now, out) {
                let grant = self.grant(index, waiter.from, &waiter.request, now);
                is_reordered = self.order.record_grant(&waiter.request, now);
                Verdict::Granted(grant)
            } else {
                left.push(waiter);
                if left.len() >= MAX_FAILED_CHOICES {
                    break;
                }
                continue;
            };
            let response = SlotResponse {
                lease: waiter.request.lease,
                verdict,
            };
            out.push((waiter.from, Frame::SlotResponse(response)));
            if !is_reordered {
                continue;
            }
            if !self.has_available_slot(now) {
                // Sorting the rest would be most of the work of a grant, since slots become free one at a time.
                break;
            }
            let order = &*self.order;
            waiters
                .make_contiguous()
                .sort_by(|a, b| order.compare(a, b));
        }
        left.extend(waiters);
        self.wait_queue.restore(left);
    }

    /// Returns whether an upstream has a slot that is free or can be reclaimed from batch.
    fn has_available_slot(&self, now: Instant) -> bool {
        let mut entries = self.upstreams.iter();
        let placement = &*self.placement;
        entries.any(|it| it.load() < it.concurrency(None, placement, now) || it.has_batch())
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
        if let Some(batch) = self.reclaimable_for_online(request, now) {
            self.reclaim(&batch, out);
            return Some(batch.upstream);
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
        if due.late {
            return None;
        }
        let batch = self.reclaimable(request, now, |_| true, |due| due.late)?;
        self.reclaim(&batch, out);
        Some(batch.upstream)
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

    fn reclaim(&mut self, batch: &BatchLease, out: &mut Outgoing) {
        let grants = &mut self.upstreams[batch.upstream].state.grants;
        if let Some(grant) = grants.reclaim(batch.holder, batch.lease) {
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
        let indices = (0..count)
            .map(|step| (start + step) % count)
            .filter(|index| self.upstreams[*index].accepts(request, now));
        let indices: SmallVec<[usize; 32]> = indices.collect();
        let mut offers: SmallVec<[Offer<'_>; 32]> = indices
            .iter()
            .map(|index| self.upstreams[*index].offer(request, now))
            .collect();
        let placement = &*self.placement;
        let best = placement.choose(request, &offers, now).or_else(|| {
            // A request that queues inside an upstream takes no memory until it is its turn.
            if request.queue != Queue::InUpstream {
                return None;
            }
            for offer in &mut offers {
                offer.candidate.memory_in_use = 0;
            }
            placement.choose(request, &offers, now)
        });
        best.map(|position| indices[position])
    }

    /// Returns the lease of a batch item in whose place an online request may run, see [`Self::reclaimable`]. A slow upstream
    /// whose requests exceed its concurrency is of no use to an online request.
    fn reclaimable_for_online(&self, request: &SlotRequest, now: Instant) -> Option<BatchLease> {
        let placement = &*self.placement;
        let is_usable = |entry: &Entry| {
            let concurrency = entry.concurrency(request.max_gap_ms, placement, now);
            !entry.state.pace.is_slow(now) || entry.load() <= concurrency
        };
        self.reclaimable(request, now, is_usable, |_| true)
    }

    /// Returns the lease of a batch item to reclaim for a request: of those at upstreams that `is_usable` accepts, that
    /// `select` accepts by their due time and whose end makes the request fit, one where the request is not expected to be late
    /// and at an upstream that is not slow, then one of the customer that is most above its share, and of its leases the one that
    /// is due last.
    fn reclaimable(
        &self,
        request: &SlotRequest,
        now: Instant,
        is_usable: impl Fn(&Entry) -> bool,
        select: impl Fn(Due) -> bool,
    ) -> Option<BatchLease> {
        let held = self.batch_work();
        let excess = |grant: &grants::Grant| {
            let customer = grant.customer();
            let work = held.get(&customer).copied();
            self.order.excess(customer, work.unwrap_or_default())
        };
        let entries = self.upstreams.iter().enumerate();
        let accepting =
            entries.filter(|(_, entry)| is_usable(entry) && entry.accepts(request, now));
        let leases = accepting.flat_map(|(index, entry)| {
            let in_use = entry.state.grants.memory();
            let cost = self
                .placement
                .cost(request, &entry.candidate(request, now), now);
            let is_on_time = cost.is_none_or(|it| it < LATE);
            let place = (is_on_time, !entry.state.pace.is_slow(now));
            let batch = entry.state.grants.batch();
            let select = &select;
            let suitable = batch.filter(move |(grant, due)| {
                let without = in_use.saturating_sub(grant.footprint.memory);
                select(*due) && self.has_memory(entry, request, without)
            });
            suitable.map(move |(grant, due)| (index, grant, place, due))
        });
        let last = leases.max_by_key(|(_, grant, place, due)| (*place, excess(grant), *due));
        last.map(|(upstream, grant, ..)| BatchLease {
            upstream,
            holder: grant.holder,
            lease: grant.lease,
        })
    }

    /// Returns the work of the batch items of each customer, if the order of the requests depends on it.
    fn batch_work(&self) -> HashMap<Option<&str>, u64> {
        let mut held: HashMap<Option<&str>, u64> = HashMap::new();
        if !self.order.weighs_customers() {
            return held;
        }
        for (grant, _) in self.upstreams.iter().flat_map(|it| it.state.grants.batch()) {
            let work = held.entry(grant.customer()).or_default();
            *work = work.saturating_add(grant.footprint.work);
        }
        held
    }

    /// Returns whether the service has upstreams, but none that could process the request if it processed nothing else.
    fn is_oversized(&self, request: &SlotRequest) -> bool {
        let of_service = |entry: &&Entry| entry.upstream.service == request.service;
        let mut upstreams = self.upstreams.iter().filter(of_service).peekable();
        upstreams.peek().is_some() && !upstreams.any(|it| self.has_memory(it, request, 0))
    }

    fn record_oversized(&mut self, request: &SlotRequest, now: Instant) {
        self.summary.oversized += 1;
        if self.oversized_quiet_until.is_some_and(|until| now < until) {
            return;
        }
        self.oversized_quiet_until = Some(now + OVERSIZED_REPORT_INTERVAL);
        self.oversized = Some(Oversized {
            service: request.service.clone(),
            prompt_tokens: request.size.prompt_tokens,
        });
    }

    /// Returns whether the request fits the upstream, were `in_use` tokens of its memory reserved.
    fn has_memory(&self, entry: &Entry, request: &SlotRequest, in_use: Tokens) -> bool {
        let memory = entry.upstream.memory_tokens;
        !self.prefix_affinity || memory::fits(&request.size, in_use, memory)
    }
}

/// A lease of a batch item.
struct BatchLease {
    /// Index of its upstream.
    upstream: usize,
    holder: SocketAddr,
    lease: lease::Id,
}

/// Returns what a request takes of its upstream and of its customer's share.
fn footprint(request: &SlotRequest) -> Footprint {
    Footprint {
        memory: memory::reservation(&request.size),
        work: request.size.work(),
        customer: request.share.as_ref().map(|it| it.customer.clone()),
    }
}
