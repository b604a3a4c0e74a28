//! Reclaims slots of batch items for requests that go before them.

use std::{cmp::Reverse, collections::HashMap, net::SocketAddr, time::Instant};

use smallvec::SmallVec;

use super::{Allocator, Outgoing};
use crate::{
    entry::Entry,
    frame::{Frame, SlotRequest},
    grants,
    lease::{self, Due},
    memory,
    placement::LATE,
    size::Tokens,
};

/// Items that are due within the same time of this length count as equally urgent, and shares decide between them. An item that is
/// reclaimed although it is due earlier than others may be late without need.
const DUE_STEP_MS: u64 = 2_000;

/// A lease of a batch item.
pub(super) struct BatchLease {
    /// Index of its upstream.
    pub(super) upstream: usize,
    holder: SocketAddr,
    lease: lease::Id,
}

impl Allocator {
    /// Returns the lease of a batch item in whose place an online request may run, see [`Self::reclaimable`]. A slow upstream
    /// whose requests exceed its concurrency is of no use to an online request.
    pub(super) fn reclaimable_for_online(
        &self,
        request: &SlotRequest,
        now: Instant,
    ) -> Option<BatchLease> {
        let placement = &*self.placement;
        let is_usable = |entry: &Entry| {
            let concurrency = entry.concurrency(request.max_gap_ms, placement, now);
            !entry.state.pace.is_slow(now) || entry.load() <= concurrency
        };
        self.reclaimable(request, now, is_usable, |_| true)
    }

    /// Returns the lease of a batch item to reclaim for a request: of those at upstreams that `is_usable` accepts, that
    /// `select` accepts by their due time and whose end makes the request fit, one where the request is not expected to be late
    /// and at an upstream that is not slow, then one that is due last, to within [`DUE_STEP_MS`], which has the most time to run
    /// again, then one of the customer that is most above its share.
    pub(super) fn reclaimable(
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
        let last = leases.max_by_key(|(_, grant, place, due)| {
            let urgency = (due.late, due.at_ms / DUE_STEP_MS);
            (*place, urgency, excess(grant), *due)
        });
        last.map(|(upstream, grant, ..)| BatchLease {
            upstream,
            holder: grant.holder,
            lease: grant.lease,
        })
    }

    pub(super) fn reclaim(&mut self, batch: &BatchLease, out: &mut Outgoing) {
        let grants = &mut self.upstreams[batch.upstream].state.grants;
        if let Some(grant) = grants.reclaim(batch.holder, batch.lease) {
            out.push((grant.holder, Frame::Reclaim(grant.lease)));
        }
    }

    /// Reclaims slots of batch items for one that can be on time and takes more than half of an upstream's memory, and returns the
    /// upstream. Smaller items would take the memory that becomes free there before it is enough. Only items that are due later are
    /// reclaimed, at the upstream where they are the fewest.
    pub(super) fn reclaim_memory(
        &mut self,
        request: &SlotRequest,
        due: Due,
        now: Instant,
        out: &mut Outgoing,
    ) -> Option<usize> {
        if !self.prefix_affinity {
            return None;
        }
        let entries = self.upstreams.iter().enumerate();
        let cleared = entries.filter_map(|(index, entry)| {
            let memory = entry.upstream.memory_tokens?;
            let is_large = memory::reservation(&request.size) > memory / 2;
            // An upstream may refuse a request whose output may not fit.
            let is_certain_to_fit = request.size.memory() <= memory;
            if !is_large || !is_certain_to_fit || !entry.accepts(request, now) {
                return None;
            }
            Some((index, self.reclaimable_memory(entry, request, due, now)?))
        });
        let (upstream, leases) = cleared.min_by_key(|(_, leases)| leases.len())?;
        for (holder, lease) in leases {
            let batch = BatchLease {
                upstream,
                holder,
                lease,
            };
            self.reclaim(&batch, out);
        }
        Some(upstream)
    }

    /// Returns the leases of an upstream to reclaim until a request fits, those that are due last first. `None` if it does not fit
    /// in place of all items that are due later, or lacks no memory.
    fn reclaimable_memory(
        &self,
        entry: &Entry,
        request: &SlotRequest,
        due: Due,
        now: Instant,
    ) -> Option<SmallVec<[(SocketAddr, lease::Id); 8]>> {
        let is_later = |it: &Due| it.late || it.at_ms / DUE_STEP_MS > due.at_ms / DUE_STEP_MS;
        let batch = entry.state.grants.batch();
        let mut later: SmallVec<[(&grants::Grant, Due); 8]> =
            batch.filter(|(_, due)| is_later(due)).collect();
        later.sort_by_key(|(_, due)| Reverse(*due));
        let concurrency = entry.concurrency(request.max_gap_ms, &*self.placement, now);
        let mut in_use = entry.state.grants.memory();
        if self.has_memory(entry, request, in_use) {
            return None;
        }
        let mut reclaimed = SmallVec::new();
        for (grant, _) in later {
            reclaimed.push((grant.holder, grant.lease));
            in_use = in_use.saturating_sub(grant.footprint.memory);
            let has_slot = entry.load() - reclaimed.len() < concurrency;
            if has_slot && self.has_memory(entry, request, in_use) {
                return Some(reclaimed);
            }
        }
        None
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

    /// Returns whether the request fits the upstream, were `in_use` tokens of its memory reserved.
    pub(super) fn has_memory(&self, entry: &Entry, request: &SlotRequest, in_use: Tokens) -> bool {
        let memory = entry.upstream.memory_tokens;
        !self.prefix_affinity || memory::fits(&request.size, in_use, memory)
    }
}
