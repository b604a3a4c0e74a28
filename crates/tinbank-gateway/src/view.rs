//! What the process knows of the configuration, the upstreams and the other hosts.

mod entries;
mod lists;
mod mark;
mod pages;
mod told;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::{allocator, directory::Peer, slow_start::Cold};
use tinbank_base::id;
use tinbank_feed::message::Age;
use tinbank_relay::{
    evacuation::{self, Evacuations},
    listing::Listing,
    route::Config,
    upstream::Upstream,
};
use tokio::{sync::Notify, time};

use self::mark::Lists;
pub(crate) use self::{lists::follow, mark::Mark, told::take_told};
use crate::border::store::{Error, List};

/// How long a read waits for news at the store.
const WAIT: Duration = Duration::from_millis(1_000);
/// How long a read of a list waits that seldom changes, and of which hosts tell each other as well. Each call has a price.
const LONG_WAIT: Duration = Duration::from_secs(10);
/// Time in which an upstream's entry says what it has become. Source: its heartbeat, and the reads that bring it here.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// A list read this long ago may lack what others know.
const STALE: Duration = Duration::from_millis(1_800);

/// What the process knows.
#[derive(Default)]
pub(crate) struct View {
    config: RefCell<Option<Rc<Config>>>,
    config_read_at: Cell<Option<Instant>>,
    upstreams: RefCell<Listing>,
    upstreams_read_at: Cell<Option<Instant>>,
    /// Only the upstreams of the own failure domain are known.
    is_narrow: Cell<bool>,
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    peers_read_at: Cell<Option<Instant>>,
    evacuations: RefCell<Evacuations>,
    /// Failure domains that were taken back, and until when their upstreams may be cold without saying so.
    reinstated: RefCell<HashMap<id::FailureDomain, Instant>>,
    /// How far the lists of the store are known.
    pub lists: Lists,
    refreshed: Notify,
}

impl View {
    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// The configuration in force. A process that has just started waits until it knows it and the upstreams.
    pub async fn config_once_known(&self, until: Instant) -> Option<Rc<Config>> {
        while !self.is_known() {
            let refreshed = time::timeout_at(until.into(), self.refreshed.notified());
            if refreshed.await.is_err() {
                break;
            }
        }
        self.config()
    }

    /// Waits until the configuration and all upstreams were read.
    pub async fn known(&self) {
        while !self.is_known() || self.lists.of(List::Upstreams).position().is_none() {
            self.refreshed.notified().await;
        }
    }

    /// Waits until something was read.
    pub async fn refreshed(&self) {
        self.refreshed.notified().await;
    }

    /// How long ago the configuration and the upstreams were read.
    pub fn age(&self, now: Instant) -> Age {
        let age = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        Age {
            config: age(self.config_read_at.get()),
            upstreams: age(self.upstreams_read_at.get()),
        }
    }

    /// Waits until the list of hosts was read, or for so long.
    pub async fn hosts_once_known(&self, until: Instant) {
        while self.peers_read_at.get().is_none() {
            let refreshed = time::timeout_at(until.into(), self.refreshed.notified());
            if refreshed.await.is_err() {
                return;
            }
        }
    }

    /// True if the list of hosts names this one, as it is.
    pub fn is_listed(&self, host: &Peer) -> bool {
        self.peers.borrow().get(&host.address) == Some(host)
    }

    /// All hosts that are listed.
    pub fn hosts(&self) -> Vec<Peer> {
        self.peers.borrow().values().cloned().collect()
    }

    /// A host, if it is listed.
    pub fn host(&self, address: SocketAddr) -> Option<Peer> {
        self.peers.borrow().get(&address).cloned()
    }

    /// All upstreams that are there, also those that leave.
    pub fn present(&self) -> Vec<Upstream> {
        self.upstreams.borrow().present().cloned().collect()
    }

    /// An upstream, if it is there.
    pub fn upstream(&self, instance: &id::Instance) -> Option<Upstream> {
        self.upstreams.borrow().get(instance).cloned()
    }

    /// True if only the upstreams of the own failure domain are known.
    pub fn is_narrow(&self) -> bool {
        self.is_narrow.get()
    }

    /// The failure domains whose upstreams get nothing new.
    pub fn evacuated(&self) -> Vec<id::FailureDomain> {
        self.evacuations.borrow().domains().cloned().collect()
    }

    /// True if the upstreams of a failure domain get nothing new.
    pub fn is_evacuated(&self, failure_domain: &str) -> bool {
        self.evacuations.borrow().covers(failure_domain)
    }

    /// Waits until a list of hosts that was read after some time lacks a host.
    pub async fn host_taken_off(&self, host: &Peer, after: Instant) {
        loop {
            self.refreshed.notified().await;
            let is_newer = self.peers_read_at.get().is_some_and(|at| at > after);
            if is_newer && !self.is_listed(host) {
                log::info!("host is off the list, registering it again");
                return;
            }
        }
    }

