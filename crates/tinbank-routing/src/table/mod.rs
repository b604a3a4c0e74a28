//! Table of upstreams, updated by the control thread and read by traffic threads.
//!
//! The control thread applies host lists, reports and updates of peers. Traffic threads choose upstreams and record
//! results, from an immutable list of entries and atomic counts. See `docs/design/routing.md`.

mod entry;
#[cfg(test)]
mod tests;
mod ticket;

use std::{
    collections::HashMap,
    sync::{Arc, PoisonError, atomic::Ordering},
    time::{Duration, Instant, SystemTime},
};

use arc_swap::ArcSwap;
use smallvec::SmallVec;
use tinbank_base::{
    frame::{credit::Load, heartbeat::Leaving, request::Notice},
    id,
    outcome::{Code, Failure},
    platform::{
        hosts::{self, List},
        upstream::{Report, Target},
    },
};
use tinbank_configuration::{service::Service, template::Traffic};
use tokio::sync::Notify;

use self::{
    entry::{Entry, SharedState},
    ticket::InFlight,
};
use crate::{
    choice::{Choice, RouteRequest, Router},
    health::Signal,
    leaving::Tracker,
    pick::{self, Candidate},
    shed::Pressure,
    sync::{Mutex, MutexGuard},
};

/// Time after which the caller may retry if no upstream can take a request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Table of upstreams. Clones share one table.
#[derive(Clone, Debug)]
pub struct Table {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    failure_domain: id::FailureDomain,
    epoch: Instant,
    entries: ArcSwap<Entries>,
    tracker: Mutex<Tracker>,
    online_changed: Notify,
    leaving_changed: Notify,
}

#[derive(Debug, Default)]
struct Entries {
    all: Vec<Arc<Entry>>,
    by_upstream: HashMap<id::Upstream, Arc<Entry>>,
    by_pool: HashMap<id::Pool, Vec<Arc<Entry>>>,
}

