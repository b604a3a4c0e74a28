//! Calls of plain services.

use tinbank_base::{
    outcome::{Code, Ran},
    platform::upstream::Kind,
};
use yare::parameterized;

use super::fixture::{After, Fixture, Script, request};
use crate::run::plain;

#[parameterized(
    repeatable = { true, Ran::Unknown, 2 },
    not_repeatable = { false, Ran::Unknown, 1 },
    not_repeatable_but_not_run = { false, Ran::No, 2 },
)]
#[test_macro(tokio::test(start_paused = true))]
async fn a_failed_call_is_retried_only_if_it_is_repeatable_or_did_not_run(
    repeatable: bool,
    ran: Ran,
    calls: usize,
) {
    let fixture = Fixture::new(3, 0);
    let kind = Kind::Connect("scripted".to_owned());
    fixture.upstreams.script_next(Script::Fail(kind, ran));
    let request = request(repeatable);
    let telemetry = fixture.telemetry(&request);

    let answer = plain::run(fixture.ctx.clone(), &request, telemetry).await;

    assert_eq!(answer.is_ok(), calls == 2);
    assert_eq!(fixture.upstreams.calls().len(), calls);
}

#[tokio::test(start_paused = true)]
async fn a_hanging_call_times_out_with_an_unknown_outcome() {
    let fixture = Fixture::new(3, 0);
    fixture.upstreams.script_all(Script::Tokens(0, After::Hang));
    let request = request(false);
    let telemetry = fixture.telemetry(&request);

    let answer = plain::run(fixture.ctx.clone(), &request, telemetry).await;

    let failure = answer.expect_err("it hangs");
    assert_eq!((failure.code, failure.ran), (Code::Timeout, Ran::Unknown));
    assert_eq!(fixture.upstreams.calls().len(), 1);
}
