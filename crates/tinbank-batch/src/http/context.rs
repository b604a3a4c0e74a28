//! Shared state of the HTTP handlers.

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

use crate::{intake::Intake, owner_client::OwnerClient};

/// Timeout of requests to shard owners.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Shared state of the HTTP handlers.
#[derive(Debug)]
pub struct Context {
    /// Accepts jobs.
    pub intake: Intake,
    /// Sends requests to shard owners.
    pub owner_client: OwnerClient,
    /// Number of work shards in the deployment.
    pub shards: id::Shard,
    /// The configuration in force.
    pub configuration: Shared,
    /// The cluster's members.
    pub directory: Arc<dyn Directory>,
    /// Readiness of the process.
    pub flag: Flag,
    /// Timeline of events.
    pub recorder: Recorder,
    /// The metrics.
    pub metrics: metrics::Handle,
}

impl Context {
    /// Returns the customer that the request's key belongs to.
    ///
    /// # Errors
    /// Returns `Unauthorized` if the key is missing or unknown.
    pub(super) fn customer(&self, headers: &HeaderMap) -> Result<Arc<Customer>, Failure> {
        let key = caller::bearer(headers)?;
        let configuration = self.configuration.load();
        let customer = configuration.by_key(key);
        customer
            .cloned()
            .ok_or_else(|| Failure::not_run(Code::Unauthorized, "the key is not known"))
    }

    /// Returns the status of the caller's job with the ID in the path.
    ///
    /// # Errors
    /// Returns `NotFound` also for another customer's job, so that the existence of IDs is not disclosed.
    pub(super) async fn job(&self, headers: &HeaderMap, text: &str) -> Result<Status, Failure> {
        let customer = self.customer(headers)?;
        let job = id::parse_wide(text).ok_or_else(|| job_not_found(text))?;
        let shard = placement::shard_of_job(job, self.shards);
        match self.ask(shard, Request::Job { job }).await? {
            Response::Job(Some(status)) if status.head.customer == customer.name => Ok(status),
            Response::Job(_) => Err(job_not_found(text)),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Sends a request to the owner of a shard and returns the last frame of its answer.
    pub(super) async fn ask(
        &self,
        shard: id::Shard,
        request: Request,
    ) -> Result<Response, Failure> {
        let frames = self
            .owner_client
            .ask(shard, request, deadline())
            .await
            .map_err(not_run);
        let last = frames?.pop();
        last.ok_or_else(|| Failure::not_run(Code::Internal, "the owner gave an empty answer"))
    }
}

/// Returns the deadline of a request sent now.
pub(super) fn deadline() -> Instant {
    Instant::now() + REQUEST_TIMEOUT
}

/// Marks the failure of a read request as not run, since reading has no effect.
pub(super) fn not_run(failure: Failure) -> Failure {
    Failure {
        ran: tinbank_base::outcome::Ran::No,
        ..failure
    }
}

pub(super) fn job_not_found(job: &str) -> Failure {
    Failure::not_run(Code::NotFound, format!("there is no batch {job:?}"))
}

pub(super) fn unexpected_response(response: &Response) -> Failure {
    log::error!(response:?; "shard owner sent an unexpected response");
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
