//! Asks allocators for slots, and is the allocator of its own failure domain for those that ask it.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_allocator::{
    Allocator, Directory,
    allocator::{Change, HEARTBEAT, Outgoing, Upstream},
    directory::Peer,
    frame::{self, Ask, Frame, Grant, Holdings, MAX_BYTES, Queue, Release},
    lease::{self, Class, Held, Outcome},
};
use tinbank_base::id;
use tokio::{
    net::UdpSocket,
    sync::{Notify, oneshot},
    time,
};

use crate::{measure, node::Node};

/// How long an allocator may take to answer. Source: measured, see `docs/design/users-platform.md`.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// For how long a host avoids an upstream that refused a request: about as long as a request holds a slot.
const AVOID_REFUSING: Duration = Duration::from_millis(400);
/// Grants of leaving upstreams after which a failure domain counts as having none.
const MAX_LEAVING: usize = 4;
/// For how long a host avoids an upstream that it had trouble with itself.
const AVOID: Duration = Duration::from_millis(1_500);

/// The process's part in sharing the upstreams.
pub(crate) struct Sharing {
    socket: UdpSocket,
    own: Peer,
    state: RefCell<State>,
    next: Cell<lease::Id>,
}

struct State {
    allocator: Allocator,
    directory: Directory,
    asks: HashMap<lease::Id, oneshot::Sender<Option<Grant>>>,
    held: HashMap<lease::Id, Holding>,
    /// Allocators that were sent a heartbeat and have not answered.
    unheard: HashSet<SocketAddr>,
    avoided: HashMap<id::Instance, Instant>,
}

struct Holding {
    upstream: id::Instance,
    failure_domain: id::FailureDomain,
    class: Class,
    reclaimed: Rc<Notify>,
}

/// What a slot is asked for.
#[derive(Clone, Debug)]
pub(crate) struct Wanted<'a> {
    pub class: Class,
    pub service: &'a str,
    /// Upstreams that the request must not get.
    pub exclude: &'a [id::Instance],
    /// Whether an online request may wait inside an upstream.
    pub queue: Queue,
}

/// What came of asking for a slot.
pub(crate) enum Asked {
    /// There is one.
    Granted(Lease),
    /// All slots are in use, and the request may not wait.
    Full,
    /// No upstream of the service is known.
    Nobody,
}

/// What an allocator answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    Granted,
    Denied,
    Silent,
}

/// What came of asking one allocator.
enum Answered {
    Granted(Lease),
    Denied,
    Silent,
}

/// The right to have one request at one upstream. It ends when it is dropped.
pub(crate) struct Lease {
    pub upstream: id::Instance,
    pub address: SocketAddr,
    /// All slots of the upstream were in use, so the request waits inside it at first.
    pub queued: bool,
    sharing: Rc<Sharing>,
    id: lease::Id,
    allocator: Option<SocketAddr>,
    reclaimed: Rc<Notify>,
    outcome: Cell<Outcome>,
}

impl Lease {
    /// Waits until the allocator takes the slot back.
    pub async fn reclaimed(&self) {
        self.reclaimed.notified().await;
    }

    /// The allocator that granted it, for logs.
    pub fn chosen_by(&self) -> String {
        self.allocator
            .map_or_else(|| "none".to_owned(), |allocator| allocator.to_string())
    }

    /// Says how the request ended.
    pub fn end(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.sharing.release(self);
    }
}

