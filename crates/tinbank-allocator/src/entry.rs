//! One upstream as its allocator sees it.

use std::time::{Duration, Instant};

use crate::{
    allocator::Upstream, frame::SlotRequest, grants::Grants, health::Health, slow_start::SlowStart,
};

/// By how much reports of upstreams lag: the platform says some hundred milliseconds. With half a second all that was
/// granted meanwhile counted as work of lost hosts, and slots seemed taken that were free.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// An upstream that is dealt out, with what is known of it.
#[derive(Debug)]
pub(crate) struct Entry {
    pub upstream: Upstream,
    pub account: Account,
}

/// What is known of an upstream beside its place.
#[derive(Debug, Default)]
pub(crate) struct Account {
    pub grants: Grants,
    pub health: Health,
    /// Requests that the upstream works on and that no known lease is for: those of hosts that were lost.
    pub foreign: Option<usize>,
    pub slow_start: SlowStart,
}

impl Account {
    /// Takes in how many requests the upstream says that it has.
    pub fn reported(&mut self, requests: usize, now: Instant) {
        let foreign = requests.saturating_sub(self.grants.older_than(REPORT_LAG, now));
        self.foreign = Some(self.foreign.map_or(foreign, |before| before.min(foreign)));
    }
}

impl Entry {
    /// Requests that the upstream works on, as far as is known.
    pub fn load(&self) -> usize {
        self.account.grants.len() + self.account.foreign.unwrap_or(0)
    }

    /// True if a slot can be taken back from batch.
    pub fn runs_batch(&self) -> bool {
        self.account.grants.last_due().is_some()
    }

    /// True if the upstream may get the request.
    pub fn takes(&self, ask: &SlotRequest, now: Instant) -> bool {
        self.upstream.service == ask.service
            && !ask.exclude.contains(&self.upstream.instance)
            && !self.account.health.ejected(now)
            && self.account.slow_start.allows(self.upstream.cold, now)
    }
}
