//! The pooled HTTP client, and the sorting of its errors.

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tinbank_base::cause::chain;

use crate::wire;

/// Longest time to wait for a connection: hosts are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time to wait that a service is believed.
const LONGEST_RETRY: Duration = Duration::from_secs(3_600);
/// Time to wait when a service says "later" without saying when.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// Why there is no HTTP answer.
#[derive(Clone, Debug)]
pub(crate) enum Error {
    /// No connection came about, so nothing was written.
    Connect(String),
    /// Something may have been written, and no whole answer came.
    Lost(String),
    /// The deadline passed; something may have been written.
    Timeout,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Pooled client; clones share the pool.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the head of the answer.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Response<Incoming>, Error> {
        let answer = tokio::time::timeout_at(until.into(), self.inner.request(request)).await;
        let answer = answer.map_err(|_| Error::Timeout)?;
        answer.map_err(|error| match error.is_connect() {
            true => Error::Connect(chain(&error)),
            false => Error::Lost(chain(&error)),
        })
    }

    /// Sends a request and reads the whole answer, at most `limit` bytes of it.
    pub async fn whole(
        &self,
        request: Request<Full<Bytes>>,
        until: Instant,
        limit: usize,
    ) -> Result<Answer, Error> {
        let answer = self.send(request, until).await?;
        collect(answer, until, limit).await
    }
}

/// Reads the whole body of an answer.
pub(crate) async fn collect(
    answer: Response<Incoming>,
    until: Instant,
    limit: usize,
) -> Result<Answer, Error> {
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, limit).collect();
    let body = tokio::time::timeout_at(until.into(), body).await;
    let body = body.map_err(|_| Error::Timeout)?;
    let body = body.map_err(|error| Error::Lost(error.to_string()))?;
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

impl Answer {
    /// When the service wants to be asked again.
    pub fn retry_at(&self) -> SystemTime {
        let millis = number(&self.headers, wire::RETRY_AFTER_MS).map(Duration::from_millis);
        let seconds = number(&self.headers, header::RETRY_AFTER.as_str()).map(Duration::from_secs);
        let wait = millis.or(seconds).unwrap_or(DEFAULT_RETRY);
        SystemTime::now() + wait.min(LONGEST_RETRY)
    }

    /// The body as text, cut short for messages.
    pub fn message(&self) -> String {
        const LONGEST: usize = 300;
        let text = String::from_utf8_lossy(&self.body);
        text.chars().take(LONGEST).collect()
    }
}

/// Builds a request. Paths are ours and addresses are numbers, so the URI always parses.
pub(crate) fn request(
    method: http::Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = format!("http://{address}{path}")
        .parse()
        .expect("an address and an escaped path make a URI");
    request
}

/// Escapes a name for use as one segment of a path.
pub(crate) fn segment(name: &str) -> String {
    let mut escaped = String::with_capacity(name.len());
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
                escaped.push(char::from(byte));
            }
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
