//! A server on loopback: operators' endpoints, the one error shape, streams and a graceful stop.

mod fixture;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, atomic::Ordering},
};

use http::{Method, StatusCode};
use http_body_util::BodyExt as _;
use serde_json::Value;
use tinbank_base::event;
use tinbank_server::{
    http::{Listen, Server},
    metrics, openapi, stream,
};
use tinbank_settings::common::Tls;

use crate::fixture::{api, json, send, start, text};

#[tokio::test]
async fn operators_see_state_and_configuration() {
    let (server, shared) = start();
    let address = server.local_addr();

    let starting = send(address, Method::GET, "/readyz", "").await;
    shared.flag.ready();
    let ready = send(address, Method::GET, "/readyz", "").await;
    shared.flag.leave();
    shared.flag.ready();
    let leaving = send(address, Method::GET, "/readyz", "").await;
    let health = json(send(address, Method::GET, "/healthz", "").await).await;
    let configuration = json(send(address, Method::GET, "/configuration", "").await).await;
    let members = json(send(address, Method::GET, "/members", "").await).await;

    assert_eq!(starting.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(ready.status(), StatusCode::OK);
    assert_eq!(leaving.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(json(leaving).await["state"], "leaving");
    assert_eq!(health["process"], "online@3");
    assert_eq!(configuration["offset"], 7);
    assert_eq!(members, Value::Array(Vec::new()));
    server.close().await.expect("a clean close");
}

#[tokio::test]
async fn metrics_are_prometheus_text_and_install_is_repeatable() {
    let (server, _) = start();
    let again = metrics::install();
    metrics_counter();

    let answer = text(send(server.local_addr(), Method::GET, "/metrics", "").await).await;

    assert!(answer.contains("tinbank_test_total 1"), "{answer}");
    assert!(again.render().contains("tinbank_test_total 1"));
    server.close().await.expect("a clean close");
}

fn metrics_counter() {
    ::metrics::counter!("tinbank_test_total").increment(1);
}

#[tokio::test]
async fn the_time_line_is_filtered_and_refuses_bad_ids() {
    let (server, shared) = start();
    let address = server.local_addr();
    let subject = event::Subject {
        request: Some(0xab),
        ..event::Subject::default()
    };
    shared.recorder.note(subject, event::Kind::FirstToken);
    shared
        .recorder
        .note(event::Subject::default(), event::Kind::Ready);
    let path = format!("/timeline?request={:032x}", 0xab);

    let found = json(send(address, Method::GET, &path, "").await).await;
    let refused = send(address, Method::GET, "/timeline?request=abc", "").await;

    assert_eq!(found["events"].as_array().map(Vec::len), Some(1));
    assert_eq!(found["events"][0]["event"], "first_token");
    assert_eq!(refused.status(), StatusCode::BAD_REQUEST);
    assert_eq!(json(refused).await["code"], "bad_request");
    server.close().await.expect("a clean close");
}

#[tokio::test]
async fn a_refusal_says_when_to_come_back() {
    let (server, _) = start();

    let answer = send(server.local_addr(), Method::GET, "/overloaded", "").await;

    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers()["retry-after"], "3");
    assert_eq!(answer.headers()["content-type"], "application/json");
    assert!(answer.headers().contains_key("x-request-id"));
    let body = json(answer).await;
    assert_eq!(body["code"], "overloaded");
    assert_eq!(body["ran"], "no");
    assert!(body["retry_at"].is_i64());
    server.close().await.expect("a clean close");
}

#[yare::parameterized(
    bad_path = { Method::GET, "/numbers/x", "", 400, "bad_request" },
    bad_query = { Method::GET, "/query?number=x", "", 400, "bad_request" },
    no_query = { Method::GET, "/query", "", 400, "bad_request" },
    broken_json = { Method::POST, "/body", "{", 400, "bad_request" },
    wrong_type = { Method::POST, "/body", "{\"number\":\"x\"}", 400, "bad_request" },
    too_large = {
        Method::POST,
        "/body",
        "{\"number\":1,\"padding\":\"0000000000000000000000000000000000000000000000000000\"}",
        413,
        "too_large",
    },
)]
#[test_macro(tokio::test)]
async fn dropshots_own_errors_have_our_shape(
    method: Method,
    path: &str,
    body: &'static str,
    status: u16,
    code: &str,
) {
    let (server, _) = start();

    let answer = send(server.local_addr(), method, path, body).await;

    assert_eq!(answer.status().as_u16(), status);
    assert!(answer.headers().contains_key("x-request-id"));
    let body = json(answer).await;
    assert_eq!(body["code"], code, "{body}");
    assert_eq!(body["ran"], "no");
    assert!(body["message"].is_string());
    server.close().await.expect("a clean close");
}

#[tokio::test]
async fn closing_waits_for_an_open_stream() {
    let (server, shared) = start();
    let mut answer = send(server.local_addr(), Method::GET, "/stream", "").await;
    let first = answer.body_mut().frame().await;
    let closing = tokio::spawn(server.close());
    shared.go_on.notify_one();

    let rest = text(answer).await;

    assert!(first.is_some_and(|piece| piece.is_ok()));
    assert_eq!(rest, stream::DONE);
    closing.await.expect("no panic").expect("a clean close");
    assert!(!shared.dropped.load(Ordering::SeqCst));
}

#[tokio::test]
async fn a_caller_who_goes_away_sets_off_the_guard() {
    let (server, shared) = start();
    let mut answer = send(server.local_addr(), Method::GET, "/stream", "").await;
    let first = answer.body_mut().frame().await;

    drop(answer);

    assert!(first.is_some());
    shared.gone.notified().await;
    assert!(shared.dropped.load(Ordering::SeqCst));
    server.close().await.expect("a clean close");
}

#[tokio::test]
async fn a_taken_address_and_missing_tls_files_are_explained() {
    let (server, shared) = start();
    let taken = Listen::plain(server.local_addr());
    let tls = Listen {
        tls: Some(Tls {
            certificate: "/nonexistent/chain.pem".into(),
            key: "/nonexistent/key.pem".into(),
        }),
        ..Listen::plain(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    };

    let taken = Server::start(taken, api(), Arc::clone(&shared)).err();
    let unreadable = Server::start(tls, api(), shared).err();

    let taken = taken.expect("the address is taken").to_string();
    assert!(taken.contains("free port"), "{taken}");
    let unreadable = unreadable.expect("there is no such file").to_string();
    assert!(unreadable.contains("/nonexistent/"), "{unreadable}");
    server.close().await.expect("a clean close");
}

#[test]
fn the_interface_is_described_as_openapi() {
    let described = openapi::describe(&api(), "test").expect("a description");

    let described: Value = serde_json::from_str(&described).expect("JSON");
    assert!(described["paths"]["/readyz"]["get"].is_object());
    let shape = &described["components"]["schemas"]["Failure"]["properties"];
    assert!(shape["ran"].is_object(), "{shape}");
    assert!(described["components"]["schemas"]["Failure"]["$schema"].is_null());
    let refused = &described["paths"]["/numbers/{number}"]["get"]["responses"]["4XX"];
    assert!(
        refused["content"]["application/json"].is_object(),
        "{refused}"
    );
}
