//! The table of upstreams: fed by the control thread, read by traffic threads.
//!
//! Lists, reports and words of peers come from the control thread; choices and their results from traffic threads,
//! which read an immutable list of entries and atomic counts. See `docs/design/routing.md`.

mod entry;
mod ticket;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::{Duration, Instant, SystemTime},
};

use arc_swap::ArcSwap;
use smallvec::SmallVec;
use tinbank_base::{
    frame::{credit::Load, heartbeat::Leaving},
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
    entry::{Entry, Live},
    ticket::Held,
};
use crate::{
    choice::{RouteRequest, Choice, Router},
    health::Signal,
    leaving::Tracker,
    pick::{self, Candidate},
    shed::Pressure,
};

/// When to ask again if no upstream can take a request.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// The table of upstreams. Cheap to clone: all clones are one table.
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
    changed: Notify,
    signed: Notify,
}

#[derive(Debug, Default)]
struct Entries {
    all: Vec<Arc<Entry>>,
    by_upstream: HashMap<id::Upstream, Arc<Entry>>,
    by_pool: HashMap<id::Pool, Vec<Arc<Entry>>>,
}

impl Table {
    /// An empty table for a process of the failure domain given.
    pub fn new(failure_domain: impl Into<id::FailureDomain>, now: Instant) -> Self {
        let inner = Inner {
            failure_domain: failure_domain.into(),
            epoch: now,
            entries: ArcSwap::default(),
            tracker: Mutex::default(),
            changed: Notify::new(),
            signed: Notify::new(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Takes in the host list. A list older than the one in force is ignored.
    pub fn apply_list(&self, list: &List, now: Instant) {
        let mut tracker = self.inner.tracker();
        if !tracker.list(list, now) {
            return;
        }
        let signed = !tracker.news(now).is_empty();
        let before = self.inner.entries.load();
        let mut entries = Entries::default();
        for listed in &list.upstreams {
            let live = match before.by_upstream.get(&listed.upstream) {
                Some(entry) if entry.listed.address == listed.address => entry.live.clone(),
                _ => Arc::new(Live::new(self.inner.epoch)),
            };
            live.leave(tracker.until(listed.upstream));
            entries.add(Entry {
                listed: listed.clone(),
                near: listed.failure_domain == self.inner.failure_domain,
                live,
            });
        }
        self.inner.entries.store(Arc::new(entries));
        if signed {
            self.inner.signed.notify_one();
        }
    }

    /// Takes in that an upstream can't be reached for its report, so that no caller has to find out.
    pub fn record_unreachable(&self, upstream: id::Upstream, now: Instant) {
        if let Some(entry) = self.inner.entries.load().by_upstream.get(&upstream) {
            entry.live.record(Signal::Unreachable, now);
        }
    }

    /// Takes in an upstream's report.
    pub fn record_report(&self, upstream: id::Upstream, report: Report, now: Instant) {
        let entries = self.inner.entries.load();
        let Some(entry) = entries.by_upstream.get(&upstream) else {
            return;
        };
        if report.leaving {
            self.inner.sign(upstream, now);
        }
        entry.live.report(report);
    }

    /// Takes in a peer's word that an upstream is leaving. Returns whether it is news.
    pub fn apply_leaving(&self, word: Leaving, now: Instant) -> bool {
        let news = self.inner.tracker().hear(word, now);
        self.inner.mirror(word.upstream);
        if news {
            self.inner.signed.notify_one();
        }
        news
    }

    /// Signs of leaving upstreams to pass on to peers.
    pub fn leaving_updates(&self, now: Instant) -> SmallVec<[Leaving; 4]> {
        self.inner.tracker().news(now)
    }

    /// Waits until there is news for [`Table::leaving_updates`]. For one listener, which passes the signs on.
    pub async fn leaving_changed(&self) {
        self.inner.signed.notified().await;
    }

    /// Whether an upstream gets no new work because it leaves or is not on the list.
    pub fn is_leaving(&self, upstream: id::Upstream, now: Instant) -> bool {
        self.inner.tracker().is_leaving(upstream, now)
    }

    /// Requests of one kind that this process has in flight at an upstream.
    pub fn in_flight(&self, upstream: id::Upstream, traffic: Traffic) -> u32 {
        let entries = self.inner.entries.load();
        entries
            .by_upstream
            .get(&upstream)
            .map_or(0, |entry| entry.live.in_flight(traffic))
    }

    /// Waits until the online in-flight count of some upstream has changed, and returns the counts that did.
    ///
    /// For one listener, which tells the admission controllers.
    pub async fn online_changed(&self) -> SmallVec<[Load; 4]> {
        loop {
            self.inner.changed.notified().await;
            let changes = self.take_online_changes();
            if !changes.is_empty() {
                return changes;
            }
        }
    }

    /// The online in-flight counts that have changed since they were last taken.
    pub fn take_online_changes(&self) -> SmallVec<[Load; 4]> {
        let entries = self.inner.entries.load();
        entries
            .all
            .iter()
            .filter(|entry| entry.live.changed.swap(false, Ordering::AcqRel))
            .map(|entry| Load {
                upstream: entry.listed.upstream,
                online: saturate(entry.live.in_flight(Traffic::Online)),
            })
            .collect()
    }

    /// The upstreams on the list, leaving ones included.
    pub fn upstreams(&self) -> Vec<hosts::Upstream> {
        let entries = self.inner.entries.load();
        entries
            .all
            .iter()
            .map(|entry| entry.listed.clone())
            .collect()
    }

    /// How busy the upstreams of a service are.
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

    /// The last report of an upstream.
    pub fn last_report(&self, upstream: id::Upstream) -> Option<Report> {
        let entries = self.inner.entries.load();
        entries.by_upstream.get(&upstream)?.live.last_report()
    }

    /// Engines that were never asked for their report. They count as asked from now on.
    pub fn new_report_targets(&self, count: usize, now: Instant) -> SmallVec<[Target; 8]> {
        let entries = self.inner.entries.load();
        let engines = entries.all.iter();
        let new = engines
            .filter(|entry| entry.listed.kind == hosts::Kind::Engine && entry.live.asked_at() == 0)
            .take(count);
        new.map(|entry| {
            entry.live.ask(now);
            entry.target()
        })
        .collect()
    }

    /// The engines that were asked for their report the longest ago. They count as asked from now on, so that an engine
    /// which does not answer is not asked all the time.
    pub fn next_report_targets(&self, count: usize, now: Instant) -> SmallVec<[Target; 8]> {
        let entries = self.inner.entries.load();
        let mut engines: Vec<&Arc<Entry>> = entries
            .all
            .iter()
            .filter(|entry| entry.listed.kind == hosts::Kind::Engine)
            .collect();
        engines.sort_by_key(|entry| (entry.live.asked_at(), entry.listed.upstream));
        let next = engines.into_iter().take(count);
        next.map(|entry| {
            entry.live.ask(now);
            entry.target()
        })
        .collect()
    }
}

impl Router for Table {
    fn choose(&self, ask: &RouteRequest<'_>, now: Instant) -> Result<Choice, Failure> {
        let entries = self.inner.entries.load();
        let pool = entries
            .by_pool
            .get(&ask.service.pool)
            .map_or(&[][..], Vec::as_slice);
        let (runners, candidates) = gather(pool, ask, now);
        let pick = pick::choose(&candidates, ask.prefix).ok_or_else(|| refusal(ask))?;
        let entry = runners[pick.index];
        let ticket = Held::begin(self.inner.clone(), entry.clone(), ask.traffic);
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

fn gather<'a>(
    pool: &'a [Arc<Entry>],
    ask: &RouteRequest<'_>,
    now: Instant,
) -> (Vec<&'a Arc<Entry>>, Vec<Candidate>) {
    let artifact = ask.service.artifact.as_ref();
    pool.iter()
        .filter(|entry| entry.listed.kind == ask.service.kind)
        .filter(|entry| !ask.tried.contains(&entry.listed.upstream))
        .filter_map(|entry| Some((entry, entry.candidate(artifact, now)?)))
        .unzip()
}

fn refusal(ask: &RouteRequest<'_>) -> Failure {
    let message = if ask.tried.is_empty() {
        format!(
            "no upstream of pool {:?} can take the request now",
            ask.service.pool
        )
    } else {
        format!(
            "no further upstream of pool {:?} can take the request now",
            ask.service.pool
        )
    };
    Failure::not_run(Code::NoUpstream, message).retry_at(SystemTime::now() + ASK_AGAIN)
}

impl Inner {
    fn tracker(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in an upstream's own word that it is leaving.
    fn sign(&self, upstream: id::Upstream, now: Instant) {
        let news = self.tracker().sign(upstream, now);
        self.mirror(upstream);
        if news {
            self.signed.notify_one();
        }
    }

    /// Copies the tracker's verdict to where traffic threads read it.
    fn mirror(&self, upstream: id::Upstream) {
        let until = self.tracker().until(upstream);
        if let Some(entry) = self.entries.load().by_upstream.get(&upstream) {
            entry.live.leave(until);
        }
    }

    fn count_changed(&self, entry: &Entry) {
        entry.live.changed.store(true, Ordering::Release);
        self.changed.notify_one();
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

fn saturate(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
