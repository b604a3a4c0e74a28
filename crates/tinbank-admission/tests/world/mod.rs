//! Simulation of one engine, two controllers and several holders in virtual time, with latency and loss of frames.

#![allow(dead_code, reason = "not every test file uses all of it")]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tinbank_admission::{
    Engine, Settings,
    controller::{Action, Controller, Event, Rank},
    holder::{self, Holder, PassId},
};
use tinbank_base::{
    clock::Stamp,
    frame::{
        Body, Datagram,
        credit::{CreditRequest, Grant, Load, Message},
        datagram::{Key, seal},
    },
    id::{Process, Role},
    record::Writer,
};

pub const ENGINE: u32 = 1;
pub const LATENCY: Duration = Duration::from_millis(1);
/// Time in which the engine frees the slot of a cancelled request.
pub const CANCEL_TIME: Duration = Duration::from_millis(20);
const RISE_REPEAT_DELAY: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(1);
const REQUEST_INTERVAL: Duration = Duration::from_secs(5);

pub fn batch(host: u32) -> Process {
    Process {
        host,
        role: Role::Batch,
    }
}

pub fn online(host: u32) -> Process {
    Process {
        host,
        role: Role::Online,
    }
}

fn writer(process: Process) -> Writer {
    Writer {
        process,
        incarnation: 1,
    }
}

enum Frame {
    Load(Process, Load),
    CreditRequest(Process, CreditRequest),
    Grant(Process, Grant),
    Withdraw(Process, Grant),
}

impl Frame {
    /// Returns the encoded size of the frame, with an incarnation, a sequence and a stamp of realistic size.
    fn bytes(&self) -> u64 {
        const MICROS: u64 = 1_790_000_000_000_000;
        let (from, message) = match self {
            Self::Load(from, load) => (from, Message::Load([*load].into_iter().collect())),
            Self::CreditRequest(from, request) => (
                from,
                Message::CreditRequest([request.clone()].into_iter().collect()),
            ),
            Self::Grant(from, grant) => (from, Message::Grant([*grant].into_iter().collect())),
            Self::Withdraw(from, grant) => {
                (from, Message::Withdraw([*grant].into_iter().collect()))
            }
        };
        let datagram = Datagram {
            sender: Writer {
                process: *from,
                incarnation: MICROS,
            },
            sequence: 1_000_000,
            stamp: Stamp {
                micros: MICROS,
                counter: 3,
            },
            body: Body::Credit(message),
        };
        let key = Key {
            number: 1,
            secret: [1; 32],
        };
        seal(&datagram, &key).len() as u64
    }
}

pub struct Batch {
    pub holder: Holder,
    pub customer: String,
    pub wanted: u16,
    pub paused: bool,
    /// Frames in the socket buffer of a paused process.
    waiting: Vec<Frame>,
    passes: Vec<PassId>,
    cancelling: Vec<(PassId, Instant)>,
    next_request: Instant,
}

impl Batch {
    /// Returns the number of requests of this process in the engine, including those being cancelled.
    pub fn in_engine(&self) -> u16 {
        (self.passes.len() + self.cancelling.len()) as u16
    }
}

pub struct World {
    pub now: Instant,
    pub slots: u16,
    pub loss_percent: u32,
    pub controllers: BTreeMap<Process, Controller>,
    pub holders: BTreeMap<Process, Batch>,
    pub online: BTreeMap<Process, u16>,
    /// Each change of `slots - online`, for comparison with an allocator of global knowledge.
    pub history: Vec<(Instant, u16)>,
    /// Largest number of requests beyond the slots so far.
    pub max_excess: u16,
    pub excess_time: Duration,
    pub cancelled: u32,
    /// Bytes of all frames sent.
    pub bytes: u64,
    in_flight: Vec<(Instant, Process, Frame)>,
    next_tick: Instant,
    random: SmallRng,
}

