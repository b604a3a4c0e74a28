//! A server under test, and a caller of it.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime},
};

use bytes::Bytes;
use dropshot::{ApiDescription, Body, Path, Query, RequestContext, TypedBody, endpoint};
use futures::StreamExt as _;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt as _;
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::Value;
use tinbank_base::{
    id::{Process, Role},
    outcome::{Code, Failure},
    peer::Members,
};
use tinbank_server::{
    client,
    failure::{self, Reply},
    http::{Listen, Server},
    metrics,
    operator::{self, Configuration},
    readiness::{Flag, State},
    stream::{self, Form, Guard},
};
use tinbank_timeline::Recorder;
use tokio::sync::Notify;

/// Context of a server under test.
pub struct Shared {
    pub flag: Flag,
    pub recorder: Recorder,
    pub metrics: metrics::Handle,
    pub go_on: Notify,
    pub dropped: Arc<AtomicBool>,
    pub gone: Arc<Notify>,
}

impl operator::Context for Shared {
    fn state(&self) -> State {
        self.flag.state()
    }

    fn metrics(&self) -> &metrics::Handle {
        &self.metrics
    }

    fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn members(&self) -> Arc<Members> {
        Arc::new(Members::default())
    }

    fn configuration(&self) -> Configuration {
        Configuration {
            offset: 7,
            current: true,
        }
    }
}

pub type Rqctx = RequestContext<Arc<Shared>>;

#[derive(Deserialize, JsonSchema)]
struct Number {
    number: u32,
}

#[endpoint { method = GET, path = "/overloaded" }]
async fn overloaded(_: Rqctx) -> Result<Response<Body>, Reply> {
    let at = SystemTime::now() + Duration::from_millis(2_500);
    let refused = Failure::not_run(Code::Overloaded, "no capacity").retry_at(at);
    failure::answer(Err::<Response<Body>, _>(refused))
}

#[endpoint { method = GET, path = "/numbers/{number}" }]
async fn by_path(_: Rqctx, number: Path<Number>) -> Result<Response<Body>, Reply> {
    operator::json(StatusCode::OK, &number.into_inner().number)
}

#[endpoint { method = GET, path = "/query" }]
async fn by_query(_: Rqctx, number: Query<Number>) -> Result<Response<Body>, Reply> {
    operator::json(StatusCode::OK, &number.into_inner().number)
}

#[endpoint { method = POST, path = "/body", request_body_max_bytes = 64 }]
async fn by_body(_: Rqctx, number: TypedBody<Number>) -> Result<Response<Body>, Reply> {
    operator::json(StatusCode::OK, &number.into_inner().number)
}

/// Sends one piece, waits for the test, then sends the end.
#[endpoint { method = GET, path = "/stream" }]
async fn streamed(rqctx: Rqctx) -> Result<Response<Body>, Reply> {
    let shared = Arc::clone(rqctx.context());
    let (dropped, gone) = (Arc::clone(&shared.dropped), Arc::clone(&shared.gone));
    let mut guard = Guard::new(move || {
        dropped.store(true, Ordering::SeqCst);
        gone.notify_one();
    });
    let first = futures::stream::iter([Bytes::from_static(b"data: 1\n\n")]);
    let last = futures::stream::once(async move {
        shared.go_on.notified().await;
        guard.disarm();
        Bytes::from_static(stream::DONE.as_bytes())
    });
    Ok(stream::response(Form::Sse, first.chain(last)))
}

pub fn api() -> ApiDescription<Arc<Shared>> {
    let mut api = ApiDescription::new();
    operator::register(&mut api).expect("the operators' paths are free");
    api.register(overloaded).expect("a free path");
    api.register(by_path).expect("a free path");
    api.register(by_query).expect("a free path");
    api.register(by_body).expect("a free path");
    api.register(streamed).expect("a free path");
    api
}

pub fn shared() -> Arc<Shared> {
    let process = Process {
        host: 3,
        role: Role::Online,
    };
    Arc::new(Shared {
        flag: Flag::new(),
        recorder: Recorder::new(process, 16),
        metrics: metrics::install(),
        go_on: Notify::new(),
        dropped: Arc::default(),
        gone: Arc::default(),
    })
}

pub fn start() -> (Server<Arc<Shared>>, Arc<Shared>) {
    let shared = shared();
    let listen = Listen::plain(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let server = Server::start(listen, api(), Arc::clone(&shared)).expect("loopback is free");
    (server, shared)
}

pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &'static str,
) -> Response<hyper::body::Incoming> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(client::whole(body))
        .expect("a well-formed request");
    client::new().request(request).await.expect("an answer")
}

pub async fn text(response: Response<hyper::body::Incoming>) -> String {
    let bytes = response.into_body().collect().await.expect("a whole body");
    String::from_utf8(bytes.to_bytes().to_vec()).expect("UTF-8")
}

pub async fn json(response: Response<hyper::body::Incoming>) -> Value {
    serde_json::from_str(&text(response).await).expect("JSON")
}
