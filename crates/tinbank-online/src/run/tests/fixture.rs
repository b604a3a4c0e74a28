//! A context with scripted upstreams and peers.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use futures::{StreamExt as _, stream};
use tinbank_base::{
    frame::{
        credit, demand,
        heartbeat::{Health, Phase},
        request::{Request as Frame, Response},
    },
    id,
    outcome::{Failure, Ran},
    peer::{self, Directory, Member, Members, Peers},
    platform::{
        hosts::{self, List, State},
        upstream::{Call, Error, Kind, Order, Part, Parts, Report, Target, Upstreams, Verdict},
    },
    record::Writer,
};
use tinbank_configuration::{limit::Limits, service::Service, snapshot::Customer};
use tinbank_routing::{Table, retry::Budget};
use tinbank_server::{metrics, readiness::Flag};
use tinbank_timeline::Recorder;
use tokio::runtime::Handle;
use tokio_util::task::TaskTracker;

use crate::{
    clock,
    context::Context,
    gate::{Gate, Permit},
    request::Request,
    run::{RequestTelemetry, chat::Chat},
};

/// Tokens in a complete answer of the scripted engines.
pub(super) const TOKENS: u32 = 8;
pub(super) const POOL: &str = "pool";

/// The behaviour of a scripted upstream for one call.
#[derive(Clone, Debug)]
pub(super) enum Script {
    /// Sends the complete answer from `resume_from`.
    Whole,
    /// Fails the call before the response headers.
    Fail(Kind, Ran),
    /// Hangs before the response headers.
    NoHeaders,
    /// Sends this number of tokens from `resume_from`, then the other.
    Tokens(u32, After),
}

/// What follows the tokens of a script.
#[derive(Clone, Debug)]
pub(super) enum After {
    /// The connection breaks.
    Cut,
    /// The connection ends without an end marker.
    Close,
    /// The stream hangs.
    Hang,
    /// A token with this index.
    Token(u32),
    /// An end marker with this token count.
    End(u32),
}

/// Upstreams that follow scripts, and answer completely when there are none left.
#[derive(Debug, Default)]
pub(super) struct ScriptedUpstreams {
    state: Mutex<ScriptState>,
}

#[derive(Debug, Default)]
struct ScriptState {
    first: VecDeque<Script>,
    always: Option<Script>,
    calls: Vec<Called>,
    cancels: Vec<(id::Upstream, id::Request)>,
}

/// A call that reached an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Called {
    pub(super) upstream: id::Upstream,
    pub(super) request: id::Request,
    pub(super) resume_from: u32,
}

impl ScriptedUpstreams {
    /// Queues a script for one call, at any upstream.
    pub(super) fn script_next(&self, script: Script) {
        self.state.lock().unwrap().first.push_back(script);
    }

    /// Sets the script of all calls for which none is queued.
    pub(super) fn script_all(&self, script: Script) {
        self.state.lock().unwrap().always = Some(script);
    }

    pub(super) fn calls(&self) -> Vec<Called> {
        self.state.lock().unwrap().calls.clone()
    }

    pub(super) fn cancels(&self) -> Vec<(id::Upstream, id::Request)> {
        self.state.lock().unwrap().cancels.clone()
    }

    fn next(&self, target: Target, call: &Call) -> Script {
        let mut state = self.state.lock().unwrap();
        state.calls.push(Called {
            upstream: target.upstream,
            request: call.request,
            resume_from: call.resume_from,
        });
        let scripted = state.first.pop_front();
        let always = state.always.clone();
        scripted.or(always).unwrap_or(Script::Whole)
    }
}

pub(super) fn word(index: u32) -> String {
    format!("w{index} ")
}

/// Returns the text of a complete answer.
pub(super) fn expected_text() -> String {
    (0..TOKENS).map(word).collect()
}

fn token(index: u32) -> Part {
    Part::Token {
        index,
        text: word(index),
    }
}

fn end(tokens: u32) -> Part {
    Part::End {
        reason: "stop".to_owned(),
        tokens,
    }
}

