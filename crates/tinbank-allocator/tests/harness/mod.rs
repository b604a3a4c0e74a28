//! Test harness: an allocator, the hosts that use it, and a model that knows all leases.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    Allocator, Options,
    allocator::{Outgoing, StateChange, Upstream},
    cause::Cause,
    frame::{Frame, Holdings, Queue, Release, Room, Share, SlotRequest, Verdict},
    lease::{Class, Due, Footprint, Held, Id, Outcome},
    size::Size,
};
use tinbank_allowance::Tolerance;
use tinbank_base::id;

/// Slots per upstream.
pub const SLOTS: usize = 4;
/// Hosts that use the allocator.
pub const HOSTS: u8 = 3;
/// Longer than the allocator learns.
pub const LEARNING_PERIOD: Duration = Duration::from_millis(1_600);

/// An allocator and the leases it has granted.
pub struct Harness {
    pub allocator: Allocator,
    pub now: Instant,
    pub next_lease: Id,
    /// Whether the last grant was marked as queued.
    pub queued: bool,
    pub reclaimed: Vec<(SocketAddr, Id)>,
    /// Requests without a final response.
    pub pending: HashMap<(SocketAddr, Id), Class>,
    /// Granted leases, in order.
    pub granted: Vec<Id>,
    /// Retry times of denials, in milliseconds, in order.
    pub retry_after: Vec<Option<u32>>,
    /// What denied requests lacked, in order.
    pub causes: Vec<Cause>,
    /// Rank of new requests.
    pub rank: u8,
    /// Whose share new requests take.
    pub share: Option<Share>,
    /// Room in the last heartbeat reply.
    pub reported: Option<Room>,
    /// Size of new requests.
    pub size: Size,
    /// Service of new requests.
    pub service: id::Service,
    /// Build that new requests must get.
    pub build: Option<id::Build>,
    held: HashMap<(SocketAddr, Id), (id::Instance, Class)>,
    upstreams: usize,
}

/// A batch item that can be on time.
pub fn batch(at_ms: u64) -> Class {
    Class::Batch(Due { late: false, at_ms })
}

/// A batch item that can't be on time.
pub fn late_batch(at_ms: u64) -> Class {
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
        memory_tokens: None,
        max_connections: None,
        build: "v1".into(),
        cold: None,
    }
}

impl Harness {
    /// Creates an allocator that has received heartbeats of all hosts and no longer learns.
    pub fn after_learning(upstreams: u8) -> Self {
        Self::with_options(upstreams, Options::default())
    }

    /// The same for an allocator that reports its free slots.
    pub fn reporting_room(upstreams: u8) -> Self {
        let options = Options {
            share_room: true,
            ..Options::default()
        };
        Self::with_options(upstreams, options)
    }

    /// Creates such an allocator with options.
    pub fn with_options(upstreams: u8, options: Options) -> Self {
        let mut harness = Self {
            allocator: Allocator::with_options(1, Tolerance::default(), options),
            now: Instant::now(),
            next_lease: 0,
            queued: false,
            reclaimed: Vec::new(),
            pending: HashMap::new(),
            granted: Vec::new(),
            retry_after: Vec::new(),
            causes: Vec::new(),
            rank: 0,
            share: None,
            reported: None,
            size: Size::default(),
            service: "notes".to_owned(),
            build: None,
            held: HashMap::new(),
            upstreams: upstreams.into(),
        };
        harness
            .allocator
            .set_upstreams((0..upstreams).map(upstream).collect());
        harness.send_heartbeat(0);
        harness.now += LEARNING_PERIOD;
        (0..HOSTS).for_each(|host| harness.send_heartbeat(host));
        harness
    }

    /// Sends a slot request. Returns the granted upstream, if any.
    pub fn request(&mut self, by: u8, class: Class, queue: Queue) -> Option<id::Instance> {
        let lease = self.next_lease;
        self.next_lease += 1;
        let request = SlotRequest {
            lease,
            class,
            service: self.service.clone(),
            exclude: Default::default(),
            queue,
            rank: self.rank,
            meter: None,
            share: self.share.clone(),
            size: self.size.clone(),
            build: self.build.clone(),
            max_gap_ms: None,
        };
        let (out, _) = self
            .allocator
            .receive(host(by), Frame::SlotRequest(request), self.now);
        self.pending.insert((host(by), lease), class);
        self.apply(out);
        let held = self.held.get(&(host(by), lease));
        held.map(|(upstream, _)| upstream.clone())
    }