impl Sharing {
    /// Takes datagrams at the address of `own`.
    pub async fn bind(own: Peer, seed: u64) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(own.address).await?;
        let state = State {
            allocator: Allocator::new(seed),
            directory: Directory::default(),
            asks: HashMap::new(),
            held: HashMap::new(),
            unheard: HashSet::new(),
            avoided: HashMap::new(),
        };
        // Lease numbers of a later start are larger, so that its holdings end the leases of an earlier one.
        let since_1970 = std::time::SystemTime::UNIX_EPOCH.elapsed();
        let first = since_1970.map_or(0, |it| it.as_micros() as u64);
        Ok(Self {
            socket,
            own,
            state: RefCell::new(state),
            next: Cell::new(first),
        })
    }

    /// This host as others see it.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    /// Takes in the upstreams of the own failure domain.
    pub fn list(&self, upstreams: Vec<Upstream>) {
        self.state.borrow_mut().allocator.list(upstreams);
    }

    /// Takes in the list of hosts.
    pub fn peers(&self, mut peers: Vec<Peer>) {
        if !peers.contains(&self.own) {
            peers.push(self.own.clone());
        }
        self.state.borrow_mut().directory.list(peers);
    }

    /// Forgets what the allocator believes, after a pause of the process.
    pub fn forget(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.allocator.forget(now);
        state.unheard.clear();
    }

    /// Asks the own failure domain, then the others, for a slot. An online request may then wait inside the least
    /// loaded upstream, and gets one of this host's own choice where no allocator answers.
    pub async fn lease(self: &Rc<Self>, node: &Node, wanted: &Wanted<'_>) -> Asked {
        let turn = self.next.get();
        let own = &self.own.failure_domain;
        let domains = self.state.borrow().directory.failure_domains(own, turn);
        let queues: &[Queue] = match wanted.class.is_batch() {
            true => &[Queue::No],
            false => &[Queue::No, wanted.queue],
        };
        let mut denied = false;
        for queue in queues {
            for domain in &domains {
                match self.ask(node, wanted, domain, *queue).await {
                    Answered::Granted(lease) => return Asked::Granted(lease),
                    Answered::Denied => denied = true,
                    Answered::Silent => {}
                }
            }
        }
        if wanted.class.is_batch() {
            return Asked::Full;
        }
        let is_known = node.view.has_upstream_beside(wanted.service, &[]);
        if denied && is_known && wanted.queue != Queue::Any {
            return Asked::Full;
        }
        match self.choose(node, wanted) {
            Some(lease) => Asked::Granted(lease),
            None => Asked::Nobody,
        }
    }

    /// Asks the allocator of a failure domain until it grants an upstream that does not leave, or none.
    async fn ask(
        self: &Rc<Self>,
        node: &Node,
        wanted: &Wanted<'_>,
        domain: &str,
        queue: Queue,
    ) -> Answered {
        for _ in 0..MAX_LEAVING {
            let lease = match self.ask_once(wanted, domain, queue).await {
                Answered::Granted(lease) => lease,
                other => return other,
            };
            if !node.view.is_leaving(&lease.upstream) {
                return Answered::Granted(lease);
            }
            log::info!(upstream:% = lease.upstream; "grant of a leaving upstream given back");
            lease.end(Outcome::Leaving);
        }
        Answered::Denied
    }

    async fn ask_once(
        self: &Rc<Self>,
        wanted: &Wanted<'_>,
        domain: &str,
        queue: Queue,
    ) -> Answered {
        let now = Instant::now();
        let Some(allocator) = self.state.borrow().directory.allocator(domain, now) else {
            return Answered::Silent;
        };
        let lease = self.next_lease();
        let mut exclude: SmallVec<[id::Instance; 4]> = wanted.exclude.iter().cloned().collect();
        // A request that would be turned away otherwise is better off at an upstream that is avoided.
        if queue == Queue::No {
            exclude.extend(self.avoided(now));
        }
        let ask = Ask {
            lease,
            class: wanted.class,
            service: wanted.service.to_owned(),
            exclude,
            queue,
        };
        let (answer, answered) = oneshot::channel();
        self.state.borrow_mut().asks.insert(lease, answer);
        self.send(allocator, &Frame::Ask(ask));
        let answer = time::timeout(ANSWER_TIMEOUT, answered).await;
        self.state.borrow_mut().asks.remove(&lease);
        let told = match &answer {
            Ok(Ok(Some(_))) => Answer::Granted,
            Ok(Ok(None)) => Answer::Denied,
            _ => Answer::Silent,
        };
        measure::asked(wanted.class, told, now.elapsed());
        match answer {
            Ok(Ok(Some(grant))) => {
                let lease = self.hold(lease, wanted.class, domain, Some(allocator), grant);
                Answered::Granted(lease)
            }
            Ok(Ok(None)) => Answered::Denied,
            _ => {
                self.missed(allocator, "no answer to an ask");
                Answered::Silent
            }
        }
    }

    /// The upstream at which this host has the fewest requests, where no allocator answers.
    fn choose(self: &Rc<Self>, node: &Node, wanted: &Wanted<'_>) -> Option<Lease> {
        let now = Instant::now();
        let avoided = self.avoided(now);
        let mut fit = node.view.upstreams(wanted.service);
        fit.retain(|it| !wanted.exclude.contains(&it.instance));
        let (shunned, good): (Vec<_>, Vec<_>) = fit
            .into_iter()
            .partition(|it| avoided.contains(&it.instance));
        let fit = if good.is_empty() { shunned } else { good };
        let start = self.next.get() as usize % fit.len().max(1);
        let state = self.state.borrow();
        let count = |instance: &id::Instance| {
            let held = state.held.values();
            held.filter(|held| held.upstream == *instance).count()
        };
        let order = fit[start..].iter().chain(&fit[..start]);
        let least = order.min_by_key(|it| count(&it.instance))?.clone();
        drop(state);
        log::info!(upstream:% = least.instance; "no allocator grants a slot, chosen by own count");
        let grant = Grant {
            upstream: least.instance,
            address: least.address,
            // Nobody has counted all its requests, so it may be full.
            queued: true,
        };
        let lease = self.next_lease();
        Some(self.hold(lease, wanted.class, &least.failure_domain, None, grant))
    }

    fn hold(
        self: &Rc<Self>,
        id: lease::Id,
        class: Class,
        domain: &str,
        allocator: Option<SocketAddr>,
        grant: Grant,
    ) -> Lease {
        let reclaimed = Rc::new(Notify::new());
        let holding = Holding {
            upstream: grant.upstream.clone(),
            failure_domain: domain.to_owned(),
            class,
            reclaimed: Rc::clone(&reclaimed),
        };
        self.state.borrow_mut().held.insert(id, holding);
        Lease {
            upstream: grant.upstream,
            address: grant.address,
            queued: grant.queued,
            sharing: Rc::clone(self),
            id,
            allocator,
            reclaimed,
            outcome: Cell::new(Outcome::Unused),
        }
    }

    fn release(&self, lease: &Lease) {
        let outcome = lease.outcome.get();
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.held.remove(&lease.id);
        match outcome {
            Outcome::Failed | Outcome::Silent => {
                state.avoided.insert(lease.upstream.clone(), now + AVOID);
            }
            Outcome::Refused => {
                let until = now + AVOID_REFUSING;
                state.avoided.insert(lease.upstream.clone(), until);
            }
            Outcome::Served => {
                state.avoided.remove(&lease.upstream);
            }
            Outcome::Unused | Outcome::Leaving => {}
        }
        drop(state);
        let Some(allocator) = lease.allocator else {
            return;
        };
        let release = Release {
            lease: lease.id,
            upstream: lease.upstream.clone(),
            outcome,
        };
        self.send(allocator, &Frame::Release(release));
    }

    fn avoided(&self, now: Instant) -> SmallVec<[id::Instance; 4]> {
        let mut state = self.state.borrow_mut();
        state.avoided.retain(|_, until| now < *until);
        state.avoided.keys().cloned().collect()
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

    fn receive(&self, from: SocketAddr, frame: Frame) {
        let now = Instant::now();
        if from != self.own.address {
            let mut state = self.state.borrow_mut();
            state.unheard.remove(&from);
            if state.directory.heard(from) {
                log::info!(peer:% = from; "host heard again");
            }
        }
        match frame {
            Frame::Answer(answer) => self.answered(from, answer),
            Frame::Reclaim(lease) => self.reclaim(lease),
            Frame::Alive => {}
            asked => {
                let (out, change) = self.state.borrow_mut().allocator.receive(from, asked, now);
                note(change);
                self.send_all(out);
            }
        }
    }

    fn send_all(&self, out: Outgoing) {
        for (to, frame) in out {
            self.send(to, &frame);
        }
    }

    fn answered(&self, from: SocketAddr, answer: frame::Answer) {
        let waiting = self.state.borrow_mut().asks.remove(&answer.lease);
        let late = match waiting {
            Some(waiting) => waiting.send(answer.grant).err().flatten(),
            None => answer.grant,
        };
        // Nobody waits any more, so the slot goes back at once.
        if let Some(grant) = late {
            let release = Release {
                lease: answer.lease,
                upstream: grant.upstream,
                outcome: Outcome::Unused,
            };
            self.send(from, &Frame::Release(release));
        }
    }

    fn reclaim(&self, lease: lease::Id) {
        if let Some(holding) = self.state.borrow().held.get(&lease) {
            holding.reclaimed.notify_one();
        }
    }

    fn missed(&self, allocator: SocketAddr, why: &'static str) {
        let now = Instant::now();
        let moved = self.state.borrow_mut().directory.missed(allocator, now);
        if moved {
            log::warn!(peer:% = allocator, why; "host silent, passed over as allocator");
            self.tell_holdings(now);
        }
    }

    /// Tells each allocator what this host holds in its failure domain.
    fn tell_holdings(&self, now: Instant) {
        let next = self.next.get();
        let mut letters: SmallVec<[(SocketAddr, Holdings); 4]> = SmallVec::new();
        let state = self.state.borrow();
        let own = &self.own.failure_domain;
        for domain in state.directory.failure_domains(own, 0) {
            let Some(allocator) = state.directory.allocator(&domain, now) else {
                continue;
            };
            let held = state
                .held
                .iter()
                .filter(|(_, it)| it.failure_domain == domain);
            let held = held.map(|(lease, it)| Held {
                lease: *lease,
                upstream: it.upstream.clone(),
                class: it.class,
            });
            let held = held.collect();
            letters.push((allocator, Holdings { next, held }));
        }
        for address in state.directory.due(now) {
            // It holds nothing there: the host is passed over. The frame only asks whether it is back.
            letters.push((address, Holdings::default()));
        }
        drop(state);
        for (to, holdings) in letters {
            if to != self.own.address {
                self.state.borrow_mut().unheard.insert(to);
            }
            self.send(to, &Frame::Holdings(holdings));
        }
    }
}

