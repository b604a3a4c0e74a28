//! Starts and stops the batch process.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tinbank_admission::{Gate, Service as AdmissionService};
use tinbank_base::{id, record::Writer};
use tinbank_log::{budget, group, writer};
use tinbank_process::{Core, Error, Platform, Runtimes, on_control, upstreams::Routing};
use tinbank_routing::Table;
use tinbank_server::{http::Listen, threads::Handles};
use tinbank_timeline::Recorder;
use tokio::{sync::watch, time};

use crate::{
    control,
    intake::Limits,
    owner::answer::Credits,
    runner::{concurrency_gate::ConcurrencyGate, partition::Partition},
    service::{Environment, Service},
    settings::{Admission, Settings},
};

/// Number of members, in rank order, that follow a shard: its owner and one standby.
const FOLLOWERS: u32 = 2;
/// Maximum jobs accepted concurrently.
const MAX_CONCURRENT_INTAKES: usize = 8;

/// Maximum size of the records in one append, in bytes. Has to hold a carried chunk with the answers of all its items; the
/// platform's log has to accept records of 1 MiB.
const MAX_APPEND_BYTES: usize = 960 << 10;

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
    /// Starts the process on its own threads, so that [`Server::kill`] can simulate the loss of its host.
    ///
    /// # Errors
    /// Returns an error if an address is in use or threads cannot be started.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let platform = Platform::new(&settings.common);
        Self::start_with(settings, platform).await
    }

    /// Like [`Server::start`], with another platform.
    ///
    /// # Errors
    /// Returns the same errors as [`Server::start`].
    pub async fn start_with(settings: Settings, platform: Platform) -> Result<Self, Error> {
        let (runtimes, handles) = Runtimes::start(settings.common.traffic_threads)?;
        let mut server = Self::start_on(settings, platform, handles).await?;
        server.runtimes = runtimes;
        Ok(server)
    }

    /// Starts the process on runtimes owned by the caller.
    ///
    /// # Errors
    /// Returns an error if an address is in use.
    pub async fn start_on(
        settings: Settings,
        platform: Platform,
        handles: Handles,
    ) -> Result<Self, Error> {
        on_control(handles, |handles| start(settings, platform, handles)).await
    }

    /// Returns the HTTP address for callers and operators.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the address for other processes.
    pub fn peer_address(&self) -> SocketAddr {
        self.core.endpoint.address()
    }

    /// Returns the identity and incarnation of the process.
    pub fn writer(&self) -> Writer {
        self.core.writer
    }

    /// Returns whether the process accepts requests.
    pub fn is_ready(&self) -> bool {
        self.core.ready.is_ready()
    }

    /// Waits until operators request a drain of this host; the caller then stops the process.
    pub async fn drained(&self) {
        self.core.drained().await;
    }

    /// Returns the part common to all processes.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Returns the timeline recorder.
    pub fn recorder(&self) -> &Recorder {
        &self.core.recorder
    }

    /// Stops the process gracefully: becomes unready, notifies its peers, serves requests until the load balancer has had time
    /// to notice, finishes the items in flight, releases its leases, and completes all open streams.
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

    /// Stops the process at once, like a lost host: connections break and peers are not notified.
    pub fn kill(self) {
        self.core.end();
        self.runtimes.end();
    }
}

/// Starts the process; runs on the control thread.
async fn start(settings: Settings, platform: Platform, handles: Handles) -> Result<Server, Error> {
    let common = &settings.common;
    let core = Core::start(common, id::Role::Batch, platform).await?;
    let table = Table::new(common.failure_domain.clone(), Instant::now());
    let admission = AdmissionService::start(
        tinbank_admission::Settings {
            lean_percent: settings.lean_percent,
        },
        core.writer,
        core.peers(),
        core.clone(),
    );
    let (writers, writers_seen) = watch::channel(1);
    let environment = environment(&settings, &core, &table, &admission, writers_seen, handles);
    let service = Service::start(environment, Listen::from(common))?;
    let http_address = service.http.local_addr();
    let routing = Routing {
        table,
        reports_per_second: settings.reports_per_second,
    };
    core.join(
        http_address,
        Arc::new(service.answerer.clone()),
        Some(routing),
    )
    .await;
    if let Some(membership) = core.membership() {
        control::start(&core, membership, &admission, writers);
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

fn environment(
    settings: &Settings,
    core: &Arc<Core>,
    table: &Table,
    admission: &AdmissionService,
    writers: watch::Receiver<usize>,
    handles: Handles,
) -> Environment {
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
    Environment {
        me: core.writer,
        shards: settings.shards,
        terms: settings.terms(),
        followers: FOLLOWERS,
        retention: Duration::from_secs(settings.log_retention_s),
        max_concurrent_intakes: MAX_CONCURRENT_INTAKES,
        items_at_once: settings.items_at_once,
        max_plain_calls: settings.items_per_upstream,
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
            group_bytes: MAX_APPEND_BYTES,
            ..group::Settings::default()
        },
        ..writer::Settings::default()
    }
}
