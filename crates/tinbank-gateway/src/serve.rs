//! Accepts connections of callers and of the load balancer's readiness checks.

mod stream;

use std::{
    cell::OnceCell, convert::Infallible, error::Error, io, net::SocketAddr, pin::pin, rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, Version, header, request::Parts};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tinbank_jobs::scope;
use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};

use self::stream::{CallerStream, Ending};
use crate::{
    access::{self, AuthError},
    batch::{
        self,
        forward::{Forwarded, forward},
    },
    border::{
        Body,
        ingress::{Call, JobCall, JobOperation, Reply},
    },
    exchange, measure,
    node::Node,
    region,
    relay::{self, read_ahead::Hangup},
};

/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Timeout for the head of a request before the configuration is known.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest head of a request before the configuration is known, in bytes. Lower limits in the configuration are raised to it.
const MIN_HEAD_BYTES: usize = 16 << 10;

/// Size of the send buffer of a caller's connection, if what callers have yet to read is bounded. The system would keep some MB
/// for each caller that does not read, and they count as the host's memory.
const SEND_BUFFER_BYTES: usize = 32 << 10;

/// Serves callers until the process takes no new requests.
pub(crate) async fn serve_callers(node: Rc<Node>, listener: TcpListener) {
    let accepting = accept(listener, |stream, peer| {
        if node.read_ahead.is_some()
            && let Err(error) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)
        {
            log::debug!(error:%; "failed to set the size of the send buffer");
        }
        task::spawn_local(serve_connection(Rc::clone(&node), stream, peer));
    });
    // Dropping the listener makes later connects fail, so that those callers know that nothing was sent.
    tokio::select! {
        () = accepting => {}
        () = node.stop.wait_until_closing() => {}
    }
}

/// Answers every request with the response that a function returns, for as long as the process runs.
pub(crate) async fn serve_endpoint(listener: TcpListener, respond: Rc<dyn Fn() -> Response<Body>>) {
    accept(listener, |stream, peer| {
        let respond = Rc::clone(&respond);
        task::spawn_local(async move {
            let service = service_fn(|_| {
                let response = respond();
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!(peer:%, error:%; "connection ended");
            }
        });
    })
    .await;
}

/// Returns the response to a readiness check.
pub(crate) fn readiness_response(node: &Node) -> Response<Body> {
    let reply = match node.is_ready() {
        true => Reply::Ready,
        false => Reply::NotReady,
    };
    node.ingress.encode(reply)
}

/// Accepts connections for as long as the process runs.
pub(crate) async fn accept(listener: TcpListener, mut serve: impl FnMut(TcpStream, SocketAddr)) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                exchange::set_socket_options(&stream);
                serve(stream, peer);
            }
            Err(error) => {
                log::warn!(error:%; "connection not accepted");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(node: Rc<Node>, stream: TcpStream, peer: SocketAddr) {
    let limits = node.view.config().map(|config| config.limits);
    let head_bytes = limits.map_or(MIN_HEAD_BYTES, |it| it.head_bytes.max(MIN_HEAD_BYTES));
    let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |it| {
        it.head_timeout.max(it.idle_timeout)
    });
    // What the caller has yet to read is kept, so it holds up no upstream. Keep-alive probes would not tell a slow caller from a lost
    // one: the system sends none while data waits to be sent.
    if let Some(limits) = limits.filter(|_| node.read_ahead.is_some()) {
        exchange::set_user_timeout(&stream, limits.idle_timeout);
    }
    let hangup = Hangup::default();
    let ending = Ending::default();
    let stream = CallerStream::new(stream, ending.clone());
    let guard = OnceCell::new();
    let service = service_fn(|request: Request<Incoming>| {
        if request.version() == Version::HTTP_10 {
            ending.reset_unless_shut_down();
        }
        guard.get_or_init(|| crate::stop::track_connection(&node));
        serve_request(Rc::clone(&node), request, hangup.clone())
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        // Dropping the connection closes it, although its caller does not read.
        () = hangup.requested() => return,
        () = node.stop.wait_until_closing() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection.as_mut() => ended,
                () = hangup.requested() => return,
            }
        }
    };
    let Err(error) = ended else {
        return;
    };
    if is_timeout(&error) {
        log::warn!(peer:%, reason = "caller_timeout"; "response cut, its caller does not read");
        measure::record_cut_response("caller_timeout");
    } else {
        log::debug!(peer:%, error:%; "caller's connection ended");
    }
}

/// Returns whether a connection was closed because its peer took nothing of what was sent.
fn is_timeout(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|it| it.downcast_ref::<io::Error>());
    cause.is_some_and(|it| it.kind() == io::ErrorKind::TimedOut)
}

async fn serve_request(
    node: Rc<Node>,
    request: Request<Incoming>,
    hangup: Hangup,
) -> Result<Response<Body>, Infallible> {
    let work = crate::stop::track_work(&node);
    let mut response = respond(&node, request, hangup).await;
    if node.stop.is_stopping() || node.overload.closes_connections() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response.map(|body| relay::with_work_guard(body, work)))
}

async fn respond(node: &Rc<Node>, request: Request<Incoming>, hangup: Hangup) -> Response<Body> {
    let (head, body) = request.into_parts();
    let call = match node.ingress.decode(&head) {
        Ok(call) => call,
        Err(malformed) => {
            log::info!(error:% = malformed; "call malformed");
            return node.ingress.encode(Reply::Malformed(malformed));
        }
    };
    let call = match call {
        Call::Request(call) => return relay::request(node, call, head, body, hangup).await,
        Call::Job(call) => call,
    };
    node.check_for_pause();
    let reply = job_reply(node, &call).await;
    if reply == Reply::Unsure
        && let Forwarded::Answered(response) = forward_job_call(node, &call, &head).await
    {
        return response;
    }
    measure::record_reply(&reply);
    node.ingress.encode(reply)
}

/// Forwards a call about a job to a host that may know better.
async fn forward_job_call(node: &Node, call: &JobCall, head: &Parts) -> Forwarded {
    let Some(config) = node.view.config() else {
        return Forwarded::NotSent;
    };
    let is_open = config.has_open_jobs(&call.host);
    let caller = access::authenticate(node, &config, &call.job, call.key.as_ref(), is_open);
    let caller = caller.ok();
    let customer = caller.as_ref().and_then(|it| it.customer());
    let allowed = region::of_job_call(&config, &call.host, customer.map(|it| &**it));
    forward(node, &call.job, head, Bytes::new(), call.wait(), &allowed).await
}

/// Returns this host's reply to a call about a job, or `Reply::Unsure` if another host may know better. A job of another
/// customer counts as not found.
async fn job_reply(node: &Node, call: &JobCall) -> Reply {
    let Some(config) = node.view.config() else {
        return Reply::Unsure;
    };
    let is_open = config.has_open_jobs(&call.host);
    let caller = match access::authenticate(node, &config, &call.job, call.key.as_ref(), is_open) {
        Ok(caller) => caller,
        Err(AuthError::Unauthorized) => return Reply::NoKey,
        Err(AuthError::StaleConfig) => return Reply::Unsure,
    };
    if !node.feed.is_delegate() {
        return Reply::Unsure;
    }
    let job = scope::job_id(caller.name().map(String::as_str), &call.job);
    match &call.operation {
        JobOperation::Results { from, wait } => {
            batch::results::page(node, &job, *from, *wait).await
        }
        JobOperation::Body { item } => batch::results::body(node, &job, item).await,
        JobOperation::Cancel => batch::submission::cancel(node, job).await,
    }
}
