//! Plays a load against allocators in virtual time: callers that come again, hosts that ask, and upstreams with slots.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    Allocator,
    admission::{Admission, RouteTimings},
    allocator,
    frame::{Frame, Holdings, Queue, Release, SlotRequest, SlotResponse, Verdict},
    lease::{Class, Due, Held, Outcome},
};
use tinbank_allowance::Tolerance;

use crate::{
    caller::{Caller, Chance, Got, Number, Tally},
    upstream::{Begun, Upstream},
};

/// One way between hosts, and between a host and an upstream.
const WAY: Duration = Duration::from_millis(1);
/// How often a host that has items asks for a slot for one.
const BATCH_PAUSE: Duration = Duration::from_millis(40);
/// How long a batch item holds a slot, as a multiple of the time of an online request.
const ITEM_TIME: u32 = 6;
/// Tries of a caller.
const TRIES: u32 = 2;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub failure_domains: usize,
    /// In each failure domain.
    pub upstreams: usize,
    pub slots: usize,
    pub target: Duration,
    /// Time that callers have.
    pub time: Duration,
    /// Time for which an online request holds a slot; a quarter more or less by chance.
    pub held: Duration,
    pub first_event: Duration,
    pub has_batch: bool,
    /// So many upstreams of each failure domain take four times as long.
    pub slow: usize,
    pub policy: Policy,
    /// One datagram in so many is lost, if any.
    pub loses_one_in: Option<u64>,
}

/// What hosts do when all slots are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// What the product does.
    Admission,
    /// The same, but late requests are treated like new ones.
    LateAsNew,
    /// Requests wait inside upstreams.
    InsideUpstreams,
}

#[derive(Debug)]
enum Event {
    Arrives(Number),
    /// A datagram reaches the allocator of a failure domain.
    Told(usize, SocketAddr, Frame),
    /// An answer reaches a host.
    Heard(Frame),
    /// A request reaches its upstream.
    Reaches(Number),
    Ends(Number, u32),
    /// A request has waited for as long as it may.
    TimeUp(Number, u32),
    /// A host asks again for a request that waits.
    Renews(Number, u32),
    AsksForItem(usize),
    Heartbeat(usize),
}

/// A request or an item on its way.
#[derive(Debug, Default)]
struct Work {
    /// Asks that are still to be made: failure domains, and whether the request may wait.
    asks: Vec<(usize, Queue)>,
    domain: usize,
    queue: Option<Queue>,
    /// Rises with each ask, so that what belongs to an earlier one is told apart.
    turn: u32,
    place: Option<(usize, usize)>,
    holds: bool,
    is_batch: bool,
}

/// The play.
pub struct Play {
    load: Load,
    now: Instant,
    allocators: Vec<Allocator>,
    upstreams: Vec<Vec<Upstream>>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: HashMap<u64, Event>,
    next_event: u64,
    callers: Vec<Caller>,
    work: BTreeMap<Number, Work>,
    chance: Chance,
    tally: Tally,
}

fn host(domain: usize) -> SocketAddr {
    SocketAddr::from(([10, domain as u8, 0, 1], 7000))
}

fn address(domain: usize, index: usize) -> SocketAddr {
    SocketAddr::from(([10, domain as u8, 1, index as u8], 8000))
}

/// Plays requests that come at some times, and says what their callers got.
pub fn play(load: Load, arrivals: &[Instant]) -> Tally {
    let mut play = Play::new(load, arrivals);
    play.run();
    play.tally
}

