//! State of one upstream, read by traffic threads without a lock.

use std::{
    sync::{
        Arc, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use tinbank_base::platform::{hosts, upstream::Report, weights::Artifact};
use tinbank_configuration::template::Traffic;

use crate::{
    health::{Change, Health, Signal},
    leaving::Exclusion,
    pick::Candidate,
    sync::{AtomicU64, Mutex},
};

/// One upstream.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) listed: hosts::Upstream,
    pub(super) near: bool,
    pub(super) live: Arc<SharedState>,
}

/// State of an upstream that is kept when the host list changes.
#[derive(Debug)]
pub(super) struct SharedState {
    epoch: Instant,
    online: AtomicU32,
    batch: AtomicU32,
    pub(super) changed: AtomicBool,
    /// Milliseconds since `epoch` until which it gets no new requests; 0 if it may get requests, `u64::MAX` if without
    /// limit.
    leaving_until: AtomicU64,
    report: ArcSwapOption<ReportedLoad>,
    health: Mutex<Health>,
    /// Milliseconds since `epoch` until which it is ejected, plus 1; 0 if it is not ejected.
    ejected_until: AtomicU64,
    probing: AtomicBool,
    /// Milliseconds since `epoch` at which its report was last requested, plus 1; 0 for never.
    polled_at: AtomicU64,
}

#[derive(Debug)]
struct ReportedLoad {
    report: Report,
    /// Number of own requests in flight when the report arrived.
    own: u32,
}

impl SharedState {
    pub(super) fn new(epoch: Instant) -> Self {
        Self {
            epoch,
            online: AtomicU32::new(0),
            batch: AtomicU32::new(0),
            changed: AtomicBool::new(false),
            leaving_until: AtomicU64::new(0),
            report: ArcSwapOption::empty(),
            health: Mutex::new(Health::default()),
            ejected_until: AtomicU64::new(0),
            probing: AtomicBool::new(false),
            polled_at: AtomicU64::new(0),
        }
    }

    pub(super) fn set_exclusion(&self, exclusion: Exclusion) {
        let millis = match exclusion {
            Exclusion::None => 0,
            Exclusion::Until(until) => self.millis(until),
            Exclusion::UntilListed => u64::MAX,
        };
        self.leaving_until.store(millis, Ordering::Relaxed);
    }

    fn is_leaving(&self, now: Instant) -> bool {
        self.millis(now) < self.leaving_until.load(Ordering::Relaxed)
    }

    pub(super) fn in_flight(&self, traffic: Traffic) -> u32 {
        self.count(traffic).load(Ordering::Relaxed)
    }

    pub(super) fn total(&self) -> u32 {
        self.in_flight(Traffic::Online) + self.in_flight(Traffic::Batch)
    }

    pub(super) fn begin(&self, traffic: Traffic) {
        self.count(traffic).fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end(&self, traffic: Traffic) {
        self.count(traffic).fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn record_report(&self, report: Report) {
        let reported = ReportedLoad {
            report,
            own: self.total(),
        };
        self.report.store(Some(Arc::new(reported)));
    }

    pub(super) fn polled_at(&self) -> u64 {
        self.polled_at.load(Ordering::Relaxed)
    }

    pub(super) fn mark_polled(&self, now: Instant) {
        self.polled_at.store(self.millis(now), Ordering::Relaxed);
    }

    pub(super) fn last_report(&self) -> Option<Report> {
        let reported = self.report.load_full();
        reported.map(|reported| reported.report.clone())
    }

    /// Records the result of a call. The health stays locked until the ejection is published: of two concurrent results, the one
    /// that changed the health last must also be the one that choices see.
    pub(super) fn record(&self, signal: Signal, now: Instant) {
        let mut health = self.health.lock().unwrap_or_else(PoisonError::into_inner);
        match health.record(signal, now) {
            Change::None => {}
            Change::Ejected(until) => self
                .ejected_until
                .store(self.millis(until), Ordering::Relaxed),
            Change::Returned => self.ejected_until.store(0, Ordering::Relaxed),
        }
    }

    /// Starts a probe and returns `true` if the upstream is ejected and no other probe runs.
    pub(super) fn begin_probe(&self) -> bool {
        self.ejected_until.load(Ordering::Relaxed) != 0
            && !self.probing.swap(true, Ordering::Relaxed)
    }

    pub(super) fn end_probe(&self) {
        self.probing.store(false, Ordering::Relaxed);
    }

    fn is_ejected(&self, now: Instant) -> bool {
        let until = self.ejected_until.load(Ordering::Relaxed);
        until != 0 && (self.probing.load(Ordering::Relaxed) || self.millis(now) < until)
    }

    fn millis(&self, at: Instant) -> u64 {
        let since: Duration = at.saturating_duration_since(self.epoch);
        since.as_millis() as u64 + 1
    }

    fn count(&self, traffic: Traffic) -> &AtomicU32 {
        match traffic {
            Traffic::Online => &self.online,
            Traffic::Batch => &self.batch,
        }
    }
}

impl Entry {
    /// Returns the properties for the choice, or `None` if the upstream can't run the service.
    pub(super) fn candidate(&self, artifact: Option<&Artifact>, now: Instant) -> Option<Candidate> {
        if self.live.is_leaving(now) {
            return None;
        }
        let own = self.live.total();
        let reported = self.live.report.load();
        let mut candidate = Candidate {
            upstream: self.listed.upstream,
            own,
            others: 0,
            waiting: 0,
            slots: self.listed.slots.unwrap_or(0),
            near: self.near,
            loaded: artifact.is_none(),
            ejected: self.live.is_ejected(now),
        };
        if let Some(reported) = reported.as_ref() {
            let report = &reported.report;
            if let Some(artifact) = artifact {
                candidate.loaded = report.loaded.contains(artifact);
                if !candidate.loaded {
                    return None;
                }
            }
            candidate.others = (report.running + report.waiting).saturating_sub(reported.own);
            candidate.waiting = report.waiting;
            candidate.slots = if report.slots > 0 {
                report.slots
            } else {
                candidate.slots
            };
        }
        Some(candidate)
    }
}
