//! Starts and stops the fleet process.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use dropshot::ApiDescription;
use futures::{StreamExt as _, stream, stream::BoxStream};
use tinbank_base::{
    frame::{
        credit,
        request::{Request, Response},
    },
    id,
    peer::Answer,
    record::Writer,
};
use tinbank_configuration::follower::Follower;
use tinbank_ledger::lease::Timings;
use tinbank_log::writer;
use tinbank_process::{Core, Error, Platform, Runtimes, answer, on_control};
use tinbank_server::{http, operator, threads::Handles};
use tokio::sync::watch;

use crate::{
    control::{Control, Phase},
    settings::Settings,
};

/// A running fleet process.
pub struct Server {
    http: http::Server<Arc<Core>>,
    http_address: SocketAddr,
    core: Arc<Core>,
    phase: watch::Sender<Phase>,
    runtimes: Runtimes,
}

impl Server {
    /// Starts the process on its own threads, so that [`Server::kill`] can simulate the loss of its host.
    ///
    /// # Errors
    /// An address is already in use, or the threads cannot be started.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let (runtimes, handles) = Runtimes::start(settings.common.traffic_threads)?;
        let platform = Platform::new(&settings.common);
        let server = Self::start_on(settings, platform, handles).await?;
        Ok(Self { runtimes, ..server })
    }

    /// Starts the process on runtimes of the caller.
    ///
    /// # Errors
    /// An address is already in use.
    pub async fn start_on(
        settings: Settings,
        platform: Platform,
        handles: Handles,
    ) -> Result<Self, Error> {
        on_control(handles, |handles| start(settings, platform, handles)).await
    }

    /// Returns the address for operators.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the address for other processes.
    pub fn peer_address(&self) -> SocketAddr {
        self.core.endpoint.address()
    }

    /// Returns the part that all processes have in common.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Stops the process. Releases the lease first, so that another process can take it immediately.
    pub async fn stop(self) {
        self.core.begin_leaving();
        let mut stopped = self.phase.subscribe();
        self.phase.send_replace(Phase::Stopping);
        let released = stopped.wait_for(|phase| *phase == Phase::Stopped);
        if tokio::time::timeout(Timings::default().silence, released)
            .await
            .is_err()
        {
            log::warn!(event = "lease_kept"; "lease could not be released in time and has to expire");
        }
        self.http.end().await;
        self.core.end_leaving().await;
        self.runtimes.end();
    }

    /// Ends the process immediately, as if its host were lost.
    pub fn kill(self) {
        self.core.end();
        self.runtimes.end();
    }
}

/// Describes the HTTP interface, which consists of the endpoints for operators.
///
/// # Errors
/// Two endpoints have the same path, which is a bug.
pub fn describe() -> Result<ApiDescription<Arc<Core>>, Error> {
    let mut api = ApiDescription::new();
    operator::register(&mut api).map_err(|error| Error::Interface(error.to_string()))?;
    Ok(api)
}

async fn start(settings: Settings, platform: Platform, handles: Handles) -> Result<Server, Error> {
    let common = &settings.common;
    let core = Core::start(common, id::Role::Fleet, platform).await?;
    let http = {
        let _traffic = handles.traffic.enter();
        http::Server::start(http::Listen::from(common), describe()?, core.clone())?
    };
    let http_address = http.local_addr();
    let answer = Answerer {
        follower: core.follower.clone(),
    };
    core.join(http_address, Arc::new(answer), None).await;
    let recorder = core.recorder.clone();
    let writer = writer::Writer::start(
        core.platform.log.clone(),
        core.writer,
        Arc::new(move || recorder.stamp()),
        writer::Settings::default(),
        watch::channel(1).1,
    );
    let phase = watch::Sender::new(Phase::Running);
    let control = Control::new(core.clone(), writer, Timings::default(), phase.clone());
    core.spawn(control.run());
    Ok(Server {
        http,
        http_address,
        core,
        phase,
        runtimes: Runtimes::default(),
    })
}

/// Answers requests of other processes. A fleet process only serves the configuration.
struct Answerer {
    follower: Follower,
}

#[async_trait]
impl Answer for Answerer {
    async fn answer(&self, _from: Writer, request: Request) -> BoxStream<'static, Response> {
        let refusal = "a fleet process answers only for the configuration";
        let frames = answer::configuration_only(&self.follower, request, refusal).await;
        stream::iter(frames).boxed()
    }

    fn on_credit(&self, _from: Writer, _message: credit::Message) {}
}
