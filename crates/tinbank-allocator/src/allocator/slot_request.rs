//! Responds to a slot request: grants a slot, queues the request, or denies it.

use std::{net::SocketAddr, time::Instant};

use tinbank_allowance::counter;

use super::{Allocator, LEASE_DURATION, OVERSIZED_REPORT_INTERVAL, Outgoing, Oversized};
use crate::{
    cause::Cause,
    entry::Entry,
    frame::{Denial, Frame, Grant, OverLimit, SlotRequest, SlotResponse, Verdict},
    grants,
    lease::Footprint,
    memory,
    order::{Turnover, Waiter},
    prefix::Expectation,
};

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
    pub(super) fn check_limit(&mut self, request: &SlotRequest, now: Instant) -> Option<OverLimit> {
        let meter = request.meter.as_ref()?;
        let mut counting = self.counting.borrow_mut();
        match counting.check(&meter.customer, meter.limit, now) {
            counter::Verdict::Within => None,
            counter::Verdict::Over(over) => Some(OverLimit {
                retry_after_ms: over.retry_after.as_millis() as u32,
                level_milli: over.level_milli,
            }),
        }
    }

    /// Adds or renews a lease. A new one counts against the customer's allowance.
    pub(super) fn grant(
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
            let mut counting = self.counting.borrow_mut();
            counting.take(&meter.customer, meter.limit, now);
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
            build: entry.upstream.build.clone(),
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
        let denied = Verdict::Denied(Denial {
            retry_after_ms: None,
            cause: self.cause_of_denial(request, now),
        });
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

    pub(super) fn deny(
        &mut self,
        request: &SlotRequest,
        turnover: Turnover,
        now: Instant,
    ) -> Verdict {
        let waiting = self.wait_queue.waiters();
        let after = self.order.return_after(request, waiting, turnover, now);
        Verdict::Denied(Denial {
            retry_after_ms: after.map(|it| it.as_micros().div_ceil(1_000) as u32),
            cause: Cause::default(),
        })
    }

    /// Returns what a batch item lacks that is denied.
    fn cause_of_denial(&self, request: &SlotRequest, now: Instant) -> Cause {
        if !request.class.is_batch() {
            return Cause::default();
        }
        let upstreams = self.upstreams.iter().filter(|it| it.can_process(request));
        let mut upstreams = upstreams.peekable();
        if upstreams.peek().is_none() {
            return Cause::Upstream;
        }
        if !upstreams.any(|it| self.has_memory(it, request, 0)) {
            return Cause::Size;
        }
        match !self.is_learning(now) && self.has_slot_beyond_headroom(request, now) {
            true => Cause::Memory,
            false => Cause::Slot,
        }
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
}

/// Returns what a request takes of its upstream and of its customer's share.
fn footprint(request: &SlotRequest) -> Footprint {
    Footprint {
        memory: memory::reservation(&request.size),
        work: request.size.work(),
        customer: request.share.as_ref().map(|it| it.customer.clone()),
    }
}
