//! Requests that run at most once, with two online hosts and two batch processes that own the claims.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{Cluster, ClusterOptions, call, chat, chat_body, expected_text, wait_until};

fn batch_options() -> ClusterOptions {
    ClusterOptions {
        servers: 2,
        batch: 2,
        ..ClusterOptions::default()
    }
}

/// Retries until the claims have an owner. A refusal guarantees that nothing ran, so a retry is safe.
async fn call_when_owned(
    cluster: &Cluster,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, Value) {
    for _ in 0..60 {
        let answer = call(cluster.address(), headers, body).await;
        let status = answer.status.as_u16();
        let json = answer.json().await;
        if json["code"] != "log_unavailable" {
            return (status, json);
        }
        assert_eq!(json["ran"], "no");
    }
    panic!("the claims got no owner");
}

/// Retries until the first request has ended: its claim is settled in the background.
async fn until_settled(send: impl AsyncFn() -> Value) -> Value {
    for _ in 0..200 {
        let answer = send().await;
        if answer["code"] != "in_progress" {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the first request did not end");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_at_another_host_gets_the_stored_answer_and_does_not_run() {
    let cluster = Cluster::start(batch_options()).await;
    let headers = [("idempotency-key", "truck-1")];
    let body = json!({ "reference": "truck" });

    let (status, first) = call_when_owned(&cluster, &headers, &body).await;
    let other = cluster.servers[1].http_address();
    let second = until_settled(async || call(other, &headers, &body).await.json().await).await;

    assert_eq!(status, 200);
    assert_eq!(first, second);
    assert_eq!(cluster.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotency_key_reused_with_another_body_is_refused() {
    let cluster = Cluster::start(batch_options()).await;
    let headers = [("idempotency-key", "truck-2")];
    call_when_owned(&cluster, &headers, &json!({ "reference": "truck" })).await;

    let other = cluster.servers[1].http_address();
    let answer = call(other, &headers, &json!({ "reference": "digger" })).await;

    assert_eq!(answer.status.as_u16(), 422);
    assert_eq!(answer.json().await["code"], "key_reused");
    assert_eq!(cluster.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_a_lost_answer_gets_an_unknown_outcome() {
    let cluster = Cluster::start(batch_options()).await;
    for plain in cluster.standin.plain() {
        plain.faults.change(|fault| fault.lose_next = 1);
    }
    let headers = [("idempotency-key", "truck-3")];
    let body = json!({ "reference": "truck" });

    let (_, first) = call_when_owned(&cluster, &headers, &body).await;
    let other = cluster.servers[1].http_address();
    let second = until_settled(async || call(other, &headers, &body).await.json().await).await;

    assert_eq!(first["code"], "outcome_unknown");
    assert_eq!(second["code"], "outcome_unknown");
    assert_eq!(cluster.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimed_chat_completes_after_a_disconnect_and_answers_the_retry() {
    let cluster = Cluster::start(batch_options()).await;
    // Wait until the claims have an owner.
    call_when_owned(&cluster, &[("idempotency-key", "note-1")], &json!({})).await;
    let headers = [
        ("idempotency-key", "note-1-chat"),
        ("tinbank-repeatable", "false"),
    ];
    let body = support::streamed_body("a claimed note");
    let mut events = loop {
        let answer = chat(cluster.address(), &headers, &body).await;
        if answer.status.is_success() {
            break answer.events();
        }
        assert_eq!(answer.json().await["ran"], "no");
    };
    events.read(1).await;
    drop(events);
    let ran = |cluster: &Cluster| {
        cluster
            .standin
            .engines()
            .iter()
            .map(|engine| engine.account.runs().len())
            .sum::<usize>()
    };

    let other = cluster.servers[1].http_address();
    let retry = chat_body("a claimed note");
    let again = until_settled(async || chat(other, &headers, &retry).await.json().await).await;

    assert_eq!(
        again["choices"][0]["message"]["content"],
        expected_text(&body),
        "{again}"
    );
    wait_until(|| ran(&cluster) == 1).await;
}