impl World {
    pub fn new(slots: u16, lean_percent: u16, holders: &[(u32, &str, u16)], seed: u64) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            slots,
            loss_percent: 0,
            controllers: BTreeMap::new(),
            holders: BTreeMap::new(),
            online: BTreeMap::new(),
            history: vec![(now, slots)],
            max_excess: 0,
            excess_time: Duration::ZERO,
            cancelled: 0,
            bytes: 0,
            in_flight: Vec::new(),
            next_tick: now,
            random: SmallRng::seed_from_u64(seed),
        };
        for (host, rank) in [(1, Rank::First), (2, Rank::Second)] {
            let mut controller = Controller::new(Settings { lean_percent });
            let engine = Engine {
                upstream: ENGINE,
                slots,
            };
            controller.handle(Event::Engines(vec![engine]), now);
            let upstream = ENGINE;
            controller.handle(Event::Rank { upstream, rank }, now);
            world.controllers.insert(batch(host), controller);
        }
        for &(host, customer, wanted) in holders {
            let mut holder = Holder::new(now);
            holder.set_controller(ENGINE, Some(batch(1)));
            let batch_process = Batch {
                holder,
                customer: customer.to_owned(),
                wanted,
                paused: false,
                waiting: Vec::new(),
                passes: Vec::new(),
                cancelling: Vec::new(),
                next_request: now,
            };
            world.holders.insert(batch(host), batch_process);
        }
        world
    }

    /// Returns a simulation in which batch holds all the credits that it can get.
    pub fn filled(slots: u16, lean_percent: u16, holders: &[(u32, &str, u16)], seed: u64) -> Self {
        let mut world = Self::new(slots, lean_percent, holders, seed);
        world.run(Duration::from_secs(8));
        world.max_excess = 0;
        world.excess_time = Duration::ZERO;
        world.cancelled = 0;
        world
    }

    pub fn online_total(&self) -> u16 {
        self.online.values().sum()
    }

    pub fn batch_total(&self) -> u16 {
        self.holders.values().map(Batch::in_engine).sum()
    }

    /// Returns the number of credits in force at all holders.
    pub fn in_force(&self) -> u16 {
        self.holders
            .values()
            .map(|holder| holder.holder.allowed(ENGINE, self.now) as u16)
            .sum()
    }

    pub fn set_online(&mut self, host: u32, count: u16) {
        let from = online(host);
        let before = self.online.insert(from, count).unwrap_or_default();
        let free = self.slots.saturating_sub(self.online_total());
        self.history.push((self.now, free));
        let load = Load {
            upstream: ENGINE,
            online: count,
        };
        // As `LoadReporter`: a rise to both and again to the first, a fall to the first.
        self.send(batch(1), Frame::Load(from, load));
        if count > before {
            self.send(batch(2), Frame::Load(from, load));
            self.send_in(RISE_REPEAT_DELAY, batch(1), Frame::Load(from, load));
        }
    }

    pub fn remove_controller(&mut self, host: u32) {
        self.controllers.remove(&batch(host));
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        self.deliver_due();
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK;
            self.tick();
        }
        self.use_credits();
        let used = self.online_total() + self.batch_total();
        // Online requests beyond the slots would wait without batch as well.
        let excess = used.saturating_sub(self.slots.max(self.online_total()));
        self.max_excess = self.max_excess.max(excess);
        if excess > 0 {
            self.excess_time += STEP;
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_flight = rest;
        for (_, to, frame) in due {
            self.deliver(to, frame);
        }
    }

    fn deliver(&mut self, to: Process, frame: Frame) {
        let now = self.now;
        match frame {
            Frame::Load(from, load) => self.control(to, Event::Load { from, load }),
            Frame::CreditRequest(from, request) => {
                self.control(to, Event::CreditRequest { from, request })
            }
            Frame::Grant(..) | Frame::Withdraw(..) => {
                let Some(process) = self.holders.get_mut(&to) else {
                    return;
                };
                if process.paused {
                    process.waiting.push(frame);
                    return;
                }
                let actions = match frame {
                    Frame::Grant(from, grant) => process.holder.on_grant(writer(from), grant, now),
                    Frame::Withdraw(from, grant) => {
                        process.holder.on_withdrawal(writer(from), grant, now)
                    }
                    Frame::Load(..) | Frame::CreditRequest(..) => Vec::new(),
                };
                self.cancel(to, actions);
            }
        }
    }

    fn cancel(&mut self, of: Process, actions: Vec<holder::Action>) {
        let process = self.holders.get_mut(&of).unwrap();
        for holder::Action::Cancel(number) in actions {
            process.passes.retain(|pass| *pass != number);
            process.cancelling.push((number, self.now + CANCEL_TIME));
            self.cancelled += 1;
        }
    }

    fn tick(&mut self) {
        for process in self.controllers.keys().copied().collect::<Vec<_>>() {
            self.control(process, Event::Tick);
        }
        let now = self.now;
        for process in self.holders.keys().copied().collect::<Vec<_>>() {
            let state = self.holders.get_mut(&process).unwrap();
            if state.paused {
                continue;
            }
            let actions = state.holder.tick(now);
            self.cancel(process, actions);
        }
    }

    /// Batch processes use all their credits, and request more.
    fn use_credits(&mut self) {
        let now = self.now;
        let mut requests = Vec::new();
        for (&process, state) in &mut self.holders {
            let Batch {
                holder, cancelling, ..
            } = state;
            cancelling.retain(|(number, at)| {
                if *at <= now {
                    holder.leave(ENGINE, *number);
                }
                *at > now
            });
            if state.paused {
                continue;
            }
            while (state.passes.len() as u16) < state.wanted
                && let Some(number) = state.holder.enter(ENGINE, now)
            {
                state.passes.push(number);
            }
            if now >= state.next_request {
                state.next_request = now + REQUEST_INTERVAL;
                let request = CreditRequest {
                    upstream: ENGINE,
                    customer: state.customer.clone(),
                    wanted: state.wanted,
                    due_in_ms: 60_000,
                };
                requests.push((process, request));
            }
        }
        for (from, request) in requests {
            for to in [batch(1), batch(2)] {
                self.send(to, Frame::CreditRequest(from, request.clone()));
            }
        }
    }

    /// Resumes a paused process, which first receives the frames in its socket buffer.
    pub fn resume(&mut self, host: u32) {
        let process = batch(host);
        let state = self.holders.get_mut(&process).unwrap();
        state.paused = false;
        for frame in std::mem::take(&mut state.waiting) {
            self.deliver(process, frame);
        }
    }

    pub fn control(&mut self, process: Process, event: Event) {
        let now = self.now;
        let Some(controller) = self.controllers.get_mut(&process) else {
            return;
        };
        for action in controller.handle(event, now) {
            match action {
                Action::Grant { to, grant } => self.send(to, Frame::Grant(process, grant)),
                Action::Withdraw { to, grant } => self.send(to, Frame::Withdraw(process, grant)),
            }
        }
    }

    fn send(&mut self, to: Process, frame: Frame) {
        self.send_in(LATENCY, to, frame);
    }

    fn send_in(&mut self, delay: Duration, to: Process, frame: Frame) {
        self.bytes += frame.bytes();
        if self.random.random_range(0..100) >= self.loss_percent {
            self.in_flight.push((self.now + delay, to, frame));
        }
    }

    /// Returns the largest number of requests that an allocator with global knowledge and no lag would have admitted at
    /// any time within `lag`.
    pub fn max_free_within(&self, lag: Duration) -> u16 {
        let from = self.now.checked_sub(lag).unwrap_or(self.now);
        let before = self.history.iter().rev().find(|(at, _)| *at <= from);
        let within = self.history.iter().filter(|(at, _)| *at >= from);
        let values = before.into_iter().chain(within);
        values.map(|(_, free)| *free).max().unwrap_or(self.slots)
    }
}
