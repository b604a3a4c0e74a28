//! A cluster in one process: stand-in upstreams, an in-memory configuration log, online and batch processes.
#![allow(dead_code, reason = "not every test file uses every item")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tinbank_base::{
    clock::Stamp,
    digest, id,
    platform::{log::Stream, weights::Artifact},
    record::{
        Envelope, Writer,
        config::{Object, Put, Record},
    },
};
use tinbank_online::{Platform, Server, Settings, openai::Chunk};
use tinbank_platform::hosts;
use tinbank_server::client;
use tinbank_settings::common::Common;
use tinbank_standin::{
    Standin,
    account::{End, Run},
    engine::{self, answer::Prompt},
    plain,
    service::Service,
};
use tinbank_test_support::log::Memory;

pub const KEY: &str = "test-key";
pub const NOTES: &str = "notes";
pub const ORDERS: &str = "orders";
/// How long [`wait_until`] waits for its condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Cluster {
    pub standin: Standin,
    pub servers: Vec<Server>,
    pub batch: Vec<tinbank_batch::Server>,
}

/// The size and limits of a cluster.
pub struct ClusterOptions {
    pub engines: u32,
    pub plain: u32,
    pub servers: u32,
    /// Batch processes, which own the claims.
    pub batch: u32,
    pub limits: Value,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            engines: 3,
            plain: 2,
            servers: 1,
            batch: 0,
            limits: json!({}),
        }
    }
}

impl Cluster {
    pub async fn start(options: ClusterOptions) -> Self {
        let standin = Standin::start(standins(&options))
            .await
            .expect("stand-ins start");
        let log = Memory::new();
        publish(&log, &options.limits);
        let list = standin.hosts().expect("there is a host list").address;
        let mut cluster = Self {
            standin,
            servers: Vec::new(),
            batch: Vec::new(),
        };
        for host in 1..=options.batch {
            let settings = tinbank_batch::Settings {
                common: cluster.common(host),
                lease_silence_ms: 1_000,
                ..tinbank_batch::Settings::default()
            };
            let platform = platform(&log, list, &settings.common);
            let server = tinbank_batch::Server::start_with(settings, platform).await;
            cluster
                .batch
                .push(server.expect("the batch process starts"));
        }
        for host in 1..=options.servers {
            let settings = Settings {
                common: cluster.common(host),
                ..Settings::default()
            };
            let platform = platform(&log, list, &settings.common);
            let server = Server::start_with(settings, platform).await;
            cluster.servers.push(server.expect("the server starts"));
        }
        wait_until(|| cluster.servers.iter().all(Server::is_ready)).await;
        wait_until(|| cluster.batch.iter().all(tinbank_batch::Server::is_ready)).await;
        cluster
    }

    /// Returns the settings of the next process, whose seeds are the running ones.
    fn common(&self, host: id::Host) -> Common {
        let online = self.servers.iter().map(Server::peer_address);
        let batch = self.batch.iter().map(tinbank_batch::Server::peer_address);
        Common {
            host,
            failure_domain: "here".to_owned(),
            seeds: online.chain(batch).collect(),
            ..Common::default()
        }
    }

    pub fn server(&self) -> &Server {
        &self.servers[0]
    }

    pub fn address(&self) -> SocketAddr {
        self.server().http_address()
    }

    /// Returns the runs of all upstreams.
    pub fn runs(&self) -> Vec<Run> {
        let services = self.standin.engines().iter().chain(self.standin.plain());
        services
            .flat_map(|service| service.account.runs())
            .collect()
    }

    /// Returns the engine that has a run in flight.
    pub fn running_engine(&self) -> &Service {
        let engines = self.standin.engines().iter();
        let mut running = engines.filter(|engine| {
            let runs = engine.account.runs();
            runs.iter().any(|run| run.end == End::Running)
        });
        running.next().expect("an engine runs the request")
    }
}

fn platform(log: &Memory, list: SocketAddr, common: &Common) -> Platform {
    Platform {
        log: Arc::new(log.clone()),
        hosts: Arc::new(hosts::Http::new(list)),
        ..Platform::new(common)
    }
}

fn artifact() -> Artifact {
    Artifact {
        model: "m".to_owned(),
        version: "1".to_owned(),
        adapter: None,
    }
}

fn standins(options: &ClusterOptions) -> tinbank_standin::Settings {
    let engine = |upstream: id::Upstream| engine::Settings {
        upstream,
        pools: [NOTES.to_owned()].into_iter().collect(),
        failure_domain: "here".to_owned(),
        base_step: Duration::from_millis(5),
        loaded: [artifact()].into_iter().collect(),
        report_lag: Duration::from_millis(50),
        ..engine::Settings::default()
    };
    let plain = |upstream: id::Upstream| plain::Settings {
        upstream,
        pools: [ORDERS.to_owned()].into_iter().collect(),
        failure_domain: "here".to_owned(),
        ..plain::Settings::default()
    };
    tinbank_standin::Settings {
        hosts: Some(tinbank_standin::hosts::Settings {
            lag: Duration::from_millis(20),
            ..Default::default()
        }),
        engines: (1..=options.engines).map(engine).collect(),
        plain: (101..101 + options.plain).map(plain).collect(),
        ..Default::default()
    }
}

