//! Requests that are claimed at the owner of their shard, so that they run at most once.

use std::sync::Arc;

use bytes::Bytes;
use tinbank_base::{
    frame::request::{Claimed, Request as Frame, Response},
    id,
    outcome::{Code, Failure, Ran},
    platform::upstream::{Kind, Part},
    record::claim::{Settled, Stored},
};
use tokio::sync::mpsc;
use yare::parameterized;

use super::fixture::{After, Fixture, Script, TOKENS, expected_text, peer_address, request};
use crate::{openai::Completion, request::Request, run::claimed};

const KEY: &str = "order-7";

fn claimed_request() -> Request {
    Request {
        key: Some(KEY.to_owned()),
        ..request(false)
    }
}

async fn call(fixture: &Fixture) -> Result<Bytes, Failure> {
    let request = claimed_request();
    let telemetry = fixture.telemetry(&request);
    let answer = claimed::call(fixture.ctx.clone(), request, telemetry, KEY.to_owned()).await;
    fixture.wait_for_tasks().await;
    answer
}

/// Runs a chat whose caller disconnects after `max_parts` parts.
async fn chat(fixture: &Fixture, max_parts: usize) -> Vec<Result<Part, Failure>> {
    let request = Arc::new(claimed_request());
    let telemetry = fixture.telemetry(&request);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let run = claimed::chat(
        fixture.ctx.clone(),
        request,
        telemetry,
        KEY.to_owned(),
        sender,
    );
    let run = tokio::spawn(run);
    let mut parts = Vec::new();
    while parts.len() < max_parts
        && let Some(part) = receiver.recv().await
    {
        parts.push(part);
    }
    drop(receiver);
    run.await.unwrap();
    fixture.wait_for_tasks().await;
    parts
}

fn settlements(fixture: &Fixture) -> Vec<Settled> {
    let requests = fixture.peers.requests().into_iter();
    requests
        .filter_map(|(_, frame)| match frame {
            Frame::Settle(settled) => Some(settled),
            _ => None,
        })
        .collect()
}

#[tokio::test(start_paused = true)]
async fn a_claimed_request_runs_once_and_its_answer_is_stored() {
    let fixture = Fixture::new(2, 1);
    fixture.peers.push_answer(Response::Claimed(Claimed::Won));
    fixture.peers.push_answer(Response::Settled(true));

    let answer = call(&fixture).await;

    assert_eq!(fixture.upstreams.calls().len(), 1);
    let settled = settlements(&fixture);
    assert_eq!(settled.len(), 1);
    assert_eq!(settled[0].answer, answer.map_err(Stored::from));
}

#[parameterized(
    running = { Claimed::Running, Code::InProgress },
    other_body = { Claimed::OtherBody { first: [0; 32] }, Code::KeyReused },
    unknown = { Claimed::Unknown, Code::OutcomeUnknown },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_retry_without_a_stored_answer_fails_without_running(claimed: Claimed, code: Code) {
    let fixture = Fixture::new(2, 1);
    fixture.peers.push_answer(Response::Claimed(claimed));

    let answer = call(&fixture).await;

    assert_eq!(answer.map_err(|failure| failure.code), Err(code));
    assert_eq!(fixture.upstreams.calls(), []);
    assert_eq!(settlements(&fixture), []);
}

#[tokio::test(start_paused = true)]
async fn a_retry_gets_the_stored_answer() {
    let fixture = Fixture::new(2, 1);
    let stored = Bytes::from_static(b"{\"stored\":1}");
    fixture
        .peers
        .push_answer(Response::Claimed(Claimed::Settled(Ok(stored.clone()))));

    let answer = call(&fixture).await;

    assert_eq!(answer, Ok(stored));
    assert_eq!(fixture.upstreams.calls(), []);
}

