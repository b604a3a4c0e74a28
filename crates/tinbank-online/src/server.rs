//! Starts and stops the online process.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tinbank_admission::LoadReporter;
use tinbank_base::{id, record::Writer};
use tinbank_process::{Core, Runtimes, on_control, upstreams::Routing};
use tinbank_routing::{Table, retry::Budget};
use tinbank_server::{http, threads::Handles};
use tinbank_settings::common::Common;
use tinbank_timeline::Recorder;
use tokio_util::task::TaskTracker;

pub use tinbank_process::{Error, Platform};

use crate::{api, clock, context::Context, control, gate::Gate, settings::Settings};

/// A running online process.
pub struct Server {
    core: Arc<Core>,
    http: http::Server<api::Shared>,
    http_address: SocketAddr,
    ctx: Arc<Context>,
    stop_grace: Duration,
    runtimes: Runtimes,
}

impl Server {
    /// Starts the process on its own threads, so that [`Server::kill`] can simulate the loss of its host.
    ///
    /// # Errors
    /// An address is in use, or threads can't be started.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let platform = Platform::new(&settings.common);
        Self::start_with(settings, platform).await
    }

    /// Like [`Server::start`], on the given platform.
    ///
    /// # Errors
    /// Those of [`Server::start`].
    pub async fn start_with(settings: Settings, platform: Platform) -> Result<Self, Error> {
        let (runtimes, handles) = Runtimes::start(settings.common.traffic_threads)?;
        let mut server = Self::start_on(settings, platform, handles).await?;
        server.runtimes = runtimes;
        Ok(server)
    }

    /// Starts the process on runtimes that the caller owns.
    ///
    /// # Errors
    /// An address is in use.
    pub async fn start_on(
        settings: Settings,
        platform: Platform,
        handles: Handles,
    ) -> Result<Self, Error> {
        on_control(handles, |handles| start(settings, platform, handles)).await
    }

    /// Returns the address that callers and operators send requests to.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the address that other processes send frames to.
    pub fn peer_address(&self) -> SocketAddr {
        self.core.endpoint.address()
    }

    /// Returns the process and its incarnation.
    pub fn writer(&self) -> Writer {
        self.core.writer
    }

    /// Returns whether the process serves requests.
    pub fn is_ready(&self) -> bool {
        self.core.ready.is_ready()
    }

    /// Waits until an operator drains this host. The caller is then expected to stop the server.
    pub async fn drained(&self) {
        self.core.drained().await;
    }

    /// Returns the part that all kinds of processes have in common.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Returns the recorder of the process's timeline.
    pub fn recorder(&self) -> &Recorder {
        &self.core.recorder
    }

    /// Returns the routing table.
    pub fn table(&self) -> &Table {
        &self.ctx.table
    }

    /// Stops the process without interrupting requests: it becomes unready, notifies its peers, serves for
    /// `stop_grace_ms` so that the load balancer notices, and finishes every stream.
    pub async fn stop(self) {
        self.core.begin_leaving();
        tokio::time::sleep(self.stop_grace).await;
        self.http.end().await;
        self.ctx.tasks.close();
        self.ctx.tasks.wait().await;
        self.core.end_leaving().await;
        self.runtimes.end();
    }

    /// Stops the process abruptly, as when its host is lost: connections break and peers are not notified.
    pub fn kill(self) {
        self.core.end();
        self.runtimes.end();
    }
}

/// Starts the process from its control thread.
async fn start(settings: Settings, platform: Platform, handles: Handles) -> Result<Server, Error> {
    let common = &settings.common;
    let core = Core::start(common, id::Role::Online, platform).await?;
    let ctx = Arc::new(context(&settings, &core, &handles));
    let http = listen(common, &ctx, &handles)?;
    let http_address = http.local_addr();
    let peer_handler = control::PeerHandler {
        follower: core.follower.clone(),
        ctx: ctx.clone(),
    };
    let routing = Routing {
        table: ctx.table.clone(),
        reports_per_second: settings.reports_per_second,
    };
    core.join(http_address, Arc::new(peer_handler), Some(routing))
        .await;
    let reporter = LoadReporter::start(core.peers(), core.clone());
    control::start(&core, &ctx, reporter);
    Ok(Server {
        core,
        http,
        http_address,
        ctx,
        stop_grace: Duration::from_millis(settings.stop_grace_ms),
        runtimes: Runtimes::default(),
    })
}

fn context(settings: &Settings, core: &Arc<Core>, handles: &Handles) -> Context {
    let common = &settings.common;
    Context {
        writer: core.writer,
        shards: settings.shards,
        configuration: core.configuration.clone(),
        table: Table::new(common.failure_domain.clone(), clock::now()),
        upstreams: core.platform.upstreams.clone(),
        peers: core.peers(),
        directory: core.clone(),
        recorder: core.recorder.clone(),
        ready: core.ready.clone(),
        metrics: core.metrics.clone(),
        traffic: handles.traffic.clone(),
        tasks: TaskTracker::new(),
        budget: Mutex::new(Budget::default()),
        gate: Gate::new(core.writer, clock::now()),
    }
}

/// Starts the HTTP server on the traffic threads.
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