impl Table {
    /// Creates an empty table for a process of the given failure domain.
    pub fn new(failure_domain: impl Into<id::FailureDomain>, now: Instant) -> Self {
        let inner = Inner {
            failure_domain: failure_domain.into(),
            epoch: now,
            entries: ArcSwap::default(),
            tracker: Mutex::default(),
            online_changed: Notify::new(),
            leaving_changed: Notify::new(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Applies a host list, unless it is older than the current one.
    pub fn apply_list(&self, list: &List, now: Instant) {
        let mut tracker = self.inner.tracker();
        if !tracker.apply_list(list, now) {
            return;
        }
        let has_updates = !tracker.updates(now).is_empty();
        let before = self.inner.entries.load();
        let mut entries = Entries::default();
        for listed in &list.upstreams {
            let live = match before.by_upstream.get(&listed.upstream) {
                Some(entry) if entry.listed.address == listed.address => entry.live.clone(),
                _ => Arc::new(SharedState::new(self.inner.epoch)),
            };
            live.set_exclusion(tracker.exclusion(listed.upstream));
            entries.add(Entry {
                listed: listed.clone(),
                near: listed.failure_domain == self.inner.failure_domain,
                live,
            });
        }
        self.inner.entries.store(Arc::new(entries));
        if has_updates {
            self.inner.leaving_changed.notify_one();
        }
    }

    /// Records that an upstream can't be reached for its report, so that it is ejected before a request fails there.
    pub fn record_unreachable(&self, upstream: id::Upstream, now: Instant) {
        if let Some(entry) = self.inner.entries.load().by_upstream.get(&upstream) {
            entry.live.record(Signal::Unreachable, now);
        }
    }

    /// Records an upstream's report.
    pub fn record_report(&self, upstream: id::Upstream, report: Report, now: Instant) {
        let entries = self.inner.entries.load();
        let Some(entry) = entries.by_upstream.get(&upstream) else {
            return;
        };
        if report.leaving {
            self.inner.record_leaving(upstream, now);
        }
        entry.live.record_report(report);
    }

    /// Applies a peer's update that an upstream is leaving. Returns whether it is new.
    pub fn apply_leaving(&self, update: Leaving, now: Instant) -> bool {
        self.inner
            .record_notice(update.upstream, |tracker| tracker.apply_update(update, now))
    }

    /// Applies a notice that a peer answered to this process when it started.
    pub fn apply_notice(&self, notice: Notice, now: Instant) {
        self.inner
            .record_notice(notice.leaving.upstream, |tracker| {
                tracker.apply_notice(notice, now);
                false
            });
    }

    /// Returns the notices in force about leaving upstreams, for a peer that starts.
    pub fn notices(&self, now: Instant) -> Vec<Notice> {
        self.inner.tracker().notices(now).collect()
    }

    /// Returns the updates about leaving upstreams to send to peers.
    pub fn leaving_updates(&self, now: Instant) -> SmallVec<[Leaving; 4]> {
        self.inner.tracker().updates(now)
    }

    /// Waits until [`Table::leaving_updates`] has changed. For a single listener.
    pub async fn leaving_changed(&self) {
        self.inner.leaving_changed.notified().await;
    }

    /// Returns whether an upstream gets no new requests because it is leaving or not listed.
    pub fn is_leaving(&self, upstream: id::Upstream, now: Instant) -> bool {
        self.inner.tracker().is_leaving(upstream, now)
    }

    /// Returns the number of requests of one kind of traffic that this process has in flight at an upstream.
    pub fn in_flight(&self, upstream: id::Upstream, traffic: Traffic) -> u32 {
        let entries = self.inner.entries.load();
        entries
            .by_upstream
            .get(&upstream)
            .map_or(0, |entry| entry.live.in_flight(traffic))
    }

    /// Waits until online in-flight counts have changed, and returns the changed ones.
    ///
    /// For a single listener, which reports them to admission controllers.
    pub async fn online_changed(&self) -> SmallVec<[Load; 4]> {
        loop {
            self.inner.online_changed.notified().await;
            let changes = self.take_online_changes();
            if !changes.is_empty() {
                return changes;
            }
        }
    }

    /// Returns the online in-flight counts that have changed since the last call.
    pub fn take_online_changes(&self) -> SmallVec<[Load; 4]> {
        let entries = self.inner.entries.load();
        entries
            .all
            .iter()
            .filter(|entry| entry.live.changed.swap(false, Ordering::AcqRel))
            .map(|entry| Load {
                upstream: entry.listed.upstream,
                online: saturate_u16(entry.live.in_flight(Traffic::Online)),
            })
            .collect()
    }

    /// Returns the upstreams of the host list, including leaving ones.
    pub fn upstreams(&self) -> Vec<hosts::Upstream> {
        let entries = self.inner.entries.load();
        entries
            .all
            .iter()
            .map(|entry| entry.listed.clone())
            .collect()
    }

    /// Returns the load of the upstreams of a service.
    pub fn pressure(&self, service: &Service, now: Instant) -> Pressure {
        let entries = self.inner.entries.load();
        let pool = entries
            .by_pool
            .get(&service.pool)
            .map_or(&[][..], Vec::as_slice);
        let candidates = pool
            .iter()
            .filter(|entry| entry.listed.kind == service.kind)
            .filter_map(|entry| entry.candidate(service.artifact.as_ref(), now))
            .filter(|candidate| candidate.slots > 0);
        candidates.fold(Pressure::default(), |sum, candidate| Pressure {
            capacity: sum.capacity + u64::from(candidate.slots),
            load: sum.load + u64::from(candidate.own) + u64::from(candidate.others),
        })
    }

    pub fn last_report(&self, upstream: id::Upstream) -> Option<Report> {
        let entries = self.inner.entries.load();
        entries.by_upstream.get(&upstream)?.live.last_report()
    }

    /// Returns up to `count` engines whose report has never been requested, and marks it as requested.
    pub fn new_report_targets(&self, count: usize, now: Instant) -> SmallVec<[Target; 8]> {
        let entries = self.inner.entries.load();
        let engines = entries.all.iter();
        let new = engines
            .filter(|entry| entry.listed.kind == hosts::Kind::Engine && entry.live.polled_at() == 0)
            .take(count);
        new.map(|entry| {
            entry.live.mark_polled(now);
            entry.target()
        })
        .collect()
    }

    /// Returns the `count` engines whose report was requested the longest ago, and marks it as requested, so that an
    /// unresponsive engine is not polled more often.
    pub fn next_report_targets(&self, count: usize, now: Instant) -> SmallVec<[Target; 8]> {
        let entries = self.inner.entries.load();
        let mut engines: Vec<&Arc<Entry>> = entries
            .all
            .iter()
            .filter(|entry| entry.listed.kind == hosts::Kind::Engine)
            .collect();
        engines.sort_by_key(|entry| (entry.live.polled_at(), entry.listed.upstream));
        let next = engines.into_iter().take(count);
        next.map(|entry| {
            entry.live.mark_polled(now);
            entry.target()
        })
        .collect()
    }
}

impl Router for Table {
    fn choose(&self, request: &RouteRequest<'_>, now: Instant) -> Result<Choice, Failure> {
        let entries = self.inner.entries.load();
        let pool = entries
            .by_pool
            .get(&request.service.pool)
            .map_or(&[][..], Vec::as_slice);
        let (matching, candidates) = find_candidates(pool, request, now);
        let pick = pick::choose(&candidates, request.prefix).ok_or_else(|| refusal(request))?;
        let entry = matching[pick.index];
        let ticket = InFlight::begin(self.inner.clone(), entry.clone(), request.traffic);
        let reason = if ticket.is_probe() {
            "probe"
        } else {
            pick.reason
        };
        Ok(Choice {
            target: entry.target(),
            reason,
            ticket: Box::new(ticket),
        })
    }
}

fn find_candidates<'a>(
    pool: &'a [Arc<Entry>],
    request: &RouteRequest<'_>,
    now: Instant,
) -> (Vec<&'a Arc<Entry>>, Vec<Candidate>) {
    let artifact = request.service.artifact.as_ref();
    pool.iter()
        .filter(|entry| entry.listed.kind == request.service.kind)
        .filter(|entry| !request.tried.contains(&entry.listed.upstream))
        .filter_map(|entry| Some((entry, entry.candidate(artifact, now)?)))
        .unzip()
}

fn refusal(request: &RouteRequest<'_>) -> Failure {
    let message = if request.tried.is_empty() {
        format!(
            "no upstream of pool {:?} can take the request now",
            request.service.pool
        )
    } else {
        format!(
            "no further upstream of pool {:?} can take the request now",
            request.service.pool
        )
    };
    Failure::not_run(Code::NoUpstream, message).retry_at(SystemTime::now() + RETRY_AFTER)
}

impl Inner {
    fn tracker(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an upstream itself reports to be leaving.
    fn record_leaving(&self, upstream: id::Upstream, now: Instant) {
        self.record_notice(upstream, |tracker| tracker.record_leaving(upstream, now));
    }

    /// Changes the tracker and copies the upstream's exclusion to its entry, where traffic threads read it. Returns whether the
    /// notice is new.
    ///
    /// The tracker stays locked meanwhile. Otherwise an upstream could still be chosen after [`Table::is_leaving`] reports it,
    /// and an exclusion from before a host list could replace the one of the list.
    fn record_notice(
        &self,
        upstream: id::Upstream,
        record: impl FnOnce(&mut Tracker) -> bool,
    ) -> bool {
        let mut tracker = self.tracker();
        let is_new = record(&mut tracker);
        if let Some(entry) = self.entries.load().by_upstream.get(&upstream) {
            entry.live.set_exclusion(tracker.exclusion(upstream));
        }
        drop(tracker);
        if is_new {
            self.leaving_changed.notify_one();
        }
        is_new
    }

    fn notify_online_changed(&self, entry: &Entry) {
        entry.live.changed.store(true, Ordering::Release);
        self.online_changed.notify_one();
    }
}

impl Entries {
    fn add(&mut self, entry: Entry) {
        let entry = Arc::new(entry);
        for pool in &entry.listed.pools {
            self.by_pool
                .entry(pool.clone())
                .or_default()
                .push(entry.clone());
        }
        self.by_upstream
            .insert(entry.listed.upstream, entry.clone());
        self.all.push(entry);
    }
}

impl Entry {
    fn target(&self) -> Target {
        Target {
            upstream: self.listed.upstream,
            address: self.listed.address,
        }
    }
}

fn saturate_u16(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
