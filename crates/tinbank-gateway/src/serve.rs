//! Accepts connections of callers and of the balancer's readiness checks.

use std::{convert::Infallible, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tinbank_jobs::scope;
use tokio::{
    net::{TcpListener, TcpStream},
    task, time,
};

use crate::{
    access::{self, AuthError},
    batch::{
        self,
        forward::{Forwarded, forward},
    },
    border::{
        Body,
        ingress::{AboutJob, Call, JobCall, Reply},
    },
    exchange, measure,
    node::Node,
    relay,
};

/// Pause after a failed accept, which is a lack of descriptors mostly.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Head timeout before the configuration is known. Source: a usual setting of deployments.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest head before the configuration is known, in bytes; the least that the library takes.
const HEAD_BYTES: usize = 16 << 10;

/// Serves callers until the process takes no new requests.
pub(crate) async fn callers(node: Rc<Node>, listener: TcpListener) {
    let accepted = accept(listener, |stream, peer| {
        task::spawn_local(connection(Rc::clone(&node), stream, peer));
    });
    // With the listener gone, a caller that comes late is turned away before it has sent anything.
    tokio::select! {
        () = accepted => {}
        () = node.stop.closing() => {}
    }
}

/// Answers each request with what a function gives, whatever is asked, for as long as the process runs.
pub(crate) async fn always(listener: TcpListener, answer: Rc<dyn Fn() -> Response<Body>>) {
    accept(listener, |stream, peer| {
        let answer = Rc::clone(&answer);
        task::spawn_local(async move {
            let service = service_fn(|_| {
                let answer = answer();
                async move { Ok::<_, Infallible>(answer) }
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

/// The answer to a readiness check.
pub(crate) fn readiness(node: &Node) -> Response<Body> {
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
                exchange::tune(&stream);
                serve(stream, peer);
            }
            Err(error) => {
                log::warn!(error:%; "connection not accepted");
                time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn connection(node: Rc<Node>, stream: TcpStream, peer: SocketAddr) {
    let limits = node.view.config().map(|config| config.limits);
    let head_bytes = limits.map_or(HEAD_BYTES, |it| it.head_bytes.max(HEAD_BYTES));
    let head_timeout = limits.map_or(HEAD_TIMEOUT, |it| it.head_timeout.max(it.idle_timeout));
    let service = service_fn(|request| serve(Rc::clone(&node), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = node.stop.closing() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(peer:%, error:%; "caller's connection ended");
    }
}

async fn serve(node: Rc<Node>, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let work = crate::stop::work(&node);
    let mut answer = answer(&node, request).await;
    if node.stop.is_stopping() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(answer.map(|body| relay::with_work_guard(body, work)))
}

async fn answer(node: &Rc<Node>, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let call = match node.ingress.decode(&head) {
        Ok(call) => call,
        Err(malformed) => {
            log::info!(error:% = malformed; "call malformed");
            return node.ingress.encode(Reply::Malformed(malformed));
        }
    };
    let about = match call {
        Call::Request(call) => return relay::request(node, call, head, body).await,
        Call::Job(about) => about,
    };
    node.check_for_pause();
    let reply = about_job(node, &about).await;
    if reply == Reply::Unsure
        && let Forwarded::Answered(answer) =
            forward(node, &about.job, &head, Bytes::new(), about.wait()).await
    {
        return answer;
    }
    measure::record_reply(&reply);
    node.ingress.encode(reply)
}

/// The answer of this host about a job, if it can tell. A job of another customer is as good as none.
async fn about_job(node: &Node, about: &AboutJob) -> Reply {
    let Some(config) = node.view.config() else {
        return Reply::Unsure;
    };
    let is_open = config.has_open_jobs(&about.host);
    let caller = match access::authenticate(node, &config, &about.job, about.key.as_ref(), is_open)
    {
        Ok(caller) => caller,
        Err(AuthError::Unauthorized) => return Reply::NoKey,
        Err(AuthError::StaleConfig) => return Reply::Unsure,
    };
    if !node.feed.is_delegate() {
        return Reply::Unsure;
    }
    let job = scope::job_id(caller.name().map(String::as_str), &about.job);
    match &about.call {
        JobCall::Results { from, wait } => batch::results::page(node, &job, *from, *wait).await,
        JobCall::Body { item } => batch::results::body(node, &job, item).await,
        JobCall::End => batch::submission::cancel(node, job).await,
    }
}
