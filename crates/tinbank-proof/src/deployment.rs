//! A deployment in one process: stand-ins of the platform, entry hosts, and the published configuration.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use tinbank_base::{
    frame::datagram,
    id,
    platform::hosts::{Member, Upstream},
};
use tinbank_demo::{entry::Addresses, example::Example, publish};
use tinbank_process::{Platform, Runtimes};
use tinbank_settings::common::Common;
use tinbank_standin::{
    Standin, account::End, engine, hosts, log, plain, service::Service, weights,
};
use tokio::task::JoinHandle;

use crate::{
    host::{Process, member},
    session::Session,
    wait::eventually,
};

/// Last byte of the address before the first host's.
const FIRST_BYTE: u8 = 100;
/// Number of the first plain service.
const FIRST_PLAIN: u32 = 10_001;
/// Where everything stands, where it doesn't matter.
const DOMAIN: &str = "garmisch";
/// How long a process that stops goes on taking requests, so that the balancer can notice.
const STOP_GRACE_MS: u64 = 1_000;
/// Worker threads that carry a process's traffic.
const TRAFFIC_THREADS: usize = 2;

/// What a deployment has.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Entry hosts.
    pub hosts: u32,
    /// Engines.
    pub engines: u32,
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Time of an engine's step: each makes one token of every request.
    pub step: Duration,
    /// Plain services.
    pub plain: u32,
    /// Time of a plain service's call.
    pub call: Duration,
    /// Silence after which a shard's lease may be taken.
    pub silence: Duration,
    /// Work shards.
    pub shards: u16,
    /// How late the host list is.
    pub lag: Duration,
    /// Seed of what is drawn by probability.
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            hosts: 3,
            engines: 3,
            slots: 16,
            step: Duration::from_millis(2),
            plain: 2,
            call: Duration::from_millis(5),
            silence: Duration::from_millis(1_500),
            shards: 4,
            lag: Duration::from_secs(2),
            seed: 7,
        }
    }
}

/// A running deployment.
pub struct Deployment {
    /// The platform.
    pub standin: Standin,
    /// The online processes, by host; `None` where it was ended.
    pub online: Vec<Option<Process<tinbank_online::Server>>>,
    /// The batch processes, by host; `None` where it was ended.
    pub batch: Vec<Option<Process<tinbank_batch::Server>>>,
    shape: Shape,
    example: Example,
    addresses: Addresses,
    keys: datagram::Keys,
    customer_revision: id::Revision,
    started: u8,
}

impl Deployment {
    /// Starts everything and waits until all are ready.
    pub async fn start(shape: Shape) -> Self {
        let example = Example::load("oberland").expect("the example is whole");
        let standin = Standin::start(settings(&shape, &example)).await;
        let standin = standin.expect("loopback has ports");
        let addresses = Addresses::of(&standin).expect("the platform is whole");
        let published = publish::publish(addresses.log, &example).await;
        let customer_revision = published.expect("the example is accepted");
        let mut deployment = Self {
            standin,
            online: Vec::new(),
            batch: Vec::new(),
            example,
            addresses,
            keys: keys(),
            customer_revision,
            started: 0,
            shape,
        };
        for _ in 0..deployment.shape.hosts {
            deployment.add_host().await;
        }
        deployment.ready().await;
        deployment
    }

    /// Starts one more host, and puts it on the host list at once.
    pub async fn add_host(&mut self) {
        let number = self.started + 1;
        let online = self.start_online(number).await;
        self.online.push(Some(online));
        let batch = self.start_batch(number).await;
        self.batch.push(Some(batch));
        self.started = number;
        self.list();
    }

    async fn start_online(&self, number: u8) -> Process<tinbank_online::Server> {
        let (runtimes, handles) = Runtimes::start(TRAFFIC_THREADS).expect("there are threads");
        let common = self.common(number);
        let platform = tinbank_online::Platform::new(&common);
        let settings = tinbank_online::Settings {
            common,
            shards: self.shape.shards,
            stop_grace_ms: STOP_GRACE_MS,
            ..tinbank_online::Settings::default()
        };
        let server = tinbank_online::Server::start_on(settings, platform, handles.clone()).await;
        Process::new(server.expect("loopback has ports"), runtimes, handles)
    }

