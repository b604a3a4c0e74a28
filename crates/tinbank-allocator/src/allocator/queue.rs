//! Serves the requests that wait for a slot, and denies those that can no longer get one in time.

use std::{collections::VecDeque, time::Instant};

use smallvec::SmallVec;
use tinbank_base::id;

use super::{Allocator, Outgoing};
use crate::{
    frame::{Frame, SlotRequest, SlotResponse, Verdict},
    memory,
    order::{Turnover, Waiter},
    size::Tokens,
};

/// A queued request is denied if its expected wait exceeds this percentage of the time that it has left. Slots become free
/// irregularly, so at 100 many requests would be denied that get one in time.
const DISPLACED_PERCENT: u32 = 150;

/// Requests for which a pass over the queue has found no upstream. Slots that few requests can use, at slow upstreams or with
/// little memory, would make each datagram cost a choice for the whole queue if all were tried.
#[derive(Default)]
struct Unserved(SmallVec<[Needs; 8]>);

/// What an upstream must have for a request.
struct Needs {
    service: id::Service,
    build: Option<id::Build>,
    exclude: SmallVec<[id::Instance; 4]>,
    max_gap_ms: Option<u32>,
    prompt_tokens: Tokens,
    memory: Tokens,
}

impl Needs {
    fn of(request: &SlotRequest) -> Self {
        Self {
            service: request.service.clone(),
            build: request.build.clone(),
            exclude: request.exclude.clone(),
            max_gap_ms: request.max_gap_ms,
            prompt_tokens: request.size.prompt_tokens,
            memory: memory::reservation(&request.size),
        }
    }

    /// Returns whether a request needs at least this much.
    fn are_implied_by(&self, request: &SlotRequest) -> bool {
        let is_as_quick = |max| request.max_gap_ms.is_some_and(|it| it <= max);
        self.service == request.service
            && (self.build.is_none() || self.build == request.build)
            && self.max_gap_ms.is_none_or(is_as_quick)
            && request.size.prompt_tokens >= self.prompt_tokens
            && memory::reservation(&request.size) >= self.memory
            && self.exclude.iter().all(|it| request.exclude.contains(it))
    }
}

impl Unserved {
    /// Returns whether no upstream can be found for a request, because it needs at least as much as an unserved one. Grants since
    /// then have only used up slots.
    fn includes(&self, request: &SlotRequest) -> bool {
        self.0.iter().any(|it| it.are_implied_by(request))
    }

    fn add(&mut self, request: &SlotRequest) {
        self.0.push(Needs::of(request));
    }
}

impl Allocator {
    /// Grants free slots to queued requests.
    pub(super) fn serve_wait_queue(&mut self, now: Instant, out: &mut Outgoing) {
        if self.wait_queue.is_empty() || !self.has_available_slot(now) {
            return;
        }
        self.wait_queue.remove_expired(now);
        let mut left: Vec<Waiter> = Vec::new();
        let mut unserved = Unserved::default();
        let mut waiters = VecDeque::from(self.wait_queue.take(&*self.order));
        while let Some(waiter) = waiters.pop_front() {
            let mut is_reordered = false;
            // Other requests of the customer may have used up its allowance in the meantime.
            let verdict = if let Some(over) = self.check_limit(&waiter.request, now) {
                Verdict::OverLimit(over)
            } else if unserved.includes(&waiter.request) {
                left.push(waiter);
                continue;
            } else if let Some(index) = self.choose_upstream(&waiter.request, now, out) {
                let grant = self.grant(index, waiter.from, &waiter.request, now);
                is_reordered = self.order.record_grant(&waiter.request, now);
                Verdict::Granted(grant)
            } else {
                unserved.add(&waiter.request);
                left.push(waiter);
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

    /// Denies queued requests that can't be served in time any more because others came before them, so that they can wait
    /// elsewhere.
    pub(super) fn deny_displaced(
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
}