#[tokio::test(start_paused = true)]
async fn a_retried_chat_gets_the_stored_text() {
    let fixture = Fixture::new(2, 1);
    let completion = Completion::new(5, "notes", expected_text(), TOKENS, "stop".to_owned());
    let stored = Bytes::from(serde_json::to_vec(&completion).unwrap());
    fixture
        .peers
        .push_answer(Response::Claimed(Claimed::Settled(Ok(stored))));

    let parts = chat(&fixture, usize::MAX).await;

    let text = Part::Token {
        index: 0,
        text: expected_text(),
    };
    assert_eq!(parts[0], Ok(text));
    assert!(matches!(&parts[1], Ok(Part::End { tokens: TOKENS, .. })));
    assert_eq!(fixture.upstreams.calls(), []);
}

#[tokio::test(start_paused = true)]
async fn a_claim_is_redirected_to_the_owner_that_a_peer_names() {
    let fixture = Fixture::new(2, 3);
    let owner = id::Process {
        host: 2,
        role: id::Role::Batch,
    };
    fixture.peers.push_answer(Response::NotOwner(Some(owner)));
    fixture.peers.push_answer(Response::Claimed(Claimed::Won));

    let answer = call(&fixture).await;

    assert!(answer.is_ok());
    let requests = fixture.peers.requests();
    assert!(requests[0].0 == peer_address(2) || requests[1].0 == peer_address(2));
}

#[parameterized(
    no_batch_process = { 0, None },
    log_unavailable = { 1, Some(Response::Failed { code: Code::LogUnavailable, ran: Ran::No, message: "outage".to_owned() }) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn an_unclaimed_request_is_not_sent_and_its_key_is_released(
    batch_hosts: u32,
    answer: Option<Response>,
) {
    let fixture = Fixture::new(2, batch_hosts);
    if let Some(answer) = answer {
        fixture.peers.push_answer(answer);
    }

    let answer = call(&fixture).await;

    let failure = answer.expect_err("there is no claim");
    assert_eq!((failure.code, failure.ran), (Code::LogUnavailable, Ran::No));
    assert_eq!(fixture.upstreams.calls(), []);
    let freed = settlements(&fixture);
    assert_eq!(freed.is_empty(), batch_hosts == 0);
    assert!(
        freed
            .iter()
            .all(|settled| { matches!(&settled.answer, Err(stored) if stored.ran == Ran::No) })
    );
}

#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_stored() {
    let fixture = Fixture::new(2, 1);
    fixture
        .upstreams
        .script_next(Script::Fail(Kind::Cut("scripted".to_owned()), Ran::Unknown));
    fixture.peers.push_answer(Response::Claimed(Claimed::Won));
    fixture.peers.push_answer(Response::Settled(true));

    let answer = call(&fixture).await;

    assert_eq!(
        answer.map_err(|failure| failure.code),
        Err(Code::OutcomeUnknown)
    );
    let settled = settlements(&fixture);
    assert!(matches!(&settled[0].answer, Err(stored) if stored.code == Code::OutcomeUnknown));
    assert_eq!(fixture.upstreams.calls().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_claimed_chat_completes_after_its_caller_disconnects() {
    let fixture = Fixture::new(2, 1);
    fixture.peers.push_answer(Response::Claimed(Claimed::Won));
    fixture.peers.push_answer(Response::Settled(true));

    let parts = chat(&fixture, 1).await;

    assert_eq!(parts.len(), 1);
    let settled = settlements(&fixture);
    let stored = settled[0].answer.as_ref().expect("the chat completed");
    let completion: Completion = serde_json::from_slice(stored).unwrap();
    assert_eq!(completion.choices[0].message.content, expected_text());
    assert_eq!(fixture.upstreams.cancels(), []);
}

#[tokio::test(start_paused = true)]
async fn a_claimed_chat_whose_engine_fails_is_not_resumed() {
    let fixture = Fixture::new(2, 1);
    fixture.upstreams.script_next(Script::Tokens(3, After::Cut));
    fixture.peers.push_answer(Response::Claimed(Claimed::Won));
    fixture.peers.push_answer(Response::Settled(true));

    let parts = chat(&fixture, usize::MAX).await;

    assert!(matches!(parts.last(), Some(Err(failure)) if failure.code == Code::OutcomeUnknown));
    assert_eq!(fixture.upstreams.calls().len(), 1);
}
