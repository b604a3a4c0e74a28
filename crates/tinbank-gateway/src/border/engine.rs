//! Codec for requests to upstreams and their responses.

use std::{cell::OnceCell, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, header};
use http_body_util::Full;
use smallvec::SmallVec;
use tinbank_allocator::size::Size;
use tinbank_base::id;
use tinbank_customer::Caller;
use tinbank_jobs::record;
use tinbank_quarantine::{Content, Fingerprint, InFlight, Position, SharedPart, Source};
use tinbank_relay::event;

/// Id of a part of a prompt, as callers name it.
pub type PartId = String;

/// A request that attempts send to upstreams.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request, which an upstream repeats in its response.
    pub id: String,
    /// What sent the request.
    pub source: Source,
    /// The customer that sent the request, if any.
    pub customer: Option<id::Customer>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Its size, as far as its sender says.
    pub size: Size,
    /// The parts of its prompt that other requests may share, in order.
    pub shared_parts: SmallVec<[PartId; 2]>,
    /// Fingerprint, computed on first use.
    pub fingerprint_cache: OnceCell<Fingerprint>,
    /// Fingerprints of the shared parts, computed on first use.
    pub part_fingerprint_cache: OnceCell<SmallVec<[Fingerprint; 2]>>,
}

impl Request {
    /// Returns the fingerprint of the content, which is the same for repetitions of the request under other ids.
    pub fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint_cache
            .get_or_init(|| self.compute_fingerprint())
    }

    /// Returns the fingerprints of the shared parts of the prompt, in order. A part of a customer follows the same part of all customers,
    /// so that it takes the requests of several to have the latter quarantined.
    pub fn part_fingerprints(&self) -> &SmallVec<[Fingerprint; 2]> {
        self.part_fingerprint_cache.get_or_init(|| {
            let parts = self.shared_parts.iter();
            parts.flat_map(|id| self.fingerprints_of_part(id)).collect()
        })
    }

    /// Returns the id of the shared part with a fingerprint.
    pub fn part_id(&self, fingerprint: Fingerprint) -> Option<&PartId> {
        let mut parts = self.shared_parts.iter();
        parts.find(|id| self.fingerprints_of_part(id).any(|it| it == fingerprint))
    }

    fn fingerprints_of_part<'a>(&'a self, id: &'a str) -> impl Iterator<Item = Fingerprint> + 'a {
        let of_customer = self.customer.as_deref().map(Some);
        let customers = std::iter::once(None).chain(of_customer);
        customers.map(move |customer| SharedPart { customer, id }.fingerprint())
    }

    /// Returns what the quarantine records of the request if its answer breaks off after an event.
    pub fn in_flight(&self, reached: Position) -> InFlight {
        InFlight {
            request: self.fingerprint(),
            source: self.source,
            reached,
            parts: self.part_fingerprints().clone(),
        }
    }

    fn compute_fingerprint(&self) -> Fingerprint {
        let host = self.headers.get(header::HOST);
        let content = Content {
            source: self.source,
            customer: self.customer.as_deref(),
            method: self.method.as_str(),
            host: host.map_or(&[], HeaderValue::as_bytes),
            target: &self.target,
            body: &self.body,
        };
        content.fingerprint()
    }
}

/// The sender of a request, as it is reported to upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender<'a> {
    /// The configuration has no customers; the request is forwarded unchanged.
    Unchecked,
    /// A sender without a key; nothing is reported.
    Anonymous,
    /// A customer, by name.
    Customer(&'a str),
}

impl Sender<'_> {
    /// Returns the customer, if the sender is one.
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

/// A batch item to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Item<'a> {
    /// Host name that its job was submitted under.
    pub host: &'a str,
    /// Sender of its job.
    pub sender: Sender<'a>,
    /// Id of the item.
    pub id: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Headers and body of the request.
    pub content: &'a record::Content,
}

/// The parts of a request that differ between attempts.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The upstream that may run the request; any other one refuses it.
    pub instance: &'a str,
    /// How long the upstream may work on the request.
    pub time_left: Duration,
    /// Last event already received; the upstream resumes after it.
    pub resume_after: Option<event::Id>,
}

/// Classification of a response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream did not run the request.
    NotRun,
    /// The address belongs to another upstream, which did not run the request.
    OtherInstance,
    /// The response belongs to another request.
    OtherRequest,
    /// The request may have run: the upstream refused it without stating that it did not run, or did not sign its response.
    Unclear,
    /// The response to the request.
    Answer,
    /// The upstream ran the request and failed.
    Failed,
    /// The request can never succeed at any upstream.
    Unprocessable,
}

/// Load of an upstream. Upstreams report it with a delay of some hundred milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of requests being processed.
    pub running: usize,
    /// Number of requests queued inside the upstream.
    pub waiting: usize,
}

/// A load report that is malformed or stems from another start of the upstream.
#[derive(Debug, thiserror::Error)]
#[error("invalid load report: {0}")]
pub struct InvalidReport(pub String);

/// Encodes requests to upstreams and decodes their responses.
pub trait Engine {
    /// Returns the HTTP request for an upstream's load report.
    fn load_request(&self) -> http::Request<Full<Bytes>>;
    /// Parses the load report of an upstream. A report of another start of the upstream is an error.
    fn parse_load(&self, instance: &str, report: &[u8]) -> Result<Load, InvalidReport>;
    /// Returns the request that relays a caller's request. It names the sender but does not contain its key.
    fn relayed_request(
        &self,
        id: &str,
        sender: Sender<'_>,
        head: &http::request::Parts,
        body: Bytes,
    ) -> Request;
    /// Returns the HTTP request that forwards a call, including its key, to another host.
    fn forwarded_request(
        &self,
        head: &http::request::Parts,
        body: Bytes,
    ) -> http::Request<Full<Bytes>>;
    /// Returns the size of a batch item, as far as its sender says.
    fn item_size(&self, content: &record::Content) -> Size;
    /// Returns the request of a batch item.
    fn item_request(&self, item: Item<'_>) -> Request;
    /// Returns the HTTP request of an attempt.
    fn encode(&self, request: &Request, attempt: Attempt<'_>) -> http::Request<Full<Bytes>>;
    /// Classifies a response by its head.
    fn classify(&self, request: &Request, head: &http::response::Parts) -> Verdict;
    /// Returns a response for the caller with the status and headers of the upstream's response.
    fn caller_response(&self, head: http::response::Parts) -> http::response::Builder;
}
