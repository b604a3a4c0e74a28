//! Starts and stops the batch process.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use tinbank_admission::{Gate, Service as AdmissionService};
use tinbank_base::{
    clock,
    event::{Kind, Subject},
    frame::heartbeat::Phase,
    id,
    peer::Peers,
    platform::{hosts::Hosts, log::Log, upstream::Upstreams},
    record::Writer,
};
use tinbank_configuration::follower::{self, Follower};
use tinbank_log::{budget, group, writer};
use tinbank_membership::Membership;
use tinbank_peer::Endpoint;
use tinbank_platform::{hosts, log, upstream};
use tinbank_routing::Table;
use tinbank_server::{http::Listen, readiness::Flag, threads::Handles};
use tinbank_settings::common::Common;
use tinbank_timeline::{Recorder, recorder::DEFAULT_CAPACITY};
use tokio::{
    runtime::{Builder, Runtime},
    sync::watch,
    time,
};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::{
    control::{Control, LateDirectory, PeerClock},
    intake::Limits,
    owner::answer::Credits,
    runner::room::Room,
    service::{self, Edges, Service},
    settings::{Admission, Settings},
};

/// How many members in rank follow a shard: its owner and the one that would take over.
const FOLLOWERS: u32 = 2;
/// Jobs that are taken in at once.
const INTAKES: usize = 8;

/// The platform's services, as the process reaches them.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The log.
    pub log: Arc<dyn Log>,
    /// The host list.
    pub hosts: Arc<dyn Hosts>,
    /// Engines and plain services.
    pub upstreams: Arc<dyn Upstreams>,
}

impl Platform {
    /// The services over HTTP, at the addresses in the settings.
    pub fn new(common: &Common) -> Self {
        Self {
            log: Arc::new(log::Http::new(common.log)),
            hosts: Arc::new(hosts::Http::new(common.hosts)),
            upstreams: Arc::new(upstream::Http::new()),
        }
    }
}

/// Why the process does not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The callers' interface can't be served.
    #[error(transparent)]
    Service(#[from] service::Error),
    /// The peer endpoint can't listen.
    #[error(transparent)]
    Peer(#[from] tinbank_peer::Error),
    /// The system gives no threads, or a task ended early.
    #[error("the process can't run: {0}")]
    Run(String),
}

/// A running batch process.
pub struct Server {
    service: Service,
    http_address: SocketAddr,
    writer: Writer,
    endpoint: Endpoint,
    membership: Membership,
    recorder: Recorder,
    flag: Flag,
    stop_grace: Duration,
    stop_limit: Duration,
    control: DropGuard,
    runtimes: Runtimes,
}

/// Runtimes of a server that has threads of its own.
#[derive(Default)]
struct Runtimes(Vec<Runtime>);

impl Server {
    /// Starts the process on threads of its own, so that [`Server::kill`] can end it like a lost host.
    ///
    /// # Errors
    /// An address is taken, or the system gives no threads.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let platform = Platform::new(&settings.common);
        Self::start_with(settings, platform).await
    }

    /// Like [`Server::start`], with another platform.
    ///
    /// # Errors
    /// Those of [`Server::start`].
    pub async fn start_with(settings: Settings, platform: Platform) -> Result<Self, Error> {
        let traffic = runtime(settings.common.traffic_threads, "traffic")?;
        let control = runtime(1, "control")?;
        let handles = Handles {
            control: control.handle().clone(),
            traffic: traffic.handle().clone(),
        };
        let runtimes = Runtimes(vec![traffic, control]);
        let mut server = Self::start_on(settings, platform, handles).await?;
        server.runtimes = runtimes;
        Ok(server)
    }

    /// Starts the process on runtimes that the caller keeps.
    ///
    /// # Errors
    /// An address is taken.
    pub async fn start_on(
        settings: Settings,
        platform: Platform,
        handles: Handles,
    ) -> Result<Self, Error> {
        let control = handles.control.clone();
        let started = control.spawn(start(settings, platform, handles));
        started
            .await
            .map_err(|error| Error::Run(error.to_string()))?
    }

    /// Where callers and operators reach the process.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Where other processes reach it.
    pub fn peer_address(&self) -> SocketAddr {
        self.endpoint.address()
    }

    /// Which process and start it is.
    pub fn writer(&self) -> Writer {
        self.writer
    }

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.flag.is_ready()
    }

    /// Its time line.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Stops the process without cutting off a request: it becomes unready, tells its peers, goes on serving until the
    /// balancer has had time to notice, finishes the items in flight, gives back its leases, and finishes every stream.
    pub async fn stop(self) {
        self.flag.leave();
        self.membership.set_phase(Phase::Leaving);
        self.recorder.note(Subject::default(), Kind::Leaving);
        let released = time::timeout(self.stop_limit, self.service.release());
        let (released, ()) = tokio::join!(released, time::sleep(self.stop_grace));
        if released.is_err() {
            ::log::warn!(event = "stop_limit"; "items in flight did not end in time and are run again elsewhere");
        }
        self.service.close().await;
        self.membership.leave().await;
        self.recorder.note(Subject::default(), Kind::Drained);
        drop(self.control);
        self.endpoint.close();
        self.runtimes.end();
    }

    /// Ends the process at once, as when its host is lost: connections break and nobody is told.
    pub fn kill(self) {
        drop(self.control);
        self.endpoint.close();
        self.runtimes.end();
    }
}

