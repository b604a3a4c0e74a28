//! A small deployment in one process: real HTTP on loopback and the real control loop, over an in-memory log, fake
//! upstreams and a fake network between the hosts.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod engines;
pub mod gate;
pub mod net;
pub mod session;
pub mod stalling_log;

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, SystemTime},
};

use arc_swap::ArcSwap;
use tinbank_base::{
    clock, digest,
    frame::heartbeat::{Health, Phase},
    id,
    peer::Member,
    platform::{hosts::Kind, log::Stream},
    record::{Envelope, Writer, work},
};
use tinbank_batch::{
    intake::Limits,
    service::{Environment, Service},
};
use tinbank_configuration::{
    limit::Limits as CustomerLimits,
    service::Service as Served,
    snapshot::{Customer, Shared, Snapshot},
};
use tinbank_ledger::lease::Timings;
use tinbank_log::{budget, group, writer};
use tinbank_server::{http::Listen, readiness::Flag, threads::Handles};
use tinbank_test_support::log::Memory;
use tinbank_timeline::Recorder;
use tokio::{runtime::Runtime, sync::watch};

use engines::{Engines, FirstUntried};
use net::{Net, NetDirectory};
use session::Session;

pub const SHARDS: id::Shard = 4;
pub const SERVICE: &str = "notes";
/// The host whose reads of the log can be stalled.
pub const LAGGING_HOST: id::Host = 2;
/// Limit of pending items of the customer with the key "key-limited".
pub const PENDING_ITEMS: u32 = 100;
pub const ORDERS: &str = "orders";
/// Timeout of the hosts' appends.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by all hosts.
pub struct World {
    pub log: Memory,
    pub engines: Engines,
    pub net: Net,
    pub configuration: Shared,
    /// Admits items to engines.
    pub gate: gate::WithdrawableGate,
    /// Stalls reads of [`LAGGING_HOST`] while true.
    pub frozen: watch::Sender<bool>,
    /// Log retention configured at the hosts.
    pub retention: Duration,
    /// Append budget per second configured at each host.
    pub appends_per_second: f64,
}

/// One host's batch process.
pub struct Host {
    pub writer: Writer,
    pub address: SocketAddr,
    recorder: Recorder,
    service: Option<Service>,
    runtime: Option<Runtime>,
    net: Net,
}

impl World {
    pub fn new() -> Self {
        Self {
            log: Memory::new(),
            engines: Engines::new(3),
            net: Net::default(),
            configuration: Arc::new(ArcSwap::from_pointee(configuration())),
            gate: gate::WithdrawableGate::default(),
            frozen: watch::channel(false).0,
            retention: Duration::from_secs(3_600),
            appends_per_second: budget::Settings::default().fleet_per_second,
        }
    }

    /// Starts a host and adds it to the membership.
    pub fn start(&self, host: id::Host) -> Host {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let writer = Writer {
            process: id::Process {
                host,
                role: id::Role::Batch,
            },
            incarnation: clock::incarnation(SystemTime::now()),
        };
        let handles = Handles {
            control: runtime.handle().clone(),
            traffic: runtime.handle().clone(),
        };
        let environment = self.environment(writer, handles);
        let recorder = environment.recorder.clone();
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let service = Service::start(environment, Listen::plain(loopback)).unwrap();
        let address = service.http.local_addr();
        self.net
            .join(member(writer, address), service.answerer.clone());
        Host {
            writer,
            address,
            recorder,
            service: Some(service),
            runtime: Some(runtime),
            net: self.net.clone(),
        }
    }

    /// Returns all records of all work shards, counting each envelope once.
    pub fn records(&self) -> Vec<work::Record> {
        let shards = (0..SHARDS).map(Stream::Work);
        let envelopes: Vec<Envelope<work::Record>> = shards
            .flat_map(|stream| self.log.envelopes(stream))
            .collect();
        envelopes
            .into_iter()
            .flat_map(|envelope| envelope.records)
            .collect()
    }

    fn environment(&self, me: Writer, handles: Handles) -> Environment {
        let flag = Flag::new();
        flag.ready();
        Environment {
            me,
            shards: SHARDS,
            terms: terms(),
            followers: 2,
            retention: self.retention,
            max_concurrent_intakes: 4,
            items_at_once: 64,
            max_plain_calls: 8,
            limits: Limits::default(),
            log: Arc::new(stalling_log::StallingLog {
                log: self.log.clone(),
                frozen: match me.process.host {
                    LAGGING_HOST => self.frozen.subscribe(),
                    _ => watch::channel(false).1,
                },
            }),
            upstreams: Arc::new(self.engines.clone()),
            writer: writer::Settings {
                append_timeout: APPEND_TIMEOUT,
                // Leaves time for a retry within the timeout after the longest backoff, like the defaults.
                group: group::Settings {
                    backoff_longest: APPEND_TIMEOUT / 5,
                    budget: budget::Settings {
                        fleet_per_second: self.appends_per_second,
                        ..budget::Settings::default()
                    },
                    ..group::Settings::default()
                },
                ..writer::Settings::default()
            },
            writers: watch::channel(1).1,
            directory: Arc::new(NetDirectory(self.net.clone())),
            peers: Arc::new(self.net.clone()),
            configuration: self.configuration.clone(),
            follower: None,
            router: Arc::new(FirstUntried(self.engines.clone())),
            gate: Arc::new(self.gate.clone()),
            credits: None,
            recorder: Recorder::new(me.process, 1_024).with_incarnation(me.incarnation),
            flag,
            handles,
        }
    }
}

