//! Requests that run at most once, over two online hosts and the batch processes that own the claims.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{Size, World, call, chat, prompt, until, whole_text};

fn with_batch() -> Size {
    Size {
        servers: 2,
        batch: 2,
        ..Size::default()
    }
}

/// Asks until the claims have an owner; a refusal promises that nothing ran, so asking again is safe.
async fn call_until_owned(world: &World, headers: &[(&str, &str)], body: &Value) -> (u16, Value) {
    for _ in 0..60 {
        let answer = call(world.address(), headers, body).await;
        let status = answer.status.as_u16();
        let json = answer.json().await;
        if json["code"] != "log_unavailable" {
            return (status, json);
        }
        assert_eq!(json["ran"], "no");
    }
    panic!("the claims never get an owner");
}

/// Asks again until the first request has ended, since its settlement is written in the background.
async fn until_settled(ask: impl AsyncFn() -> Value) -> Value {
    for _ in 0..200 {
        let answer = ask().await;
        if answer["code"] != "in_progress" {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the first request never ends");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_through_another_host_gets_the_stored_answer_and_runs_nothing() {
    let world = World::start(with_batch()).await;
    let headers = [("idempotency-key", "truck-1")];
    let body = json!({ "reference": "truck" });

    let (status, first) = call_until_owned(&world, &headers, &body).await;
    let other = world.servers[1].http_address();
    let second = until_settled(async || call(other, &headers, &body).await.json().await).await;

    assert_eq!(status, 200);
    assert_eq!(first, second);
    assert_eq!(world.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_refused() {
    let world = World::start(with_batch()).await;
    let headers = [("idempotency-key", "truck-2")];
    call_until_owned(&world, &headers, &json!({ "reference": "truck" })).await;

    let other = world.servers[1].http_address();
    let answer = call(other, &headers, &json!({ "reference": "digger" })).await;

    assert_eq!(answer.status.as_u16(), 422);
    assert_eq!(answer.json().await["code"], "key_reused");
    assert_eq!(world.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_a_lost_answer_is_told_that_the_outcome_is_unknown() {
    let world = World::start(with_batch()).await;
    for plain in world.standin.plain() {
        plain.faults.change(|fault| fault.lose_next = 1);
    }
    let headers = [("idempotency-key", "truck-3")];
    let body = json!({ "reference": "truck" });

    let (_, first) = call_until_owned(&world, &headers, &body).await;
    let other = world.servers[1].http_address();
    let second = until_settled(async || call(other, &headers, &body).await.json().await).await;

    assert_eq!(first["code"], "outcome_unknown");
    assert_eq!(second["code"], "outcome_unknown");
    assert_eq!(world.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimed_chat_whose_caller_goes_away_is_answered_at_the_resend() {
    let world = World::start(with_batch()).await;
    // The shard of the claims gets its owner.
    call_until_owned(&world, &[("idempotency-key", "note-1")], &json!({})).await;
    let headers = [
        ("idempotency-key", "note-1-chat"),
        ("tinbank-repeatable", "false"),
    ];
    let body = support::streamed("a claimed note");
    let mut events = loop {
        let answer = chat(world.address(), &headers, &body).await;
        if answer.status.is_success() {
            break answer.events();
        }
        assert_eq!(answer.json().await["ran"], "no");
    };
    events.read(1).await;
    drop(events);
    let ran = |world: &World| {
        world
            .standin
            .engines()
            .iter()
            .map(|engine| engine.account.runs().len())
            .sum::<usize>()
    };

    let other = world.servers[1].http_address();
    let resend = prompt("a claimed note");
    let again = until_settled(async || chat(other, &headers, &resend).await.json().await).await;

    assert_eq!(
        again["choices"][0]["message"]["content"],
        whole_text(&body),
        "{again}"
    );
    until(|| ran(&world) == 1).await;
}