fn note(change: Option<Change>) {
    match change {
        Some(Change::Ejected(upstream)) => {
            log::warn!(upstream:%; "upstream ejected, two hosts had trouble with it");
        }
        Some(Change::Left(upstream)) => {
            log::info!(upstream:%; "upstream leaves, by a newer list of another host");
        }
        Some(Change::Learning) => {
            log::info!("allocator learns the leases of others before it grants to batch");
        }
        None => {}
    }
}

/// Receives datagrams for as long as the process runs.
pub(crate) async fn receive(sharing: Rc<Sharing>) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let (length, from) = match sharing.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::warn!(error:%; "datagram not received");
                time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        match Frame::decode(&buffer[..length]) {
            Ok(frame) => sharing.receive(from, frame),
            Err(error) => log::warn!(peer:% = from, error:%; "datagram ignored"),
        }
    }
}

/// Tells holdings at each heartbeat, and passes over allocators that did not answer the one before.
pub(crate) async fn heartbeat(sharing: Rc<Sharing>) {
    let mut ticks = time::interval(HEARTBEAT);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let unheard = std::mem::take(&mut sharing.state.borrow_mut().unheard);
        for peer in unheard {
            sharing.missed(peer, "no answer to a heartbeat");
        }
        sharing.tell_holdings(Instant::now());
    }
}
