//! The working parts of a batch process, put together. What they reach is given, so that tests can put fakes there.

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
    asker::Asker,
    http::{Context, api},
    intake::{Intake, Limits},
    owner::{
        Owner, Parts,
        answer::{Answerer, Credits},
    },
    runner::{attempt::Edge, pool},
};

/// What a batch process reaches, and its bounds.
#[derive(Debug)]
pub struct Edges {
    /// Who we are.
    pub me: Writer,
    /// How many work shards the deployment has.
    pub shards: id::Shard,
    /// How leases are timed.
    pub terms: Timings,
    /// How many members in rank follow a shard.
    pub followers: u32,
    /// How long the log keeps records.
    pub retention: Duration,
    /// Jobs that are taken in at once.
    pub intakes: usize,
    /// Items that are sent at once.
    pub items_at_once: usize,
    /// Calls in one plain service's upstream at once.
    pub plain_at_once: u32,
    /// Bounds of a job's body.
    pub limits: Limits,
    /// The platform's log.
    pub log: Arc<dyn Log>,
    /// Upstreams.
    pub upstreams: Arc<dyn Upstreams>,
    /// How the log is written.
    pub writer: writer::Settings,
    /// How many processes share the budget of appends.
    pub writers: watch::Receiver<usize>,
    /// Who is there.
    pub directory: Arc<dyn Directory>,
    /// Reaches the others.
    pub peers: Arc<dyn Peers>,
    /// The configuration in force.
    pub configuration: Shared,
    /// Answers peers that ask for the configuration.
    pub follower: Option<Follower>,
    /// Chooses upstreams.
    pub router: Arc<dyn Router>,
    /// Lets items into engines.
    pub gate: Arc<dyn Gate>,
    /// Takes in datagrams about credits.
    pub credits: Option<Arc<dyn Credits>>,
    /// The time line.
    pub recorder: Recorder,
    /// Whether new work is taken.
    pub flag: Flag,
    /// The runtimes.
    pub handles: Handles,
}

/// The working parts of a batch process.
pub struct Service {
    /// The callers' interface.
    pub http: http::Server<Arc<Context>>,
    /// Answers peers.
    pub answerer: Answerer,
    owner: Owner,
    control: AbortHandle,
}

impl Service {
    /// Starts everything.
    ///
    /// # Errors
    /// The address is taken.
    pub fn start(edges: Edges, listen: http::Listen) -> Result<Self, Error> {
        let recorder = edges.recorder.clone();
        let stamper: writer::Stamper = Arc::new(move || recorder.stamp());
        let traffic = edges.handles.traffic.clone();
        let writer = {
            let _traffic = traffic.enter();
            writer::Writer::start(
                edges.log.clone(),
                edges.me,
                stamper,
                edges.writer,
                edges.writers,
            )
        };
        let (reports, reported) = mpsc::unbounded_channel();
        let edge = Edge {
            upstreams: edges.upstreams,
            reports,
            recorder: edges.recorder.clone(),
        };
        let pool = {
            let _traffic = traffic.enter();
            pool::start(pool::Parts {
                edge,
                router: edges.router,
                gate: edges.gate,
                plain_at_once: edges.plain_at_once,
                at_once: edges.items_at_once,
            })
        };
        let parts = Parts {
            me: edges.me,
            shards: edges.shards,
            terms: edges.terms,
            followers: edges.followers,
            retention: edges.retention,
            log: edges.log.clone(),
            writer: writer.clone(),
            append_timeout: edges.writer.append_timeout,
            directory: edges.directory.clone(),
            configuration: edges.configuration.clone(),
            pool,
            recorder: edges.recorder.clone(),
            traffic: traffic.clone(),
        };
        let (owner, task) = {
            let _control = edges.handles.control.enter();
            Owner::start(parts, reported)
        };
        let answerer = Answerer::new(owner.clone(), edges.log, edges.follower, edges.credits);
        let asker = Asker {
            me: edges.me,
            directory: edges.directory.clone(),
            peers: edges.peers,
            answerer: answerer.clone(),
        };
        let intake = Intake::new(
            writer,
            asker.clone(),
            edges.shards,
            edges.limits,
            edges.intakes,
        );
        let context = Arc::new(Context {
            intake,
            asker,
            shards: edges.shards,
            configuration: edges.configuration,
            directory: edges.directory,
            flag: edges.flag,
            recorder: edges.recorder,
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

    /// Finishes what was sent to upstreams and gives back all leases.
    pub async fn release(&self) {
        self.owner.stop().await;
    }

    /// Closes the HTTP server once all open requests have their answers, and ends the control task.
    pub async fn close(self) {
        self.http.end().await;
        self.control.abort();
    }
}