fn publish(log: &Memory, limits: &Value) {
    let key = digest::of(KEY.as_bytes());
    let key: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
    let template = json!({
        "services": {
            NOTES: { "kind": "engine", "pool": NOTES,
                "artifact": artifact(), "max_tokens": 160 },
            ORDERS: { "kind": "plain", "pool": ORDERS, "repeatable": false },
        },
        "streams": {
            "alarms": { "service": NOTES, "traffic": "online", "timeout_ms": 9000 },
            "sweep": { "service": NOTES, "traffic": "batch" },
        },
    });
    let customer = json!({ "template": "t", "key_sha256": [key], "limits": limits });
    let objects = [
        (Object::Template("t".to_owned()), template),
        (Object::Customer("c".to_owned()), customer),
    ];
    for (number, (object, body)) in objects.into_iter().enumerate() {
        let put = Put {
            change: number as u128,
            object,
            base: None,
            body: Some(body.to_string()),
            author: "test".to_owned(),
        };
        let envelope = Envelope {
            writer: Writer {
                process: id::Process {
                    host: 99,
                    role: id::Role::Tool,
                },
                incarnation: 1,
            },
            sequence: number as u64 + 1,
            stamp: Stamp::default(),
            records: vec![Record::Put(put)],
        };
        log.push(Stream::Config, envelope.encode());
    }
}

/// Waits until the condition holds, and fails the test if it does not in time.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("the condition holds in time");
}

pub fn chat_body(text: &str) -> Value {
    json!({ "model": NOTES, "messages": [{ "role": "user", "content": text }] })
}

pub fn streamed_body(text: &str) -> Value {
    let mut body = chat_body(text);
    body["stream"] = true.into();
    body
}

/// Returns the text that every engine answers the body with.
pub fn expected_text(body: &Value) -> String {
    let prompt = Prompt::read(body.to_string().as_bytes()).expect("the prompt can be read");
    prompt.answer(160).whole()
}

/// A response whose body has not been read.
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    body: Incoming,
}

pub async fn post(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Answer {
    let mut request = Request::post(format!("http://{to}{path}"));
    if !headers.iter().any(|(name, _)| *name == "authorization") {
        request = request.header("authorization", format!("Bearer {KEY}"));
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(client::whole(body.into()))
        .expect("the request is well-formed");
    let answer = client::new()
        .request(request)
        .await
        .expect("the server answers");
    let (parts, body) = answer.into_parts();
    Answer {
        status: parts.status,
        headers: parts.headers,
        body,
    }
}

pub async fn chat(to: SocketAddr, headers: &[(&str, &str)], body: &Value) -> Answer {
    post(to, "/v1/chat/completions", headers, body.to_string()).await
}

pub async fn call(to: SocketAddr, headers: &[(&str, &str)], body: &Value) -> Answer {
    post(
        to,
        &format!("/v1/services/{ORDERS}/call"),
        headers,
        body.to_string(),
    )
    .await
}

impl Answer {
    pub async fn json(self) -> Value {
        let body = self
            .body
            .collect()
            .await
            .expect("the response body is complete")
            .to_bytes();
        serde_json::from_slice(&body).expect("the answer is JSON")
    }

    pub fn events(self) -> Events {
        Events {
            body: self.body,
            buffer: Vec::new(),
            text: String::new(),
            tokens: 0,
            done: false,
            error: None,
            broken: false,
        }
    }
}

/// The events of a stream, as received by the caller.
pub struct Events {
    body: Incoming,
    buffer: Vec<u8>,
    pub text: String,
    pub tokens: u32,
    pub done: bool,
    pub error: Option<Value>,
    pub broken: bool,
}

impl Events {
    /// Reads until `tokens` tokens have arrived or the stream ends.
    pub async fn read(&mut self, tokens: u32) {
        while self.tokens < tokens && !self.done {
            match self.body.frame().await {
                None => return,
                Some(Err(_)) => {
                    self.broken = true;
                    return;
                }
                Some(Ok(frame)) => {
                    self.buffer
                        .extend_from_slice(frame.data_ref().expect("there are no trailers"));
                    self.parse_events();
                }
            }
        }
    }

    pub async fn read_all(&mut self) {
        self.read(u32::MAX).await;
    }

    fn parse_events(&mut self) {
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let data = event
                .strip_prefix(b"data: ")
                .expect("an event has data")
                .trim_ascii();
            if data == b"[DONE]" {
                self.done = true;
                continue;
            }
            let value: Value = serde_json::from_slice(data).expect("an event is JSON");
            if let Some(error) = value.get("error") {
                self.error = Some(error.clone());
                continue;
            }
            let chunk: Chunk = serde_json::from_value(value).expect("it is a chunk");
            if let Some(text) = &chunk.choices[0].delta.content {
                assert_eq!(
                    chunk.token_index, self.tokens,
                    "tokens arrive in order, each once"
                );
                self.tokens += 1;
                self.text.push_str(text);
            }
        }
    }
}
