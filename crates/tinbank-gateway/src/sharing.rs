//! Sharing of the upstreams' slots between hosts.
//!
//! Each failure domain has an allocator, which runs on one of its hosts and grants slots. This module requests slots from the
//! allocators and runs the allocator of the host's own failure domain.

mod ask;
mod counts;
mod held;
mod load_poll;
mod origins;
mod peers;
mod pending;
mod room;
mod substitution;
mod withdrawal;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::{Duration, Instant},
};

use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use tinbank_allocator::{
    Allocator, Directory, Options,
    admission::Backlog,
    allocator::{HEARTBEAT_INTERVAL, Outgoing, Upstream},
    avoidance::Avoidance,
    cause::Cause,
    directory::Peer,
    frame::{Frame, HeartbeatReply, Meter, Queue, Share, Verdict},
    lease::{self, Class, Footprint},
    leaving::{Missing, Position},
    memory,
    room::Rooms,
    size::Size,
    vacancy::Vacancies,
    withdrawal::Withdrawals,
};
use tinbank_allowance::{FallbackLimiter, Tolerance};
use tinbank_base::id;
use tinbank_feed::source::{self, Candidates};
use tinbank_relay::region::{Allowed, Regions};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
};

use self::substitution::Substitute;
pub(crate) use self::{
    counts::broadcast_counts,
    held::Lease,
    load_poll::poll_upstream_load,
    origins::Keepers,
    peers::{heartbeat, receive},
    room::broadcast_room,
    substitution::Grantor,
};
use crate::measure;

/// Age of the last read of the store up to which the store counts as reachable: twice the longest time between two
/// answered reads.
const MAX_STORE_AGE: Duration = Duration::from_millis(1_000);

/// This host's side of the slot protocol.
pub(crate) struct Sharing {
    socket: UdpSocket,
    own: Peer,
    state: RefCell<State>,
    next_lease_id: Cell<lease::Id>,
    options: Options,
    /// Whether free slots are reported, and used to choose failure domains.
    shares_room: bool,
    /// Notified when this host's allocator starts to collect the leases of other hosts.
    learning: Notify,
    store_read_at: Cell<Option<Instant>>,
    /// Whether the paces of upstreams are measured and reported.
    measures_pace: bool,
    /// Until when this host may withdraw from the load balancer.
    may_withdraw_until: Cell<Option<Instant>>,
}

struct State {
    /// Allocator of the own failure domain.
    allocator: Allocator,
    /// Allocators of failure domains that this host acts for.
    substitutes: BTreeMap<id::FailureDomain, Substitute>,
    vacancies: Vacancies,
    directory: Directory,
    /// Slot requests without a final verdict.
    pending: HashMap<lease::Id, mpsc::UnboundedSender<Verdict>>,
    holdings: HashMap<lease::Id, held::Holding>,
    /// Hosts that have not answered the last heartbeat.
    awaiting_reply: HashSet<SocketAddr>,
    avoidance: Avoidance,
    /// Hosts that reported that they reach the store, and when.
    store_reachable_at: HashMap<SocketAddr, Instant>,
    /// Limits the customers' requests while no allocator answers.
    fallback: FallbackLimiter,
    /// Free slots of the failure domains.
    rooms: Rooms,
    /// Overloaded hosts of the own failure domain, if this host is its allocator.
    withdrawals: Withdrawals,
}

impl State {
    /// Returns whether another host reaches the store according to its last heartbeat.
    fn is_store_reachable_at(&self, host: SocketAddr, now: Instant) -> bool {
        let reported = self.store_reachable_at.get(&host);
        reported.is_some_and(|at| now < *at + HEARTBEAT_INTERVAL + MAX_STORE_AGE)
    }
}

