//! Shares the upstreams with other hosts: asks allocators for slots, and is the allocator of its own failure domain for
//! those that ask it.

mod ask;
mod counts;
mod held;
mod peers;
mod pending;
mod load_poll;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    hash::{Hash, Hasher},
    net::SocketAddr,
    time::{Duration, Instant},
};

use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use tinbank_allocator::{
    Allocator, Directory,
    allocator::{HEARTBEAT, Upstream},
    avoidance::Avoidance,
    directory::Peer,
    frame::{Alive, Frame, Meter, Queue, Verdict},
    lease::{self, Class},
};
use tinbank_allowance::{Part, Tolerance};
use tinbank_base::id;
use tinbank_feed::source::{self, Candidates};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc},
};

pub(crate) use self::{
    counts::broadcast_counts,
    held::Lease,
    peers::{heartbeat, receive},
    load_poll::poll_upstream_load,
};

/// A host reaches the store if it has read it at most this long ago. Source: the longest time between two reads that are
/// answered, twice.
const STORE_AGE: Duration = Duration::from_millis(1_000);
/// The process's part in sharing the upstreams.
pub(crate) struct Sharing {
    socket: UdpSocket,
    own: Peer,
    state: RefCell<State>,
    next: Cell<lease::Id>,
    /// Told when the allocator of this host begins to learn.
    learning: Notify,
    /// When this host last read the store.
    store_read_at: Cell<Option<Instant>>,
}

struct State {
    allocator: Allocator,
    directory: Directory,
    asks: HashMap<lease::Id, mpsc::UnboundedSender<Verdict>>,
    held: HashMap<lease::Id, held::Holding>,
    /// Allocators that were sent a heartbeat and have not answered.
    unheard: HashSet<SocketAddr>,
    avoidance: Avoidance,
    /// Allocators that said that they reach the store, and when.
    with_store: HashMap<SocketAddr, Instant>,
    /// What this host lets in of customers while it reaches no allocator.
    part: Part,
}

/// What a slot is asked for.
#[derive(Clone, Debug)]
pub(crate) struct SlotSpec<'a> {
    pub class: Class,
    pub service: &'a str,
    /// Upstreams that the request must not get.
    pub exclude: &'a [id::Instance],
    /// Whether an online request may wait inside an upstream.
    pub queue: Queue,
    /// Rank among online requests that wait; 0 is the highest.
    pub rank: u8,
    /// Whose allowance it is counted against, unless it was counted before.
    pub meter: Option<&'a Meter>,
}

/// What came of asking for a slot.
pub(crate) enum Allocation {
    /// There is one.
    Granted(Lease),
    /// All slots are in use, and the request may not wait.
    Full,
    /// Its customer has used up its allowance, and may come again after this time.
    OverLimit(Duration),
    /// No upstream of the service is known.
    NoUpstream,
}

