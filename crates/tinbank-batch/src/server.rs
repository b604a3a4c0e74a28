//! Starts and stops the batch process.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tinbank_admission::{Gate, Service as AdmissionService};
use tinbank_base::{id, record::Writer};
use tinbank_log::{budget, group, writer};
use tinbank_process::{Core, Error, Platform, Runtimes, on_control};
use tinbank_routing::Table;
use tinbank_server::{http::Listen, threads::Handles};
use tinbank_timeline::Recorder;
use tokio::{sync::watch, time};

use crate::{
    control,
    intake::Limits,
    owner::answer::Credits,
    runner::{partition::Partition, concurrency_gate::ConcurrencyGate},
    service::{Edges, Service},
    settings::{Admission, Settings},
};

/// How many members in rank follow a shard: its owner and the one that would take over.
const FOLLOWERS: u32 = 2;
/// Jobs that are taken in at once.
const INTAKES: usize = 8;

/// Most bytes of records in one append: a chunk that is carried forward holds the answers of all its items. The
/// platform's log has to take records of 1 MiB.
const GROUP_BYTES: usize = 960 << 10;

/// A running batch process.
pub struct Server {
    core: Arc<Core>,
    service: Service,
    http_address: SocketAddr,
    stop_grace: Duration,
    stop_limit: Duration,
    runtimes: Runtimes,
}

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
        let (runtimes, handles) = Runtimes::start(settings.common.traffic_threads)?;
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
        on_control(handles, |handles| start(settings, platform, handles)).await
    }

    /// Where callers and operators reach the process.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Where other processes reach it.
    pub fn peer_address(&self) -> SocketAddr {
        self.core.endpoint.address()
    }

    /// Which process and start it is.
    pub fn writer(&self) -> Writer {
        self.core.writer
    }

    /// Whether it takes requests.
    pub fn is_ready(&self) -> bool {
        self.core.ready.is_ready()
    }

    /// Waits until operators want this host drained; whoever runs the process then stops it.
    pub async fn drained(&self) {
        self.core.drained().await;
    }

    /// The common part of the process.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Its time line.
    pub fn recorder(&self) -> &Recorder {
        &self.core.recorder
    }

    /// Stops the process without cutting off a request: it becomes unready, tells its peers, goes on serving until the
    /// balancer has had time to notice, finishes the items in flight, gives back its leases, and finishes every stream.
    pub async fn stop(self) {
        self.core.begin_leaving();
        let released = time::timeout(self.stop_limit, self.service.release());
        let (released, ()) = tokio::join!(released, time::sleep(self.stop_grace));
        if released.is_err() {
            log::warn!(event = "stop_limit"; "items in flight did not end in time and are left to other hosts");
        }
        self.service.close().await;
        self.core.end_leaving().await;
        self.runtimes.end();
    }

    /// Ends the process at once, as when its host is lost: connections break and nobody is told.
    pub fn kill(self) {
        self.core.end();
        self.runtimes.end();
    }
}

/// Runs on the control thread.
async fn start(settings: Settings, platform: Platform, handles: Handles) -> Result<Server, Error> {
    let common = &settings.common;
    let core = Core::start(common, id::Role::Batch, platform).await?;
    let table = Table::new(common.failure_domain.clone(), Instant::now());
    let admission = AdmissionService::start(
        tinbank_admission::Settings {
            lean: settings.lean_percent,
        },
        core.writer,
        core.peers(),
        core.clone(),
    );
    let (writers, writers_seen) = watch::channel(1);
    let edges = edges(&settings, &core, &table, &admission, writers_seen, handles);
    let service = Service::start(edges, Listen::from(common))?;
    let http_address = service.http.local_addr();
    core.join(http_address, Arc::new(service.answerer.clone()))
        .await;
    if let Some(membership) = core.membership() {
        let reports = settings.reports_per_second;
        control::start(&core, membership, &table, &admission, writers, reports);
    }
    Ok(Server {
        core,
        service,
        http_address,
        stop_grace: Duration::from_millis(settings.stop_grace_ms),
        stop_limit: Duration::from_millis(settings.stop_limit_ms),
        runtimes: Runtimes::default(),
    })
}

fn edges(
    settings: &Settings,
    core: &Arc<Core>,
    table: &Table,
    admission: &AdmissionService,
    writers: watch::Receiver<usize>,
    handles: Handles,
) -> Edges {
    let gate: Arc<dyn Gate> = match settings.admission {
        Admission::Credits => Arc::new(admission.clone()),
        Admission::Bounded => Arc::new(ConcurrencyGate::new(settings.items_per_upstream)),
        Admission::Static => Arc::new(Partition::new(
            core.writer.process,
            core.clone(),
            core.hosts(),
            settings.slots_for_online,
        )),
    };
    let credits: Arc<dyn Credits> = Arc::new(admission.clone());
    Edges {
        me: core.writer,
        shards: settings.shards,
        terms: settings.terms(),
        followers: FOLLOWERS,
        retention: Duration::from_secs(settings.log_retention_s),
        intakes: INTAKES,
        items_at_once: settings.items_at_once,
        plain_at_once: settings.items_per_upstream,
        limits: Limits::default(),
        log: core.platform.log.clone(),
        upstreams: core.platform.upstreams.clone(),
        writer: writer_settings(settings),
        writers,
        directory: core.clone(),
        peers: core.peers(),
        configuration: core.configuration.clone(),
        follower: Some(core.follower.clone()),
        router: Arc::new(table.clone()),
        gate,
        credits: Some(credits),
        recorder: core.recorder.clone(),
        flag: core.ready.clone(),
        handles,
    }
}

fn writer_settings(settings: &Settings) -> writer::Settings {
    writer::Settings {
        group: group::Settings {
            budget: budget::Settings {
                fleet_per_second: f64::from(settings.appends_per_second),
                ..budget::Settings::default()
            },
            group_bytes: GROUP_BYTES,
            ..group::Settings::default()
        },
        ..writer::Settings::default()
    }
}