impl Host {
    /// Creates a client with the key of a customer.
    pub fn session(&self, key: &'static str) -> Session {
        Session::new(self.address, key)
    }

    /// Returns the names of the timeline events of an item.
    pub fn item_events(&self, item: id::Item) -> Vec<String> {
        let query = tinbank_timeline::Query {
            item: Some(item),
            ..Default::default()
        };
        let events = self.recorder.page(&query).events.into_iter();
        let events = events.filter(|event| event.subject.item.is_some());
        events
            .map(|event| {
                let event = serde_json::to_value(&event).unwrap();
                let name = event["event"].as_str().unwrap();
                let sent = event["request"].is_string() && event["upstream"].is_number();
                assert!(sent || name == "completed", "{event}");
                name.to_owned()
            })
            .collect()
    }

    /// Stops the host like a lost machine: leases are not released and peers are not notified.
    pub fn kill(&mut self) {
        self.net.mark_dead(self.writer);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops the host gracefully.
    pub async fn stop(&mut self) {
        self.net.leave(self.writer);
        if let Some(service) = self.service.take() {
            service.release().await;
            service.close().await;
        }
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn member(writer: Writer, http: SocketAddr) -> Member {
    Member {
        writer,
        health: Health::Alive,
        phase: Phase::Ready,
        // The fake network identifies hosts by their HTTP address.
        peer: http,
        http,
        failure_domain: "local".to_owned(),
        config: 0,
    }
}

/// Short lease timing, to keep takeovers fast; no test depends on the exact values.
fn terms() -> Timings {
    Timings {
        silence: Duration::from_millis(600),
        stagger: Duration::from_millis(200),
        gap: Duration::from_millis(1_500),
        renew: Duration::from_millis(200),
        retry: Duration::from_millis(300),
        idle: Duration::from_millis(500),
        hand_over: Duration::from_millis(500),
        stale: Duration::from_millis(1_500),
    }
}

fn configuration() -> Snapshot {
    let customers = [
        customer("moreton", "key-moreton"),
        customer("oberland", "key-oberland"),
        limited("limited", "key-limited"),
    ];
    let mut snapshot = Snapshot::default();
    for (key, customer) in customers {
        snapshot
            .customers
            .insert(customer.name.clone(), customer.clone());
        snapshot.keys.insert(digest::of(key.as_bytes()), customer);
    }
    snapshot
}

fn customer(name: &str, key: &'static str) -> (&'static str, Arc<Customer>) {
    let services = BTreeMap::from([
        (SERVICE.to_owned(), Arc::new(served(Kind::Engine, true))),
        (ORDERS.to_owned(), Arc::new(served(Kind::Plain, false))),
    ]);
    let customer = Customer {
        name: name.to_owned(),
        revision: 1,
        services: services.into(),
        streams: Default::default(),
        limits: CustomerLimits::default(),
        share: 1,
        keep_results: Duration::from_secs(3_600),
    };
    (key, Arc::new(customer))
}

/// Creates a customer with a limit of [`PENDING_ITEMS`].
fn limited(name: &str, key: &'static str) -> (&'static str, Arc<Customer>) {
    let (key, customer) = customer(name, key);
    let limits = CustomerLimits {
        pending_items: Some(PENDING_ITEMS),
        ..customer.limits
    };
    let customer = Customer {
        limits,
        ..(*customer).clone()
    };
    (key, Arc::new(customer))
}

fn served(kind: Kind, repeatable: bool) -> Served {
    Served {
        kind,
        pool: "pool".to_owned(),
        artifact: None,
        max_tokens: 64,
        timeout: Duration::from_secs(20),
        repeatable,
        attempts: 3,
        limits: Default::default(),
    }
}

/// Returns a body with the items `first..first + count`.
pub fn lines(first: usize, count: usize) -> String {
    (first..first + count)
        .map(|item| line(&format!("item-{item}"), &format!("note {item}")))
        .collect()
}

/// Returns one line of a body.
pub fn line(custom_id: &str, content: &str) -> String {
    let line = serde_json::json!({
        "custom_id": custom_id,
        "body": {"messages": [{"role": "user", "content": content}]},
    });
    format!("{line}\n")
}

/// Waits until a condition holds; panics after a timeout.
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    for _ in 0..1_500 {
        if holds().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("condition not reached: {what}");
}
