//! The adapters for host list and weight store, and the admin server.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::{Value, json};
use support::{artifact, eventually, nowhere, settings, start};
use tinbank_base::platform::{
    hosts::{Hosts, State},
    weights::{Error, Weights},
};
use tinbank_platform::{hosts, weights};
use tinbank_standin::Standin;

async fn admin(standin: &Standin, method: Method, path: &str, body: Value) -> (StatusCode, Value) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", standin.admin()))
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("the request is well-formed");
    let answer = client
        .request(request)
        .await
        .expect("the admin server is up");
    let status = answer.status();
    let body = answer
        .into_body()
        .collect()
        .await
        .expect("it answers whole")
        .to_bytes();
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

#[tokio::test]
async fn the_list_holds_all_upstreams_and_shows_who_leaves() {
    let standin = start(settings()).await;
    let hosts = hosts::Http::new(standin.hosts().expect("it is in the settings").address);

    let before = hosts.list().await.expect("it is up");
    standin.engines()[0]
        .faults
        .change(|fault| fault.leaving = true);

    let names: Vec<_> = before
        .upstreams
        .iter()
        .map(|upstream| &*upstream.name)
        .collect();
    assert_eq!(names, ["engine-1", "plain-2"]);
    assert_eq!(before.upstreams[0].address, standin.engines()[0].address);
    assert!(
        before
            .upstreams
            .iter()
            .all(|upstream| upstream.state == State::Live)
    );
    eventually("leaving", async || {
        let list = hosts.list().await.expect("it is up");
        list.version > before.version && list.upstreams[0].state == State::Leaving
    })
    .await;
}

#[tokio::test]
async fn a_list_that_has_not_changed_is_not_sent_again() {
    let standin = start(settings()).await;
    let hosts = hosts::Http::new(standin.hosts().expect("it is in the settings").address);
    let first = hosts.changed(None).await.expect("it is up");
    let version = first.as_ref().map(|list| list.version);

    let same = hosts.changed(version).await;
    let list = standin.list().expect("it is in the settings");
    list.change_at_once(|list| list.upstreams.clear());
    let later = hosts.changed(version).await.expect("it is up");

    assert!(first.is_some());
    assert_eq!(same, Ok(None));
    let later = later.expect("it has changed");
    assert!(Some(later.version) > version);
    assert!(later.upstreams.is_empty());
}

#[tokio::test]
async fn a_long_list_comes_compressed_and_whole() {
    let standin = start(settings()).await;
    let address = standin.hosts().expect("it is in the settings").address;
    let hosts = hosts::Http::new(address);
    let list = standin.list().expect("it is in the settings");
    list.change_at_once(|list| {
        let first = list.upstreams[0].clone();
        list.upstreams = vec![first; 1_000];
    });

    let read = hosts.list().await.expect("it is up");

    assert_eq!(read.upstreams.len(), 1_000);
    let packed = encoding_of(address).await;
    assert_eq!(packed.as_deref(), Some("gzip"));
}

/// How the platform packs the list for whoever takes it packed.
async fn encoding_of(address: std::net::SocketAddr) -> Option<String> {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let request =
        "GET /v1/hosts HTTP/1.1\r\nhost: h\r\naccept-encoding: gzip\r\nconnection: close\r\n\r\n";
    let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    let text = String::from_utf8_lossy(&answer).to_lowercase();
    let encoding = |line: &str| line.strip_prefix("content-encoding: ").map(str::to_owned);
    text.lines().find_map(encoding)
}

#[tokio::test]
async fn a_change_of_the_list_shows_only_after_its_lag() {
    let mut settings = settings();
    settings.hosts = Some(tinbank_standin::hosts::Settings {
        lag: Duration::from_secs(3_600),
        ..Default::default()
    });
    let standin = start(settings).await;
    let hosts = hosts::Http::new(standin.hosts().expect("it is in the settings").address);
    let before = hosts.list().await;

    standin
        .list()
        .expect("it is in the settings")
        .change(|list| list.upstreams.clear());

    assert_eq!(hosts.list().await, before);
}

#[tokio::test]
async fn tickets_are_given_at_a_rate() {
    let mut settings = settings();
    settings.weights = Some(tinbank_standin::weights::Settings {
        tickets_per_second: 0.01,
        burst: 1.0,
        artifacts: vec![artifact("1")],
        ..Default::default()
    });
    let standin = start(settings).await;
    let weights = weights::Http::new(standin.weights().expect("it is in the settings").address);

    let missing = weights.ticket(&artifact("2")).await;
    let first = weights.ticket(&artifact("1")).await;
    let second = weights.ticket(&artifact("1")).await;

    assert!(matches!(missing, Err(Error::Missing(_))), "{missing:?}");
    assert_eq!(first, Ok(1));
    assert!(matches!(second, Err(Error::Limited { .. })), "{second:?}");
}

#[tokio::test]
async fn services_that_are_down_are_unavailable() {
    let standin = start(settings()).await;
    let hosts = hosts::Http::new(standin.hosts().expect("it is in the settings").address);
    let outage = |fault: &mut tinbank_standin::fault::Fault| fault.outage = true;
    standin
        .hosts()
        .expect("it is in the settings")
        .faults
        .change(outage);

    let refused = hosts.list().await;
    let nobody = hosts::Http::new(nowhere()).list().await;
    let store = weights::Http::new(nowhere()).ticket(&artifact("1")).await;

    assert!(refused.is_err() && nobody.is_err());
    assert!(matches!(store, Err(Error::Unavailable(_))), "{store:?}");
}

#[tokio::test]
async fn faults_are_switched_and_accounts_read_over_http() {
    let standin = start(settings()).await;
    let killed = json!({ "killed": true, "slow_ms": 5 });

    let (listed, services) = admin(&standin, Method::GET, "/services", json!(null)).await;
    let (set, now) = admin(&standin, Method::PUT, "/faults/engine-1", killed).await;
    let (read, account) = admin(&standin, Method::GET, "/account/engine-1", json!(null)).await;
    let (unknown, _) = admin(&standin, Method::PUT, "/faults/engine-9", json!({})).await;
    let (bad, _) = admin(
        &standin,
        Method::PUT,
        "/faults/log",
        json!({ "kiled": true }),
    )
    .await;

    assert_eq!([listed, set, read], [StatusCode::OK; 3]);
    assert_eq!(services.as_array().map(Vec::len), Some(5));
    assert_eq!((&now["killed"], &now["slow_ms"]), (&json!(true), &json!(5)));
    assert!(standin.engines()[0].faults.now().killed);
    assert_eq!(account, json!([]));
    assert_eq!(
        (unknown, bad),
        (StatusCode::NOT_FOUND, StatusCode::BAD_REQUEST)
    );
}
