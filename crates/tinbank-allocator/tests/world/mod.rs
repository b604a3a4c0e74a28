//! An allocator, the hosts that ask it, and a version that knows all leases at once.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    Allocator,
    allocator::{Outgoing, StateChange, Upstream},
    frame::{Frame, Holdings, Queue, Release, SlotRequest, Verdict},
    lease::{Class, Due, Held, Id, Outcome},
};
use tinbank_allowance::Tolerance;
use tinbank_base::id;

/// Slots of each upstream.
pub const SLOTS: usize = 4;
/// Hosts that ask.
pub const HOSTS: u8 = 3;
/// Time after which an allocator has learned what others hold.
pub const LEARNED: Duration = Duration::from_millis(1_600);

/// An allocator and what it has granted.
pub struct Desk {
    pub allocator: Allocator,
    pub now: Instant,
    pub next: Id,
    /// The last grant was of an upstream whose slots were all in use.
    pub queued: bool,
    pub reclaimed: Vec<(SocketAddr, Id)>,
    /// Requests that wait at the allocator, and what they are for.
    pub waiting: HashMap<(SocketAddr, Id), Class>,
    /// Requests that were granted a slot after they had waited, in order.
    pub served: Vec<Id>,
    /// Rank of the requests that are asked for.
    pub rank: u8,
    held: HashMap<(SocketAddr, Id), (id::Instance, Class)>,
    upstreams: usize,
}

/// A batch item that is due then.
pub fn batch(at_ms: u64) -> Class {
    Class::Batch(Due { late: false, at_ms })
}

/// A batch item that can't be in time.
pub fn late(at_ms: u64) -> Class {
    Class::Batch(Due { late: true, at_ms })
}

pub fn host(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index + 1], 7000))
}

pub fn upstream(index: u8) -> Upstream {
    Upstream {
        instance: format!("u{index}").into(),
        address: SocketAddr::from(([10, 0, 1, index], 8000)),
        service: "notes".to_owned(),
        slots: SLOTS,
        cold: None,
    }
}

impl Desk {
    /// An allocator that has heard of all hosts for long enough.
    pub fn learned(upstreams: u8) -> Self {
        let mut desk = Self {
            allocator: Allocator::new(1, Tolerance::default()),
            now: Instant::now(),
            next: 0,
            queued: false,
            reclaimed: Vec::new(),
            waiting: HashMap::new(),
            served: Vec::new(),
            rank: 0,
            held: HashMap::new(),
            upstreams: upstreams.into(),
        };
        desk.allocator.set_upstreams((0..upstreams).map(upstream).collect());
        desk.tell(0);
        desk.now += LEARNED;
        (0..HOSTS).for_each(|host| desk.tell(host));
        desk
    }

    /// Asks for a slot.
    pub fn ask(&mut self, by: u8, class: Class, queue: Queue) -> Option<id::Instance> {
        let lease = self.next;
        self.next += 1;
        let ask = SlotRequest {
            lease,
            class,
            service: "notes".to_owned(),
            exclude: Default::default(),
            queue,
            rank: self.rank,
            meter: None,
        };
        let (out, _) = self.allocator.receive(host(by), Frame::SlotRequest(ask), self.now);
        self.waiting.insert((host(by), lease), class);
        self.take(out);
        let held = self.held.get(&(host(by), lease));
        held.map(|(upstream, _)| upstream.clone())
    }

    /// Takes in what the allocator sends.
    fn take(&mut self, out: Outgoing) {
        for (to, frame) in out {
            let answer = match frame {
                Frame::SlotResponse(answer) => answer,
                Frame::Reclaim(lease) => {
                    self.held.remove(&(to, lease));
                    self.reclaimed.push((to, lease));
                    continue;
                }
                Frame::HeartbeatReply(_) => continue,
                other => panic!("unexpected {other:?}"),
            };
            let key = (to, answer.lease);
            match answer.verdict {
                Verdict::Waiting => {}
                Verdict::Denied | Verdict::OverLimit(_) => drop(self.waiting.remove(&key)),
                Verdict::Granted(grant) => {
                    let class = self.waiting.remove(&key).expect("a request that waits");
                    self.queued = grant.queued;
                    self.held.insert(key, (grant.upstream, class));
                    self.served.push(answer.lease);
                }
            }
        }
    }

    /// A request waits for a slot no more.
    pub fn withdraw(&mut self, by: u8, lease: Id) {
        let frame = Frame::Withdraw(lease);
        self.allocator.receive(host(by), frame, self.now);
        self.waiting.remove(&(host(by), lease));
    }

    /// Asks for a slot that there is, and gives the number of the lease.
    pub fn ask_held(&mut self, by: u8, class: Class) -> Id {
        let lease = self.next;
        assert!(self.ask(by, class, Queue::InUpstream).is_some());
        lease
    }

    pub fn release(&mut self, by: u8, lease: Id, outcome: Outcome) -> Option<StateChange> {
        let (upstream, _) = self.held.remove(&(host(by), lease)).expect("a lease");
        let release = Release {
            lease,
            upstream,
            outcome,
        };
        let (out, change) = self
            .allocator
            .receive(host(by), Frame::Release(release), self.now);
        self.take(out);
        change
    }

    /// Releases one of the leases, if there is any.
    pub fn release_any(&mut self, pick: usize) {
        let mut keys: Vec<_> = self.held.keys().copied().collect();
        keys.sort();
        let Some((by, lease)) = keys.get(pick % keys.len().max(1)).copied() else {
            return;
        };
        let index = (0..HOSTS).find(|index| host(*index) == by).expect("a host");
        self.release(index, lease, Outcome::Served);
    }

    /// A host tells what it holds.
    pub fn tell(&mut self, by: u8) {
        let mine = self.held.iter().filter(|((at, _), _)| *at == host(by));
        let held = mine.map(|((_, lease), (upstream, class))| Held {
            lease: *lease,
            upstream: upstream.clone(),
            class: *class,
        });
        let held = held.collect();
        self.holdings(by, self.next, held);
    }

    pub fn holdings(&mut self, by: u8, next: Id, held: Vec<Held>) {
        let frame = Frame::Holdings(Holdings { next, held });
        let (out, _) = self.allocator.receive(host(by), frame, self.now);
        self.take(out);
    }

    /// Slots that a version that knows all leases would give to a request of a class.
    pub fn slots_for(&self, class: Class) -> usize {
        let all = self.upstreams * SLOTS;
        match class {
            Class::Online => {
                let online = self.held.values().filter(|(_, class)| !class.is_batch());
                all - online.count()
            }
            Class::Batch(due) => {
                let late = self.held.values().filter(
                    |(_, class)| matches!(class, Class::Batch(held) if held.late && !due.late),
                );
                all - self.held.len() + late.count()
            }
        }
    }

    /// Leases at the upstream that has most.
    pub fn most_held(&self) -> usize {
        let mut counts: HashMap<&id::Instance, usize> = HashMap::new();
        for (upstream, _) in self.held.values() {
            *counts.entry(upstream).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }
}
