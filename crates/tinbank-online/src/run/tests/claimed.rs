//! Requests that run at most once, claimed at the owner of their shard.

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

use super::fixture::{After, Fixture, Script, TOKENS, peer_address, request, whole_text};
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
    let journal = fixture.journal(&request);
    let answer = claimed::call(fixture.ctx.clone(), request, journal, KEY.to_owned()).await;
    fixture.settle().await;
    answer
}

/// Runs a chat whose caller takes so many parts, then goes away.
async fn chat(fixture: &Fixture, takes: usize) -> Vec<Result<Part, Failure>> {
    let request = Arc::new(claimed_request());
    let journal = fixture.journal(&request);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let run = claimed::chat(
        fixture.ctx.clone(),
        request,
        journal,
        KEY.to_owned(),
        sender,
    );
    let run = tokio::spawn(run);
    let mut parts = Vec::new();
    while parts.len() < takes
        && let Some(part) = receiver.recv().await
    {
        parts.push(part);
    }
    drop(receiver);
    run.await.unwrap();
    fixture.settle().await;
    parts
}

fn settlements(fixture: &Fixture) -> Vec<Settled> {
    let asked = fixture.peers.asked().into_iter();
    asked
        .filter_map(|(_, frame)| match frame {
            Frame::Settle(settled) => Some(settled),
            _ => None,
        })
        .collect()
}

#[tokio::test(start_paused = true)]
async fn a_won_claim_is_run_once_and_its_answer_is_stored() {
    let fixture = Fixture::new(2, 1);
    fixture.peers.then(Response::Claimed(Claimed::Won));
    fixture.peers.then(Response::Settled(true));

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
async fn a_resend_is_not_run(claimed: Claimed, code: Code) {
    let fixture = Fixture::new(2, 1);
    fixture.peers.then(Response::Claimed(claimed));

    let answer = call(&fixture).await;

    assert_eq!(answer.map_err(|failure| failure.code), Err(code));
    assert_eq!(fixture.upstreams.calls(), []);
    assert_eq!(settlements(&fixture), []);
}

#[tokio::test(start_paused = true)]
async fn a_resend_gets_the_stored_answer() {
    let fixture = Fixture::new(2, 1);
    let stored = Bytes::from_static(b"{\"stored\":1}");
    fixture
        .peers
        .then(Response::Claimed(Claimed::Settled(Ok(stored.clone()))));

    let answer = call(&fixture).await;

    assert_eq!(answer, Ok(stored));
    assert_eq!(fixture.upstreams.calls(), []);
}

#[tokio::test(start_paused = true)]
async fn a_resent_chat_gets_the_stored_text() {
    let fixture = Fixture::new(2, 1);
    let completion = Completion::new(5, "notes", whole_text(), TOKENS, "stop".to_owned());
    let stored = Bytes::from(serde_json::to_vec(&completion).unwrap());
    fixture
        .peers
        .then(Response::Claimed(Claimed::Settled(Ok(stored))));

    let parts = chat(&fixture, usize::MAX).await;

    let text = Part::Token {
        index: 0,
        text: whole_text(),
    };
    assert_eq!(parts[0], Ok(text));
    assert!(matches!(&parts[1], Ok(Part::End { tokens: TOKENS, .. })));
    assert_eq!(fixture.upstreams.calls(), []);
}

#[tokio::test(start_paused = true)]
async fn the_owner_that_a_peer_names_is_asked() {
    let fixture = Fixture::new(2, 3);
    let owner = id::Process {
        host: 2,
        role: id::Role::Batch,
    };
    fixture.peers.then(Response::NotOwner(Some(owner)));
    fixture.peers.then(Response::Claimed(Claimed::Won));

    let answer = call(&fixture).await;

    assert!(answer.is_ok());
    let asked = fixture.peers.asked();
    assert!(asked[0].0 == peer_address(2) || asked[1].0 == peer_address(2));
}

#[parameterized(
    nobody_there = { 0, None },
    log_down = { 1, Some(Response::Failed { code: Code::LogUnavailable, ran: Ran::No, message: "outage".to_owned() }) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn without_a_claim_nothing_is_sent_and_the_key_is_freed(
    batch_hosts: u32,
    answer: Option<Response>,
) {
    let fixture = Fixture::new(2, batch_hosts);
    if let Some(answer) = answer {
        fixture.peers.then(answer);
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
async fn an_unknown_outcome_is_stored_as_such() {
    let fixture = Fixture::new(2, 1);
    fixture.upstreams.first(Script::Refuse(
        Kind::Cut("scripted".to_owned()),
        Ran::Unknown,
    ));
    fixture.peers.then(Response::Claimed(Claimed::Won));
    fixture.peers.then(Response::Settled(true));

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
async fn a_claimed_chat_runs_to_its_end_when_the_caller_goes_away() {
    let fixture = Fixture::new(2, 1);
    fixture.peers.then(Response::Claimed(Claimed::Won));
    fixture.peers.then(Response::Settled(true));

    let parts = chat(&fixture, 1).await;

    assert_eq!(parts.len(), 1);
    let settled = settlements(&fixture);
    let stored = settled[0].answer.as_ref().expect("it ran to its end");
    let completion: Completion = serde_json::from_slice(stored).unwrap();
    assert_eq!(completion.choices[0].message.content, whole_text());
    assert_eq!(fixture.upstreams.cancels(), []);
}

#[tokio::test(start_paused = true)]
async fn a_claimed_chat_that_is_cut_off_is_not_resumed() {
    let fixture = Fixture::new(2, 1);
    fixture.upstreams.first(Script::Then(3, After::Cut));
    fixture.peers.then(Response::Claimed(Claimed::Won));
    fixture.peers.then(Response::Settled(true));

    let parts = chat(&fixture, usize::MAX).await;

    assert!(matches!(parts.last(), Some(Err(failure)) if failure.code == Code::OutcomeUnknown));
    assert_eq!(fixture.upstreams.calls().len(), 1);
}
