//! Forwards calls about jobs to a host that follows the job log and reaches the store, if this one does not.
//!
//! Only delegates follow the log. A delegate that can't reach the store forwards calls as well, so that callers don't have to
//! retry at another host, which may not reach the store either.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, request::Parts};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tinbank_relay::region::Allowed;
use tokio::time;

use crate::{
    border::{Body, full_body},
    exchange::{self, Deadlines},
    node::Node,
};

/// Marks a forwarded call, which is not forwarded again.
const FORWARDED: HeaderName = HeaderName::from_static("x-tinbank-forwarded");
/// Limit on the time to connect to the other host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// Limit on the time to the answer, beyond the wait that the call allows. Above the timeout of a submission.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Largest answer in bytes. A page of results has less than a megabyte, unless one text alone is larger.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Limit on the hosts that are tried, so that the caller gets an answer in time. A caller waits for a second and a half
/// beyond what it allows, and each further host adds the time of a refusal.
const MAX_HOSTS: usize = 3;

/// The outcome of forwarding a call.
pub(crate) enum Forwarded {
    /// Another host answered.
    Answered(Response<Body>),
    /// No other host received the call.
    NotSent,
    /// Another host may have received the call, but did not answer.
    Unknown,
}

/// Forwards a call about a job to a host that reaches the store, unless it was already forwarded. If a host refuses the call
/// or can't be reached, the next one is tried. Hosts outside the allowed regions and the caller's get no call.
pub(crate) async fn forward(
    node: &Node,
    job: &str,
    head: &Parts,
    body: Bytes,
    wait: Duration,
    allowed: &Allowed,
) -> Forwarded {
    if head.headers.contains_key(FORWARDED) {
        return Forwarded::NotSent;
    }
    let regions = &node.settings.regions;
    let now = Instant::now();
    let hosts = node.sharing.hosts_with_store_in(job, regions, allowed, now);
    let mut refused = Forwarded::NotSent;
    for host in hosts.into_iter().take(MAX_HOSTS) {
        let now = Instant::now();
        let until = Deadlines {
            connect: now + CONNECT_TIMEOUT,
            response: now + ANSWER_TIMEOUT + wait,
        };
        let request = forwarded_request(node, head, body.clone());
        match exchange(node, host, request, until).await {
            Ok(answer) => {
                let status = answer.status();
                log::info!(target_path:% = head.uri, host:%, status = status.as_u16(); "call forwarded to a host that reaches the store");
                if status != StatusCode::SERVICE_UNAVAILABLE {
                    return Forwarded::Answered(answer);
                }
                refused = Forwarded::Answered(answer);
            }
            Err(exchange::Error::NotSent(why)) => {
                log::info!(target_path:% = head.uri, host:%, why:%; "call not forwarded");
            }
            Err(error) => {
                log::info!(target_path:% = head.uri, host:%, error:%; "call forwarded without an answer");
                return Forwarded::Unknown;
            }
        }
    }
    refused
}

fn forwarded_request(node: &Node, head: &Parts, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = node.engine.forwarded_request(head, body);
    let mark = HeaderValue::from_static("1");
    request.headers_mut().insert(FORWARDED, mark);
    request
}

async fn exchange(
    node: &Node,
    host: std::net::SocketAddr,
    request: Request<Full<Bytes>>,
    until: Deadlines,
) -> Result<Response<Body>, exchange::Error> {
    let (answer, _guard) = exchange::send(host, request, until).await?;
    let (head, body) = answer.into_parts();
    let body = read(body, until.response).await?;
    let answer = node.engine.caller_response(head).body(full_body(body));
    answer.map_err(|error| exchange::Error::Lost(error.to_string()))
}

/// Reads the body of another host's answer, at most [`MAX_ANSWER_BYTES`] of it.
async fn read(body: Incoming, until: Instant) -> Result<Bytes, exchange::Error> {
    let body = Limited::new(body, MAX_ANSWER_BYTES);
    match time::timeout_at(until.into(), body.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(exchange::Error::Lost(error.to_string())),
        Err(_) => Err(exchange::Error::Timeout),
    }
}