    async fn start_batch(&self, number: u8) -> Process<tinbank_batch::Server> {
        let (runtimes, handles) = Runtimes::start(TRAFFIC_THREADS).expect("there are threads");
        let common = self.common(number);
        let platform = Platform::new(&common);
        let settings = tinbank_batch::Settings {
            common,
            shards: self.shape.shards,
            stop_grace_ms: STOP_GRACE_MS,
            lease_silence_ms: self.shape.silence.as_millis() as u64,
            ..tinbank_batch::Settings::default()
        };
        let server = tinbank_batch::Server::start_on(settings, platform, handles.clone()).await;
        Process::new(server.expect("loopback has ports"), runtimes, handles)
    }

    fn common(&self, number: u8) -> Common {
        let any = SocketAddr::from((Ipv4Addr::new(127, 0, 0, FIRST_BYTE + number), 0));
        let seeds = self.members().into_iter().map(|member| member.peer);
        Common {
            host: id::Host::from(number),
            failure_domain: DOMAIN.to_owned(),
            http: any,
            peer: any,
            log: self.addresses.log,
            hosts: self.addresses.hosts,
            weights: self.addresses.weights,
            peer_keys: self.keys.clone(),
            seeds: seeds.collect(),
            ..Common::default()
        }
    }

    fn members(&self) -> Vec<Member> {
        let online = self.online.iter().flatten().map(|process| {
            let server = &process.server;
            let (peer, http) = (server.peer_address(), server.http_address());
            member(server.writer(), peer, http, DOMAIN)
        });
        let batch = self.batch.iter().flatten().map(|process| {
            let server = &process.server;
            let (peer, http) = (server.peer_address(), server.http_address());
            member(server.writer(), peer, http, DOMAIN)
        });
        online.chain(batch).collect()
    }

    fn list(&self) {
        let members = self.members();
        if let Some(list) = self.standin.list() {
            list.change_at_once(|list| list.members = members);
        }
    }

    /// Waits until all processes are ready.
    pub async fn ready(&self) {
        eventually("all processes are ready", || async {
            let mut online = self.online.iter().flatten();
            let mut batch = self.batch.iter().flatten();
            online.all(|process| process.server.is_ready())
                && batch.all(|process| process.server.is_ready())
        })
        .await;
    }

    /// Puts an upstream on the host list, at once.
    pub fn enlist(&self, upstream: Upstream) {
        if let Some(list) = self.standin.list() {
            list.change_at_once(|list| list.upstreams.push(upstream));
        }
    }

    /// A caller at a host's online process.
    pub fn at_online(&self, host: usize) -> Session {
        self.at_online_as(host, &self.example.deployment.key)
    }

    /// A caller with another key at a host's online process.
    pub fn at_online_as(&self, host: usize, key: &str) -> Session {
        Session::new(self.online(host).server.http_address(), key)
    }

    /// A caller at a host's batch process.
    pub fn at_batch(&self, host: usize) -> Session {
        let server = &self.batch(host).server;
        Session::new(server.http_address(), &self.example.deployment.key)
    }

    /// A running batch process.
    pub fn batch(&self, host: usize) -> &Process<tinbank_batch::Server> {
        self.batch[host].as_ref().expect("the process runs")
    }

    /// A running online process.
    pub fn online(&self, host: usize) -> &Process<tinbank_online::Server> {
        self.online[host].as_ref().expect("the process runs")
    }

    /// Ends a host's batch process as when the host is lost.
    pub fn kill_batch(&mut self, host: usize) {
        let (server, runtimes) = self.batch[host].take().expect("it runs").into_parts();
        server.kill();
        runtimes.end();
    }

    /// Ends a host's online process as when the host is lost.
    pub fn kill_online(&mut self, host: usize) {
        let (server, runtimes) = self.online[host].take().expect("it runs").into_parts();
        server.kill();
        runtimes.end();
    }

    /// Stops a host's batch process as planned; the task ends when it has stopped.
    pub fn stop_batch(&mut self, host: usize) -> JoinHandle<()> {
        let (server, runtimes) = self.batch[host].take().expect("it runs").into_parts();
        tokio::spawn(async move {
            server.stop().await;
            runtimes.end();
        })
    }

