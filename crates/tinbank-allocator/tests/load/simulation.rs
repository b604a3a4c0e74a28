//! Simulates a load against allocators in virtual time: callers that retry, hosts that request slots, and upstreams.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    Allocator, Options,
    admission::{Admission, Backlog, RouteTimings},
    allocator,
    frame::{Frame, Holdings, Queue, Release, Share, SlotRequest, SlotResponse, Verdict},
    lease::{Class, Due, Footprint, Held, Outcome},
    order::{ByExpiry, Order},
    size::Size,
};
use tinbank_allowance::Tolerance;

use crate::{
    caller::{Caller, CallerResult, CustomerResult, Number, Profile, Rng, Tally},
    upstream::{Started, Upstream},
};

/// One-way latency between hosts, and between a host and an upstream.
const LATENCY: Duration = Duration::from_millis(1);
/// How often a host with batch items requests a slot for one.
const BATCH_INTERVAL: Duration = Duration::from_millis(40);
/// Slot time of a batch item, as a multiple of an online request's.
const BATCH_SLOT_TIME_FACTOR: u32 = 6;
/// Maximum number of attempts of a caller.
const MAX_ATTEMPTS: u32 = 2;

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub failure_domains: usize,
    /// Number per failure domain.
    pub upstreams: usize,
    pub slots: usize,
    pub target: Duration,
    /// Time from a caller's first attempt to its deadline.
    pub time: Duration,
    /// Mean slot time of an online request, which varies by a quarter.
    pub held: Duration,
    pub first_event: Duration,
    pub has_batch: bool,
    /// Number of slow upstreams per failure domain.
    pub slow: usize,
    pub policy: Policy,
    /// One in this many datagrams is lost, if any.
    pub loss_one_in: Option<u64>,
    /// Time from the first arrival to the replacement of all allocators by new ones, if they are lost.
    pub allocators_lost_after: Option<Duration>,
}

/// What hosts do when all slots are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The policy of the product.
    Admission,
    /// The same, but retries are treated like first attempts.
    RetriesAsFirstAttempts,
    /// Requests queue inside upstreams.
    QueueInUpstreams,
}

#[derive(Debug)]
enum Event {
    Arrival(Number),
    /// A datagram reaches the allocator of a failure domain.
    ReachesAllocator(usize, SocketAddr, Frame),
    /// A datagram reaches a host.
    ReachesHost(Frame),
    /// A request reaches its upstream.
    ReachesUpstream(Number),
    Completed(Number, u32),
    /// A request has waited for its maximum time.
    WaitExpired(Number, u32),
    /// A host resends the slot request of a queued request.
    Resend(Number, u32),
    NextItem(usize),
    Heartbeat(usize),
    AllocatorsLost,
}

/// State of a request or an item.
#[derive(Debug, Default)]
struct Work {
    /// Remaining slot requests: failure domain, and how the request may be queued. The last one comes first.
    remaining: Vec<(usize, Queue)>,
    domain: usize,
    queue: Option<Queue>,
    /// Incremented with each slot request, so that events of earlier ones are ignored.
    sequence: u32,
    location: Option<(usize, usize)>,
    has_lease: bool,
    is_batch: bool,
    backlog: Backlog,
    waiting_since: Option<Instant>,
}

/// Customers that send requests.
#[derive(Clone, Copy, Debug)]
pub struct Customers<'a> {
    pub profiles: &'a [Profile],
    /// Creates the order of an allocator.
    pub order: fn() -> Box<dyn Order>,
}

/// State of a simulation.
pub struct Simulation<'a> {
    load: Load,
    customers: Customers<'a>,
    results: Vec<CustomerResult>,
    now: Instant,
    allocators: Vec<Allocator>,
    upstreams: Vec<Vec<Upstream>>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: HashMap<u64, Event>,
    next_event: u64,
    callers: Vec<Caller>,
    work: BTreeMap<Number, Work>,
    rng: Rng,
    tally: Tally,
}

fn name(customer: usize) -> String {
    format!("c{customer}")
}

fn host(domain: usize) -> SocketAddr {
    SocketAddr::from(([10, domain as u8, 0, 1], 7000))
}

fn address(domain: usize, index: usize) -> SocketAddr {
    SocketAddr::from(([10, domain as u8, 1, index as u8], 8000))
}

