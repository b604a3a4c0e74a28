//! Engines that are lost, cross answers or hang, in each phase of a stream.

use std::time::Duration;

use tinbank_base::{
    outcome::{Code, Ran},
    platform::upstream::Kind,
};
use yare::parameterized;

use super::fixture::{After, Fixture, Script, TOKENS, drain, request, whole_text};

fn connect() -> Script {
    Script::Refuse(Kind::Connect("scripted".to_owned()), Ran::No)
}

fn lost_before_headers() -> Script {
    Script::Refuse(Kind::Cut("scripted".to_owned()), Ran::Unknown)
}

fn failed() -> Script {
    let kind = Kind::Failed {
        status: 500,
        message: "scripted".to_owned(),
    };
    Script::Refuse(kind, Ran::Unknown)
}

#[parameterized(
    no_connection = { connect(), 0 },
    leaving = { Script::Refuse(Kind::Leaving, Ran::No), 0 },
    full = { Script::Refuse(Kind::Full, Ran::No), 0 },
    before_headers = { lost_before_headers(), 0 },
    status_500 = { failed(), 0 },
    before_the_first_token = { Script::Then(0, After::Cut), 0 },
    between_tokens = { Script::Then(3, After::Cut), 3 },
    closed_between_tokens = { Script::Then(3, After::Close), 3 },
    before_the_end_marker = { Script::Then(TOKENS, After::Cut), TOKENS },
    closed_before_the_end_marker = { Script::Then(TOKENS, After::Close), TOKENS },
    doubled_token = { Script::Then(3, After::Token(2)), 3 },
    late_token = { Script::Then(3, After::Token(0)), 3 },
    token_left_out = { Script::Then(3, After::Token(4)), 3 },
    end_too_early = { Script::Then(3, After::End(TOKENS)), 3 },
    end_counts_too_few = { Script::Then(3, After::End(2)), 3 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_repeatable_stream_goes_on_elsewhere_with_nothing_doubled_or_missing(
    script: Script,
    passed_on: u32,
) {
    let fixture = Fixture::new(3, 0);
    fixture.upstreams.first(script);
    let mut chat = fixture.chat(request(true));

    let got = drain(&mut chat).await;

    assert_eq!(got.text, whole_text());
    assert_eq!(got.end, Some(TOKENS));
    assert_eq!(got.failure, None);
    let calls = fixture.upstreams.calls();
    assert_eq!(calls.len(), 2);
    assert_eq!(calls[1].resume_from, passed_on);
    assert_ne!(calls[0].upstream, calls[1].upstream);
    assert_ne!(calls[0].request, calls[1].request);
}

#[parameterized(
    no_connection = { connect() },
    leaving = { Script::Refuse(Kind::Leaving, Ran::No) },
    full = { Script::Refuse(Kind::Full, Ran::No) },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_request_not_to_be_repeated_goes_elsewhere_if_it_provably_did_not_run(script: Script) {
    let fixture = Fixture::new(3, 0);
    fixture.upstreams.first(script);
    let mut chat = fixture.chat(request(false));

    let got = drain(&mut chat).await;

    assert_eq!(got.text, whole_text());
    assert_eq!(fixture.upstreams.calls().len(), 2);
}

#[parameterized(
    before_headers = { lost_before_headers(), 0 },
    status_500 = { failed(), 0 },
    before_the_first_token = { Script::Then(0, After::Cut), 0 },
    between_tokens = { Script::Then(3, After::Cut), 3 },
    before_the_end_marker = { Script::Then(TOKENS, After::Close), TOKENS },
    doubled_token = { Script::Then(3, After::Token(2)), 3 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_request_not_to_be_repeated_is_sent_once_and_ends_in_an_explicit_error(
    script: Script,
    passed_on: u32,
) {
    let fixture = Fixture::new(3, 0);
    fixture.upstreams.first(script);
    let mut chat = fixture.chat(request(false));

    let got = drain(&mut chat).await;

    let failure = got.failure.expect("the caller is told");
    assert_eq!(
        (failure.code, failure.ran),
        (Code::OutcomeUnknown, Ran::Unknown)
    );
    assert_eq!(got.end, None);
    assert_eq!(got.text.split_whitespace().count() as u32, passed_on);
    assert_eq!(fixture.upstreams.calls().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn not_run_is_no_longer_said_once_an_attempt_may_have_run() {
    let fixture = Fixture::new(2, 0);
    fixture.upstreams.first(lost_before_headers());
    fixture.upstreams.first(connect());
    let mut chat = fixture.chat(request(true));

    let got = drain(&mut chat).await;

    let failure = got.failure.expect("both upstreams failed");
    assert_eq!(
        (failure.code, failure.ran),
        (Code::UpstreamFailed, Ran::Unknown)
    );
}

#[tokio::test(start_paused = true)]
async fn not_run_is_said_when_no_upstream_took_the_request() {
    let fixture = Fixture::new(2, 0);
    fixture.upstreams.always(connect());
    let mut chat = fixture.chat(request(true));

    let got = drain(&mut chat).await;

    let failure = got.failure.expect("nobody took it");
    assert_eq!((failure.code, failure.ran), (Code::NoUpstream, Ran::No));
    assert!(failure.retry_at.is_some());
}

#[tokio::test(start_paused = true)]
async fn a_rejected_body_is_not_sent_again() {
    let fixture = Fixture::new(3, 0);
    let kind = Kind::Rejected {
        status: 400,
        message: "scripted".to_owned(),
    };
    fixture.upstreams.always(Script::Refuse(kind, Ran::No));
    let mut chat = fixture.chat(request(true));

    let got = drain(&mut chat).await;

    assert_eq!(
        got.failure.map(|failure| failure.code),
        Some(Code::UpstreamRejected)
    );
    assert_eq!(fixture.upstreams.calls().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_caller_who_goes_away_cancels_at_the_engine() {
    let fixture = Fixture::new(1, 0);
    let mut chat = fixture.chat(request(true));
    for _ in 0..2 {
        chat.next().await;
    }

    drop(chat);
    fixture.settle().await;

    let calls = fixture.upstreams.calls();
    assert_eq!(
        fixture.upstreams.cancels(),
        [(calls[0].upstream, calls[0].request)]
    );
}

#[tokio::test(start_paused = true)]
async fn a_whole_answer_is_not_cancelled() {
    let fixture = Fixture::new(1, 0);
    let mut chat = fixture.chat(request(true));

    drain(&mut chat).await;
    drop(chat);
    fixture.settle().await;

    assert_eq!(fixture.upstreams.cancels(), []);
}

#[parameterized(
    before_headers = { Script::Silent, 0 },
    before_the_first_token = { Script::Then(0, After::Hang), 0 },
    between_tokens = { Script::Then(3, After::Hang), 3 },
    before_the_end_marker = { Script::Then(TOKENS, After::Hang), TOKENS },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_repeatable_stream_goes_on_elsewhere_when_its_engine_stands_still(
    script: Script,
    passed_on: u32,
) {
    let fixture = Fixture::new(3, 0);
    fixture.upstreams.first(script);
    let mut chat = fixture.chat(request(true));

    let got = drain(&mut chat).await;
    fixture.settle().await;

    assert_eq!((got.text, got.end), (whole_text(), Some(TOKENS)));
    let calls = fixture.upstreams.calls();
    assert_eq!((calls.len(), calls[1].resume_from), (2, passed_on));
    assert_eq!(
        fixture.upstreams.cancels(),
        [(calls[0].upstream, calls[0].request)]
    );
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_hangs_ends_in_a_timeout_and_a_cancel() {
    let fixture = Fixture::new(3, 0);
    fixture.upstreams.first(Script::Then(2, After::Hang));
    let mut chat = fixture.chat(request(false));
    let began = tokio::time::Instant::now();

    let got = drain(&mut chat).await;
    fixture.settle().await;

    assert_eq!(got.failure.map(|failure| failure.code), Some(Code::Timeout));
    assert!(began.elapsed() <= Duration::from_secs(11));
    assert_eq!(fixture.upstreams.cancels().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_broken_attempt_is_cancelled_when_the_stream_goes_on_elsewhere() {
    let fixture = Fixture::new(2, 0);
    fixture.upstreams.first(Script::Then(3, After::Token(7)));
    let mut chat = fixture.chat(request(true));

    drain(&mut chat).await;
    fixture.settle().await;

    let calls = fixture.upstreams.calls();
    assert_eq!(
        fixture.upstreams.cancels(),
        [(calls[0].upstream, calls[0].request)]
    );
}

#[tokio::test(start_paused = true)]
async fn a_leaving_engine_gets_nothing_more() {
    let fixture = Fixture::new(2, 0);
    fixture
        .upstreams
        .first(Script::Refuse(Kind::Leaving, Ran::No));
    drain(&mut fixture.chat(request(true))).await;
    let left = fixture.upstreams.calls()[0].upstream;

    for _ in 0..10 {
        drain(&mut fixture.chat(request(true))).await;
    }

    let later = &fixture.upstreams.calls()[1..];
    assert!(later.iter().all(|call| call.upstream != left));
}
