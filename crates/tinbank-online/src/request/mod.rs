//! Parses and validates callers' requests, before anything is sent to an upstream.

mod caller;
pub(crate) mod chat;
pub(crate) mod plain;

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use smallvec::SmallVec;
use tinbank_base::{
    id,
    outcome::{Code, Failure},
};
use tinbank_configuration::{service::Service, snapshot::Customer};
use tinbank_routing::limit::Scope;

pub(crate) use caller::Caller;

/// The limited ones among the customer, service and stream of a request.
pub(crate) type Scopes = SmallVec<[Scope; 3]>;

/// A valid request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: id::Request,
    pub(crate) customer: Arc<Customer>,
    /// Name of the service.
    pub(crate) name: id::Service,
    pub(crate) service: Arc<Service>,
    /// JSON to send to the upstream.
    pub(crate) body: Bytes,
    /// Hash of the prompt's prefix, for prefix cache affinity.
    pub(crate) prefix: u64,
    pub(crate) deadline: Instant,
    /// Whether it may run more than once.
    pub(crate) repeatable: bool,
    /// Idempotency key.
    pub(crate) key: Option<String>,
    /// Scopes whose limits apply.
    pub(crate) scopes: Scopes,
}

impl Request {
    /// Returns the idempotency key if the request has to be claimed. Repeatable requests need no claim: they may run
    /// again.
    pub(crate) fn claim_key(&self) -> Option<String> {
        self.key.clone().filter(|_| !self.repeatable)
    }
}

/// Validation errors of a body, reported together.
#[derive(Debug, Default)]
struct Findings(Vec<String>);

impl Findings {
    fn add(&mut self, place: &str, what: &str) {
        self.0.push(format!("{place}: {what}"));
    }

    fn into_result(self) -> Result<(), Failure> {
        if self.0.is_empty() {
            return Ok(());
        }
        Err(bad_request(self.0.join("; ")))
    }
}

fn bad_request(message: impl Into<String>) -> Failure {
    Failure::not_run(Code::BadRequest, message)
}

/// Returns the failure for a body that is not valid JSON, with line and column.
fn invalid_json(error: &serde_json::Error) -> Failure {
    let (line, column) = (error.line(), error.column());
    let message = format!("the body is no JSON object: line {line}, column {column}: {error}");
    bad_request(message).help("send one JSON object")
}