/// Simulates requests that arrive at the given times. Returns the results of their callers.
pub fn simulate(load: Load, arrivals: &[Instant]) -> Tally {
    let arrivals: Vec<_> = arrivals.iter().map(|at| (*at, None)).collect();
    let customers = Customers {
        profiles: &[],
        order: || Box::new(ByExpiry),
    };
    let mut simulation = Simulation::new(load, customers, &arrivals);
    simulation.run();
    simulation.tally
}

/// Simulates requests of customers that arrive at the given times. Returns what became of each.
pub fn simulate_customers(
    load: Load,
    customers: Customers<'_>,
    arrivals: &[(Instant, usize)],
) -> Vec<CustomerResult> {
    let arrivals: Vec<_> = arrivals.iter().map(|(at, it)| (*at, Some(*it))).collect();
    let mut simulation = Simulation::new(load, customers, &arrivals);
    simulation.run();
    simulation.results
}

impl<'a> Simulation<'a> {
    fn new(load: Load, customers: Customers<'a>, arrivals: &[(Instant, Option<usize>)]) -> Self {
        let start = arrivals[0].0 - Duration::from_secs(5);
        let caller = |(at, customer): &(Instant, Option<usize>)| Caller {
            first_attempt: *at,
            deadline: *at + load.time,
            received: *at,
            attempts: 0,
            customer: *customer,
        };
        let mut simulation = Self {
            load,
            customers,
            results: Vec::new(),
            now: start,
            allocators: Vec::new(),
            upstreams: Vec::new(),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            callers: arrivals.iter().map(caller).collect(),
            work: BTreeMap::new(),
            rng: Rng(11),
            tally: Tally {
                requests: arrivals.len(),
                ..Tally::default()
            },
        };
        simulation.replace_allocators();
        for domain in 0..load.failure_domains {
            let all = (0..load.upstreams).map(|index| Upstream::new(load.slots, index < load.slow));
            simulation.upstreams.push(all.collect());
            simulation.schedule(Duration::ZERO, Event::Heartbeat(domain));
            if load.has_batch {
                simulation.schedule(Duration::from_secs(2), Event::NextItem(domain));
            }
        }
        if let Some(after) = load.allocators_lost_after {
            simulation.schedule(arrivals[0].0 + after - start, Event::AllocatorsLost);
        }
        for (number, (at, _)) in arrivals.iter().enumerate() {
            simulation.schedule(*at - start, Event::Arrival(number));
        }
        simulation
    }

    /// Replaces all allocators by new ones, which know no leases.
    fn replace_allocators(&mut self) {
        let load = self.load;
        let allocators = (0..load.failure_domains).map(|domain| {
            let order = (self.customers.order)();
            let (tolerance, options) = (Tolerance::default(), Options::default());
            let mut allocator = Allocator::with_order(domain as u64, tolerance, order, options);
            let upstreams = (0..load.upstreams).map(|index| allocator::Upstream {
                instance: format!("{domain}-{index}").into(),
                address: address(domain, index),
                service: "notes".to_owned(),
                slots: load.slots,
                memory_tokens: None,
                max_connections: None,
                build: "v1".into(),
                cold: None,
            });
            allocator.set_upstreams(upstreams.collect());
            allocator
        });
        self.allocators = allocators.collect();
    }

