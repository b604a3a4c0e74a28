//! One upstream as its allocator sees it.

use std::time::{Duration, Instant};

use crate::{
    allocator::Upstream,
    frame::SlotRequest,
    grants::Grants,
    health::Health,
    pace::Pace,
    placement::{Candidate, Offer, Placement},
    prefix::Cache,
    slow_start::SlowStart,
};

/// Lag of the load reports of upstreams. Leases granted within it may be missing from a report; if it is set too long,
/// requests of recent leases count as orphaned and free slots seem taken.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// An upstream and its allocation state.
#[derive(Debug)]
pub(crate) struct Entry {
    pub upstream: Upstream,
    pub state: UpstreamState,
}

/// The allocation state of an upstream, which is kept when its entry in the list changes.
#[derive(Debug, Default)]
pub(crate) struct UpstreamState {
    pub grants: Grants,
    pub health: Health,
    /// Requests that the upstream processes without a known lease: those of hosts that were lost.
    pub orphaned: Option<usize>,
    pub slow_start: SlowStart,
    pub pace: Pace,
    /// Parts of prompts that the upstream is likely to keep.
    pub cache: Cache,
}

impl UpstreamState {
    /// Records how many requests the upstream reports.
    pub fn record_load(&mut self, requests: usize, now: Instant) {
        let orphaned = requests.saturating_sub(self.grants.count_older_than(REPORT_LAG, now));
        self.orphaned = Some(
            self.orphaned
                .map_or(orphaned, |before| before.min(orphaned)),
        );
    }
}

impl Entry {
    /// Returns the number of requests that the upstream is known to process.
    pub fn load(&self) -> usize {
        self.state.grants.len() + self.state.orphaned.unwrap_or(0)
    }

    /// Returns the upstream with what its choice for a request depends on.
    pub fn offer(&self, request: &SlotRequest, now: Instant) -> Offer<'_> {
        Offer {
            instance: &self.upstream.instance,
            candidate: self.candidate(request, now),
        }
    }

    /// Returns what the choice of an upstream for a request depends on.
    pub fn candidate(&self, request: &SlotRequest, now: Instant) -> Candidate<'_> {
        Candidate {
            load: self.load(),
            slots: self.upstream.slots,
            pace: &self.state.pace,
            kept_tokens: self.state.cache.kept_tokens(&request.size, now),
            memory_in_use: self.state.grants.memory(),
            memory_tokens: self.upstream.memory_tokens,
        }
    }

    /// Returns how many requests the upstream is given at once now, see [`Placement::concurrency`].
    pub fn concurrency(
        &self,
        max_gap_ms: Option<u32>,
        placement: &dyn Placement,
        now: Instant,
    ) -> usize {
        let candidate = Candidate {
            load: self.load(),
            slots: self.upstream.slots,
            pace: &self.state.pace,
            kept_tokens: 0,
            memory_in_use: self.state.grants.memory(),
            memory_tokens: self.upstream.memory_tokens,
        };
        placement.concurrency(max_gap_ms, &candidate, now)
    }

    /// Returns how many more requests like this one the upstream is given now.
    pub fn free_slots(
        &self,
        request: &SlotRequest,
        placement: &dyn Placement,
        now: Instant,
    ) -> usize {
        let candidate = self.candidate(request, now);
        let concurrency = placement.concurrency(request.max_gap_ms, &candidate, now);
        concurrency.saturating_sub(candidate.load)
    }

    /// Returns whether a slot can be reclaimed from batch.
    pub fn has_batch(&self) -> bool {
        self.state.grants.batch().next().is_some()
    }

    /// Returns whether the upstream is one of those that the request needs, whatever its state.
    pub fn can_process(&self, request: &SlotRequest) -> bool {
        let build = request.build.as_ref();
        self.upstream.service == request.service
            && build.is_none_or(|it| *it == self.upstream.build)
            && !request.exclude.contains(&self.upstream.instance)
    }

    /// Returns whether the request may be sent to this upstream.
    pub fn accepts(&self, request: &SlotRequest, now: Instant) -> bool {
        let connections = self.upstream.max_connections;
        self.can_process(request)
            && connections.is_none_or(|max| self.load() < max as usize)
            && !self.state.health.is_ejected(now)
            && self
                .state
                .slow_start
                .allows_request(self.upstream.cold, now)
    }
}
