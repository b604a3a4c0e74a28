//! What the process knows of the configuration, the upstreams and the other hosts, and how it follows them.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_allocator::{allocator, directory::Peer};
use tinbank_base::id;
use tinbank_relay::{
    listing::{Change, Listing},
    route::Config,
    upstream::Upstream,
};
use tokio::{sync::Notify, time};

use crate::{
    border::store::{Entries, Error, List, Offset, Written},
    dependency::Dependency,
    node::Node,
};

/// How long a read waits for news at the store.
const WAIT: Duration = Duration::from_millis(1_000);
/// Time that the answer to a read may take beyond its wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause between two reads that found news, so that heartbeats of many upstreams are read together: each call at the store
/// has a price. Source: a quarter of the shortest time in which a leaving upstream has to be heard of.
const REST: Duration = Duration::from_millis(450);
/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(150);
/// A list read this long ago may lack what others know.
const STALE: Duration = Duration::from_millis(1_800);

/// What the process knows.
#[derive(Default)]
pub(crate) struct View {
    config: RefCell<Option<Rc<Config>>>,
    config_read_at: Cell<Option<Instant>>,
    upstreams: RefCell<Listing>,
    upstreams_read_at: Cell<Option<Instant>>,
    peers: RefCell<HashMap<String, Peer>>,
    peers_read_at: Cell<Option<Instant>>,
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

    /// Waits until a list of hosts that was read after some time lacks a host.
    pub async fn host_taken_off(&self, host: &Peer, after: Instant) {
        loop {
            self.refreshed.notified().await;
            let is_newer = self.peers_read_at.get().is_some_and(|at| at > after);
            let is_listed = self.peers.borrow().values().any(|it| it == host);
            if is_newer && !is_listed {
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

    /// The upstreams of a service that take requests.
    pub fn upstreams(&self, service: &str) -> Vec<Upstream> {
        let listing = self.upstreams.borrow();
        let fit = listing.serving().filter(|it| it.service == service);
        fit.cloned().collect()
    }

    /// True if an upstream of a service takes requests beside those given.
    pub fn has_upstream_beside(&self, service: &str, others: &[id::Instance]) -> bool {
        let listing = self.upstreams.borrow();
        let mut fit = listing.serving().filter(|it| it.service == service);
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
            Err(Error::NoEffect(_) | Error::Unknown(_)) => listing.failed(),
            Err(Error::Trimmed { .. } | Error::Protocol(_)) => {}
        }
    }

    /// How long a read of a list waits for news: not beyond the time at which missing upstreams are given up.
    fn wait(&self, list: List, now: Instant) -> Duration {
        if list != List::Upstreams {
            return WAIT;
        }
        let settles_at = self.upstreams.borrow().settles_at();
        let left = settles_at.map(|at| at.saturating_duration_since(now));
        left.map_or(WAIT, |left| left.min(WAIT))
    }

    fn dealt(&self, failure_domain: &str) -> Vec<allocator::Upstream> {
        let listing = self.upstreams.borrow();
        let mut dealt: Vec<_> = listing
            .serving()
            .filter(|it| it.failure_domain == failure_domain)
            .map(|it| allocator::Upstream {
                instance: it.instance.clone(),
                address: it.address,
                service: it.service.clone(),
                slots: it.slots,
            })
            .collect();
        dealt.sort_by(|a, b| a.instance.cmp(&b.instance));
        dealt
    }
}

/// Follows a list for as long as the process runs.
pub(crate) async fn follow(node: Rc<Node>, list: List) {
    let mut position = None;
    let mut dependency = Dependency::new(name(list));
    loop {
        let read = read(&node, list, position).await;
        node.view.note_contact(list, &read);
        match read {
            Ok((entries, whole)) => {
                dependency.reached();
                position = Some(entries.end);
                let news = !entries.entries.is_empty();
                take_in(&node, list, entries, whole);
                if news {
                    time::sleep(REST).await;
                }
            }
            Err(error) => {
                if matches!(error, Error::Trimmed { .. }) {
                    position = None;
                }
                // What is known stays in force.
                dependency.failed(&error);
                time::sleep(RETRY).await;
            }
        }
    }
}

/// The name of a list for logs and metrics.
fn name(list: List) -> &'static str {
    match list {
        List::Config => "config",
        List::Upstreams => "upstreams",
        List::Hosts => "hosts",
    }
}

/// The entries since a position, or all of them. True if all.
async fn read(node: &Node, list: List, position: Option<Offset>) -> Result<(Entries, bool), Error> {
    let Some(from) = position else {
        let until = Instant::now() + ANSWER_TIMEOUT;
        return Ok((node.store.newest(list, until).await?, true));
    };
    let now = Instant::now();
    let wait = node.view.wait(list, now);
    let until = now + wait + ANSWER_TIMEOUT;
    let wait_ms = wait.as_millis() as u64;
    Ok((node.store.since(list, from, wait_ms, until).await?, false))
}

fn take_in(node: &Node, list: List, entries: Entries, whole: bool) {
    let now = Instant::now();
    let view = &node.view;
    if whole && list == List::Hosts {
        view.peers.borrow_mut().clear();
    }
    match list {
        List::Upstreams => take_upstreams(view, entries, whole, now),
        List::Config | List::Hosts => {
            let entries = entries.entries.into_iter();
            entries.for_each(|written| take_one(view, written));
        }
    }
    match list {
        List::Config => view.config_read_at.set(Some(now)),
        List::Upstreams => {
            view.upstreams_read_at.set(Some(now));
            node.sharing.list(view.dealt(&node.settings.failure_domain));
        }
        List::Hosts => {
            view.peers_read_at.set(Some(now));
            let peers = view.peers.borrow().values().cloned().collect();
            node.sharing.peers(peers);
        }
    }
    view.refreshed.notify_waiters();
}

fn take_upstreams(view: &View, entries: Entries, whole: bool, now: Instant) {
    let mut listing = view.upstreams.borrow_mut();
    let entries = entries.entries.into_iter();
    let mut changes = match whole {
        true => {
            let listed = entries.filter_map(|written| match written {
                Written::Upstream(upstream) => Some(upstream),
                _ => None,
            });
            listing.replace(listed.collect(), now)
        }
        false => entries
            .filter_map(|written| match written {
                Written::Upstream(upstream) => listing.add(upstream),
                Written::Gone(instance) => listing.remove(&instance, now),
                _ => None,
            })
            .collect(),
    };
    changes.extend(listing.settle(now));
    changes.iter().for_each(log_change);
}

fn log_change(change: &Change) {
    match change {
        Change::Listed(upstream) => log::info!(
            upstream:% = upstream.instance,
            address:% = upstream.address,
            leaving = upstream.leaving;
            "upstream listed"
        ),
        Change::Missing(instance) => {
            log::info!(upstream:% = instance; "upstream missing since the store was away, kept for now");
        }
        Change::Gone(instance) => log::info!(upstream:% = instance; "upstream gone"),
    }
}

fn take_one(view: &View, written: Written) {
    match written {
        Written::Config(config) => {
            let before = view.config.borrow().as_ref().map(|it| it.version);
            if before.is_some_and(|before| before >= config.version) {
                return;
            }
            log::info!(version = config.version, before:?; "configuration in force");
            *view.config.borrow_mut() = Some(Rc::new(config));
        }
        Written::Host(peer) => {
            view.peers
                .borrow_mut()
                .insert(peer.address.to_string(), peer);
        }
        Written::HostGone(key) => {
            view.peers.borrow_mut().remove(&key);
        }
        Written::Upstream(_) | Written::Gone(_) | Written::Other => {}
    }
}