#[async_trait]
impl Upstreams for ScriptedUpstreams {
    async fn chat(&self, target: Target, call: Call) -> Result<Parts, Error> {
        let error = move |ran, kind| Error {
            upstream: target.upstream,
            ran,
            kind,
        };
        let from = call.resume_from;
        let cut = move || error(Ran::Unknown, Kind::Cut("scripted".to_owned()));
        let (until, after) = match self.next(target, &call) {
            Script::Fail(kind, ran) => return Err(error(ran, kind)),
            Script::Whole => (TOKENS, vec![Ok(end(TOKENS))]),
            Script::NoHeaders => std::future::pending().await,
            Script::Tokens(count, after) => {
                let after = match after {
                    After::Cut => vec![Err(cut())],
                    After::Close => vec![],
                    After::Hang => {
                        let tokens = (from..from + count).map(|index| Ok(token(index)));
                        return Ok(stream::iter(tokens).chain(stream::pending()).boxed());
                    }
                    After::Token(index) => vec![Ok(token(index))],
                    After::End(tokens) => vec![Ok(end(tokens))],
                };
                (from + count, after)
            }
        };
        let tokens = (from..until).map(|index| Ok(token(index)));
        Ok(stream::iter(tokens.chain(after)).boxed())
    }

    async fn call(&self, target: Target, call: Call) -> Result<Bytes, Error> {
        match self.next(target, &call) {
            Script::Whole => Ok(Bytes::from_static(b"{\"done\":true}")),
            Script::Fail(kind, ran) => Err(Error {
                upstream: target.upstream,
                ran,
                kind,
            }),
            Script::NoHeaders | Script::Tokens(..) => std::future::pending().await,
        }
    }

    async fn cancel(&self, target: Target, request: id::Request) -> Result<(), Error> {
        let mut state = self.state.lock().unwrap();
        state.cancels.push((target.upstream, request));
        Ok(())
    }

    async fn report(&self, _target: Target) -> Result<Report, Error> {
        Ok(Report::default())
    }

    async fn order(&self, _target: Target, _order: Order) -> Result<Verdict, Error> {
        Ok(Verdict::Taken)
    }
}

/// Host of another online process.
pub(super) const OTHER_HOST: id::Host = 2;

/// Peers that give queued answers, and record the requests and messages sent to them.
#[derive(Debug, Default)]
pub(super) struct ScriptedPeers {
    answers: Mutex<VecDeque<Result<Response, peer::Error>>>,
    requests: Mutex<Vec<(SocketAddr, Frame)>>,
    sent: Mutex<Vec<demand::Message>>,
}

impl ScriptedPeers {
    pub(super) fn push_answer(&self, answer: Response) {
        self.answers.lock().unwrap().push_back(Ok(answer));
    }

    /// Returns the messages about limits sent since the last call.
    pub(super) fn take_sent(&self) -> Vec<demand::Message> {
        std::mem::take(&mut *self.sent.lock().unwrap())
    }

    pub(super) fn requests(&self) -> Vec<(SocketAddr, Frame)> {
        self.requests.lock().unwrap().clone()
    }
}

#[async_trait]
impl Peers for ScriptedPeers {
    async fn ask(
        &self,
        to: SocketAddr,
        request: Frame,
        _until: Instant,
    ) -> Result<Vec<Response>, peer::Error> {
        self.requests.lock().unwrap().push((to, request));
        let answer = self.answers.lock().unwrap().pop_front();
        let answer = answer.unwrap_or(Err(peer::Error::Connect(to)));
        answer.map(|answer| vec![answer])
    }

    fn send_credit(&self, _to: SocketAddr, _message: credit::Message) {}

    fn send_demand(&self, _to: SocketAddr, message: demand::Message) {
        self.sent.lock().unwrap().push(message);
    }
}

#[derive(Debug)]
struct FixedDirectory(Arc<Members>);

impl Directory for FixedDirectory {
    fn members(&self) -> Arc<Members> {
        self.0.clone()
    }
}

/// A context and its fakes.
pub(super) struct Fixture {
    pub(super) ctx: Arc<Context>,
    pub(super) upstreams: Arc<ScriptedUpstreams>,
    pub(super) peers: Arc<ScriptedPeers>,
}

