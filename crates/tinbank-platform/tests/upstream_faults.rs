//! The adapter for upstreams against the stand-ins, under each fault: had it an effect, provably none, or is that unknown?

mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use support::{
    assert_error, call, collect, engine, eventually, expected, fixture, marked, nowhere, prompt,
    runs, slow_fixture, start, target,
};
use tinbank_base::{
    outcome::Ran,
    platform::upstream::{Call, Kind, Target, Upstreams},
};
use tinbank_platform::upstream::Http;
use tinbank_standin::{Settings, account::End};

#[tokio::test]
async fn a_refused_connection_did_not_run() {
    let (upstreams, nowhere) = (
        Http::new(),
        Target {
            upstream: 1,
            address: nowhere(),
        },
    );

    let chat = upstreams
        .chat(nowhere, call(1, &prompt("x")))
        .await
        .map(drop);
    let plain = upstreams.call(nowhere, call(1, &json!({}))).await;

    assert_error(chat, Ran::No, |kind| matches!(kind, Kind::Connect(_)));
    assert_error(plain, Ran::No, |kind| matches!(kind, Kind::Connect(_)));
}

#[tokio::test]
async fn a_call_after_its_deadline_is_not_sent() {
    let (standin, upstreams, engine) = fixture().await;
    let late = Call {
        deadline: Instant::now(),
        ..call(1, &prompt("x"))
    };

    let chat = upstreams.chat(engine, late.clone()).await.map(drop);
    let plain = upstreams.call(engine, late).await;

    assert_error(chat, Ran::No, |kind| *kind == Kind::Timeout);
    assert_error(plain, Ran::No, |kind| *kind == Kind::Timeout);
    assert_eq!(runs(&standin), []);
}

#[tokio::test]
async fn a_deadline_in_the_midst_leaves_it_unknown() {
    let (standin, upstreams, engine) = fixture().await;
    standin.engines()[0]
        .faults
        .change(|fault| fault.paused = true);
    let short = Call {
        deadline: Instant::now() + Duration::from_millis(30),
        ..call(1, &prompt("x"))
    };

    let chat = upstreams.chat(engine, short).await.map(drop);

    assert_error(chat, Ran::Unknown, |kind| *kind == Kind::Timeout);
}

#[tokio::test]
async fn a_leaving_upstream_says_that_it_ran_nothing_and_finishes_what_it_has() {
    let (standin, upstreams, engine) = fixture().await;
    let body = prompt("begun");
    let begun = upstreams
        .chat(engine, call(1, &body))
        .await
        .expect("it is up");

    for service in standin.engines().iter().chain(standin.plain()) {
        service.faults.change(|fault| fault.leaving = true);
    }
    let chat = upstreams
        .chat(engine, call(2, &prompt("late")))
        .await
        .map(drop);
    let plain = upstreams
        .call(target(&standin.plain()[0]), call(3, &json!({})))
        .await;
    let whole = collect(begun).await;

    assert_error(chat, Ran::No, |kind| *kind == Kind::Leaving);
    assert_error(plain, Ran::No, |kind| *kind == Kind::Leaving);
    assert_eq!(whole.text, expected(&body).whole());
    assert_eq!(
        (
            runs(&standin).len(),
            standin.plain()[0].account.runs().len()
        ),
        (1, 0)
    );
    eventually("the report", async || {
        upstreams
            .report(engine)
            .await
            .is_ok_and(|report| report.leaving)
    })
    .await;
}

#[tokio::test]
async fn a_full_engine_says_that_it_ran_nothing() {
    let mut full = engine(1);
    full.queue = 0;
    let standin = start(Settings {
        engines: vec![full],
        ..Settings::default()
    })
    .await;

    let chat = Http::new()
        .chat(target(&standin.engines()[0]), call(1, &prompt("x")))
        .await;

    assert_error(chat.map(drop), Ran::No, |kind| *kind == Kind::Full);
    assert_eq!(runs(&standin), []);
}

#[tokio::test]
async fn bodies_that_cant_be_done_are_rejected_or_fail() {
    let (standin, upstreams, engine) = fixture().await;

    let rejected = upstreams
        .chat(engine, call(1, &marked("reject")))
        .await
        .map(drop);
    let malformed = upstreams
        .chat(engine, call(2, &json!({ "messages": 3 })))
        .await
        .map(drop);
    let no_object = upstreams.chat(engine, call(3, &json!([]))).await.map(drop);
    let failed = upstreams
        .chat(engine, call(4, &marked("fail")))
        .await
        .map(drop);

    for result in [rejected, malformed, no_object] {
        assert_error(result, Ran::No, |kind| {
            matches!(kind, Kind::Rejected { status: 400, .. })
        });
    }
    assert_error(failed, Ran::Unknown, |kind| {
        matches!(kind, Kind::Failed { status: 500, .. })
    });
    assert_eq!(
        runs(&standin).iter().map(|run| run.end).collect::<Vec<_>>(),
        [End::Failed]
    );
}

#[tokio::test]
async fn a_killer_cuts_all_streams_and_the_engine_comes_back() {
    let (standin, upstreams, engine) = slow_fixture().await;
    let mut long = prompt("neighbour");
    long["max_tokens"] = json!(100);

    let neighbour = upstreams
        .chat(engine, call(1, &long))
        .await
        .expect("it is up");
    let killer = upstreams.chat(engine, call(2, &marked("kill"))).await;
    let neighbour = collect(neighbour).await;
    eventually("death", async || {
        let next = upstreams.chat(engine, call(3, &prompt("next"))).await;
        matches!(next, Err(error) if matches!(error.kind, Kind::Connect(_)) && error.ran == Ran::No)
    })
    .await;
    let ran_by_then = runs(&standin).len();
    standin.engines()[0]
        .faults
        .change(|fault| fault.killed = false);
    let body = prompt("after");
    let mut after = None;
    eventually("return", async || {
        after = upstreams.chat(engine, call(4, &body)).await.ok();
        after.is_some()
    })
    .await;
    let after = collect(after.expect("it is back")).await;

    let killer = match killer {
        Ok(parts) => collect(parts).await.end,
        Err(error) => Err(error),
    };
    assert_error(killer, Ran::Unknown, |kind| matches!(kind, Kind::Cut(_)));
    assert_error(neighbour.end, Ran::Unknown, |kind| {
        matches!(kind, Kind::Cut(_))
    });
    assert_eq!(after.text, expected(&body).whole());
    assert!(
        runs(&standin)[..ran_by_then]
            .iter()
            .all(|run| run.end == End::Failed)
    );
}

#[tokio::test]
async fn an_answer_lost_after_the_effect_is_unknown_and_in_the_account() {
    let (standin, upstreams, engine) = fixture().await;
    let plain = &standin.plain()[0];
    for service in [&standin.engines()[0], plain] {
        service.faults.change(|fault| fault.lose_next = 1);
    }

    let chat = collect(
        upstreams
            .chat(engine, call(1, &prompt("x")))
            .await
            .expect("it is up"),
    )
    .await;
    let answer = upstreams
        .call(target(plain), call(2, &json!({ "reference": "order 5" })))
        .await;

    assert_error(chat.end, Ran::Unknown, |kind| matches!(kind, Kind::Cut(_)));
    assert_error(answer, Ran::Unknown, |kind| matches!(kind, Kind::Cut(_)));
    assert_eq!(runs(&standin)[0].end, End::Completed);
    assert_eq!(plain.account.completed("order 5"), 1);
}
