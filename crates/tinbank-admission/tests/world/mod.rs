//! One engine, two controllers and some holders under virtual time, with frames that take time and get lost.

#![allow(dead_code, reason = "not every test file uses all of it")]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tinbank_admission::{
    Engine, Settings,
    controller::{Action, Controller, Event, Rank},
    holder::{self, Holder, Number},
};
use tinbank_base::{
    clock::Stamp,
    frame::{
        Body, Datagram,
        credit::{Grant, Load, Message, Wish},
        datagram::{Key, seal},
    },
    id::{Process, Role},
    record::Writer,
};

pub const ENGINE: u32 = 1;
pub const LATENCY: Duration = Duration::from_millis(1);
/// Time that the engine takes to free the slot of a cancelled request.
pub const CANCEL: Duration = Duration::from_millis(20);
const SECOND_WORD: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(1);
const WISH_EVERY: Duration = Duration::from_secs(5);

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
    Wish(Process, Wish),
    Grant(Process, Grant),
    Withdraw(Process, Grant),
}

impl Frame {
    /// Size of the real frame, with a start number, a sequence and a stamp of real size.
    fn bytes(&self) -> u64 {
        const MICROS: u64 = 1_790_000_000_000_000;
        let (from, message) = match self {
            Self::Load(from, load) => (from, Message::Load([*load].into_iter().collect())),
            Self::Wish(from, wish) => (from, Message::Wish([wish.clone()].into_iter().collect())),
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
    /// Frames that wait in the socket of a paused process.
    waiting: Vec<Frame>,
    passes: Vec<Number>,
    leaving: Vec<(Number, Instant)>,
    next_wish: Instant,
}

impl Batch {
    /// Requests of this process in the engine, those being cancelled included.
    pub fn in_engine(&self) -> u16 {
        (self.passes.len() + self.leaving.len()) as u16
    }
}

pub struct World {
    pub now: Instant,
    pub slots: u16,
    pub loss: u32,
    pub controllers: BTreeMap<Process, Controller>,
    pub holders: BTreeMap<Process, Batch>,
    pub online: BTreeMap<Process, u16>,
    /// When `(slots − online)` took which value, for the version with global knowledge.
    pub history: Vec<(Instant, u16)>,
    /// Most requests over the slots at any time so far.
    pub worst_excess: u16,
    pub excess_time: Duration,
    pub cancelled: u32,
    /// Bytes of all frames sent.
    pub bytes: u64,
    flights: Vec<(Instant, Process, Frame)>,
    next_tick: Instant,
    random: SmallRng,
}

impl World {
    pub fn new(slots: u16, lean_percent: u16, holders: &[(u32, &str, u16)], seed: u64) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            slots,
            loss: 0,
            controllers: BTreeMap::new(),
            holders: BTreeMap::new(),
            online: BTreeMap::new(),
            history: vec![(now, slots)],
            worst_excess: 0,
            excess_time: Duration::ZERO,
            cancelled: 0,
            bytes: 0,
            flights: Vec::new(),
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
                leaving: Vec::new(),
                next_wish: now,
            };
            world.holders.insert(batch(host), batch_process);
        }
        world
    }

    /// A world in which batch has what it can have.
    pub fn filled(slots: u16, lean_percent: u16, holders: &[(u32, &str, u16)], seed: u64) -> Self {
        let mut world = Self::new(slots, lean_percent, holders, seed);
        world.run(Duration::from_secs(8));
        world.worst_excess = 0;
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

    /// Credits in force at all holders.
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
        // As the teller does: a rise to both and once more to the first, a fall to the first.
        self.send(batch(1), Frame::Load(from, load));
        if count > before {
            self.send(batch(2), Frame::Load(from, load));
            self.send_in(SECOND_WORD, batch(1), Frame::Load(from, load));
        }
    }

    pub fn lose_controller(&mut self, host: u32) {
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
        self.land();
        if self.now >= self.next_tick {
            self.next_tick = self.now + TICK;
            self.tick();
        }
        self.work();
        let used = self.online_total() + self.batch_total();
        // Online requests beyond the slots would wait without batch too.
        let excess = used.saturating_sub(self.slots.max(self.online_total()));
        self.worst_excess = self.worst_excess.max(excess);
        if excess > 0 {
            self.excess_time += STEP;
        }
    }

    fn land(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.flights = rest;
        for (_, to, frame) in due {
            self.take(to, frame);
        }
    }

    fn take(&mut self, to: Process, frame: Frame) {
        let now = self.now;
        match frame {
            Frame::Load(from, load) => self.control(to, Event::Load { from, load }),
            Frame::Wish(from, wish) => self.control(to, Event::Wish { from, wish }),
            Frame::Grant(..) | Frame::Withdraw(..) => {
                let Some(process) = self.holders.get_mut(&to) else {
                    return;
                };
                if process.paused {
                    process.waiting.push(frame);
                    return;
                }
                let actions = match frame {
                    Frame::Grant(from, grant) => process.holder.granted(writer(from), grant, now),
                    Frame::Withdraw(from, grant) => {
                        process.holder.withdrawn(writer(from), grant, now)
                    }
                    Frame::Load(..) | Frame::Wish(..) => Vec::new(),
                };
                self.cancel(to, actions);
            }
        }
    }

    fn cancel(&mut self, of: Process, actions: Vec<holder::Action>) {
        let process = self.holders.get_mut(&of).unwrap();
        for holder::Action::Cancel(number) in actions {
            process.passes.retain(|pass| *pass != number);
            process.leaving.push((number, self.now + CANCEL));
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

    /// Batch processes send whatever they may, and wish for the rest.
    fn work(&mut self) {
        let now = self.now;
        let mut wishes = Vec::new();
        for (&process, state) in &mut self.holders {
            let Batch {
                holder, leaving, ..
            } = state;
            leaving.retain(|(number, at)| {
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
            if now >= state.next_wish {
                state.next_wish = now + WISH_EVERY;
                let wish = Wish {
                    upstream: ENGINE,
                    customer: state.customer.clone(),
                    wanted: state.wanted,
                    due_in_ms: 60_000,
                };
                wishes.push((process, wish));
            }
        }
        for (from, wish) in wishes {
            for to in [batch(1), batch(2)] {
                self.send(to, Frame::Wish(from, wish.clone()));
            }
        }
    }

    /// Wakes a paused process: what waited in its socket comes first.
    pub fn wake(&mut self, host: u32) {
        let process = batch(host);
        let state = self.holders.get_mut(&process).unwrap();
        state.paused = false;
        for frame in std::mem::take(&mut state.waiting) {
            self.take(process, frame);
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
        if self.random.random_range(0..100) >= self.loss {
            self.flights.push((self.now + delay, to, frame));
        }
    }

    /// The most that a version with global knowledge and no lag would have let in at any time within `lag`.
    pub fn free_within(&self, lag: Duration) -> u16 {
        let from = self.now.checked_sub(lag).unwrap_or(self.now);
        let before = self.history.iter().rev().find(|(at, _)| *at <= from);
        let within = self.history.iter().filter(|(at, _)| *at >= from);
        let values = before.into_iter().chain(within);
        values.map(|(_, free)| *free).max().unwrap_or(self.slots)
    }
}
