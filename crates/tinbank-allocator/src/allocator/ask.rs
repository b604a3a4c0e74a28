//! What becomes of an ask: a slot, a place among those that wait, or nothing.

use std::{net::SocketAddr, time::Instant};

use tinbank_allowance::counter;

use super::{Allocator, LEASE_TIME, Outgoing};
use crate::{
    frame::{Frame, Grant, OverLimit, Queue, SlotRequest, SlotResponse, Verdict},
    grants,
    lease::{Class, Due},
    waiting::Waiter,
};

/// Slots of a failure domain that stay free of batch, one for each upstream up to so many, so that an online request seldom
/// has to reclaim one. Source: the requests that come while a slot is reclaimed, some 20 ms, at 300 a second, with room.
/// One for each of 31 upstreams of 7 slots kept a seventh of all slots from batch.
const MOST_HEADROOM: usize = 8;

impl Allocator {
    /// Answers an ask: with a slot, with a place among those that wait, or with neither.
    pub(super) fn ask(&mut self, from: SocketAddr, ask: SlotRequest, now: Instant, out: &mut Outgoing) {
        self.expire(now);
        self.waiting.expire(now);
        // An ask that comes again has lost its answer, and gets the same one.
        let verdict = if let Some(index) = self.upstreams.granted(from, ask.lease) {
            Verdict::Granted(self.grant(index, from, &ask, now))
        } else if self.waiting.has(from, ask.lease) {
            Verdict::Waiting
        } else if let Some(over) = self.over_limit(&ask, now) {
            Verdict::OverLimit(over)
        } else if let Some(index) = self.choose(&ask, now, out) {
            Verdict::Granted(self.grant(index, from, &ask, now))
        } else {
            self.park(from, &ask, now)
        };
        let lease = ask.lease;
        out.push((from, Frame::SlotResponse(SlotResponse { lease, verdict })));
    }

    /// Says so if the customer of a request has used up its allowance. Nothing is taken from it yet.
    fn over_limit(&mut self, ask: &SlotRequest, now: Instant) -> Option<OverLimit> {
        let meter = ask.meter.as_ref()?;
        match self.counter.check(&meter.customer, meter.limit, now) {
            counter::Verdict::Within => None,
            counter::Verdict::Over(over) => Some(OverLimit {
                retry_after_ms: over.returns_in.as_millis() as u32,
                level_milli: over.level_milli,
            }),
        }
    }

    /// The upstream at which a request may start now.
    fn choose(&mut self, ask: &SlotRequest, now: Instant, out: &mut Outgoing) -> Option<usize> {
        match ask.class {
            Class::Online => self.online(ask, now, out),
            Class::Batch(due) => self.batch(ask, due, now, out),
        }
    }

    /// Enters a lease, or renews it. A new one is counted against its customer's allowance.
    fn grant(&mut self, index: usize, from: SocketAddr, ask: &SlotRequest, now: Instant) -> Grant {
        let learning = self.is_learning(now);
        let entry = &mut self.upstreams[index];
        let is_known = entry.account.grants.has(from, ask.lease);
        if let (false, Some(meter)) = (is_known, &ask.meter) {
            self.counter.take(&meter.customer, meter.limit, now);
        }
        if !is_known {
            entry.account.slow_start.note(now);
        }
        let others = entry.load() - usize::from(is_known);
        let queued = learning || others >= entry.upstream.slots;
        entry.account.grants.add(grants::Grant {
            holder: from,
            lease: ask.lease,
            class: ask.class,
            until: now + LEASE_TIME,
            granted_at: (!ask.class.is_batch()).then_some(now),
        });
        let grant = Grant {
            upstream: entry.upstream.instance.clone(),
            address: entry.upstream.address,
            queued,
        };
        self.upstreams.note_holder(index, from);
        grant
    }

    /// Lets a request wait if a slot is likely to come free for it in time; else it is told at once.
    fn park(&mut self, from: SocketAddr, ask: &SlotRequest, now: Instant) -> Verdict {
        let Some(patience) = ask.queue.max_wait() else {
            return Verdict::Denied;
        };
        let slots: usize = self
            .upstreams
            .iter()
            .filter(|entry| entry.takes(ask, now))
            .map(|entry| entry.upstream.slots)
            .sum();
        if slots == 0 {
            return Verdict::Denied;
        }
        let ahead = self.waiting.ahead_of(ask, patience, now);
        let wait = self.pace.get_or_zero() * (ahead + 1) as u32 / slots as u32;
        if wait > patience {
            return Verdict::Denied;
        }
        self.waiting.add(from, ask.clone(), patience, now);
        Verdict::Waiting
    }

