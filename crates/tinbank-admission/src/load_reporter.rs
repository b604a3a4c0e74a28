//! Admission control in an online process: tells controllers how many online requests are in each engine.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use smallvec::smallvec;
use tinbank_base::{
    frame::credit::{Load, Message},
    id,
    peer::{Directory, Members, Peers},
};
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use crate::rank;

/// Falls are told together at this pace; a rise is told at once.
const FLUSH: Duration = Duration::from_secs(1);
/// A rise is told once more to the first controller after this time, in case the first frame was lost.
const SECOND_WORD: Duration = Duration::from_millis(100);
/// A load is told again after this time, well before the controller forgets it.
const REPEAT: Duration = Duration::from_secs(8);

/// Tells loads from a task on the runtime that started it.
#[derive(Clone, Debug)]
pub struct LoadReporter {
    loads: mpsc::UnboundedSender<Load>,
}

impl LoadReporter {
    /// Starts to tell on the current runtime.
    pub fn start(peers: Arc<dyn Peers>, directory: Arc<dyn Directory>) -> Self {
        let (loads, receiver) = mpsc::unbounded_channel();
        let task = Task {
            peers,
            directory,
            members: Arc::default(),
            engines: BTreeMap::new(),
        };
        tokio::spawn(task.run(receiver));
        Self { loads }
    }

    /// Says how many online requests this process has in an engine, whenever that changes. Never blocks.
    pub fn online(&self, upstream: id::Upstream, in_flight: u16) {
        let load = Load {
            upstream,
            online: in_flight,
        };
        // The task ends only with the last teller.
        let _ = self.loads.send(load);
    }
}

/// What is in one engine, and who was told.
#[derive(Debug, Default)]
struct Engine {
    online: u16,
    first: Option<Told>,
    second: Option<Told>,
    /// When the last rise is told once more.
    again: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    to: SocketAddr,
    online: u16,
    at: Instant,
}

struct Task {
    peers: Arc<dyn Peers>,
    directory: Arc<dyn Directory>,
    members: Arc<Members>,
    engines: BTreeMap<id::Upstream, Engine>,
}

impl Task {
    async fn run(mut self, mut loads: mpsc::UnboundedReceiver<Load>) {
        let mut flush = interval(FLUSH);
        flush.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut second_words = interval(SECOND_WORD);
        second_words.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                load = loads.recv() => match load {
                    Some(load) => self.load(load),
                    None => return,
                },
                _ = flush.tick() => self.flush(),
                _ = second_words.tick() => self.say_again(),
            }
        }
    }

    fn load(&mut self, load: Load) {
        let engine = self.engines.entry(load.upstream).or_default();
        let rises = load.online > engine.online;
        engine.online = load.online;
        if rises {
            let now = Instant::now();
            engine.again = Some(now + SECOND_WORD);
            self.members = self.directory.members();
            self.tell(load.upstream, now);
        }
    }

    fn say_again(&mut self) {
        let now = Instant::now();
        for (&upstream, engine) in &mut self.engines {
            if engine.again.is_none_or(|at| at > now) {
                continue;
            }
            engine.again = None;
            if let Some(first) = engine.first {
                let load = Load {
                    upstream,
                    online: engine.online,
                };
                engine.first = Some(Told::new(first.to, load.online, now));
                self.peers
                    .send_credit(first.to, Message::Load(smallvec![load]));
            }
        }
    }

    fn flush(&mut self) {
        let now = Instant::now();
        self.members = self.directory.members();
        let upstreams: Vec<_> = self.engines.keys().copied().collect();
        for upstream in upstreams {
            self.tell(upstream, now);
        }
        self.engines.retain(|_, engine| {
            let told = [engine.first, engine.second];
            engine.online > 0 || told.iter().flatten().any(|told| told.online > 0)
        });
    }

    /// Tells both controllers what they don't know yet. The second one hears of rises at once and of falls later: it
    /// may only withdraw, so a number that is too large does no harm.
    fn tell(&mut self, upstream: id::Upstream, now: Instant) {
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return;
        };
        let [first, second] = rank::controllers(&self.members, upstream);
        let load = Load {
            upstream,
            online: engine.online,
        };
        if let Some(first) = first
            && engine
                .first
                .is_none_or(|told| told.is_stale(first.peer, load.online, now))
        {
            engine.first = Some(Told::new(first.peer, load.online, now));
            self.peers
                .send_credit(first.peer, Message::Load(smallvec![load]));
        }
        if let Some(second) = second
            && engine
                .second
                .is_none_or(|told| told.is_too_low(second.peer, load.online, now))
        {
            engine.second = Some(Told::new(second.peer, load.online, now));
            self.peers
                .send_credit(second.peer, Message::Load(smallvec![load]));
        }
    }
}

impl Told {
    fn new(to: SocketAddr, online: u16, at: Instant) -> Self {
        Self { to, online, at }
    }

    fn is_old(&self, to: SocketAddr, now: Instant) -> bool {
        self.to != to || now >= self.at + REPEAT
    }

    fn is_stale(&self, to: SocketAddr, online: u16, now: Instant) -> bool {
        self.online != online || self.is_old(to, now)
    }

    fn is_too_low(&self, to: SocketAddr, online: u16, now: Instant) -> bool {
        self.online < online || self.is_old(to, now)
    }
}
