//! Chooses the upstream at which a request starts.

use std::time::Instant;

use smallvec::SmallVec;

use super::{Allocator, Outgoing};
use crate::{
    frame::{Queue, SlotRequest},
    lease::{Class, Due},
    placement::Offer,
};

/// Maximum number of slots per failure domain that batch leaves free, one per upstream below that, so that an online
/// request seldom has to reclaim one. Covers the online requests that arrive while a slot is being reclaimed. A reclaim
/// takes some 20 ms, in which six of 300 requests a second arrive. One free slot at each of 31 upstreams of 7 slots
/// would keep a seventh of all slots from batch.
pub(super) const MAX_HEADROOM: usize = 8;

impl Allocator {
    /// Returns the upstream at which a request may start now.
    pub(super) fn choose_upstream(
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
    /// of a late one, and a large one takes the memory of items that are due later.
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
        let Some(batch) = self.reclaimable(request, now, |_| true, |due| due.late) else {
            return self.reclaim_memory(request, due, now, out);
        };
        self.reclaim(&batch, out);
        Some(batch.upstream)
    }

    /// Returns whether more slots are free than batch has to leave free.
    pub(super) fn has_slot_beyond_headroom(&self, request: &SlotRequest, now: Instant) -> bool {
        let eligible = self.upstreams.iter().filter(|it| it.accepts(request, now));
        let (mut upstreams, mut free) = (0, 0);
        for entry in eligible {
            upstreams += 1;
            free += entry.free_slots(request, &*self.placement, now);
        }
        free > upstreams.min(MAX_HEADROOM)
    }

    /// Returns whether an upstream has a slot that is free or can be reclaimed from batch.
    pub(super) fn has_available_slot(&self, now: Instant) -> bool {
        let mut entries = self.upstreams.iter();
        let placement = &*self.placement;
        entries.any(|it| it.load() < it.concurrency(None, placement, now) || it.has_batch())
    }

    pub(super) fn has_free_slot(&self, index: usize, request: &SlotRequest, now: Instant) -> bool {
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
}
