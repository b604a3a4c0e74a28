//! Admission control in an online process: reports the number of its requests in each engine to the engine's
//! controllers.

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

/// Interval at which lower loads are reported. A higher load is reported at once.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a rise is reported again to the first controller, in case the frame was lost.
const RISE_REPEAT_DELAY: Duration = Duration::from_millis(100);
/// Time after which an unchanged load is reported again, well before it expires at the controller.
const REPEAT_INTERVAL: Duration = Duration::from_secs(8);

/// Reports loads from a task on the runtime that started it.
#[derive(Clone, Debug)]
pub struct LoadReporter {
    loads: mpsc::UnboundedSender<Load>,
}

impl LoadReporter {
    /// Starts the task on the current runtime.
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

    /// Sets the number of online requests that this process has in an engine. Call it on each change; it never blocks.
    pub fn online(&self, upstream: id::Upstream, in_flight: u16) {
        let load = Load {
            upstream,
            online: in_flight,
        };
        // The task ends only after the last reporter is dropped.
        let _ = self.loads.send(load);
    }
}

/// Load of one engine, and what its controllers were sent.
#[derive(Debug, Default)]
struct Engine {
    online: u16,
    first: Option<SentLoad>,
    second: Option<SentLoad>,
    /// When the last rise is reported again.
    repeat_rise_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct SentLoad {
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
        let mut flush = interval(FLUSH_INTERVAL);
        flush.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut rise_repeats = interval(RISE_REPEAT_DELAY);
        rise_repeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                load = loads.recv() => match load {
                    Some(load) => self.on_load(load),
                    None => return,
                },
                _ = flush.tick() => self.flush(),
                _ = rise_repeats.tick() => self.repeat_rises(),
            }
        }
    }

    fn on_load(&mut self, load: Load) {
        let engine = self.engines.entry(load.upstream).or_default();
        let rises = load.online > engine.online;
        engine.online = load.online;
        if rises {
            let now = Instant::now();
            engine.repeat_rise_at = Some(now + RISE_REPEAT_DELAY);
            self.members = self.directory.members();
            self.send(load.upstream, now);
        }
    }

    fn repeat_rises(&mut self) {
        let now = Instant::now();
        for (&upstream, engine) in &mut self.engines {
            if engine.repeat_rise_at.is_none_or(|at| at > now) {
                continue;
            }
            engine.repeat_rise_at = None;
            if let Some(first) = engine.first {
                let load = Load {
                    upstream,
                    online: engine.online,
                };
                engine.first = Some(SentLoad::new(first.to, load.online, now));
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
            self.send(upstream, now);
        }
        self.engines.retain(|_, engine| {
            let sent = [engine.first, engine.second];
            engine.online > 0 || sent.iter().flatten().any(|sent| sent.online > 0)
        });
    }

    /// Sends the load to both controllers as needed. Lower loads reach the second one only with repetitions: it may
    /// only withdraw after rises, so a load that is too high does no harm.
    fn send(&mut self, upstream: id::Upstream, now: Instant) {
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
                .is_none_or(|sent| sent.needs_update(first.peer, load.online, now))
        {
            engine.first = Some(SentLoad::new(first.peer, load.online, now));
            self.peers
                .send_credit(first.peer, Message::Load(smallvec![load]));
        }
        if let Some(second) = second
            && engine
                .second
                .is_none_or(|sent| sent.needs_raise(second.peer, load.online, now))
        {
            engine.second = Some(SentLoad::new(second.peer, load.online, now));
            self.peers
                .send_credit(second.peer, Message::Load(smallvec![load]));
        }
    }
}

impl SentLoad {
    fn new(to: SocketAddr, online: u16, at: Instant) -> Self {
        Self { to, online, at }
    }

    fn needs_repeat(&self, to: SocketAddr, now: Instant) -> bool {
        self.to != to || now >= self.at + REPEAT_INTERVAL
    }

    fn needs_update(&self, to: SocketAddr, online: u16, now: Instant) -> bool {
        self.online != online || self.needs_repeat(to, now)
    }

    fn needs_raise(&self, to: SocketAddr, online: u16, now: Instant) -> bool {
        self.online < online || self.needs_repeat(to, now)
    }
}