    /// Gives the slots that are free to those that wait.
    pub(super) fn serve_waiting(&mut self, now: Instant, out: &mut Outgoing) {
        if self.waiting.is_empty() || !self.has_room() {
            return;
        }
        self.waiting.expire(now);
        let mut left: Vec<Waiter> = Vec::new();
        for waiter in self.waiting.take() {
            // Others of its customer may have used the allowance up while it waited.
            let verdict = if let Some(over) = self.over_limit(&waiter.ask, now) {
                Verdict::OverLimit(over)
            } else if let Some(index) = self.choose(&waiter.ask, now, out) {
                Verdict::Granted(self.grant(index, waiter.from, &waiter.ask, now))
            } else {
                left.push(waiter);
                continue;
            };
            let answer = SlotResponse {
                lease: waiter.ask.lease,
                verdict,
            };
            out.push((waiter.from, Frame::SlotResponse(answer)));
        }
        self.waiting.put_back(left);
    }

    /// True if an upstream has a free slot, or one that batch can give.
    fn has_room(&self) -> bool {
        let mut entries = self.upstreams.iter();
        entries.any(|it| it.load() < it.upstream.slots || it.runs_batch())
    }

    /// A free slot, else one reclaimed from batch, else, if it may wait inside it, the least loaded upstream.
    fn online(&mut self, ask: &SlotRequest, now: Instant, out: &mut Outgoing) -> Option<usize> {
        let least = self.least(ask, now)?;
        let entry = &self.upstreams[least];
        if entry.load() < entry.upstream.slots {
            return Some(least);
        }
        if let Some((index, _)) = self.reclaimable(ask, now) {
            self.reclaim(index, out);
            return Some(index);
        }
        (ask.queue == Queue::InUpstream).then_some(least)
    }

    /// A slot if the headroom for online requests stays free beside it. An item that can still be in time takes the
    /// slot of one that can't.
    fn batch(&mut self, ask: &SlotRequest, due: Due, now: Instant, out: &mut Outgoing) -> Option<usize> {
        if self.is_learning(now) {
            return None;
        }
        let least = self.least(ask, now)?;
        let entry = &self.upstreams[least];
        if entry.load() < entry.upstream.slots && self.has_room_for_batch(ask, now) {
            return Some(least);
        }
        let (index, last) = self.reclaimable(ask, now)?;
        if due.late || !last.late {
            return None;
        }
        self.reclaim(index, out);
        Some(index)
    }

    /// True if a slot is free beside those that stay free of batch.
    fn has_room_for_batch(&self, ask: &SlotRequest, now: Instant) -> bool {
        let fit = self.upstreams.iter().filter(|it| it.takes(ask, now));
        let (mut upstreams, mut free) = (0, 0);
        for entry in fit {
            upstreams += 1;
            free += entry.upstream.slots.saturating_sub(entry.load());
        }
        free > upstreams.min(MOST_HEADROOM)
    }

    fn reclaim(&mut self, index: usize, out: &mut Outgoing) {
        if let Some(grant) = self.upstreams[index].account.grants.reclaim() {
            out.push((grant.holder, Frame::Reclaim(grant.lease)));
        }
    }

    /// The upstream with the fewest leases; among equals another one at each turn.
    fn least(&mut self, ask: &SlotRequest, now: Instant) -> Option<usize> {
        self.turn = self.turn.wrapping_add(1);
        let count = self.upstreams.len();
        let start = self.turn as usize % count.max(1);
        (0..count)
            .map(|step| (start + step) % count)
            .filter(|index| self.upstreams[*index].takes(ask, now))
            .min_by_key(|index| self.upstreams[*index].load())
    }

    /// The upstream that runs the batch item that is due last, and when that is.
    fn reclaimable(&self, ask: &SlotRequest, now: Instant) -> Option<(usize, Due)> {
        (0..self.upstreams.len())
            .filter(|index| self.upstreams[*index].takes(ask, now))
            .filter_map(|index| Some((index, self.upstreams[index].account.grants.last_due()?)))
            .max_by_key(|(_, due)| *due)
    }
}