impl Play {
    fn new(load: Load, arrivals: &[Instant]) -> Self {
        let start = arrivals[0] - Duration::from_secs(5);
        let caller = |at: &Instant| Caller {
            first_try: *at,
            deadline: *at + load.time,
            received: *at,
            tries: 0,
        };
        let mut play = Self {
            load,
            now: start,
            allocators: (0..load.failure_domains)
                .map(|it| Allocator::new(it as u64, Tolerance::default()))
                .collect(),
            upstreams: Vec::new(),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            callers: arrivals.iter().map(caller).collect(),
            work: BTreeMap::new(),
            chance: Chance(11),
            tally: Tally {
                asked: arrivals.len(),
                ..Tally::default()
            },
        };
        for domain in 0..load.failure_domains {
            let listed = (0..load.upstreams).map(|index| allocator::Upstream {
                instance: format!("{domain}-{index}").into(),
                address: address(domain, index),
                service: "notes".to_owned(),
                slots: load.slots,
                cold: None,
            });
            play.allocators[domain].set_upstreams(listed.collect());
            let all = (0..load.upstreams).map(|index| Upstream::new(load.slots, index < load.slow));
            play.upstreams.push(all.collect());
            play.at(Duration::ZERO, Event::Heartbeat(domain));
            if load.has_batch {
                play.at(Duration::from_secs(2), Event::AsksForItem(domain));
            }
        }
        for (number, at) in arrivals.iter().enumerate() {
            play.at(*at - start, Event::Arrives(number));
        }
        play
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
            self.take(event);
        }
    }

    fn at(&mut self, after: Duration, event: Event) {
        let key = self.next_event;
        self.next_event += 1;
        self.events.push(Reverse((self.now + after, key)));
        self.pending.insert(key, event);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrives(number) => self.arrives(number),
            Event::Told(domain, from, frame) => {
                let (out, _) = self.allocators[domain].receive(from, frame, self.now);
                for (_, frame) in out {
                    self.send(Event::Heard(frame));
                }
            }
            Event::Heard(frame) => self.heard(frame),
            Event::Reaches(number) => self.reaches(number),
            Event::Ends(number, turn) if self.is_current(number, turn) => self.ends(number),
            Event::TimeUp(number, turn) if self.waits(number, turn) => self.time_up(number),
            Event::Renews(number, turn) if self.waits(number, turn) => self.renew(number),
            Event::Ends(..) | Event::TimeUp(..) | Event::Renews(..) => {}
            Event::AsksForItem(domain) => self.asks_for_item(domain),
            Event::Heartbeat(domain) => self.heartbeat(domain),
        }
    }

    /// Sends a datagram, which may be lost.
    fn send(&mut self, event: Event) {
        let is_lost = self
            .load
            .loses_one_in
            .is_some_and(|many| self.chance.next().is_multiple_of(many));
        if !is_lost {
            self.at(WAY, event);
        }
    }

    fn arrives(&mut self, number: Number) {
        let caller = &mut self.callers[number];
        caller.received = self.now;
        caller.tries += 1;
        let queue = self.queue(number);
        let own = number % self.load.failure_domains;
        let domains =
            (0..self.load.failure_domains).map(|it| (own + it) % self.load.failure_domains);
        let domains: Vec<usize> = domains.collect();
        let first = domains.iter().map(|it| (*it, Queue::No));
        let second = domains.iter().map(|it| (*it, queue));
        let mut asks: Vec<_> = first.chain(second).collect();
        asks.reverse();
        let turn = self.work.get(&number).map_or(0, |it| it.turn);
        self.work.insert(
            number,
            Work {
                asks,
                turn,
                ..Work::default()
            },
        );
        self.ask(number);
    }

    fn admission(&self, number: Number) -> Admission {
        let caller = self.callers[number];
        Admission {
            received: caller.received,
            deadline: caller.deadline,
            target: self.load.target,
            is_retry: caller.tries > 1 && self.load.policy != Policy::LateAsNew,
        }
    }

    fn usual(&self) -> RouteTimings {
        RouteTimings {
            first_event: Some(self.load.first_event),
            slot_time: Some(self.load.held),
        }
    }

    fn queue(&self, number: Number) -> Queue {
        match self.load.policy {
            Policy::InsideUpstreams => Queue::InUpstream,
            _ => self.admission(number).queue(self.usual(), self.now),
        }
    }

    /// Asks the next allocator for a slot, or refuses.
    fn ask(&mut self, number: Number) {
        let work = self.work.get_mut(&number).expect("work");
        let Some((domain, queue)) = work.asks.pop() else {
            return self.refuse(number);
        };
        work.domain = domain;
        work.queue = Some(queue);
        work.turn += 1;
        let turn = work.turn;
        self.tell_ask(number);
        // An ask whose answer is lost is sent again.
        self.at(10 * WAY, Event::Renews(number, turn));
        let patience = queue.max_wait().unwrap_or(25 * WAY);
        self.at(patience.max(25 * WAY), Event::TimeUp(number, turn));
    }

    fn tell_ask(&mut self, number: Number) {
        let work = &self.work[&number];
        let due = Due {
            late: false,
            at_ms: number as u64,
        };
        let ask = SlotRequest {
            lease: lease(number, work.turn),
            class: if work.is_batch {
                Class::Batch(due)
            } else {
                Class::Online
            },
            service: "notes".to_owned(),
            exclude: Default::default(),
            queue: work.queue.expect("an ask"),
            rank: 0,
            meter: None,
        };
        let event = Event::Told(
            work.domain,
            host(number % self.load.failure_domains),
            Frame::SlotRequest(ask),
        );
        self.send(event);
    }

    fn renew(&mut self, number: Number) {
        self.tell_ask(number);
        let turn = self.work[&number].turn;
        self.at(70 * WAY, Event::Renews(number, turn));
    }

    fn waits(&self, number: Number, turn: u32) -> bool {
        self.is_current(number, turn) && self.work[&number].queue.is_some()
    }

    fn is_current(&self, number: Number, turn: u32) -> bool {
        self.work.get(&number).is_some_and(|it| it.turn == turn)
    }

    /// A request has waited for as long as it may; one that asks whether there is a free slot goes on to the next allocator.
    fn time_up(&mut self, number: Number) {
        let work = &self.work[&number];
        let frame = Frame::Withdraw(lease(number, work.turn));
        let event = Event::Told(work.domain, host(number % self.load.failure_domains), frame);
        let has_waited = work.queue.and_then(Queue::max_wait).is_some();
        self.send(event);
        match has_waited {
            true => self.refuse(number),
            false => self.ask(number),
        }
    }

    fn heard(&mut self, frame: Frame) {
        match frame {
            Frame::SlotResponse(SlotResponse { lease, verdict }) => self.answered(lease, verdict),
            Frame::Reclaim(lease) => {
                let (number, turn) = request(lease);
                if self.is_current(number, turn) {
                    self.leaves(number);
                    self.work.remove(&number);
                }
            }
            _ => {}
        }
    }

    fn answered(&mut self, lease: u64, verdict: Verdict) {
        let (number, turn) = request(lease);
        match verdict {
            Verdict::Waiting => {}
            Verdict::Denied if self.waits(number, turn) => match self.work[&number].is_batch {
                true => drop(self.work.remove(&number)),
                false => self.ask(number),
            },
            Verdict::Granted(grant) if self.waits(number, turn) => {
                let (domain, index) = place(&grant.upstream);
                let work = self.work.get_mut(&number).expect("work");
                work.queue = None;
                work.holds = true;
                work.place = Some((domain, index));
                self.at(WAY, Event::Reaches(number));
            }
            Verdict::Granted(grant) if !self.holds(number, turn) => {
                let (domain, _) = place(&grant.upstream);
                let release = Release {
                    lease,
                    upstream: grant.upstream,
                    outcome: Outcome::Inconclusive,
                };
                let from = host(number % self.load.failure_domains);
                self.send(Event::Told(domain, from, Frame::Release(release)));
            }
            _ => {}
        }
    }

    fn holds(&self, number: Number, turn: u32) -> bool {
        self.is_current(number, turn) && self.work[&number].holds
    }

    fn reaches(&mut self, number: Number) {
        let Some((domain, index)) = self.work.get(&number).and_then(|it| it.place) else {
            return;
        };
        let begun = self.upstreams[domain][index].take(number);
        self.begin(domain, index, begun);
    }

    fn begin(&mut self, domain: usize, index: usize, begun: Option<Begun>) {
        let Some(Begun(number)) = begun else {
            return;
        };
        let work = &self.work[&number];
        let (turn, is_batch) = (work.turn, work.is_batch);
        let spread = self.load.held / 2 * (self.chance.next() % 100) as u32 / 100;
        let held = self.load.held * 3 / 4 + spread;
        let slowness = self.upstreams[domain][index].slowness;
        let held = held * slowness * if is_batch { ITEM_TIME } else { 1 };
        if !is_batch {
            let first_event_at = self.now + self.load.first_event * slowness;
            let is_in_time = first_event_at <= self.callers[number].first_try + self.load.target;
            let got = if is_in_time { Got::InTime } else { Got::Late };
            self.tally.note(got);
        }
        self.at(held, Event::Ends(number, turn));
    }

    fn ends(&mut self, number: Number) {
        if self.work[&number].is_batch {
            self.tally.items += 1;
        }
        self.leaves(number);
        self.work.remove(&number);
    }

    /// A request leaves its upstream, and its host gives the slot back.
    fn leaves(&mut self, number: Number) {
        let work = &self.work[&number];
        let Some((domain, index)) = work.place else {
            return;
        };
        let release = Release {
            lease: lease(number, work.turn),
            upstream: format!("{domain}-{index}").into(),
            outcome: Outcome::Served,
        };
        let from = host(number % self.load.failure_domains);
        self.send(Event::Told(domain, from, Frame::Release(release)));
        let begun = self.upstreams[domain][index].end(number);
        self.begin(domain, index, begun);
    }

    fn refuse(&mut self, number: Number) {
        if self.work[&number].is_batch {
            self.work.remove(&number);
            return;
        }
        let draw = self.chance.next();
        let back_after = self.admission(number).retry_after(self.usual(), draw);
        let caller = self.callers[number];
        self.work.get_mut(&number).expect("work").queue = None;
        let comes_again = caller.tries < TRIES && self.now + back_after < caller.deadline;
        if comes_again {
            return self.at(back_after, Event::Arrives(number));
        }
        self.tally.note(Got::Refused(self.now - caller.received));
    }

    fn asks_for_item(&mut self, domain: usize) {
        let step = self.load.failure_domains;
        let first = self.callers.len().next_multiple_of(step);
        let used = self
            .work
            .keys()
            .next_back()
            .map_or(0, |it| it + 1)
            .max(first);
        let number = used.next_multiple_of(step) + domain;
        let work = Work {
            asks: vec![(domain, Queue::No)],
            is_batch: true,
            ..Work::default()
        };
        self.work.insert(number, work);
        self.ask(number);
        self.at(BATCH_PAUSE, Event::AsksForItem(domain));
    }

    /// A host tells each allocator what it holds.
    fn heartbeat(&mut self, domain: usize) {
        for to in 0..self.load.failure_domains {
            let mine = self.work.iter().filter(|(number, it)| {
                it.holds
                    && *number % self.load.failure_domains == domain
                    && it.place.is_some_and(|(at, _)| at == to)
            });
            let held = mine.map(|(number, it)| {
                let (_, index) = it.place.expect("a place");
                let due = Due {
                    late: false,
                    at_ms: *number as u64,
                };
                Held {
                    lease: lease(*number, it.turn),
                    upstream: format!("{to}-{index}").into(),
                    class: if it.is_batch {
                        Class::Batch(due)
                    } else {
                        Class::Online
                    },
                }
            });
            let held = held.collect();
            let frame = Frame::Holdings(Holdings { next: 0, held });
            self.send(Event::Told(to, host(domain), frame));
        }
        self.at(allocator::HEARTBEAT_INTERVAL, Event::Heartbeat(domain));
    }
}

fn lease(number: Number, turn: u32) -> u64 {
    (number as u64) << 16 | u64::from(turn)
}

fn request(lease: u64) -> (Number, u32) {
    ((lease >> 16) as usize, (lease & 0xffff) as u32)
}

fn place(upstream: &str) -> (usize, usize) {
    let (domain, index) = upstream.split_once('-').expect("an upstream of the play");
    (
        domain.parse().expect("a number"),
        index.parse().expect("a number"),
    )
}