/// Requirements for a slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotSpec<'a> {
    pub class: Class,
    pub service: &'a str,
    /// Build that the upstream must have; `None` if any will do.
    pub build: Option<&'a id::Build>,
    /// Upstreams that must not be granted.
    pub exclude: &'a [id::Instance],
    /// Whether the request may wait for a slot, and where.
    pub queue: Queue,
    /// Priority among waiting online requests; 0 is the highest.
    pub rank: u8,
    /// The allowance that the request counts against; `None` if it was counted before.
    pub meter: Option<&'a Meter>,
    /// Whose share of the slots it takes.
    pub share: Option<&'a Share>,
    /// Size of the request.
    pub size: &'a Size,
    /// Regions in which the request may run.
    pub allowed: &'a Allowed,
    /// Longest pause between two events that the caller accepts.
    pub max_gap: Option<Duration>,
}

impl SlotSpec<'_> {
    /// Returns what the request takes of its upstream and of its customer's share.
    fn footprint(&self) -> Footprint {
        Footprint {
            memory: memory::reservation(self.size),
            work: self.size.work(),
            customer: self.share.map(|it| it.customer.clone()),
        }
    }
}

/// Result of a slot request.
pub(crate) enum Allocation {
    Granted(Lease),
    /// A batch item gets no slot, for lack of this.
    Lacking(Cause),
    /// All slots are in use, and the request may not wait. Its caller should retry by the backlog of its customer.
    Full(Backlog),
    /// The customer has used up its allowance and may retry after this time.
    OverLimit(Duration),
    /// No upstream of the service is known.
    NoUpstream,
}

impl Sharing {
    /// Binds the socket for datagrams to the address of `own`.
    pub async fn bind(
        own: Peer,
        seed: u64,
        tolerance: Tolerance,
        options: Options,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(own.address).await?;
        let state = State {
            allocator: Allocator::with_options(seed, tolerance, options),
            substitutes: BTreeMap::new(),
            vacancies: Vacancies::default(),
            directory: Directory::default(),
            pending: HashMap::new(),
            holdings: HashMap::new(),
            awaiting_reply: HashSet::new(),
            avoidance: Avoidance::default(),
            store_reachable_at: HashMap::new(),
            fallback: FallbackLimiter::new(seed, tolerance),
            rooms: Rooms::default(),
            withdrawals: Withdrawals::default(),
        };
        // Lease ids increase over restarts, so that the holdings of this process end the leases of the previous one.
        let since_1970 = std::time::SystemTime::UNIX_EPOCH.elapsed();
        let first = since_1970.map_or(0, |it| it.as_micros() as u64);
        Ok(Self {
            socket,
            own,
            state: RefCell::new(state),
            next_lease_id: Cell::new(first),
            options,
            shares_room: options.share_room,
            learning: Notify::new(),
            store_read_at: Cell::new(None),
            measures_pace: options.measures_pace(),
            may_withdraw_until: Cell::new(None),
        })
    }

    /// Returns this host as listed for other hosts.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    /// Sets the upstreams of the host's own failure domain.
    pub fn set_upstreams(&self, upstreams: Vec<Upstream>) {
        let mut state = self.state.borrow_mut();
        let out = state.allocator.set_upstreams(upstreams);
        if self.measures_pace {
            measure::set_slow_upstreams(state.slow_upstreams(Instant::now()));
        }
        drop(state);
        self.send_all(out);
    }

    /// Sets the position up to which the list of upstreams was read, whether it changed or not, and which of them are missing.
    pub fn set_list(&self, position: Position, missing: Vec<Missing>) {
        let mut state = self.state.borrow_mut();
        for allocator in state.allocators_mut() {
            allocator.set_list(position, missing.clone());
        }
    }

    /// Returns whether the allocator has removed listed upstreams because other hosts reported that they are leaving.
    pub fn lacks_upstreams(&self) -> bool {
        let state = self.state.borrow();
        state.allocators().any(Allocator::has_removed_upstreams)
    }

    /// Sets the listed hosts.
    pub fn set_hosts(&self, mut peers: Vec<Peer>) {
        peers.retain(|peer| peer.address != self.own.address);
        peers.push(self.own.clone());
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let before = state.directory.allocators(now);
        state.directory.set_hosts(peers);
        let after = state.directory.allocators(now);
        let hosts = state.directory.host_count();
        state.allocator.set_host_count(hosts, now);
        drop(state);
        if before != after {
            log::info!(before:?, after:?; "allocators changed by the list of hosts");
            // A new allocator has to know the leases before it gets slot requests.
            self.send_holdings(now);
        }
    }

