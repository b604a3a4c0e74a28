//! Serves the requests that wait for a slot, and denies those that can no longer get one in time.

use std::{collections::VecDeque, time::Instant};

use super::{Allocator, Outgoing};
use crate::{
    frame::{Frame, SlotResponse, Verdict},
    order::{Turnover, Waiter},
};

/// A queued request is denied if its expected wait exceeds this percentage of the time that it has left. Slots become free
/// irregularly, so at 100 many requests would be denied that get one in time.
const DISPLACED_PERCENT: u32 = 150;

/// Queued requests for which no upstream is found before the rest of the queue is left for the next datagram. Slots that few of
/// the requests can use, at slow upstreams or with little memory, would otherwise make each datagram cost the whole queue.
const MAX_FAILED_CHOICES: usize = 4;

impl Allocator {
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
