//! Requests to upstreams, and what their answers say.

use std::{cell::OnceCell, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, header};
use http_body_util::Full;
use tinbank_base::id;
use tinbank_customer::Caller;
use tinbank_jobs::record;
use tinbank_quarantine::{Content, Fingerprint};
use tinbank_relay::event;

/// A request as it came; each attempt sends it on.
#[derive(Clone, Debug)]
pub struct Request {
    /// Name of the request, which an upstream repeats in its answer.
    pub id: String,
    /// Its customer, if it is a customer's.
    pub customer: Option<id::Customer>,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers, without those of one connection only.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// Its fingerprint, once it was asked for: each attempt asks, and so does the end of the answer.
    pub digested: OnceCell<Fingerprint>,
}

impl Request {
    /// What the request has in common with those that are the same one under other ids.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.digested.get_or_init(|| self.digest())
    }

    fn digest(&self) -> Fingerprint {
        let host = self.headers.get(header::HOST);
        let content = Content {
            customer: self.customer.as_deref(),
            method: self.method.as_str(),
            host: host.map_or(&[], HeaderValue::as_bytes),
            target: &self.target,
            body: &self.body,
        };
        content.fingerprint()
    }
}

/// Who sends a request, as upstreams are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender<'a> {
    /// The configuration has no customers; the request is sent on as it came.
    Unchecked,
    /// Nobody that upstreams are told of.
    Anonymous,
    /// A customer, by its name.
    Customer(&'a str),
}

impl Sender<'_> {
    /// The customer, if it is one.
    pub fn customer(self) -> Option<id::Customer> {
        match self {
            Self::Unchecked | Self::Anonymous => None,
            Self::Customer(name) => Some(name.to_owned()),
        }
    }
}

impl<'a> From<&'a Caller> for Sender<'a> {
    fn from(caller: &'a Caller) -> Self {
        match caller {
            Caller::Unchecked => Self::Unchecked,
            Caller::Anonymous => Self::Anonymous,
            Caller::Customer(customer) => Self::Customer(&customer.name),
        }
    }
}

/// A batch item to send.
#[derive(Clone, Copy, Debug)]
pub struct Item<'a> {
    /// Host name that its job was submitted under.
    pub host: &'a str,
    /// Whose item it is.
    pub sender: Sender<'a>,
    /// Name of the item.
    pub id: &'a str,
    /// Path that it is sent to.
    pub path: &'a str,
    /// What it is sent with.
    pub content: &'a record::Content,
}

/// What is particular to one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The upstream that it is meant for; any other one refuses it.
    pub instance: &'a str,
    /// How long the upstream may work on it.
    pub time_left: Duration,
    /// Last event already had; the upstream goes on behind it.
    pub resume_after: Option<event::Id>,
}

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream did not run the request.
    NotRun,
    /// The upstream at this address is another one, and did not run the request.
    OtherInstance,
    /// The answer belongs to another request.
    OtherRequest,
    /// The upstream refused the request, but does not say that it did not run it, or its answer is not its own.
    Unclear,
    /// The answer to the request.
    Answer,
    /// The upstream ran the request and failed.
    Failed,
    /// The upstream says that the request can never be done.
    Unprocessable,
}

/// How much an upstream has to do, as it told some hundred milliseconds later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it works on.
    pub running: usize,
    /// Requests that wait inside it.
    pub waiting: usize,
}

/// A report that can't be used.
#[derive(Debug, thiserror::Error)]
#[error("report can't be used: {0}")]
pub struct InvalidReport(pub String);

/// Encodes requests and reads answers.
pub trait Engine {
    /// The request for an upstream's report.
    fn load_request(&self) -> http::Request<Full<Bytes>>;
    /// What the report of an upstream says. One of another start of it says nothing about this one.
    fn parse_load(&self, instance: &str, report: &[u8]) -> Result<Load, InvalidReport>;
    /// The request of a caller, by its head and body. Upstreams are told whose it is, and never by which key.
    fn relayed_request(
        &self,
        id: &str,
        sender: Sender<'_>,
        head: &http::request::Parts,
        body: Bytes,
    ) -> Request;
    /// A call as it came, for another host, which has to know the key as well.
    fn forwarded_request(
        &self,
        head: &http::request::Parts,
        body: Bytes,
    ) -> http::Request<Full<Bytes>>;
    /// The request of a batch item.
    fn item_request(&self, item: Item<'_>) -> Request;
    /// The bytes of an attempt.
    fn encode(&self, request: &Request, attempt: Attempt<'_>) -> http::Request<Full<Bytes>>;
    /// What the head of an answer says.
    fn classify(&self, request: &Request, head: &http::response::Parts) -> Verdict;
    /// The head for the caller, from that of the upstream.
    fn caller_response(&self, head: http::response::Parts) -> http::response::Builder;
}
