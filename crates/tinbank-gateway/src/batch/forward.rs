//! Passes calls about jobs on to a host that follows their log and reaches the store, where this one does not.
//!
//! Only delegates follow it. A delegate that is cut off from the store passes calls on as well: otherwise each would cost its
//! caller a refusal and another try, at a host that may be cut off too.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, request::Parts};
use http_body_util::{BodyExt, Full};
use tokio::time;

use crate::{
    border::{Body, full_body},
    exchange::{self, Deadlines},
    node::Node,
};

/// Marks a call that was passed on, which is not passed on again.
const FORWARDED: HeaderName = HeaderName::from_static("x-tinbank-forwarded");
/// How long a connection to the other host may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);
/// How long the other host may take for its answer, beyond what the call says. Source: what a submission waits for its
/// verdict.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Most hosts that a call is passed on to. Source: a caller waits for a second and a half beyond what it allows, and each
/// further host adds the time of a refusal.
const MOST_HOSTS: usize = 3;

/// What came of passing a call on.
pub(crate) enum Forwarded {
    /// The other host's answer.
    Answered(Response<Body>),
    /// No other host has the call.
    NotSent,
    /// Another host may have the call, and gave no answer.
    Unknown,
}

/// Passes a call about a job on to a host that reaches the store, unless it was passed on before. A host that refuses it,
/// or can't be reached, leaves it to the next.
pub(crate) async fn forward(
    node: &Node,
    job: &str,
    head: &Parts,
    body: Bytes,
    wait: Duration,
) -> Forwarded {
    if head.headers.contains_key(FORWARDED) {
        return Forwarded::NotSent;
    }
    let hosts = node.sharing.hosts_with_store(job, Instant::now());
    let mut refused = Forwarded::NotSent;
    for host in hosts.into_iter().take(MOST_HOSTS) {
        let now = Instant::now();
        let until = Deadlines {
            connect: now + CONNECT_TIMEOUT,
            response: now + ANSWER_TIMEOUT + wait,
        };
        let request = request(node, head, body.clone());
        match exchange(node, host, request, until).await {
            Ok(answer) => {
                let status = answer.status();
                log::info!(target_path:% = head.uri, host:%, status = status.as_u16(); "call passed on to a host that reaches the store");
                if status != StatusCode::SERVICE_UNAVAILABLE {
                    return Forwarded::Answered(answer);
                }
                refused = Forwarded::Answered(answer);
            }
            Err(exchange::Error::NotSent(why)) => {
                log::info!(target_path:% = head.uri, host:%, why:%; "call not passed on");
            }
            Err(error) => {
                log::info!(target_path:% = head.uri, host:%, error:%; "call passed on without an answer");
                return Forwarded::Unknown;
            }
        }
    }
    refused
}

fn request(node: &Node, head: &Parts, body: Bytes) -> Request<Full<Bytes>> {
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
    let body = match time::timeout_at(until.response.into(), body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return Err(exchange::Error::Lost(error.to_string())),
        Err(_) => return Err(exchange::Error::Timeout),
    };
    let answer = node.engine.caller_response(head).body(full_body(body));
    answer.map_err(|error| exchange::Error::Lost(error.to_string()))
}