    fn run(&mut self) {
        let last = self
            .callers
            .iter()
            .map(|it| it.deadline)
            .max()
            .expect("a caller");
        while let Some(Reverse((at, key))) = self.events.pop() {
            if at > last {
                break;
            }
            self.now = at;
            let event = self.pending.remove(&key).expect("an event");
            self.handle(event);
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        let key = self.next_event;
        self.next_event += 1;
        self.events.push(Reverse((self.now + after, key)));
        self.pending.insert(key, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(number) => self.on_arrival(number),
            Event::ReachesAllocator(domain, from, frame) => {
                let (out, _) = self.allocators[domain].receive(from, frame, self.now);
                for (_, frame) in out {
                    self.send(Event::ReachesHost(frame));
                }
            }
            Event::ReachesHost(frame) => self.on_datagram(frame),
            Event::ReachesUpstream(number) => self.on_reaches_upstream(number),
            Event::Completed(number, sequence) if self.is_current(number, sequence) => {
                self.on_completed(number)
            }
            Event::WaitExpired(number, sequence) if self.is_waiting(number, sequence) => {
                self.on_wait_expired(number)
            }
            Event::Resend(number, sequence) if self.is_waiting(number, sequence) => {
                self.resend(number)
            }
            Event::Completed(..) | Event::WaitExpired(..) | Event::Resend(..) => {}
            Event::NextItem(domain) => self.next_item(domain),
            Event::Heartbeat(domain) => self.heartbeat(domain),
            Event::AllocatorsLost => self.replace_allocators(),
        }
    }

    /// Sends a datagram, which may be lost on the way.
    fn send(&mut self, event: Event) {
        let is_lost = self
            .load
            .loss_one_in
            .is_some_and(|one_in| self.rng.next().is_multiple_of(one_in));
        if !is_lost {
            self.schedule(LATENCY, event);
        }
    }

    fn on_arrival(&mut self, number: Number) {
        let caller = &mut self.callers[number];
        caller.received = self.now;
        caller.attempts += 1;
        let queue = self.queue(number);
        let own = number % self.load.failure_domains;
        let domains =
            (0..self.load.failure_domains).map(|it| (own + it) % self.load.failure_domains);
        let domains: Vec<usize> = domains.collect();
        let first = domains.iter().map(|it| (*it, Queue::No));
        let second = domains.iter().map(|it| (*it, queue));
        let mut remaining: Vec<_> = first.chain(second).collect();
        remaining.reverse();
        let sequence = self.work.get(&number).map_or(0, |it| it.sequence);
        self.work.insert(
            number,
            Work {
                remaining,
                sequence,
                ..Work::default()
            },
        );
        self.request_slot(number);
    }

    fn admission(&self, number: Number) -> Admission {
        let caller = self.callers[number];
        Admission {
            received: caller.received,
            deadline: caller.deadline,
            target: self.load.target,
            is_retry: caller.attempts > 1 && self.load.policy != Policy::RetriesAsFirstAttempts,
        }
    }

    fn timings(&self) -> RouteTimings {
        RouteTimings {
            first_event: Some(self.load.first_event),
            slot_time: Some(self.load.held),
        }
    }

    fn queue(&self, number: Number) -> Queue {
        match self.load.policy {
            Policy::QueueInUpstreams => Queue::InUpstream,
            _ => self.admission(number).queue(self.timings(), self.now),
        }
    }

    /// Requests a slot from the next allocator, or refuses the request if there is none left.
    fn request_slot(&mut self, number: Number) {
        let work = self.work.get_mut(&number).expect("work");
        let Some((domain, queue)) = work.remaining.pop() else {
            return self.refuse(number);
        };
        work.domain = domain;
        work.queue = Some(queue);
        work.sequence += 1;
        let sequence = work.sequence;
        self.send_slot_request(number);
        // Resends the request in case its response is lost.
        self.schedule(10 * LATENCY, Event::Resend(number, sequence));
        let max_wait = queue.max_wait().unwrap_or(25 * LATENCY);
        self.schedule(
            max_wait.max(25 * LATENCY),
            Event::WaitExpired(number, sequence),
        );
    }

    fn send_slot_request(&mut self, number: Number) {
        let work = &self.work[&number];
        let due = Due {
            late: false,
            at_ms: number as u64,
        };
        let request = SlotRequest {
            lease: lease(number, work.sequence),
            class: if work.is_batch {
                Class::Batch(due)
            } else {
                Class::Online
            },
            service: "notes".to_owned(),
            exclude: Default::default(),
            queue: work.queue.expect("a slot request"),
            rank: self.profile(number).map_or(0, |(_, it)| it.rank),
            meter: None,
            share: self.profile(number).map(|(customer, it)| Share {
                customer: name(customer),
                weight: it.weight,
            }),
            size: self.size(number),
            build: None,
            max_gap_ms: None,
        };
        let event = Event::ReachesAllocator(
            work.domain,
            host(number % self.load.failure_domains),
            Frame::SlotRequest(request),
        );
        self.send(event);
    }

    /// Returns the customer of a request, if it has one.
    fn profile(&self, number: Number) -> Option<(usize, Profile)> {
        let customer = self.callers.get(number)?.customer?;
        Some((customer, self.customers.profiles[customer]))
    }

    fn size(&self, number: Number) -> Size {
        Size {
            prompt_tokens: self.profile(number).map_or(0, |(_, it)| it.tokens),
            ..Size::default()
        }
    }

    fn record(&mut self, number: Number, result: CallerResult) {
        self.tally.record(result);
        let caller = self.callers[number];
        if let Some(customer) = caller.customer {
            self.results.push(CustomerResult {
                customer,
                sent: caller.first_attempt,
                result,
            });
        }
    }

    fn resend(&mut self, number: Number) {
        self.send_slot_request(number);
        let sequence = self.work[&number].sequence;
        self.schedule(70 * LATENCY, Event::Resend(number, sequence));
    }

    fn is_waiting(&self, number: Number, sequence: u32) -> bool {
        self.is_current(number, sequence) && self.work[&number].queue.is_some()
    }

    fn is_current(&self, number: Number, sequence: u32) -> bool {
        self.work
            .get(&number)
            .is_some_and(|it| it.sequence == sequence)
    }

    /// Handles the end of a wait: a queued request is refused, one without a response goes to the next allocator.
    fn on_wait_expired(&mut self, number: Number) {
        let work = &self.work[&number];
        let frame = Frame::Withdraw(lease(number, work.sequence));
        let event =
            Event::ReachesAllocator(work.domain, host(number % self.load.failure_domains), frame);
        let has_waited = work.queue.and_then(Queue::max_wait).is_some();
        self.send(event);
        match has_waited {
            true => self.refuse(number),
            false => self.request_slot(number),
        }
    }

    fn on_datagram(&mut self, frame: Frame) {
        match frame {
            Frame::SlotResponse(SlotResponse { lease, verdict }) => {
                self.on_response(lease, verdict)
            }
            Frame::Reclaim(lease) => {
                let (number, sequence) = parse_lease(lease);
                if self.is_current(number, sequence) {
                    self.release(number);
                    self.work.remove(&number);
                }
            }
            _ => {}
        }
    }

    fn on_response(&mut self, lease: u64, verdict: Verdict) {
        let (number, sequence) = parse_lease(lease);
        match verdict {
            Verdict::Waiting if self.is_waiting(number, sequence) => {
                let work = self.work.get_mut(&number).expect("work");
                work.waiting_since.get_or_insert(self.now);
            }
            Verdict::Denied(denial) if self.is_waiting(number, sequence) => {
                let work = self.work.get_mut(&number).expect("work");
                if let Some(ms) = denial.retry_after_ms {
                    work.backlog.add(Duration::from_millis(ms.into()));
                    let waited = work.waiting_since.take().map(|at| self.now - at);
                    for (_, queue) in &mut work.remaining {
                        *queue = queue.shortened(waited.unwrap_or_default());
                    }
                }
                match self.work[&number].is_batch {
                    true => drop(self.work.remove(&number)),
                    false => self.request_slot(number),
                }
            }
            Verdict::Granted(grant) if self.is_waiting(number, sequence) => {
                let (domain, index) = location(&grant.upstream);
                let work = self.work.get_mut(&number).expect("work");
                work.queue = None;
                work.has_lease = true;
                work.location = Some((domain, index));
                self.schedule(LATENCY, Event::ReachesUpstream(number));
            }
            Verdict::Granted(grant) if !self.has_lease(number, sequence) => {
                let (domain, _) = location(&grant.upstream);
                let release = Release {
                    lease,
                    upstream: grant.upstream,
                    outcome: Outcome::Inconclusive,
                    pace: None,
                };
                let from = host(number % self.load.failure_domains);
                self.send(Event::ReachesAllocator(
                    domain,
                    from,
                    Frame::Release(release),
                ));
            }
            _ => {}
        }
    }

    fn has_lease(&self, number: Number, sequence: u32) -> bool {
        self.is_current(number, sequence) && self.work[&number].has_lease
    }

    fn on_reaches_upstream(&mut self, number: Number) {
        let Some((domain, index)) = self.work.get(&number).and_then(|it| it.location) else {
            return;
        };
        let started = self.upstreams[domain][index].accept(number);
        self.start(domain, index, started);
    }

    fn start(&mut self, domain: usize, index: usize, started: Option<Started>) {
        let Some(Started(number)) = started else {
            return;
        };
        let work = &self.work[&number];
        let (sequence, is_batch) = (work.sequence, work.is_batch);
        let spread = self.load.held / 2 * (self.rng.next() % 100) as u32 / 100;
        let held = self.load.held * 3 / 4 + spread;
        let slowdown = self.upstreams[domain][index].slowdown;
        let held = held * slowdown * if is_batch { BATCH_SLOT_TIME_FACTOR } else { 1 };
        if !is_batch {
            let first_event_at = self.now + self.load.first_event * slowdown;
            let is_on_time =
                first_event_at <= self.callers[number].first_attempt + self.load.target;
            let result = if is_on_time {
                CallerResult::OnTime
            } else {
                CallerResult::Late
            };
            self.record(number, result);
        }
        let held = held * self.profile(number).map_or(1_000, |(_, it)| it.tokens) / 1_000;
        self.schedule(held, Event::Completed(number, sequence));
    }

    fn on_completed(&mut self, number: Number) {
        if self.work[&number].is_batch {
            self.tally.items += 1;
        }
        self.release(number);
        self.work.remove(&number);
    }

    /// Removes a request from its upstream and releases its lease.
    fn release(&mut self, number: Number) {
        let work = &self.work[&number];
        let Some((domain, index)) = work.location else {
            return;
        };
        let release = Release {
            lease: lease(number, work.sequence),
            upstream: format!("{domain}-{index}").into(),
            outcome: Outcome::Served,
            pace: None,
        };
        let from = host(number % self.load.failure_domains);
        self.send(Event::ReachesAllocator(
            domain,
            from,
            Frame::Release(release),
        ));
        let started = self.upstreams[domain][index].remove(number);
        self.start(domain, index, started);
    }

    fn refuse(&mut self, number: Number) {
        if self.work[&number].is_batch {
            self.work.remove(&number);
            return;
        }
        let draw = self.rng.next();
        let usual = self.admission(number).retry_after(self.timings(), draw);
        let backlog = self.work[&number].backlog.retry_after();
        let retry_after = backlog.unwrap_or(usual);
        let caller = self.callers[number];
        self.work.get_mut(&number).expect("work").queue = None;
        let will_retry = caller.attempts < MAX_ATTEMPTS && self.now + retry_after < caller.deadline;
        if will_retry {
            return self.schedule(retry_after, Event::Arrival(number));
        }
        self.record(number, CallerResult::Refused(self.now - caller.received));
    }

    fn next_item(&mut self, domain: usize) {
        let step = self.load.failure_domains;
        let first = self.callers.len().next_multiple_of(step);
        let next_free = self
            .work
            .keys()
            .next_back()
            .map_or(0, |it| it + 1)
            .max(first);
        let number = next_free.next_multiple_of(step) + domain;
        let work = Work {
            remaining: vec![(domain, Queue::No)],
            is_batch: true,
            ..Work::default()
        };
        self.work.insert(number, work);
        self.request_slot(number);
        self.schedule(BATCH_INTERVAL, Event::NextItem(domain));
    }

    /// Sends each allocator the leases that a host holds.
    fn heartbeat(&mut self, domain: usize) {
        for to in 0..self.load.failure_domains {
            let own = self.work.iter().filter(|(number, it)| {
                it.has_lease
                    && *number % self.load.failure_domains == domain
                    && it.location.is_some_and(|(at, _)| at == to)
            });
            let held = own.map(|(number, it)| {
                let (_, index) = it.location.expect("a location");
                let due = Due {
                    late: false,
                    at_ms: *number as u64,
                };
                Held {
                    lease: lease(*number, it.sequence),
                    upstream: format!("{to}-{index}").into(),
                    class: if it.is_batch {
                        Class::Batch(due)
                    } else {
                        Class::Online
                    },
                    footprint: Footprint {
                        memory: 0,
                        work: self.size(*number).work(),
                        customer: self.profile(*number).map(|(customer, _)| name(customer)),
                    },
                }
            });
            let held = held.collect();
            let frame = Frame::Holdings(Holdings { next: 0, held });
            self.send(Event::ReachesAllocator(to, host(domain), frame));
        }
        self.schedule(allocator::HEARTBEAT_INTERVAL, Event::Heartbeat(domain));
    }
}

fn lease(number: Number, sequence: u32) -> u64 {
    (number as u64) << 16 | u64::from(sequence)
}

fn parse_lease(lease: u64) -> (Number, u32) {
    ((lease >> 16) as usize, (lease & 0xffff) as u32)
}

fn location(upstream: &str) -> (usize, usize) {
    let (domain, index) = upstream
        .split_once('-')
        .expect("an upstream of the simulation");
    (
        domain.parse().expect("a number"),
        index.parse().expect("a number"),
    )
}
