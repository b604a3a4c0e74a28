//! Chat completions whose engine fails, hangs or sends invalid parts, in each phase of a stream.

use std::time::Duration;

use tinbank_base::{
    outcome::{Code, Ran},
    platform::upstream::Kind,
};
use yare::parameterized;

use super::fixture::{After, Fixture, Script, TOKENS, expected_text, read_to_end, request};

fn connect() -> Script {
    Script::Fail(Kind::Connect("scripted".to_owned()), Ran::No)
}

fn lost_before_headers() -> Script {
    Script::Fail(Kind::Cut("scripted".to_owned()), Ran::Unknown)
}

fn failed() -> Script {
    let kind = Kind::Failed {
        status: 500,
        message: "scripted".to_owned(),
    };
    Script::Fail(kind, Ran::Unknown)
}

#[parameterized(
    no_connection = { connect(), 0 },
    leaving = { Script::Fail(Kind::Leaving, Ran::No), 0 },
    full = { Script::Fail(Kind::Full, Ran::No), 0 },
    before_headers = { lost_before_headers(), 0 },
    status_500 = { failed(), 0 },
    before_the_first_token = { Script::Tokens(0, After::Cut), 0 },
    between_tokens = { Script::Tokens(3, After::Cut), 3 },
    closed_between_tokens = { Script::Tokens(3, After::Close), 3 },
    before_the_end_marker = { Script::Tokens(TOKENS, After::Cut), TOKENS },
    closed_before_the_end_marker = { Script::Tokens(TOKENS, After::Close), TOKENS },
    duplicate_token = { Script::Tokens(3, After::Token(2)), 3 },
    late_token = { Script::Tokens(3, After::Token(0)), 3 },
    missing_token = { Script::Tokens(3, After::Token(4)), 3 },
    end_too_early = { Script::Tokens(3, After::End(TOKENS)), 3 },
    end_counts_too_few = { Script::Tokens(3, After::End(2)), 3 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_repeatable_stream_resumes_at_another_engine_without_duplicate_or_missing_tokens(
    script: Script,
    passed_on: u32,
) {
    let fixture = Fixture::new(3, 0);
    fixture.upstreams.script_next(script);
    let mut chat = fixture.chat(request(true));

    let received = read_to_end(&mut chat).await;

    assert_eq!(received.text, expected_text());
    assert_eq!(received.end, Some(TOKENS));
    assert_eq!(received.failure, None);
    let calls = fixture.upstreams.calls();
    assert_eq!(calls.len(), 2);
    assert_eq!(calls[1].resume_from, passed_on);
    assert_ne!(calls[0].upstream, calls[1].upstream);
    assert_ne!(calls[0].request, calls[1].request);
}

#[parameterized(
    no_connection = { connect() },
    leaving = { Script::Fail(Kind::Leaving, Ran::No) },
    full = { Script::Fail(Kind::Full, Ran::No) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_non_repeatable_request_is_retried_if_it_did_not_run(script: Script) {
    let fixture = Fixture::new(3, 0);
    fixture.upstreams.script_next(script);
    let mut chat = fixture.chat(request(false));

    let received = read_to_end(&mut chat).await;

    assert_eq!(received.text, expected_text());
    assert_eq!(fixture.upstreams.calls().len(), 2);
}

#[parameterized(
    before_headers = { lost_before_headers(), 0 },
    status_500 = { failed(), 0 },
    before_the_first_token = { Script::Tokens(0, After::Cut), 0 },
    between_tokens = { Script::Tokens(3, After::Cut), 3 },
    before_the_end_marker = { Script::Tokens(TOKENS, After::Close), TOKENS },
    duplicate_token = { Script::Tokens(3, After::Token(2)), 3 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_non_repeatable_request_that_may_have_run_is_sent_once_and_fails(
    script: Script,
    passed_on: u32,
) {
    let fixture = Fixture::new(3, 0);
    fixture.upstreams.script_next(script);
    let mut chat = fixture.chat(request(false));

    let received = read_to_end(&mut chat).await;

    let failure = received.failure.expect("the caller gets a failure");
    assert_eq!(
        (failure.code, failure.ran),
        (Code::OutcomeUnknown, Ran::Unknown)
    );
    assert_eq!(received.end, None);
    assert_eq!(received.text.split_whitespace().count() as u32, passed_on);
    assert_eq!(fixture.upstreams.calls().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_failure_reports_an_unknown_outcome_once_any_attempt_may_have_run() {
    let fixture = Fixture::new(2, 0);
    fixture.upstreams.script_next(lost_before_headers());
    fixture.upstreams.script_next(connect());
    let mut chat = fixture.chat(request(true));

    let received = read_to_end(&mut chat).await;

    let failure = received.failure.expect("both upstreams failed");
    assert_eq!(
        (failure.code, failure.ran),
        (Code::UpstreamFailed, Ran::Unknown)
    );
}

#[tokio::test(start_paused = true)]
async fn a_failure_reports_not_run_if_no_upstream_accepted_the_request() {
    let fixture = Fixture::new(2, 0);
    fixture.upstreams.script_all(connect());
    let mut chat = fixture.chat(request(true));

    let received = read_to_end(&mut chat).await;

    let failure = received.failure.expect("no upstream accepted it");
    assert_eq!((failure.code, failure.ran), (Code::NoUpstream, Ran::No));
    assert!(failure.retry_at.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_rejected_body_is_not_retried() {
    let fixture = Fixture::new(3, 0);
    let kind = Kind::Rejected {
        status: 400,
        message: "scripted".to_owned(),
    };
    fixture.upstreams.script_all(Script::Fail(kind, Ran::No));
    let mut chat = fixture.chat(request(true));

    let received = read_to_end(&mut chat).await;

    assert_eq!(
        received.failure.map(|failure| failure.code),
        Some(Code::UpstreamRejected)
    );
    assert_eq!(fixture.upstreams.calls().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_caller_disconnect_cancels_the_request_at_the_engine() {
    let fixture = Fixture::new(1, 0);
    let mut chat = fixture.chat(request(true));
    for _ in 0..2 {
        chat.next().await;
    }

    drop(chat);
    fixture.wait_for_tasks().await;

    let calls = fixture.upstreams.calls();
    assert_eq!(
        fixture.upstreams.cancels(),
        [(calls[0].upstream, calls[0].request)]
    );
}

#[tokio::test(start_paused = true)]
async fn a_complete_answer_is_not_cancelled() {
    let fixture = Fixture::new(1, 0);
    let mut chat = fixture.chat(request(true));

    read_to_end(&mut chat).await;
    drop(chat);
    fixture.wait_for_tasks().await;

    assert_eq!(fixture.upstreams.cancels(), []);
}

#[parameterized(
    before_headers = { Script::NoHeaders, 0 },
    before_the_first_token = { Script::Tokens(0, After::Hang), 0 },
    between_tokens = { Script::Tokens(3, After::Hang), 3 },
    before_the_end_marker = { Script::Tokens(TOKENS, After::Hang), TOKENS },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_repeatable_stream_resumes_at_another_engine_when_its_engine_stalls(
    script: Script,
    passed_on: u32,
) {
    let fixture = Fixture::new(3, 0);
    fixture.upstreams.script_next(script);
    let mut chat = fixture.chat(request(true));

    let received = read_to_end(&mut chat).await;
    fixture.wait_for_tasks().await;

    assert_eq!(
        (received.text, received.end),
        (expected_text(), Some(TOKENS))
    );
    let calls = fixture.upstreams.calls();
    assert_eq!((calls.len(), calls[1].resume_from), (2, passed_on));
    assert_eq!(
        fixture.upstreams.cancels(),
        [(calls[0].upstream, calls[0].request)]
    );
}

#[tokio::test(start_paused = true)]
async fn a_non_repeatable_request_at_a_hanging_engine_times_out_and_is_cancelled() {
    let fixture = Fixture::new(3, 0);
    fixture
        .upstreams
        .script_next(Script::Tokens(2, After::Hang));
    let mut chat = fixture.chat(request(false));
    let began = tokio::time::Instant::now();

    let received = read_to_end(&mut chat).await;
    fixture.wait_for_tasks().await;

    assert_eq!(
        received.failure.map(|failure| failure.code),
        Some(Code::Timeout)
    );
    assert!(began.elapsed() <= Duration::from_secs(11));
    assert_eq!(fixture.upstreams.cancels().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_invalid_attempt_is_cancelled_when_the_stream_resumes_elsewhere() {
    let fixture = Fixture::new(2, 0);
    fixture
        .upstreams
        .script_next(Script::Tokens(3, After::Token(7)));
    let mut chat = fixture.chat(request(true));

    read_to_end(&mut chat).await;
    fixture.wait_for_tasks().await;

    let calls = fixture.upstreams.calls();
    assert_eq!(
        fixture.upstreams.cancels(),
        [(calls[0].upstream, calls[0].request)]
    );
}

#[tokio::test(start_paused = true)]
async fn a_leaving_engine_gets_no_further_requests() {
    let fixture = Fixture::new(2, 0);
    fixture
        .upstreams
        .script_next(Script::Fail(Kind::Leaving, Ran::No));
    read_to_end(&mut fixture.chat(request(true))).await;
    let left = fixture.upstreams.calls()[0].upstream;

    for _ in 0..10 {
        read_to_end(&mut fixture.chat(request(true))).await;
    }

    let later = &fixture.upstreams.calls()[1..];
    assert!(later.iter().all(|call| call.upstream != left));
}
