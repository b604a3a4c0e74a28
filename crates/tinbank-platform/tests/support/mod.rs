//! Fixtures shared by the tests of the adapters against the stand-ins.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::StreamExt;
use serde_json::{Value, json};
use tinbank_base::{
    outcome::Ran,
    platform::{
        upstream::{Call, Error, Kind, Part, Parts, Target},
        weights::Artifact,
    },
};
use tinbank_platform::upstream::Http;
use tinbank_standin::{
    Settings, Standin, account::Run, engine, hosts, log, plain, service::Service, weights,
};

/// Bounds every wait of a test.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn engine(upstream: u32) -> engine::Settings {
    engine::Settings {
        upstream,
        base_step: Duration::from_millis(1),
        step_per_sequence: Duration::ZERO,
        report_lag: Duration::from_millis(1),
        load: Duration::from_millis(1),
        ..engine::Settings::default()
    }
}

/// One of each service, on ports that the system chooses.
pub fn settings() -> Settings {
    Settings {
        log: Some(log::Settings::default()),
        hosts: Some(hosts::Settings {
            lag: Duration::ZERO,
            ..hosts::Settings::default()
        }),
        weights: Some(weights::Settings::default()),
        engines: vec![engine(1)],
        plain: vec![plain::Settings {
            upstream: 2,
            ..plain::Settings::default()
        }],
        ..Settings::default()
    }
}

pub async fn start(settings: Settings) -> Standin {
    Standin::start(settings)
        .await
        .expect("ports are chosen by the system")
}

pub async fn fixture() -> (Standin, Http, Target) {
    let standin = start(settings()).await;
    let engine = target(&standin.engines()[0]);
    (standin, Http::new(), engine)
}

/// An engine whose answers take half a second, so that they are still going on when cut short.
pub async fn slow_fixture() -> (Standin, Http, Target) {
    let mut slow = engine(1);
    slow.base_step = Duration::from_millis(25);
    let standin = start(Settings {
        engines: vec![slow],
        ..Settings::default()
    })
    .await;
    let engine = target(&standin.engines()[0]);
    (standin, Http::new(), engine)
}

pub fn runs(standin: &Standin) -> Vec<Run> {
    standin.engines()[0].account.runs()
}

pub fn marked(marker: &str) -> Value {
    let mut body = prompt(marker);
    body["standin"] = json!(marker);
    body
}

pub fn target(service: &Service) -> Target {
    Target {
        upstream: 1,
        address: service.address,
    }
}

/// An address where nothing listens: a port that was ours and is closed.
pub fn nowhere() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it is bound")
}

pub fn prompt(text: &str) -> Value {
    json!({
        "model": "notes",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": 20,
        "reference": text,
    })
}

pub fn call(request: u128, body: &Value) -> Call {
    Call {
        request,
        service: "notes".to_owned(),
        body: Bytes::from(body.to_string()),
        resume_from: 0,
        deadline: Instant::now() + PATIENCE,
    }
}

/// What a stream gave: the tokens' text, and how it ended.
#[derive(Debug)]
pub struct Whole {
    pub text: String,
    pub tokens: u32,
    pub end: Result<String, Error>,
}

pub async fn collect(mut parts: Parts) -> Whole {
    let mut whole = Whole {
        text: String::new(),
        tokens: 0,
        end: Ok("no end".to_owned()),
    };
    while let Some(part) = parts.next().await {
        match part {
            Ok(Part::Token { text, .. }) => {
                whole.text.push_str(&text);
                whole.tokens += 1;
            }
            Ok(Part::End { reason, .. }) => whole.end = Ok(reason),
            Err(error) => whole.end = Err(error),
        }
    }
    whole
}

/// What the engine will answer.
pub fn expected(body: &Value) -> engine::answer::Text {
    let prompt = engine::answer::Prompt::read(body.to_string().as_bytes());
    prompt.expect("the prompt is whole").answer(128)
}

pub fn artifact(version: &str) -> Artifact {
    Artifact {
        model: "notes-8b".to_owned(),
        version: version.to_owned(),
        adapter: None,
    }
}

/// Waits for something that comes about by itself, within [`PATIENCE`].
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds().await {
        assert!(Instant::now() < until, "{what} did not come about");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

pub fn assert_error(
    result: Result<impl std::fmt::Debug, Error>,
    ran: Ran,
    kind: fn(&Kind) -> bool,
) {
    let error = result.expect_err("the call fails");
    assert!(error.ran == ran && kind(&error.kind), "{error:?}");
}