    /// True if the configuration was read a moment ago.
    pub fn is_config_fresh(&self, now: Instant) -> bool {
        let read_at = self.config_read_at.get();
        read_at.is_some_and(|at| now.saturating_duration_since(at) < STALE)
    }

    /// True once the configuration and the upstreams were read.
    pub fn is_known(&self) -> bool {
        self.config.borrow().is_some() && self.upstreams_read_at.get().is_some()
    }

    /// How long ago the upstreams were read.
    pub fn upstreams_age(&self, now: Instant) -> Option<Duration> {
        let read_at = self.upstreams_read_at.get();
        read_at.map(|at| now.saturating_duration_since(at))
    }

    /// Forgets when it read, after a pause of the process, so that nothing older than the pause is acted on.
    pub fn distrust(&self) {
        self.config_read_at.set(None);
    }

    /// The upstreams of a service that take requests and are not cold: nobody counts what a cold one gets where no allocator
    /// answers.
    pub fn upstreams(&self, service: &str) -> Vec<Upstream> {
        let listing = self.upstreams.borrow();
        let now = Instant::now();
        let fit = self.serving(&listing).filter(|it| it.service == service);
        fit.filter(|it| self.cold(it, now).is_none())
            .cloned()
            .collect()
    }

    /// The upstreams that may get something new.
    fn serving<'a>(&'a self, listing: &'a Listing) -> impl Iterator<Item = &'a Upstream> {
        let evacuations = self.evacuations.borrow();
        let serving = listing.serving();
        serving.filter(move |it| !evacuations.covers(&it.failure_domain))
    }

    /// True if an upstream of a service takes requests beside those given.
    pub fn has_upstream_beside(&self, service: &str, others: &[id::Instance]) -> bool {
        let listing = self.upstreams.borrow();
        let mut fit = self.serving(&listing).filter(|it| it.service == service);
        fit.any(|it| !others.contains(&it.instance))
    }

    /// True if the upstream is known to leave, or to be gone. One that is not listed yet may be new.
    pub fn is_leaving(&self, instance: &id::Instance) -> bool {
        self.upstreams.borrow().is_leaving(instance)
    }

    /// An upstream said itself that it is leaving or gone.
    pub fn leave(&self, instance: &id::Instance) {
        self.upstreams.borrow_mut().leave(instance);
    }

    /// Takes in whether the store answered a read of a list.
    fn note_contact<T>(&self, list: List, read: &Result<T, Error>) {
        if list != List::Upstreams {
            return;
        }
        let mut listing = self.upstreams.borrow_mut();
        match read {
            Ok(_) => listing.answered(Instant::now()),
            Err(Error::NoEffect(_) | Error::Busy(_) | Error::Unknown(_)) => listing.failed(),
            Err(Error::Trimmed { .. } | Error::Protocol(_)) => {}
        }
    }

    /// How long a read of a list waits for news: not beyond the time at which missing upstreams are given up.
    fn wait(&self, list: List, now: Instant) -> Duration {
        match list {
            List::Config | List::Hosts => return WAIT,
            List::Quarantine | List::FirstDelegates => return LONG_WAIT,
            List::Upstreams => {}
        }
        let settles_at = self.upstreams.borrow().settles_at();
        let left = settles_at.map(|at| at.saturating_duration_since(now));
        left.map_or(WAIT, |left| left.min(WAIT))
    }

    /// Until when an upstream bears few requests a second. One of a failure domain that was just taken back may be cold though
    /// its entry does not say so yet.
    fn cold(&self, upstream: &Upstream, now: Instant) -> Option<Cold> {
        let config = self.config.borrow();
        let per_second = config.as_ref()?.cold_rate(&upstream.service)?;
        let reinstated = self.reinstated.borrow();
        let unsure_until = reinstated.get(&upstream.failure_domain).copied();
        let until = upstream.cold_until.max(unsure_until)?;
        (now < until).then_some(Cold { until, per_second })
    }

    /// Failure domains were taken back.
    fn note_reinstated(&self, changes: &[evacuation::Change], now: Instant) {
        let mut reinstated = self.reinstated.borrow_mut();
        reinstated.retain(|_, until| now < *until);
        for change in changes {
            if let evacuation::Change::Reinstated(domain) = change {
                reinstated.insert(domain.clone(), now + REPORT_TIME);
            }
        }
    }

    /// The upstreams that the allocator of a failure domain deals out.
    pub fn dealt(&self, failure_domain: &str, now: Instant) -> Vec<allocator::Upstream> {
        let listing = self.upstreams.borrow();
        let mut dealt: Vec<_> = self
            .serving(&listing)
            .filter(|it| it.failure_domain == failure_domain)
            .map(|it| allocator::Upstream {
                instance: it.instance.clone(),
                address: it.address,
                service: it.service.clone(),
                slots: it.slots,
                cold: self.cold(it, now),
            })
            .collect();
        dealt.sort_by(|a, b| a.instance.cmp(&b.instance));
        dealt
    }
}
