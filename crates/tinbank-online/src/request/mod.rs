//! Reads callers' requests. Nothing is sent anywhere before a request is found good.

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

/// The customer, and the service and stream that the request is for, as far as any limits them.
pub(crate) type Scopes = SmallVec<[Scope; 3]>;

/// A request that was found good.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Its id.
    pub(crate) id: id::Request,
    /// Whose it is.
    pub(crate) customer: Arc<Customer>,
    /// Name of the service.
    pub(crate) name: id::Service,
    /// The service.
    pub(crate) service: Arc<Service>,
    /// JSON for the upstream.
    pub(crate) body: Bytes,
    /// Hash of the prompt's prefix.
    pub(crate) prefix: u64,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether it may run more than once.
    pub(crate) repeatable: bool,
    /// Makes a resend of a request that may not be repeated recognizable.
    pub(crate) key: Option<String>,
    /// What its limits are about.
    pub(crate) scopes: Scopes,
}

impl Request {
    /// The idempotency key if the request has to be claimed. What may be repeated needs no claim: it is just run again.
    pub(crate) fn claim_key(&self) -> Option<String> {
        self.key.clone().filter(|_| !self.repeatable)
    }
}

/// Findings about a body, reported together.
#[derive(Debug, Default)]
struct Findings(Vec<String>);

impl Findings {
    fn add(&mut self, place: &str, what: &str) {
        self.0.push(format!("{place}: {what}"));
    }

    fn check(self) -> Result<(), Failure> {
        if self.0.is_empty() {
            return Ok(());
        }
        Err(bad(self.0.join("; ")))
    }
}

fn bad(message: impl Into<String>) -> Failure {
    Failure::not_run(Code::BadRequest, message)
}

/// A syntax error of the body, with its place.
fn unreadable(error: &serde_json::Error) -> Failure {
    let (line, column) = (error.line(), error.column());
    let message = format!("the body is no JSON object: line {line}, column {column}: {error}");
    bad(message).help("send one JSON object")
}