    /// Returns whether another host seems to serve.
    pub fn has_responsive_other(&self, now: Instant) -> bool {
        let directory = &self.state.borrow().directory;
        directory.has_responsive_other(self.own.address, now)
    }

    /// Returns the number of listed hosts.
    pub fn host_count(&self) -> usize {
        self.state.borrow().directory.host_count()
    }

    /// Discards state that may be outdated after the process was suspended.
    pub fn reset_after_pause(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        for allocator in state.allocators_mut() {
            allocator.forget_leases(now);
        }
        state.vacancies.reset(now);
        state.awaiting_reply.clear();
        self.store_read_at.set(None);
        self.learning.notify_one();
    }

    /// Returns the response timeout of another host, which depends on its distance.
    fn response_timeout(&self, host: SocketAddr) -> Duration {
        self.state.borrow().directory.response_timeout(host)
    }

    /// Records that this host has read the store to its end.
    pub fn record_store_read(&self, now: Instant) {
        self.store_read_at.set(Some(now));
        self.report_return(now);
    }

    /// Records that this host no longer follows the job log, so that other hosts forward no job calls to it.
    pub fn clear_store_read(&self) {
        self.store_read_at.set(None);
    }

    /// Returns whether this host read the store to its end less than `age` ago.
    pub fn has_read_store(&self, age: Duration, now: Instant) -> bool {
        let read_at = self.store_read_at.get();
        read_at.is_some_and(|at| now < at + age)
    }

    /// Returns whether this host reaches the store, by its latest read.
    pub fn reaches_store(&self, now: Instant) -> bool {
        self.has_read_store(MAX_STORE_AGE, now)
    }

    /// Returns whether this host is selected as a delegate of its failure domain, by the listed and responsive hosts.
    pub fn is_selected_as_delegate(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        let delegates = state.directory.delegates(&self.own.failure_domain, now);
        delegates.iter().any(|it| it.address == self.own.address)
    }

    /// Returns whether this host is the allocator of its failure domain, by the listed and responsive hosts.
    pub fn is_allocator(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.directory.allocator(&self.own.failure_domain, now) == Some(self.own.address)
    }

    /// Returns whether this host runs the jobs that are restricted to some regions and hash to `job`: of the delegates in
    /// these regions that reach the store, the first by rendezvous hash. If none is known to reach it, the first of all goes
    /// on. Hosts may disagree for a while, and then an item may run twice. Returns `None` if these regions have no delegate.
    pub fn runs_restricted(
        &self,
        job: &str,
        regions: &Regions,
        allowed: &Allowed,
        now: Instant,
    ) -> Option<bool> {
        let state = self.state.borrow();
        let directory = &state.directory;
        let domains = directory.failure_domains(&self.own.failure_domain, 0);
        let permitted = domains.iter().filter(|it| regions.permits(allowed, it));
        let delegates = permitted.flat_map(|domain| directory.delegates(domain, now));
        let own = self.own.address;
        let reaches_store = |peer: &Peer| match peer.address == own {
            true => self.reaches_store(now),
            false => state.is_store_reachable_at(peer.address, now),
        };
        let first = delegates.max_by_key(|it| (reaches_store(it), stable_hash(&(job, it.address))));
        first.map(|it| it.address == self.own.address)
    }

    /// Sends a frame to all other hosts.
    pub fn broadcast(&self, frame: &Frame) {
        let hosts = self.state.borrow().directory.addresses();
        for host in hosts.into_iter().filter(|it| *it != self.own.address) {
            self.send(host, frame);
        }
    }

    /// Returns the delegates that this host may follow.
    pub fn delegate_candidates(&self, now: Instant) -> Candidates {
        source::candidates(&self.state.borrow().directory, &self.own, now)
    }

    fn alive(&self, now: Instant) -> HeartbeatReply {
        HeartbeatReply {
            reaches_store: self.reaches_store(now),
            ..HeartbeatReply::default()
        }
    }

