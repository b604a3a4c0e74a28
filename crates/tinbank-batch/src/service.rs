//! Assembles the components of a batch process. Their environment is passed in, so that tests can use fakes.

use std::{sync::Arc, time::Duration};

use tinbank_admission::Gate;
use tinbank_base::{
    id,
    peer::{Directory, Peers},
    platform::{log::Log, upstream::Upstreams},
    record::Writer,
};
use tinbank_configuration::{follower::Follower, snapshot::Shared};
use tinbank_ledger::lease::Timings;
use tinbank_log::writer;
use tinbank_process::Error;
use tinbank_routing::choice::Router;
use tinbank_server::{http, metrics, readiness::Flag, threads::Handles};
use tinbank_timeline::Recorder;
use tokio::{
    sync::{mpsc, watch},
    task::AbortHandle,
};

use crate::{
    http::{Context, api},
    intake::{Intake, Limits},
    owner::{
        Dependencies, Owner,
        answer::{Answerer, Credits},
    },
    owner_client::OwnerClient,
    runner::{attempt::AttemptContext, pool},
};

/// Dependencies and limits of a batch process.
#[derive(Debug)]
pub struct Environment {
    /// This process.
    pub me: Writer,
    /// Number of work shards in the deployment.
    pub shards: id::Shard,
    /// Timing of leases.
    pub terms: Timings,
    /// Number of members, in rank order, that follow a shard.
    pub followers: u32,
    /// How long the log keeps records.
    pub retention: Duration,
    /// Maximum jobs accepted concurrently.
    pub max_concurrent_intakes: usize,
    /// Maximum items in flight.
    pub items_at_once: usize,
    /// Maximum concurrent calls in one upstream of a plain service.
    pub max_plain_calls: u32,
    /// Limits on a job's body.
    pub limits: Limits,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// Upstreams.
    pub upstreams: Arc<dyn Upstreams>,
    /// Settings of the log writer.
    pub writer: writer::Settings,
    /// Number of processes that share the budget of appends.
    pub writers: watch::Receiver<usize>,
    /// The cluster's members.
    pub directory: Arc<dyn Directory>,
    /// Connections to other processes.
    pub peers: Arc<dyn Peers>,
    /// The configuration in force.
    pub configuration: Shared,
    /// Serves the configuration to peers.
    pub follower: Option<Follower>,
    /// Chooses upstreams.
    pub router: Arc<dyn Router>,
    /// Admits items to engines.
    pub gate: Arc<dyn Gate>,
    /// Receives datagrams about credits.
    pub credits: Option<Arc<dyn Credits>>,
    /// Timeline of events.
    pub recorder: Recorder,
    /// Readiness of the process.
    pub flag: Flag,
    /// The runtimes.
    pub handles: Handles,
}

/// The running components of a batch process.
pub struct Service {
    /// HTTP server for callers.
    pub http: http::Server<Arc<Context>>,
    /// Answers requests of peers.
    pub answerer: Answerer,
    owner: Owner,
    control: AbortHandle,
}

impl Service {
    /// Starts all components.
    ///
    /// # Errors
    /// Returns an error if the address is in use.
    pub fn start(environment: Environment, listen: http::Listen) -> Result<Self, Error> {
        let recorder = environment.recorder.clone();
        let stamper: writer::Stamper = Arc::new(move || recorder.stamp());
        let traffic = environment.handles.traffic.clone();
        let writer = {
            let _traffic = traffic.enter();
            writer::Writer::start(
                environment.log.clone(),
                environment.me,
                stamper,
                environment.writer,
                environment.writers,
            )
        };
        let (reports, reported) = mpsc::unbounded_channel();
        let context = AttemptContext {
            upstreams: environment.upstreams,
            reports,
            recorder: environment.recorder.clone(),
        };
        let pool = {
            let _traffic = traffic.enter();
            pool::start(pool::Dependencies {
                context,
                router: environment.router,
                gate: environment.gate,
                max_plain_calls: environment.max_plain_calls,
                max_in_flight: environment.items_at_once,
            })
        };
        let deps = Dependencies {
            me: environment.me,
            shards: environment.shards,
            terms: environment.terms,
            followers: environment.followers,
            retention: environment.retention,
            log: environment.log.clone(),
            writer: writer.clone(),
            append_timeout: environment.writer.append_timeout,
            directory: environment.directory.clone(),
            configuration: environment.configuration.clone(),
            pool,
            recorder: environment.recorder.clone(),
            traffic: traffic.clone(),
        };
        let (owner, task) = {
            let _control = environment.handles.control.enter();
            Owner::start(deps, reported)
        };
        let answerer = Answerer::new(
            owner.clone(),
            environment.log,
            environment.follower,
            environment.credits,
        );
        let owner_client = OwnerClient {
            me: environment.me,
            directory: environment.directory.clone(),
            peers: environment.peers,
            answerer: answerer.clone(),
        };
        let intake = Intake::new(
            writer,
            owner_client.clone(),
            environment.shards,
            environment.limits,
            environment.max_concurrent_intakes,
        );
        let context = Arc::new(Context {
            intake,
            owner_client,
            shards: environment.shards,
            configuration: environment.configuration,
            directory: environment.directory,
            flag: environment.flag,
            recorder: environment.recorder,
            metrics: metrics::install(),
        });
        let api = api().map_err(|error| Error::Interface(error.to_string()))?;
        let _traffic = traffic.enter();
        let http = http::Server::start(listen, api, context)?;
        Ok(Self {
            http,
            answerer,
            owner,
            control: task.abort_handle(),
        })
    }

    /// Finishes the items in flight and releases all leases.
    pub async fn release(&self) {
        self.owner.stop().await;
    }

    /// Closes the HTTP server once all open requests are answered, and ends the control task.
    pub async fn close(self) {
        self.http.end().await;
        self.control.abort();
    }
}