    /// Stops a host's online process as planned; the task ends when it has stopped.
    pub fn stop_online(&mut self, host: usize) -> JoinHandle<()> {
        let (server, runtimes) = self.online[host].take().expect("it runs").into_parts();
        tokio::spawn(async move {
            server.stop().await;
            runtimes.end();
        })
    }

    /// The log.
    pub fn log(&self) -> &Service {
        self.standin.log().expect("there is a log")
    }

    /// Where the log is.
    pub fn log_address(&self) -> SocketAddr {
        self.addresses.log
    }

    /// The example whose configuration was published.
    pub fn example(&self) -> &Example {
        &self.example
    }

    /// Revision of the customer as it was published at the start.
    pub fn customer_revision(&self) -> id::Revision {
        self.customer_revision
    }

    /// Runs in all engines, by the items' names: how many of each came to an end.
    pub fn engine_runs(&self) -> BTreeMap<String, usize> {
        runs(self.standin.engines(), |end| end == End::Completed)
    }

    /// Calls that took effect in all plain services, by the items' names.
    pub fn plain_runs(&self) -> BTreeMap<String, usize> {
        runs(self.standin.plain(), |_| true)
    }

    /// How many requests are running in the engines.
    pub fn running(&self) -> usize {
        let runs = self.standin.engines().iter();
        runs.flat_map(|engine| engine.account.runs())
            .filter(|run| run.end == End::Running)
            .count()
    }

    /// How many requests were ever started in the engines.
    pub fn started(&self) -> usize {
        let engines = self.standin.engines().iter();
        engines.map(|engine| engine.account.runs().len()).sum()
    }

    /// Makes all engines stand still, or lets them go on.
    pub fn pause_engines(&self, paused: bool) {
        for engine in self.standin.engines() {
            engine.faults.change(|fault| fault.paused = paused);
        }
    }
}

/// Keys of a deployment's own: many run on one machine at once, and a port that one gave back may be the next one's,
/// whose processes must not take each other for members.
fn keys() -> datagram::Keys {
    static DEPLOYMENTS: AtomicU32 = AtomicU32::new(0);
    let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
    let mut secret = [0; 32];
    secret[..4].copy_from_slice(&number.to_be_bytes());
    secret[4..8].copy_from_slice(&std::process::id().to_be_bytes());
    datagram::Keys::from_iter([datagram::Key { number: 1, secret }])
}

fn runs(services: &[Service], counts: impl Fn(End) -> bool) -> BTreeMap<String, usize> {
    let mut found = BTreeMap::new();
    let runs = services.iter().flat_map(|service| service.account.runs());
    for run in runs.filter(|run| counts(run.end)) {
        *found.entry(run.reference.unwrap_or_default()).or_default() += 1;
    }
    found
}

fn settings(shape: &Shape, example: &Example) -> tinbank_standin::Settings {
    let engine = |index| engine::Settings {
        upstream: index + 1,
        pools: [example.deployment.engines.pool.clone()]
            .into_iter()
            .collect(),
        failure_domain: DOMAIN.to_owned(),
        slots: shape.slots,
        base_step: shape.step,
        step_per_sequence: Duration::ZERO,
        report_lag: Duration::from_millis(100),
        loaded: example.artifact.iter().cloned().collect(),
        seed: shape.seed + u64::from(index),
        ..engine::Settings::default()
    };
    let plain = |index| plain::Settings {
        upstream: FIRST_PLAIN + index,
        pools: [example.deployment.plain.pool.clone()]
            .into_iter()
            .collect(),
        failure_domain: DOMAIN.to_owned(),
        call: shape.call,
        seed: shape.seed + u64::from(index),
        ..plain::Settings::default()
    };
    tinbank_standin::Settings {
        log: Some(log::Settings {
            seed: shape.seed,
            ..log::Settings::default()
        }),
        hosts: Some(hosts::Settings {
            lag: shape.lag,
            ..hosts::Settings::default()
        }),
        weights: Some(weights::Settings::default()),
        engines: (0..shape.engines).map(engine).collect(),
        plain: (0..shape.plain).map(plain).collect(),
        ..tinbank_standin::Settings::default()
    }
}