    /// Returns the caller address of a host that reaches the store according to its last heartbeat.
    pub fn host_with_store(&self, now: Instant) -> Option<SocketAddr> {
        self.hosts_with_store("", now).first().copied()
    }

    /// Returns the caller addresses of hosts that reach the store according to their last heartbeats. Hosts of the own failure
    /// domain come first. The order is stable for each job, since hosts cache what they read of it.
    pub fn hosts_with_store(&self, job: &str, now: Instant) -> SmallVec<[SocketAddr; 8]> {
        self.hosts_with_store_if(job, now, |_| true)
    }

    /// Returns those of [`Self::hosts_with_store`] that a request may be forwarded to.
    pub fn hosts_with_store_in(
        &self,
        job: &str,
        regions: &Regions,
        allowed: &Allowed,
        now: Instant,
    ) -> SmallVec<[SocketAddr; 8]> {
        let own = &self.own.failure_domain;
        let is_permitted = |peer: &Peer| regions.permits_host(allowed, own, &peer.failure_domain);
        self.hosts_with_store_if(job, now, is_permitted)
    }

    fn hosts_with_store_if(
        &self,
        job: &str,
        now: Instant,
        is_permitted: impl Fn(&Peer) -> bool,
    ) -> SmallVec<[SocketAddr; 8]> {
        let state = self.state.borrow();
        let reports = state.store_reachable_at.keys();
        let fresh = reports.filter(|address| state.is_store_reachable_at(**address, now));
        let peers = fresh.filter_map(|address| state.directory.peer(*address));
        let peers = peers.filter(|peer| is_permitted(peer));
        let mut peers: SmallVec<[&Peer; 8]> = peers.collect();
        peers.sort_by_cached_key(|peer| {
            let is_far = peer.failure_domain != self.own.failure_domain;
            (is_far, stable_hash(&(job, peer.address)))
        });
        peers.into_iter().map(|peer| peer.callers).collect()
    }

    /// Returns the upstreams that may still run requests of failed hosts.
    fn upstreams_to_poll(&self) -> Vec<Upstream> {
        let state = self.state.borrow();
        let now = Instant::now();
        let allocators = state.allocators().filter(|it| it.needs_load_reports(now));
        let upstreams = allocators.flat_map(Allocator::upstreams_to_poll);
        upstreams.cloned().collect()
    }

    /// Records the number of requests that an upstream reported.
    fn record_load(&self, upstream: &id::Instance, requests: usize, now: Instant) {
        let mut state = self.state.borrow_mut();
        let own = state.allocator.record_load(upstream, requests, now);
        let substitutes = state.substitutes.iter_mut();
        let others = substitutes.map(|(domain, it)| {
            let out = it.allocator.record_load(upstream, requests, now);
            (domain.clone(), out)
        });
        let others: SmallVec<[(id::FailureDomain, Outgoing); 2]> = others.collect();
        drop(state);
        self.send_all(own);
        for (domain, out) in others {
            self.send_from(Some(&domain), out);
        }
    }

    /// Stops accounting for requests of failed hosts.
    fn clear_orphaned(&self) {
        let mut state = self.state.borrow_mut();
        state.allocators_mut().for_each(Allocator::clear_orphaned);
    }

    fn needs_load_reports(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.allocators().any(|it| it.needs_load_reports(now))
    }

    fn avoided_upstreams(&self, now: Instant) -> SmallVec<[id::Instance; 4]> {
        self.state.borrow_mut().avoidance.upstreams(now)
    }

    fn new_lease_id(&self) -> lease::Id {
        let id = self.next_lease_id.get();
        self.next_lease_id.set(id + 1);
        id
    }

    /// Sends a frame. A frame to this host itself is handled directly.
    fn send(&self, to: SocketAddr, frame: &Frame) {
        if to == self.own.address {
            self.receive(to, frame.clone());
            return;
        }
        let bytes = match frame.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:%; "datagram cannot be encoded");
                return;
            }
        };
        // The protocol tolerates lost datagrams.
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            log::debug!(peer:% = to, error:%; "datagram not sent");
        }
    }
}

/// Returns a hash that is the same in all processes.
fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
