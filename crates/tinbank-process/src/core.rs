//! The common part of a server process.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::SystemTime,
};

use smallvec::{SmallVec, smallvec};
use tinbank_base::{
    clock,
    event::{Kind, Subject},
    frame::heartbeat::Phase,
    id,
    peer::{Answer, Directory, Members, Peers},
    platform::hosts::List,
    record::Writer,
};
use tinbank_configuration::{
    follower::{self, Follower},
    snapshot::Shared,
};
use tinbank_membership::Membership;
use tinbank_peer::Endpoint;
use tinbank_server::{
    metrics,
    operator::{self, Configuration},
    readiness::{Flag, State},
};
use tinbank_settings::common::Common;
use tinbank_timeline::{Recorder, recorder::DEFAULT_CAPACITY};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    drain, hosts,
    platform::Platform,
    ready::{self, Checklist, Requirement},
    upstreams::Routing,
};

/// Why a process does not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The HTTP server can't listen.
    #[error(transparent)]
    Http(#[from] tinbank_server::http::Error),
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

/// Appends a second of all checkpoint writers together: a checkpoint at the target's size has some 30 parts.
const CHECKPOINT_APPENDS: f64 = 10.0;

/// The writer of the configuration's checkpoints. One role writes them, so that few hosts write the same one.
fn checkpoints(
    platform: &Platform,
    recorder: &Recorder,
    identity: Writer,
) -> Option<tinbank_log::writer::Writer> {
    if identity.process.role != id::Role::Batch {
        return None;
    }
    let stamps = recorder.clone();
    let budget = tinbank_log::budget::Settings {
        fleet_per_second: CHECKPOINT_APPENDS,
        ..Default::default()
    };
    let settings = tinbank_log::writer::Settings {
        group: tinbank_log::group::Settings {
            budget,
            ..Default::default()
        },
        ..Default::default()
    };
    let (_, writers) = watch::channel(1);
    Some(tinbank_log::writer::Writer::start(
        platform.log.clone(),
        identity,
        Arc::new(move || stamps.stamp()),
        settings,
        writers,
    ))
}

/// The time line of a start of a process, which it begins.
fn record(process: id::Process) -> Recorder {
    let recorder = Recorder::new(process, DEFAULT_CAPACITY)
        .with_incarnation(clock::incarnation(SystemTime::now()));
    recorder.note(Subject::default(), Kind::Started);
    recorder
}

/// What a process of a role needs before it is ready. One of the fleet sends no requests to upstreams.
fn requirements(role: id::Role) -> SmallVec<[Requirement; 3]> {
    let mut requirements = smallvec![Requirement::Configuration, Requirement::HostList];
    if matches!(role, id::Role::Online | id::Role::Batch) {
        requirements.push(Requirement::Notices);
    }
    requirements
}

/// What a process and its handlers share.
#[derive(Debug)]
pub struct Core {
    /// Which process and start this is.
    pub writer: Writer,
    /// Its time line.
    pub recorder: Recorder,
    /// The platform.
    pub platform: Platform,
    /// Frames to and from other processes.
    pub endpoint: Endpoint,
    /// The configuration stream.
    pub follower: Follower,
    /// The configuration in force.
    pub configuration: Shared,
    /// Whether the process takes requests.
    pub ready: Flag,
    /// What the process lacks until it takes requests.
    pub checklist: Checklist,
    /// The metrics of the program.
    pub metrics: metrics::Handle,
    /// Cancelled when the process ends.
    pub stop: CancellationToken,
    failure_domain: id::FailureDomain,
    seeds: Vec<SocketAddr>,
    listed: watch::Sender<Option<Arc<List>>>,
    lists: watch::Sender<Option<Arc<List>>>,
    membership: OnceLock<Membership>,
}

impl Core {
    /// Starts the common part. To be called on the control thread.
    ///
    /// # Errors
    /// The peer address is taken.
    pub async fn start(
        common: &Common,
        role: id::Role,
        platform: Platform,
    ) -> Result<Arc<Self>, Error> {
        let process = id::Process {
            host: common.host,
            role,
        };
        let recorder = record(process);
        let writer = Writer {
            process,
            incarnation: recorder.incarnation(),
        };
        let endpoint = Endpoint::bind(tinbank_peer::Settings {
            address: common.peer,
            writer,
            keys: common.peer_keys.clone(),
            clock: Arc::new(recorder.clone()),
        })
        .await?;
        let follower = Follower::start(
            platform.log.clone(),
            recorder.clone(),
            checkpoints(&platform, &recorder, writer),
            follower::Settings::default(),
        );
        Ok(Arc::new(Self {
            writer,
            recorder,
            platform,
            endpoint,
            configuration: follower.shared(),
            follower,
            ready: Flag::new(),
            checklist: Checklist::new(&requirements(role)),
            metrics: metrics::install(),
            stop: CancellationToken::new(),
            failure_domain: common.failure_domain.clone(),
            seeds: common.seeds.to_vec(),
            listed: watch::channel(None).0,
            lists: watch::channel(None).0,
            membership: OnceLock::new(),
        }))
    }

    /// Joins the peers, follows the host list, and becomes ready once the checklist is complete. A process that chooses
    /// upstreams passes its routing table, which then follows the host list, reports and the notices of peers. To be called
    /// once, on the control thread, when the process listens.
    pub async fn join(
        self: &Arc<Self>,
        http: SocketAddr,
        answer: Arc<dyn Answer>,
        routing: Option<Routing>,
    ) {
        let settings = tinbank_membership::Settings {
            http,
            failure_domain: self.failure_domain.clone(),
            seeds: self.seeds.clone(),
        };
        let membership = self
            .membership
            .get_or_init(|| Membership::start(&self.endpoint, settings))
            .clone();
        self.follower
            .connect(self.peers(), Arc::new(membership.clone()))
            .await;
        let answer = match &routing {
            Some(routing) => routing.answerer(self, answer),
            None => answer,
        };
        self.endpoint.serve(answer);
        self.spawn(hosts::follow(
            self.platform.hosts.clone(),
            self.listed.clone(),
        ));
        self.spawn(drain::overlay(
            self.follower.clone(),
            self.listed.subscribe(),
            self.lists.clone(),
        ));
        // Peers order lists by the platform's versions, so they are told of the platform's own list only.
        self.spawn(ready::pass_on(
            self.follower.clone(),
            membership.clone(),
            self.listed.subscribe(),
        ));
        match routing {
            Some(routing) => routing.follow(self, &membership),
            None => self.spawn(ready::check_host_list(self.hosts(), self.checklist.clone())),
        }
        self.spawn(ready::check_configuration(
            self.follower.clone(),
            self.checklist.clone(),
        ));
        self.spawn(ready::become_ready(
            self.checklist.clone(),
            self.follower.clone(),
            membership,
            self.ready.clone(),
            self.recorder.clone(),
        ));
    }

    /// Runs a task on the current runtime until the process ends.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(task));
    }

    /// Waits until operators want this host drained. Until then the future only waits, however long that is.
    pub async fn drained(&self) {
        drain::wanted(&self.follower, self.writer.process.host).await;
    }

    /// Addresses of peers to contact first.
    pub(crate) fn seeds(&self) -> &[SocketAddr] {
        &self.seeds
    }

    /// The newest host list, with what operators want left alone.
    pub fn hosts(&self) -> hosts::Watch {
        self.lists.subscribe()
    }

    /// Access to other processes.
    pub fn peers(&self) -> Arc<dyn Peers> {
        Arc::new(self.endpoint.clone())
    }

    /// The membership, once the process has joined.
    pub fn membership(&self) -> Option<&Membership> {
        self.membership.get()
    }

    /// Begins a planned stop: not ready, and peers are told.
    pub fn begin_leaving(&self) {
        self.ready.leave();
        if let Some(membership) = self.membership() {
            membership.set_phase(Phase::Leaving);
        }
        self.recorder.note(Subject::default(), Kind::Leaving);
    }

    /// Ends a planned stop: nothing is left to do.
    pub async fn end_leaving(&self) {
        if let Some(membership) = self.membership() {
            membership.leave().await;
        }
        self.recorder.note(Subject::default(), Kind::Drained);
        self.end();
    }

    /// Ends the common tasks at once, telling nobody.
    pub fn end(&self) {
        self.stop.cancel();
        self.endpoint.close();
    }
}

impl Directory for Core {
    fn members(&self) -> Arc<Members> {
        self.membership()
            .map(Directory::members)
            .unwrap_or_default()
    }
}

impl operator::Context for Core {
    fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn state(&self) -> State {
        self.ready.state()
    }

    fn metrics(&self) -> &metrics::Handle {
        &self.metrics
    }

    fn members(&self) -> Arc<Members> {
        Directory::members(self)
    }

    fn configuration(&self) -> Configuration {
        Configuration {
            offset: self.configuration.load().next,
            current: self.ready.state() != State::Starting,
        }
    }
}