impl Sharing {
    /// Takes datagrams at the address of `own`.
    pub async fn bind(own: Peer, seed: u64, tolerance: Tolerance) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(own.address).await?;
        let state = State {
            allocator: Allocator::new(seed, tolerance),
            directory: Directory::default(),
            asks: HashMap::new(),
            held: HashMap::new(),
            unheard: HashSet::new(),
            avoidance: Avoidance::default(),
            with_store: HashMap::new(),
            part: Part::new(seed, tolerance),
        };
        // Lease numbers of a later start are larger, so that its holdings end the leases of an earlier one.
        let since_1970 = std::time::SystemTime::UNIX_EPOCH.elapsed();
        let first = since_1970.map_or(0, |it| it.as_micros() as u64);
        Ok(Self {
            socket,
            own,
            state: RefCell::new(state),
            next: Cell::new(first),
            learning: Notify::new(),
            store_read_at: Cell::new(None),
        })
    }

    /// This host as others see it.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    /// Takes in the upstreams of the own failure domain.
    pub fn set_upstreams(&self, upstreams: Vec<Upstream>) {
        let out = self.state.borrow_mut().allocator.list(upstreams);
        self.send_all(out);
    }

    /// True if the allocator deals out fewer upstreams than it was told of: others have said that some leave.
    pub fn lacks_upstreams(&self) -> bool {
        self.state.borrow().allocator.lacks_upstreams()
    }

    /// Takes in the list of hosts.
    pub fn set_hosts(&self, mut peers: Vec<Peer>) {
        peers.retain(|peer| peer.address != self.own.address);
        peers.push(self.own.clone());
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let before = state.directory.allocators(now);
        state.directory.list(peers);
        let after = state.directory.allocators(now);
        let hosts = state.directory.hosts();
        state.allocator.hosts(hosts, now);
        drop(state);
        if before != after {
            log::info!(before:?, after:?; "allocators by the list of hosts");
            // A new one has to know what is held before it is asked.
            self.tell_holdings(now);
        }
    }

    /// Number of hosts that are listed.
    pub fn host_count(&self) -> usize {
        self.state.borrow().directory.hosts()
    }

    /// Forgets what the allocator believes, after a pause of the process.
    pub fn reset_after_pause(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.allocator.forget(now);
        state.unheard.clear();
        self.store_read_at.set(None);
        self.learning.notify_one();
    }

    /// How long another host may take to answer, by how far away it is.
    fn patience(&self, host: SocketAddr) -> Duration {
        self.state.borrow().directory.patience(host)
    }

    /// This host has read the store to its end.
    pub fn record_store_read(&self, now: Instant) {
        self.store_read_at.set(Some(now));
    }

    /// This host follows the log of jobs no more; others pass no calls about jobs on to it.
    pub fn clear_store_read(&self) {
        self.store_read_at.set(None);
    }

    /// True if this host has read the store to its end at most `age` ago.
    pub fn has_read_store(&self, age: Duration, now: Instant) -> bool {
        let read_at = self.store_read_at.get();
        read_at.is_some_and(|at| now < at + age)
    }

    /// True if this host has read the store a moment ago.
    pub fn reaches_store(&self, now: Instant) -> bool {
        self.has_read_store(STORE_AGE, now)
    }

    /// True if this host is among the delegates of its failure domain, by the list of hosts and who is silent.
    pub fn is_selected_as_delegate(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        let delegates = state.directory.delegates(&self.own.failure_domain, now);
        delegates.iter().any(|it| it.address == self.own.address)
    }

    /// True if this host is the allocator of its failure domain, by the list of hosts and who is silent.
    pub fn is_allocator(&self, now: Instant) -> bool {
        let state = self.state.borrow();
        state.directory.allocator(&self.own.failure_domain, now) == Some(self.own.address)
    }

    /// Sends a frame to all other hosts.
    pub fn broadcast(&self, frame: &Frame) {
        let hosts = self.state.borrow().directory.addresses();
        for host in hosts.into_iter().filter(|it| *it != self.own.address) {
            self.send(host, frame);
        }
    }

    /// The delegates that this host may follow.
    pub fn delegate_candidates(&self, now: Instant) -> Candidates {
        source::candidates(&self.state.borrow().directory, &self.own, now)
    }

    fn alive(&self, now: Instant) -> Alive {
        Alive {
            reaches_store: self.reaches_store(now),
        }
    }

    /// Where another host takes calls that reaches the store, by its last heartbeat.
    pub fn host_with_store(&self, now: Instant) -> Option<SocketAddr> {
        self.hosts_with_store("", now).first().copied()
    }

    /// Where other hosts take calls that reach the store, by their last heartbeats: those of the own failure domain first,
    /// and among them the same ones for the calls about one job, which keep what they read of it.
    pub fn hosts_with_store(&self, job: &str, now: Instant) -> SmallVec<[SocketAddr; 8]> {
        let state = self.state.borrow();
        let with_store = state.with_store.iter();
        let fresh = with_store.filter(|(_, at)| now < **at + HEARTBEAT + STORE_AGE);
        let peers = fresh.filter_map(|(address, _)| state.directory.peer(*address));
        let mut peers: SmallVec<[&Peer; 8]> = peers.collect();
        peers.sort_by_cached_key(|peer| {
            let is_far = peer.failure_domain != self.own.failure_domain;
            (is_far, hash(&(job, peer.address)))
        });
        peers.into_iter().map(|peer| peer.callers).collect()
    }

    /// The upstreams of which the allocator of this host does not know whether they are free of requests of lost hosts.
    fn unsettled(&self) -> Vec<Upstream> {
        let state = self.state.borrow();
        state.allocator.unsettled().cloned().collect()
    }

    /// Takes in how many requests an upstream says that it has.
    fn reported(&self, upstream: &id::Instance, requests: usize, now: Instant) {
        let mut state = self.state.borrow_mut();
        let out = state.allocator.reported(upstream, requests, now);
        drop(state);
        self.send_all(out);
    }

    /// No more upstreams are asked for their load.
    fn settle(&self) {
        self.state.borrow_mut().allocator.settle();
    }

    fn needs_reports(&self, now: Instant) -> bool {
        self.state.borrow().allocator.needs_reports(now)
    }

    fn avoided(&self, now: Instant) -> SmallVec<[id::Instance; 4]> {
        self.state.borrow_mut().avoidance.upstreams(now)
    }

    fn next_lease(&self) -> lease::Id {
        let id = self.next.get();
        self.next.set(id + 1);
        id
    }

    /// Sends a frame; what is meant for this host itself does not go over the network.
    fn send(&self, to: SocketAddr, frame: &Frame) {
        if to == self.own.address {
            self.receive(to, frame.clone());
            return;
        }
        let bytes = match frame.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:%; "datagram can't be encoded");
                return;
            }
        };
        // A datagram that can't be sent is one more that is lost; the protocol bears that.
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            log::debug!(peer:% = to, error:%; "datagram not sent");
        }
    }
}

/// A number by which choices fall evenly, the same at each start.
fn hash(of: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    of.hash(&mut hasher);
    hasher.finish()
}