impl Fixture {
    /// Creates a context with the given numbers of engines and batch processes.
    pub(super) fn new(upstreams: u32, batch_hosts: u32) -> Self {
        let process = id::Process {
            host: 1,
            role: id::Role::Online,
        };
        let table = Table::new("here", clock::now());
        table.apply_list(&list(upstreams), clock::now());
        let scripted = Arc::new(ScriptedUpstreams::default());
        let peers = Arc::new(ScriptedPeers::default());
        let writer = Writer {
            process,
            incarnation: 1,
        };
        let ctx = Context {
            writer,
            shards: 16,
            configuration: Default::default(),
            table,
            upstreams: scripted.clone(),
            peers: peers.clone(),
            directory: Arc::new(FixedDirectory(Arc::new(members(batch_hosts)))),
            recorder: Recorder::new(process, 1_024),
            ready: Flag::new(),
            metrics: metrics::install(),
            traffic: Handle::current(),
            tasks: TaskTracker::new(),
            budget: Mutex::new(Budget::default()),
            gate: Gate::new(writer, clock::now()),
        };
        Self {
            ctx: Arc::new(ctx),
            upstreams: scripted,
            peers,
        }
    }

    pub(super) fn telemetry(&self, request: &Request) -> RequestTelemetry {
        let permit = Permit::acquire(&self.ctx, request, clock::now()).unwrap();
        RequestTelemetry::accept(self.ctx.clone(), request, permit)
    }

    pub(super) fn chat(&self, request: Request) -> Chat {
        let telemetry = self.telemetry(&request);
        Chat::new(self.ctx.clone(), Arc::new(request), telemetry)
    }

    /// Waits until all cancels and settlements are done.
    pub(super) async fn wait_for_tasks(&self) {
        self.ctx.tasks.close();
        self.ctx.tasks.wait().await;
    }
}

/// What a caller received of an answer.
#[derive(Debug, Default)]
pub(super) struct Received {
    pub(super) text: String,
    pub(super) end: Option<u32>,
    pub(super) failure: Option<Failure>,
}

pub(super) async fn read_to_end(chat: &mut Chat) -> Received {
    let mut received = Received::default();
    while let Some(part) = chat.next().await {
        match part {
            Ok(Part::Token { text, .. }) => received.text.push_str(&text),
            Ok(Part::End { tokens, .. }) => received.end = Some(tokens),
            Err(failure) => received.failure = Some(failure),
        }
    }
    received
}

/// Returns a request with a deadline in 10 seconds.
pub(super) fn request(repeatable: bool) -> Request {
    let service = Service {
        kind: hosts::Kind::Engine,
        pool: POOL.to_owned(),
        artifact: None,
        max_tokens: 64,
        timeout: Duration::from_secs(10),
        repeatable,
        attempts: 4,
        limits: Default::default(),
    };
    let customer = Customer {
        name: "customer".to_owned(),
        revision: 1,
        services: Default::default(),
        streams: Default::default(),
        limits: Limits::default(),
        share: 1,
        keep_results: Duration::from_secs(60),
    };
    Request {
        id: 0x100,
        customer: Arc::new(customer),
        name: "notes".to_owned(),
        service: Arc::new(service),
        body: Bytes::from_static(b"{}"),
        prefix: 7,
        deadline: clock::now() + Duration::from_secs(10),
        repeatable,
        key: None,
        scopes: Default::default(),
    }
}

fn list(upstreams: u32) -> List {
    let upstream = |number: u32| hosts::Upstream {
        upstream: number,
        name: format!("engine-{number}"),
        kind: hosts::Kind::Engine,
        pools: [POOL.to_owned()].into_iter().collect(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        failure_domain: "here".to_owned(),
        checks_fence: false,
        slots: None,
        state: State::Live,
    };
    List {
        version: 1,
        upstreams: (1..=upstreams).map(upstream).collect(),
        members: vec![],
    }
}

pub(super) fn peer_address(host: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2_000 + host as u16))
}

/// Returns the batch processes, and an online process at another host.
fn members(batch_hosts: u32) -> Members {
    let member = |host: u32, role: id::Role| Member {
        writer: Writer {
            process: id::Process { host, role },
            incarnation: 1,
        },
        health: Health::Alive,
        phase: Phase::Ready,
        peer: peer_address(host),
        http: peer_address(host),
        failure_domain: "here".to_owned(),
        config: 0,
    };
    Members {
        members: (1..=batch_hosts)
            .map(|host| member(host, id::Role::Batch))
            .chain([member(OTHER_HOST, id::Role::Online)])
            .collect(),
    }
}
