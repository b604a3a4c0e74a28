//! What the handlers work with.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::HeaderMap;
use tinbank_base::{
    frame::request::{Request, Response, Status},
    id,
    outcome::{Code, Failure},
    peer::{Directory, Members},
};
use tinbank_configuration::snapshot::{Customer, Shared};
use tinbank_ledger::placement;
use tinbank_server::{
    caller, metrics,
    operator::{self, Configuration},
    readiness::{Flag, State},
};
use tinbank_timeline::Recorder;

use crate::{owner_client::OwnerClient, intake::Intake};

/// Time to answer a question about a job.
pub(super) const ASK_TIMEOUT: Duration = Duration::from_secs(10);

/// What the handlers work with.
#[derive(Debug)]
pub struct Context {
    /// Takes in jobs.
    pub intake: Intake,
    /// Asks owners of shards.
    pub owner_client: OwnerClient,
    /// How many work shards the deployment has.
    pub shards: id::Shard,
    /// The configuration in force.
    pub configuration: Shared,
    /// Who is there.
    pub directory: Arc<dyn Directory>,
    /// Whether new work is taken.
    pub flag: Flag,
    /// The time line.
    pub recorder: Recorder,
    /// The metrics.
    pub metrics: metrics::Handle,
}

impl Context {
    /// Whose key the request bears.
    ///
    /// # Errors
    /// `Unauthorized` without a key, or with one that is not known.
    pub(super) fn customer(&self, headers: &HeaderMap) -> Result<Arc<Customer>, Failure> {
        let key = caller::bearer(headers)?;
        let configuration = self.configuration.load();
        let customer = configuration.by_key(key);
        customer
            .cloned()
            .ok_or_else(|| Failure::not_run(Code::Unauthorized, "the key is not known"))
    }

    /// A job of the caller, by the id in the path.
    ///
    /// # Errors
    /// `NotFound` also for another customer's job, so that ids tell nothing.
    pub(super) async fn job(&self, headers: &HeaderMap, text: &str) -> Result<Status, Failure> {
        let customer = self.customer(headers)?;
        let job = id::parse_wide(text).ok_or_else(|| missing(text))?;
        let shard = placement::shard_of_job(job, self.shards);
        match self.ask(shard, Request::Job { job }).await? {
            Response::Job(Some(status)) if status.head.customer == customer.name => Ok(status),
            Response::Job(_) => Err(missing(text)),
            other => Err(unexpected(&other)),
        }
    }

    /// Asks the owner of a shard and gives the last frame of its answer.
    pub(super) async fn ask(
        &self,
        shard: id::Shard,
        request: Request,
    ) -> Result<Response, Failure> {
        let frames = self
            .owner_client
            .ask(shard, request, until())
            .await
            .map_err(not_run);
        let last = frames?.pop();
        last.ok_or_else(|| Failure::not_run(Code::Internal, "the owner gave an empty answer"))
    }
}

/// When a question asked now is given up.
pub(super) fn until() -> Instant {
    Instant::now() + ASK_TIMEOUT
}

/// A failed question changed nothing, whoever was asked.
pub(super) fn not_run(failure: Failure) -> Failure {
    Failure {
        ran: tinbank_base::outcome::Ran::No,
        ..failure
    }
}

pub(super) fn missing(job: &str) -> Failure {
    Failure::not_run(Code::NotFound, format!("there is no batch {job:?}"))
}

pub(super) fn unexpected(response: &Response) -> Failure {
    log::error!(response:?; "an owner gave an answer to another question");
    Failure::not_run(
        Code::Internal,
        "the owner gave an answer to another question",
    )
}

impl operator::Context for Context {
    fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn state(&self) -> State {
        self.flag.state()
    }

    fn metrics(&self) -> &metrics::Handle {
        &self.metrics
    }

    fn members(&self) -> Arc<Members> {
        self.directory.members()
    }

    fn configuration(&self) -> Configuration {
        Configuration {
            offset: self.configuration.load().next,
            current: self.flag.state() != State::Starting,
        }
    }
}