impl Runtimes {
    /// Ends what runs on them without waiting.
    fn end(mut self) {
        for runtime in self.0.drain(..) {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Runtimes {
    /// A runtime must not be dropped where blocking is not allowed.
    fn drop(&mut self) {
        for runtime in self.0.drain(..) {
            runtime.shutdown_background();
        }
    }
}

fn runtime(threads: usize, name: &'static str) -> Result<Runtime, Error> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .map_err(|error| Error::Run(error.to_string()))
}

/// Runs on the control thread.
async fn start(settings: Settings, platform: Platform, handles: Handles) -> Result<Server, Error> {
    let common = &settings.common;
    let process = id::Process {
        host: common.host,
        role: id::Role::Batch,
    };
    let recorder = Recorder::new(process, DEFAULT_CAPACITY)
        .with_incarnation(clock::incarnation(SystemTime::now()));
    let me = Writer {
        process,
        incarnation: recorder.incarnation(),
    };
    recorder.note(Subject::default(), Kind::Started);
    let endpoint = Endpoint::bind(tinbank_peer::Settings {
        address: common.peer,
        writer: me,
        keys: common.peer_keys.clone(),
        clock: Arc::new(PeerClock(recorder.clone())),
    })
    .await?;
    let peers: Arc<dyn Peers> = Arc::new(endpoint.clone());
    let directory = Arc::new(LateDirectory::default());
    let follower = Follower::start(
        platform.log.clone(),
        recorder.clone(),
        None,
        follower::Settings::default(),
    );
    let admission = AdmissionService::start(
        tinbank_admission::Settings::default(),
        me,
        peers.clone(),
        directory.clone(),
    );
    let gate: Arc<dyn Gate> = match settings.admission {
        Admission::Credits => Arc::new(admission.clone()),
        Admission::Bounded => Arc::new(Room::new(settings.items_per_upstream)),
    };
    let table = Table::new(common.failure_domain.clone(), Instant::now());
    let flag = Flag::new();
    let (writers, writers_seen) = watch::channel(1);
    let credits: Arc<dyn Credits> = Arc::new(admission.clone());
    let service = Service::start(
        Edges {
            me,
            shards: settings.shards,
            terms: settings.terms(),
            followers: FOLLOWERS,
            intakes: INTAKES,
            items_at_once: settings.items_at_once,
            plain_at_once: settings.items_per_upstream,
            limits: Limits::default(),
            log: platform.log.clone(),
            upstreams: platform.upstreams.clone(),
            writer: writer_settings(&settings),
            writers: writers_seen,
            directory: directory.clone(),
            peers: peers.clone(),
            configuration: follower.shared(),
            follower: Some(follower.clone()),
            router: Arc::new(table.clone()),
            gate,
            credits: Some(credits),
            recorder: recorder.clone(),
            flag: flag.clone(),
            handles,
        },
        Listen::from(common),
    )?;
    let http_address = service.http.local_addr();
    let membership = Membership::start(
        &endpoint,
        tinbank_membership::Settings {
            http: http_address,
            failure_domain: common.failure_domain.clone(),
            seeds: common.seeds.to_vec(),
        },
    );
    directory.set(membership.clone());
    follower.connect(peers, directory).await;
    endpoint.serve(Arc::new(service.answerer.clone()));
    let stop = CancellationToken::new();
    let control = Control {
        hosts: platform.hosts,
        upstreams: platform.upstreams,
        table,
        follower,
        membership: membership.clone(),
        admission,
        recorder: recorder.clone(),
        flag: flag.clone(),
    };
    control.start(writers, &stop);
    Ok(Server {
        service,
        http_address,
        writer: me,
        endpoint,
        membership,
        recorder,
        flag,
        stop_grace: Duration::from_millis(settings.stop_grace_ms),
        stop_limit: Duration::from_millis(settings.stop_limit_ms),
        control: stop.drop_guard(),
        runtimes: Runtimes::default(),
    })
}

fn writer_settings(settings: &Settings) -> writer::Settings {
    writer::Settings {
        group: group::Settings {
            budget: budget::Settings {
                fleet_per_second: f64::from(settings.appends_per_second),
                ..budget::Settings::default()
            },
            ..group::Settings::default()
        },
        ..writer::Settings::default()
    }
}
