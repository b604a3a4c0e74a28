//! Invalid and refused requests get a precise error and reach no upstream.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{Cluster, ClusterOptions, call, chat, chat_body, post, wait_until};
use yare::parameterized;

const CHAT: &str = "/v1/chat/completions";

#[parameterized(
    broken_json = { CHAT, &[], "{\"model\": \"notes\",\n  \"messages\": [}", 400, "line 2, column 16" },
    no_object = { CHAT, &[], "[1]", 400, "line 1" },
    no_messages = { CHAT, &[], "{\"model\":\"notes\"}", 400, "messages: is missing" },
    findings_together = { CHAT, &[], "{\"model\":1,\"messages\":[{\"role\":\"user\"}],\"stream\":\"yes\"}", 400, "model: is no text; stream: is neither true nor false; messages[0].content" },
    too_many_tokens = { CHAT, &[], "{\"model\":\"notes\",\"max_tokens\":9999,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}", 400, "max_tokens: is above 160" },
    unknown_service = { CHAT, &[], "{\"model\":\"none\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}", 404, "no service \"none\"" },
    plain_service_as_chat = { CHAT, &[], "{\"model\":\"orders\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}", 400, "is a plain service" },
    unknown_stream = { CHAT, &[("tinbank-stream", "none")], "{\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}", 404, "no stream \"none\"" },
    batch_stream = { CHAT, &[("tinbank-stream", "sweep")], "{\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}", 400, "carries batch jobs" },
    wrong_key = { CHAT, &[("authorization", "Bearer wrong")], "{}", 401, "the key is not known" },
    no_bearer = { CHAT, &[("authorization", "Basic abc")], "{}", 401, "no bearer key" },
    bad_timeout = { CHAT, &[("tinbank-timeout-ms", "soon")], "{}", 400, "Tinbank-Timeout-Ms" },
    bad_repeatable = { CHAT, &[("tinbank-repeatable", "no")], "{}", 400, "Tinbank-Repeatable" },
    call_of_a_model = { "/v1/services/notes/call", &[], "{}", 400, "is a model service" },
    call_with_broken_json = { "/v1/services/orders/call", &[], "{", 400, "line 1" },
    call_of_unknown_service = { "/v1/services/none/call", &[], "{}", 404, "no service" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_invalid_request_is_refused_with_the_position_of_the_error(
    path: &str,
    headers: &[(&str, &str)],
    body: &'static str,
    status: u16,
    place: &str,
) {
    let cluster = Cluster::start(ClusterOptions::default()).await;

    let answer = post(cluster.address(), path, headers, body).await;

    assert_eq!(answer.status.as_u16(), status);
    assert!(answer.headers.contains_key("x-request-id"));
    let failure = answer.json().await;
    let message = failure["message"].as_str().expect("there is a message");
    assert!(message.contains(place), "{message}");
    assert_eq!(failure["ran"], "no");
    assert!(cluster.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let body = vec![b' '; 5 << 20];

    let answer = post(cluster.address(), CHAT, &[], body).await;

    assert_eq!(answer.status.as_u16(), 413);
    assert!(cluster.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_reported_as_not_run_reached_no_upstream() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    for plain in cluster.standin.plain() {
        plain.faults.change(|fault| fault.leaving = true);
    }

    let answer = call(cluster.address(), &[], &json!({ "reference": "truck" })).await;

    assert_eq!(answer.status.as_u16(), 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(answer.json().await["ran"], "no");
    assert!(cluster.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_with_a_lost_answer_runs_once_and_has_an_unknown_outcome() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    for plain in cluster.standin.plain() {
        plain.faults.change(|fault| fault.lose_next = 1);
    }

    let answer = call(cluster.address(), &[], &json!({ "reference": "truck" }))
        .await
        .json()
        .await;

    assert_eq!(
        (&answer["code"], &answer["ran"]),
        (&json!("outcome_unknown"), &json!("unknown"))
    );
    assert_eq!(cluster.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_is_answered_by_the_plain_service() {
    let cluster = Cluster::start(ClusterOptions::default()).await;

    let answer = call(cluster.address(), &[], &json!({ "reference": "truck" })).await;

    assert_eq!(answer.status.as_u16(), 200);
    assert_eq!(answer.json().await["reference"], "truck");
    assert_eq!(cluster.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_can_not_be_claimed_is_refused_and_not_sent() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let headers = [("idempotency-key", "k-1"), ("tinbank-timeout-ms", "300")];

    let answer = call(
        cluster.address(),
        &headers,
        &json!({ "reference": "truck" }),
    )
    .await
    .json()
    .await;

    assert_eq!(
        (&answer["code"], &answer["ran"]),
        (&json!("log_unavailable"), &json!("no"))
    );
    assert!(cluster.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_over_the_customer_limit_gets_a_retry_time() {
    let limits = json!({ "online_at_once": 2 });
    let cluster = Cluster::start(ClusterOptions {
        limits,
        ..ClusterOptions::default()
    })
    .await;
    let mut first = chat(cluster.address(), &[], &support::streamed_body("one"))
        .await
        .events();
    let mut second = chat(cluster.address(), &[], &support::streamed_body("two"))
        .await
        .events();
    first.read(1).await;
    second.read(1).await;

    let refused = chat(cluster.address(), &[], &chat_body("three")).await;
    let status = refused.status.as_u16();
    let retry_after = refused.headers.contains_key("retry-after");
    let failure: Value = refused.json().await;
    first.read_all().await;
    second.read_all().await;

    assert_eq!((status, retry_after), (429, true));
    assert_eq!(
        (&failure["code"], &failure["ran"]),
        (&json!("limit_reached"), &json!("no"))
    );
    assert!(first.done && second.done);
    assert_eq!(cluster.runs().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_at_a_hanging_engine_times_out() {
    let cluster = Cluster::start(ClusterOptions {
        engines: 1,
        ..ClusterOptions::default()
    })
    .await;
    let engine = &cluster.standin.engines()[0];
    engine.faults.change(|fault| fault.paused = true);

    let answer = chat(
        cluster.address(),
        &[("tinbank-timeout-ms", "200")],
        &chat_body("hangs"),
    )
    .await;

    assert_eq!(answer.status.as_u16(), 504);
    engine.faults.change(|fault| fault.paused = false);
    wait_until(|| {
        cluster
            .server()
            .table()
            .in_flight(1, tinbank_configuration::template::Traffic::Online)
            == 0
    })
    .await;
    tokio::time::sleep(Duration::from_millis(1)).await;
}
