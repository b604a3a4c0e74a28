//! Nine hosts in three failure domains, and twelve engines behind proxies, each of which has many incarnations.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use rustix::process::Signal;
use serde_json::json;

use super::EVENTS;
use crate::{
    deployment::Host,
    proxy::{self, Proxy},
    standin::{
        engine::Engine,
        store::{self, Route, Store},
    },
};

const FAILURE_DOMAINS: [&str; 3] = ["north", "south", "west"];
const HOSTS: usize = 9;
/// Number of engines.
pub const ENGINES: usize = 12;
const SLOTS: usize = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(24);
/// Number of engines that may run one attempt on the resumable route.
const MAX_ATTEMPTS: u32 = 2;

/// What marks the end of an engine's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Framing {
    Chunks,
    Length,
    Unmarked,
}

/// How a crash ends the connections of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Crash {
    Closed,
    Reset,
}

/// An engine from its start to its end.
pub struct Incarnation {
    pub engine: Rc<Engine>,
    pub proxy: Rc<Proxy>,
    pub framing: Framing,
    pub has_crashed: Cell<bool>,
    place: usize,
    version: u32,
    address: SocketAddr,
}

impl Incarnation {
    pub fn version(&self) -> u32 {
        self.version
    }
}

pub struct Fleet {
    store: Rc<Store>,
    pub hosts: Vec<Host>,
    framings: Vec<Framing>,
    incarnations: RefCell<Vec<Rc<Incarnation>>>,
    /// Number of answers that each kind of crash cut.
    pub cuts: RefCell<BTreeMap<(Framing, Crash), usize>>,
    /// Raised when many callers lose their connections.
    pub disconnects: tokio::sync::watch::Sender<u64>,
    started: Cell<usize>,
    folder: PathBuf,
    /// Distinguishes engines from those of other fleets, which may get the address of one that has crashed.
    tag: String,
}

impl Fleet {
    pub async fn start(seed: u64, framings: Vec<Framing>) -> Self {
        let process = std::process::id();
        let folder =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("pressure-{seed}-{process}"));
        fs::create_dir_all(&folder).unwrap();
        let (store, store_address) = Store::start().await;
        store.configure(&manifest());
        let mut hosts = Vec::new();
        for index in 0..HOSTS {
            let failure_domain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()];
            let scheduling = crate::deployment::scheduling(seed);
            let host = Host::prepare(&folder, index, failure_domain, store_address, scheduling);
            hosts.push(host.await);
        }
        let fleet = Self {
            store,
            hosts,
            framings,
            incarnations: RefCell::default(),
            cuts: RefCell::default(),
            disconnects: tokio::sync::watch::Sender::default(),
            started: Cell::new(0),
            folder,
            tag: format!("{seed}-{process}"),
        };
        for place in 0..ENGINES {
            fleet.start_engine(place, 1).await;
        }
        fleet.hosts.iter().for_each(Host::start);
        for host in &fleet.hosts {
            host.wait_until_ready().await;
        }
        fleet
    }

    /// Starts an engine and lists it.
    pub async fn start_engine(&self, place: usize, version: u32) {
        let number = self.started.get();
        self.started.set(number + 1);
        let name = format!("e{place}i{number}-{}", self.tag);
        let (engine, address) = Engine::start(&name).await;
        let (proxy, address) = Proxy::start(address).await;
        let framing = self.framings[number % self.framings.len()];
        engine.event_count.set(EVENTS);
        engine.event_interval.set(EVENT_INTERVAL);
        engine.has_event_lengths.set(framing == Framing::Length);
        engine.has_unmarked_end.set(framing == Framing::Unmarked);
        engine.tears_events.set(number % 4 == 3);
        let incarnation = Incarnation {
            engine,
            proxy,
            framing,
            has_crashed: Cell::default(),
            place,
            version,
            address,
        };
        self.put(&incarnation);
        self.incarnations.borrow_mut().push(Rc::new(incarnation));
    }

    fn put(&self, incarnation: &Incarnation) {
        let name = &incarnation.engine.name;
        let zone = FAILURE_DOMAINS[incarnation.place % FAILURE_DOMAINS.len()];
        let entry = json!({"service": "notes", "address": incarnation.address.to_string(), "zone": zone,
            "version": format!("v{}", incarnation.version), "slots": SLOTS, "state": "ready", "cold_remaining_ms": 0, "sequence": 1});
        self.store.put_foreign_entry(name, &entry.to_string());
    }

    pub fn remove(&self, incarnation: &Incarnation) {
        self.store.remove_engine(&incarnation.engine.name);
    }

    /// Returns the newest incarnation at a place.
    pub fn current(&self, place: usize) -> Rc<Incarnation> {
        let incarnations = self.incarnations.borrow();
        let newest = incarnations.iter().rev().find(|it| it.place == place);
        Rc::clone(newest.unwrap())
    }

    pub fn incarnation(&self, name: &str) -> Option<Rc<Incarnation>> {
        let incarnations = self.incarnations.borrow();
        incarnations
            .iter()
            .find(|it| it.engine.name == name)
            .cloned()
    }

    /// Returns the incarnation that ran an attempt last.
    pub fn incarnation_that_ran(&self, attempt: &str) -> Option<Rc<Incarnation>> {
        let incarnations = self.incarnations.borrow();
        let has_run = |it: &&Rc<Incarnation>| !it.engine.runs_of(attempt).is_empty();
        incarnations.iter().rev().find(has_run).cloned()
    }

    /// Ends all connections of an engine for good.
    pub fn crash(&self, incarnation: &Incarnation, crash: Crash) {
        if incarnation.has_crashed.replace(true) {
            return;
        }
        let mut cuts = self.cuts.borrow_mut();
        *cuts.entry((incarnation.framing, crash)).or_default() += incarnation.engine.running();
        incarnation.proxy.set(match crash {
            Crash::Closed => proxy::Mode::Close,
            Crash::Reset => proxy::Mode::Refuse,
        });
    }

    /// Returns how many answers were cut by crashes that close connections in an orderly way.
    pub fn closed(&self) -> usize {
        let cuts = self.cuts.borrow();
        let closed = cuts
            .iter()
            .filter(|((_, crash), _)| *crash == Crash::Closed);
        closed.map(|(_, count)| count).sum()
    }

    /// Returns the number of versions that ran.
    pub fn versions(&self) -> u32 {
        let incarnations = self.incarnations.borrow();
        incarnations.iter().map(|it| it.version).max().unwrap_or(0)
    }

    /// Ends the faults of hosts, so that callers can finish.
    pub fn heal(&self) {
        for host in &self.hosts {
            host.store_proxy.set(proxy::Mode::Pass);
            host.signal(Signal::CONT);
            host.start();
        }
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    pub fn remove_files(&self) {
        // Files that remain do no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn manifest() -> serde_json::Value {
    let route = Route::unlimited;
    let routes = [
        route("plain", "streaming", 1, false),
        route("resumable", "streaming", MAX_ATTEMPTS, true),
    ];
    store::manifest(1, &routes)
}
