//! Records what hosts measure at upstreams, and compares the upstreams.

use std::{net::SocketAddr, time::Instant};

use super::{Allocator, StateChange};
use crate::{
    entry::Entry,
    frame::{Frame, PaceReport},
    grants::Grant,
    pace::{Observation, Sample},
};

impl Allocator {
    /// Returns how many upstreams count as slow.
    pub fn slow_upstreams(&self, now: Instant) -> usize {
        let entries = self.upstreams.iter();
        entries.filter(|it| it.state.pace.is_slow(now)).count()
    }

    /// Tells listed upstreams without samples what is usual at the others.
    pub(super) fn apply_usual_paces(&mut self) {
        if let Some(services) = &self.services {
            let entries = self.upstreams.iter_mut();
            services.apply(entries.map(|it| (it.upstream.service.as_str(), &mut it.state.pace)));
        }
    }

    /// Records the pace that a host measured on the request of a lease, which may have ended.
    pub(super) fn record_sample(
        &mut self,
        index: usize,
        grant: &Grant,
        sample: Sample,
        is_late_event: bool,
        now: Instant,
    ) {
        let Some(services) = &mut self.services else {
            return;
        };
        let Entry { upstream, state } = &mut self.upstreams[index];
        let is_held = state.grants.contains(grant.holder, grant.lease);
        let others = state.grants.len() - usize::from(is_held) + state.orphaned.unwrap_or(0);
        let observation = Observation {
            service: &upstream.service,
            by: grant.holder,
            is_batch: grant.class.is_batch(),
            is_late_event,
            load: others + 1,
            unread: grant.unread_tokens,
            sample,
        };
        services.record(&mut state.pace, observation, now);
    }

    /// Records an event of a running request that is late.
    pub(super) fn apply_pace_report(
        &mut self,
        from: SocketAddr,
        report: &PaceReport,
        now: Instant,
    ) {
        let Some(index) = self.upstreams.index_of(&report.upstream) else {
            return;
        };
        let grants = &self.upstreams[index].state.grants;
        if let Some(grant) = grants.get(from, report.lease).cloned() {
            self.record_sample(index, &grant, report.sample, true, now);
        }
    }

    /// Compares the upstreams from time to time, and records which of them have become slow or are no longer.
    pub(super) fn refresh_paces(&mut self, now: Instant) {
        let Some(services) = &mut self.services else {
            return;
        };
        if services.is_refresh_due(now) {
            let entries = self.upstreams.iter_mut();
            let paces = entries.map(|it| (it.upstream.service.as_str(), &mut it.state.pace));
            services.refresh(paces.collect(), now);
        }
        for index in 0..self.upstreams.len() {
            let Some(is_slow) = self.upstreams[index].state.pace.take_change(now) else {
                continue;
            };
            let upstream = self.upstreams[index].upstream.instance.clone();
            self.changes.push_back(match is_slow {
                true => StateChange::Slowed(upstream),
                false => StateChange::Recovered(upstream),
            });
        }
    }
}

impl Frame {
    /// Returns whether the frame may carry the pace of an upstream.
    pub(super) fn has_pace(&self) -> bool {
        match self {
            Self::Release(release) => release.pace.is_some(),
            Self::Pace(_) => true,
            _ => false,
        }
    }
}
