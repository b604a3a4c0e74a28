//! Starts and stops the online process.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use tinbank_admission::Teller;
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
use tinbank_membership::Membership;
use tinbank_peer::Endpoint;
use tinbank_platform::{hosts, log, upstream};
use tinbank_process::drain;
use tinbank_routing::{Table, retry::Budget};
use tinbank_server::{http, metrics, readiness::Flag, threads::Handles};
use tinbank_settings::common::Common;
use tinbank_timeline::{Recorder, recorder::DEFAULT_CAPACITY};
use tokio::runtime::{Builder, Runtime};
use tokio_util::{
    sync::{CancellationToken, DropGuard},
    task::TaskTracker,
};

use crate::{
    api,
    context::Context,
    control::{Answerer, Control, LateDirectory, PeerClock},
    gate::Gate,
    settings::Settings,
};

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
    /// The HTTP server can't listen.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// The peer endpoint can't listen.
    #[error(transparent)]
    Peer(#[from] tinbank_peer::Error),
    /// The interface has two endpoints with one path; a fault of ours.
    #[error("the interface can't be built: {0}")]
    Interface(String),
    /// The system gives no threads, or a task ended early.
    #[error("the process can't run: {0}")]
    Run(String),
}

/// A running online process.
pub struct Server {
    http: http::Server<api::Shared>,
    http_address: SocketAddr,
    endpoint: Endpoint,
    membership: Membership,
    follower: Follower,
    ctx: Arc<Context>,
    stop_grace: Duration,
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
        self.ctx.writer
    }

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.ctx.ready.is_ready()
    }

    /// Waits until operators want this host drained; whoever runs the process then stops it.
    pub async fn drained(&self) {
        drain::wanted(&self.follower, self.ctx.writer.process.host).await;
    }

    /// Its frames to and from other processes.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Its time line.
    pub fn recorder(&self) -> &Recorder {
        &self.ctx.recorder
    }

    /// Its view of the upstreams.
    pub fn table(&self) -> &Table {
        &self.ctx.table
    }

    /// Stops the process without cutting off a request: it becomes unready, tells its peers, goes on serving until the
    /// balancer has had time to notice, and finishes every stream.
    pub async fn stop(self) {
        self.ctx.ready.leave();
        self.membership.set_phase(Phase::Leaving);
        self.note(Kind::Leaving);
        tokio::time::sleep(self.stop_grace).await;
        let ctx = self.ctx.clone();
        if let Err(reason) = self.http.close().await {
            ::log::warn!(event = "http_close_failed", reason = reason.as_str(); "the HTTP server ended badly");
        }
        ctx.tasks.close();
        ctx.tasks.wait().await;
        self.membership.leave().await;
        ctx.recorder.note(Subject::default(), Kind::Drained);
        drop(self.control);
        self.runtimes.end();
    }

    /// Ends the process at once, as when its host is lost: connections break and nobody is told.
    pub fn kill(self) {
        drop(self.control);
        self.runtimes.end();
    }

    fn note(&self, kind: Kind) {
        self.ctx.recorder.note(Subject::default(), kind);
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
        role: id::Role::Online,
    };
    let recorder = Recorder::new(process, DEFAULT_CAPACITY)
        .with_incarnation(clock::incarnation(SystemTime::now()));
    let writer = Writer {
        process,
        incarnation: recorder.incarnation(),
    };
    recorder.note(Subject::default(), Kind::Started);
    let endpoint = Endpoint::bind(tinbank_peer::Settings {
        address: common.peer,
        writer,
        keys: common.peer_keys.clone(),
        clock: Arc::new(PeerClock(recorder.clone())),
    })
    .await?;
    let follower = Follower::start(
        platform.log.clone(),
        recorder.clone(),
        None,
        follower::Settings::default(),
    );
    let directory = Arc::new(LateDirectory::default());
    let ctx = Arc::new(Context {
        writer,
        shards: settings.shards,
        configuration: follower.shared(),
        table: Table::new(common.failure_domain.clone(), crate::clock::now()),
        upstreams: platform.upstreams.clone(),
        peers: Arc::new(endpoint.clone()),
        directory: directory.clone(),
        recorder,
        ready: Flag::new(),
        metrics: metrics::install(),
        traffic: handles.traffic.clone(),
        tasks: TaskTracker::new(),
        budget: Mutex::new(Budget::default()),
        gate: Gate::new(common.host),
    });
    let http = listen(common, &ctx, &handles)?;
    let http_address = http.local_addr();
    let membership = Membership::start(
        &endpoint,
        tinbank_membership::Settings {
            http: http_address,
            failure_domain: common.failure_domain.clone(),
            seeds: common.seeds.to_vec(),
        },
    );
    directory.set(membership.clone());
    let peers: Arc<dyn Peers> = Arc::new(endpoint.clone());
    follower.connect(peers.clone(), directory.clone()).await;
    endpoint.serve(Arc::new(Answerer {
        follower: follower.clone(),
    }));
    let stop = CancellationToken::new();
    let control = Control {
        ctx: ctx.clone(),
        platform,
        follower: follower.clone(),
        membership: membership.clone(),
        teller: Teller::start(peers, directory),
    };
    control.start(&stop);
    Ok(Server {
        http,
        http_address,
        endpoint,
        membership,
        follower,
        ctx,
        stop_grace: Duration::from_millis(settings.stop_grace_ms),
        control: stop.drop_guard(),
        runtimes: Runtimes::default(),
    })
}

/// The HTTP server runs on the traffic threads.
fn listen(
    common: &Common,
    ctx: &Arc<Context>,
    handles: &Handles,
) -> Result<http::Server<api::Shared>, Error> {
    let api = api::describe().map_err(|error| Error::Interface(error.to_string()))?;
    let _traffic = handles.traffic.enter();
    Ok(http::Server::start(
        http::Listen::from(common),
        api,
        ctx.clone(),
    )?)
}