    /// Applies the datagrams that the allocator sends.
    fn apply(&mut self, out: Outgoing) {
        for (to, frame) in out {
            let response = match frame {
                Frame::SlotResponse(response) => response,
                Frame::Reclaim(lease) => {
                    self.held.remove(&(to, lease));
                    self.reclaimed.push((to, lease));
                    continue;
                }
                Frame::HeartbeatReply(reply) => {
                    self.reported = reply.room;
                    continue;
                }
                other => panic!("unexpected {other:?}"),
            };
            let key = (to, response.lease);
            match response.verdict {
                Verdict::Waiting => {}
                Verdict::Denied(denial) => {
                    self.retry_after.push(denial.retry_after_ms);
                    self.causes.push(denial.cause);
                    self.pending.remove(&key);
                }
                Verdict::OverLimit(_) => drop(self.pending.remove(&key)),
                Verdict::Granted(grant) => {
                    let class = self.pending.remove(&key).expect("a pending request");
                    self.queued = grant.queued;
                    self.held.insert(key, (grant.upstream, class));
                    self.granted.push(response.lease);
                }
            }
        }
    }

    /// Withdraws a queued request.
    pub fn withdraw(&mut self, by: u8, lease: Id) {
        let frame = Frame::Withdraw(lease);
        self.allocator.receive(host(by), frame, self.now);
        self.pending.remove(&(host(by), lease));
    }

    /// Sends a slot request that must be granted. Returns the lease.
    pub fn request_granted(&mut self, by: u8, class: Class) -> Id {
        let lease = self.next_lease;
        assert!(self.request(by, class, Queue::InUpstream).is_some());
        lease
    }

    pub fn release(&mut self, by: u8, lease: Id, outcome: Outcome) -> Option<StateChange> {
        let (upstream, _) = self.held.remove(&(host(by), lease)).expect("a lease");
        let release = Release {
            lease,
            upstream,
            outcome,
            pace: None,
        };
        let (out, change) = self
            .allocator
            .receive(host(by), Frame::Release(release), self.now);
        self.apply(out);
        change
    }

    /// Releases one of the leases, if there are any.
    pub fn release_any(&mut self, pick: usize) {
        let mut keys: Vec<_> = self.held.keys().copied().collect();
        keys.sort();
        let Some((by, lease)) = keys.get(pick % keys.len().max(1)).copied() else {
            return;
        };
        let host_index = (0..HOSTS)
            .find(|host_index| host(*host_index) == by)
            .expect("a host");
        self.release(host_index, lease, Outcome::Served);
    }

    /// Sends a heartbeat with all leases that a host holds.
    pub fn send_heartbeat(&mut self, by: u8) {
        let own = self.held.iter().filter(|((at, _), _)| *at == host(by));
        let held = own.map(|((_, lease), (upstream, class))| Held {
            lease: *lease,
            upstream: upstream.clone(),
            class: *class,
            footprint: Footprint::default(),
        });
        let held = held.collect();
        self.send_holdings(by, self.next_lease, held);
    }

    pub fn send_holdings(&mut self, by: u8, next: Id, held: Vec<Held>) {
        let frame = Frame::Holdings(Holdings { next, held });
        let (out, _) = self.allocator.receive(host(by), frame, self.now);
        self.apply(out);
    }

    /// Returns the number of slots that the model would grant to a request of a class.
    pub fn available_slots(&self, class: Class) -> usize {
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

    /// Returns the number of leases at the upstream that has the most.
    pub fn max_leases_per_upstream(&self) -> usize {
        let mut counts: HashMap<&id::Instance, usize> = HashMap::new();
        for (upstream, _) in self.held.values() {
            *counts.entry(upstream).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }
}
