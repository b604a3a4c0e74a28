//! This host's view of the configuration, the upstreams and the other hosts.

mod entries;
mod lists;
mod pages;
mod update;
mod watermark;

use std::{
    cell::{Cell, Ref, RefCell},
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::{allocator, directory::Peer, leaving::Evidence, slow_start::ColdStart};
use tinbank_base::id;
use tinbank_feed::{Replica, message::Age};
use tinbank_origin::Origin;
use tinbank_relay::{
    evacuation::{self, Evacuations},
    listing::{Cause, Listing, Scope},
    route::Config,
    upstream::Upstream,
};
use tokio::{sync::Notify, time};

use self::watermark::Lists;
pub(crate) use self::{
    lists::{catch_up, follow},
    update::{apply_contact, apply_update},
    watermark::Watermark,
};
use crate::border::store::{Error, List, Offset};

/// How long the store delays the answer to a read until there is a change.
const READ_WAIT: Duration = Duration::from_millis(1_000);
/// The same for lists that rarely change and that hosts exchange as well. Each call to the store is costly.
const LONG_READ_WAIT: Duration = Duration::from_secs(10);
/// Time until a changed state of an upstream is known here: an interval of its heartbeat, and the reads of the list.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Age beyond which the configuration may be out of date.
const MAX_CONFIG_AGE: Duration = Duration::from_millis(1_800);

/// This host's view of the lists of the store.
#[derive(Default)]
pub(crate) struct View {
    config: RefCell<Option<Rc<Config>>>,
    config_read_at: Cell<Option<Instant>>,
    upstreams: RefCell<Replica>,
    upstreams_read_at: Cell<Option<Instant>>,
    builds_read_at: Cell<Option<Instant>>,
    peers: RefCell<HashMap<SocketAddr, Peer>>,
    peers_read_at: Cell<Option<Instant>>,
    evacuations: RefCell<Evacuations>,
    /// Reinstated failure domains, and until when their upstreams may be cold although their entries do not say so yet.
    reinstated: RefCell<HashMap<id::FailureDomain, Instant>>,
    /// How far the other lists of the store were read.
    pub lists: Lists,
    refreshed: Notify,
}

impl View {
    /// Records that the process was paused.
    pub fn record_pause(&self) {
        self.upstreams.borrow_mut().record_pause();
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Waits until the configuration and all upstreams were read.
    pub async fn wait_until_known(&self) {
        while !self.is_known() || self.position(List::Upstreams).is_none() {
            self.refreshed.notified().await;
        }
    }

    /// Waits until a list was read.
    pub async fn wait_for_refresh(&self) {
        self.refreshed.notified().await;
    }

    /// Returns how long ago the configuration and the upstreams were read.
    pub fn age(&self, now: Instant) -> Age {
        let age = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        Age {
            config: age(self.config_read_at.get()),
            upstreams: age(self.upstreams_read_at.get()),
        }
    }

    /// Waits until the list of hosts was read, or until a deadline.
    pub async fn wait_for_hosts(&self, until: Instant) {
        while self.peers_read_at.get().is_none() {
            let refreshed = time::timeout_at(until.into(), self.refreshed.notified());
            if refreshed.await.is_err() {
                return;
            }
        }
    }

    /// Returns whether a host is listed with exactly these properties.
    pub fn is_listed(&self, host: &Peer) -> bool {
        self.peers.borrow().get(&host.address) == Some(host)
    }

    /// Returns all listed hosts.
    pub fn hosts(&self) -> Vec<Peer> {
        self.peers.borrow().values().cloned().collect()
    }

    /// Returns a host, if it is listed.
    pub fn host(&self, address: SocketAddr) -> Option<Peer> {
        self.peers.borrow().get(&address).cloned()
    }

    /// Returns the position after the last record of a list that was applied.
    pub fn position(&self, list: List) -> Option<Offset> {
        match self.lists.of(list) {
            Some(watermark) => watermark.position(),
            None => self.upstreams.borrow().position(),
        }
    }

    /// Forgets the position in a list, so that the whole list is read again.
    fn reset(&self, list: List) {
        match self.lists.of(list) {
            Some(watermark) => watermark.reset(),
            None => self.upstreams.borrow_mut().reset(),
        }
    }

    /// Returns the upstreams, for updates of followers.
    pub fn replica(&self) -> Ref<'_, Replica> {
        self.upstreams.borrow()
    }

    /// Returns whether only the upstreams of the own failure domain are tracked.
    pub fn is_own_domain_only(&self) -> bool {
        *self.upstreams.borrow().listing().scope() != Scope::All
    }

    /// Returns the evacuated failure domains, whose upstreams get no new requests.
    pub fn evacuated(&self) -> Vec<id::FailureDomain> {
        self.evacuations.borrow().domains().cloned().collect()
    }

    /// Returns whether a failure domain is evacuated.
    pub fn is_evacuated(&self, failure_domain: &str) -> bool {
        self.evacuations.borrow().covers(failure_domain)
    }

    /// Waits until a list of hosts that was read later than `after` lacks a host.
    pub async fn wait_until_deregistered(&self, host: &Peer, after: Instant) {
        loop {
            self.refreshed.notified().await;
            let is_newer = self.peers_read_at.get().is_some_and(|at| at > after);
            if is_newer && !self.is_listed(host) {
                log::info!("host is missing from the list, registering it again");
                return;
            }
        }
    }

    /// Returns whether the configuration was read recently enough to be up to date.
    pub fn is_config_fresh(&self, now: Instant) -> bool {
        let read_at = self.config_read_at.get();
        read_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_CONFIG_AGE)
    }

    /// Returns whether the configuration and the upstreams were read.
    pub fn is_known(&self) -> bool {
        self.config.borrow().is_some() && self.has_upstreams()
    }

    /// Returns whether the upstreams, or a first part of them, were read.
    pub fn has_upstreams(&self) -> bool {
        self.upstreams_read_at.get().is_some()
    }

    /// Returns how long ago the upstreams were read.
    pub fn upstreams_age(&self, now: Instant) -> Option<Duration> {
        let read_at = self.upstreams_read_at.get();
        read_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns how long ago the builds that have served were read from the store, or received with a change.
    pub fn builds_age(&self, now: Instant) -> Option<Duration> {
        let read_at = self.builds_read_at.get();
        read_at.map(|at| now.saturating_duration_since(at))
    }

    /// Marks the configuration as stale after a pause of the process, so that it is not used until it was read again.
    pub fn invalidate_config(&self) {
        self.config_read_at.set(None);
    }

    /// Returns the upstreams of a service that take requests and are not cold. Used without an allocator, where nobody limits the
    /// rate of requests to a cold upstream.
    pub fn upstreams(&self, service: &str) -> Vec<Upstream> {
        let replica = self.upstreams.borrow();
        let now = Instant::now();
        let serving = self
            .serving(replica.listing())
            .filter(|it| it.service == service);
        serving
            .filter(|it| self.cold_start(it, now).is_none())
            .cloned()
            .collect()
    }

    /// Returns the upstreams that may get new requests.
    fn serving<'a>(&'a self, listing: &'a Listing) -> impl Iterator<Item = &'a Upstream> {
        let evacuations = self.evacuations.borrow();
        let serving = listing.serving();
        serving.filter(move |it| !evacuations.covers(&it.failure_domain))
    }

    /// Returns whether an upstream of a service takes requests, other than those given.
    pub fn has_other_upstream(&self, service: &str, others: &[id::Instance]) -> bool {
        let replica = self.upstreams.borrow();
        let mut serving = self
            .serving(replica.listing())
            .filter(|it| it.service == service);
        serving.any(|it| !others.contains(&it.instance))
    }

    /// Returns the builds of some services that are listed.
    pub fn builds(&self, services: &[&str]) -> BTreeSet<Origin> {
        self.builds_of(|it| services.contains(&it.service.as_str()))
    }

    /// Returns the builds that are listed in a failure domain.
    pub fn builds_in(&self, failure_domain: &str) -> BTreeSet<Origin> {
        self.builds_of(|it| it.failure_domain == failure_domain)
    }

    /// Returns the failure domains in which upstreams are listed.
    pub fn domains_with_upstreams(&self) -> BTreeSet<id::FailureDomain> {
        let replica = self.upstreams.borrow();
        // Thousands of upstreams are in few failure domains.
        let present = replica.listing().present();
        let named: BTreeSet<_> = present.map(|it| &it.failure_domain).collect();
        named.into_iter().cloned().collect()
    }

    fn builds_of(&self, matches: impl Fn(&Upstream) -> bool) -> BTreeSet<Origin> {
        let replica = self.upstreams.borrow();
        let present = replica.listing().present().filter(|it| matches(it));
        // Thousands of upstreams have few builds.
        let named: BTreeSet<_> = present.map(|it| (&it.service, &it.build)).collect();
        let origins = named.into_iter().map(|(service, build)| Origin {
            service: service.clone(),
            build: build.clone(),
        });
        origins.collect()
    }

    /// Returns why an upstream counts as leaving or gone, if it does. One that is not listed yet may be new.
    pub fn evidence_of_leaving(&self, instance: &id::Instance) -> Option<Evidence> {
        let replica = self.upstreams.borrow();
        let cause = replica
            .listing()
            .cause_of_leaving(instance, Instant::now())?;
        Some(match cause {
            Cause::Reply => Evidence::Reply,
            Cause::List(position) => Evidence::List(position),
        })
    }

    /// Records that an upstream itself reported that it is leaving or gone.
    pub fn mark_leaving(&self, instance: &id::Instance) {
        self.upstreams.borrow_mut().mark_leaving(instance);
    }

    /// Records whether the store answered a read of a list. A failed read of any list interrupts the contact with the store: a read
    /// of the upstreams may wait for records throughout a short outage, and be answered after it.
    fn record_read_result<T>(&self, list: List, read: &Result<T, Error>) {
        let mut replica = self.upstreams.borrow_mut();
        match read {
            Ok(_) if list == List::Upstreams => {
                let was_reliable = replica.listing().is_reliable();
                replica.record_store_answer(Instant::now());
                if was_reliable && !replica.listing().is_reliable() {
                    log::info!(
                        "first read of the upstreams after a gap, their list is not reliable yet"
                    );
                }
            }
            Err(
                Error::NoEffect(_) | Error::Busy(_) | Error::Unknown(_) | Error::Disconnected(_),
            ) => replica.record_store_failure(),
            Ok(_) | Err(Error::Trimmed { .. } | Error::Protocol(_)) => {}
        }
    }

    /// Returns how long a read of a list may be delayed: not beyond the time at which missing upstreams are removed.
    fn max_wait(&self, list: List, now: Instant) -> Duration {
        match list {
            List::Config | List::Hosts => return READ_WAIT,
            List::Quarantine | List::Builds | List::FirstDelegates => return LONG_READ_WAIT,
            List::Upstreams => {}
        }
        let settles_at = self.upstreams.borrow().listing().missing_expire_at();
        let left = settles_at.map(|at| at.saturating_duration_since(now));
        left.map_or(READ_WAIT, |left| left.min(READ_WAIT))
    }

    /// Returns the rate limit of a cold upstream and when it ends. An upstream of a failure domain that was just reinstated may be
    /// cold although its entry does not say so yet.
    fn cold_start(&self, upstream: &Upstream, now: Instant) -> Option<ColdStart> {
        let config = self.config.borrow();
        let per_second = config.as_ref()?.cold_rate(&upstream.service)?;
        let reinstated = self.reinstated.borrow();
        let maybe_cold_until = reinstated.get(&upstream.failure_domain).copied();
        let until = upstream.cold_until.max(maybe_cold_until)?;
        (now < until).then_some(ColdStart { until, per_second })
    }

    /// Records which failure domains were reinstated.
    fn record_reinstated(&self, changes: &[evacuation::Change], now: Instant) {
        let mut reinstated = self.reinstated.borrow_mut();
        reinstated.retain(|_, until| now < *until);
        for change in changes {
            if let evacuation::Change::Reinstated(domain) = change {
                reinstated.insert(domain.clone(), now + PROPAGATION_TIME);
            }
        }
    }

    /// Returns the upstreams whose slots the allocator of a failure domain grants.
    pub fn allocatable(&self, failure_domain: &str, now: Instant) -> Vec<allocator::Upstream> {
        let replica = self.upstreams.borrow();
        let config = self.config();
        let limits = |it: &Upstream| config.as_ref()?.service_limits(&it.service);
        let mut allocatable: Vec<_> = self
            .serving(replica.listing())
            .filter(|it| it.failure_domain == failure_domain)
            .map(|it| allocator::Upstream {
                instance: it.instance.clone(),
                address: it.address,
                service: it.service.clone(),
                build: it.build.clone(),
                slots: it.slots,
                cold: self.cold_start(it, now),
                memory_tokens: limits(it).and_then(|it| it.memory_tokens),
                max_connections: limits(it).and_then(|it| it.max_connections),
            })
            .collect();
        allocatable.sort_by(|a, b| a.instance.cmp(&b.instance));
        allocatable
    }
}
