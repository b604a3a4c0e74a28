//! The adapter for upstreams against the stand-ins, under each fault.

mod support;

use std::time::{Duration, Instant};

use futures::StreamExt;
use serde_json::{Value, json};
use smallvec::smallvec;
use support::{
    artifact, assert_error, call, collect, engine, eventually, expected, nowhere, prompt, settings,
    start, target,
};
use tinbank_base::{
    outcome::Ran,
    platform::upstream::{Call, Kind, Order, Part, Target, Upstreams, Verdict},
};
use tinbank_platform::upstream::Http;
use tinbank_standin::{
    Settings, Standin,
    account::{End, Run},
};

async fn fixture() -> (Standin, Http, Target) {
    let standin = start(settings()).await;
    let engine = target(&standin.engines()[0]);
    (standin, Http::new(), engine)
}

/// An engine whose answers take half a second, so that they are still going on when cut short.
async fn slow_fixture() -> (Standin, Http, Target) {
    let mut slow = engine(1);
    slow.base_step = Duration::from_millis(25);
    let standin = start(Settings {
        engines: vec![slow],
        ..Settings::default()
    })
    .await;
    let engine = target(&standin.engines()[0]);
    (standin, Http::new(), engine)
}

fn runs(standin: &Standin) -> Vec<Run> {
    standin.engines()[0].account.runs()
}

fn marked(marker: &str) -> Value {
    let mut body = prompt(marker);
    body["standin"] = json!(marker);
    body
}

#[tokio::test]
async fn a_stream_gives_the_whole_answer_token_by_token() {
    let (standin, upstreams, engine) = fixture().await;
    let body = prompt("trace of logger 7");

    let parts = upstreams
        .chat(engine, call(7, &body))
        .await
        .expect("it is up");
    let whole = collect(parts).await;

    let text = expected(&body);
    assert_eq!(whole.text, text.whole());
    assert_eq!(whole.tokens, text.tokens);
    assert_eq!(whole.end, Ok(text.finish_reason().to_owned()));
    let runs = runs(&standin);
    assert_eq!(
        (runs.len(), runs[0].end, runs[0].tokens),
        (1, End::Completed, text.tokens)
    );
    assert_eq!(runs[0].reference.as_deref(), Some("trace of logger 7"));
    assert_eq!(runs[0].request.as_deref(), Some(&*format!("{:032x}", 7)));
}

#[tokio::test]
async fn a_resumed_stream_goes_on_after_the_last_token() {
    let (standin, upstreams, engine) = fixture().await;
    let body = prompt("anchor 12");
    let resumed = Call {
        resume_from: 5,
        ..call(8, &body)
    };

    let whole = collect(upstreams.chat(engine, resumed).await.expect("it is up")).await;

    let text = expected(&body);
    let rest: String = (5..text.tokens).map(|index| text.token(index)).collect();
    assert_eq!(whole.text, rest);
    assert!(whole.end.is_ok());
    assert_eq!(runs(&standin)[0].resumed_from, 5);
}

#[tokio::test]
async fn hundreds_of_streams_at_once_each_get_their_own_answer() {
    let engines = (1..=4).map(engine).collect();
    let standin = start(Settings {
        engines,
        ..Settings::default()
    })
    .await;
    let upstreams = Http::new();

    let calls = (0..400_u128).map(|request| {
        let (upstreams, engine) = (
            upstreams.clone(),
            target(&standin.engines()[request as usize % 4]),
        );
        tokio::spawn(async move {
            let body = prompt(&format!("note {request}"));
            let parts = upstreams
                .chat(engine, call(request, &body))
                .await
                .expect("it is up");
            (collect(parts).await.text, expected(&body).whole())
        })
    });
    let answers = futures::future::join_all(calls).await;

    for answer in answers {
        let (got, wanted) = answer.expect("no call panics");
        assert_eq!(got, wanted);
    }
    let completed = standin
        .engines()
        .iter()
        .flat_map(|engine| engine.account.runs());
    assert_eq!(
        completed.filter(|run| run.end == End::Completed).count(),
        400
    );
}

#[tokio::test]
async fn a_cancelled_request_stops_and_its_answer_is_not_whole() {
    let (standin, upstreams, engine) = slow_fixture().await;
    let mut parts = upstreams
        .chat(engine, call(9, &prompt("net")))
        .await
        .expect("it is up");

    let first = parts.next().await;
    upstreams.cancel(engine, 9).await.expect("it is up");
    let rest = collect(parts).await;

    assert!(
        matches!(first, Some(Ok(Part::Token { index: 0, .. }))),
        "{first:?}"
    );
    assert_error(rest.end, Ran::Unknown, |kind| matches!(kind, Kind::Cut(_)));
    assert_eq!(runs(&standin)[0].end, End::Cancelled);
    upstreams
        .cancel(engine, 1_234)
        .await
        .expect("an unknown request is harmless");
}

#[tokio::test]
async fn a_dropped_stream_stops_the_work() {
    let (standin, upstreams, engine) = slow_fixture().await;
    // Long steps, so that the answer can't be over before the connection is.
    standin.engines()[0]
        .faults
        .change(|fault| fault.paused = true);
    standin.engines()[0]
        .faults
        .change(|fault| fault.paused = false);
    let mut parts = upstreams
        .chat(engine, call(9, &prompt("net")))
        .await
        .expect("it is up");

    let first = parts.next().await;
    standin.engines()[0]
        .faults
        .change(|fault| fault.paused = true);
    drop(parts);
    tokio::time::sleep(Duration::from_millis(50)).await;
    standin.engines()[0]
        .faults
        .change(|fault| fault.paused = false);

    assert!(first.is_some());
    eventually("the cancel", async || {
        runs(&standin)[0].end == End::Cancelled
    })
    .await;
}

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

#[tokio::test]
async fn a_plain_service_answers_whole_and_counts() {
    let (standin, upstreams, _) = fixture().await;
    let plain = target(&standin.plain()[0]);
    let body = json!({ "reference": "order 6" });

    let first = upstreams
        .call(plain, call(1, &body))
        .await
        .expect("it is up");
    let second = upstreams.call(plain, call(2, &body)).await;

    let first: Value = serde_json::from_slice(&first).expect("it answers JSON");
    assert_eq!(first["service"], "notes");
    assert!(second.is_ok());
    assert_eq!(standin.plain()[0].account.completed("order 6"), 2);
}

#[tokio::test]
async fn a_report_tells_the_load() {
    let (standin, upstreams, engine) = fixture().await;
    let streams: Vec<_> = futures::stream::iter(0..10)
        .then(|request| upstreams.chat(engine, call(request, &prompt("x"))))
        .collect()
        .await;

    standin.engines()[0]
        .faults
        .change(|fault| fault.paused = true);
    standin.engines()[0]
        .faults
        .change(|fault| fault.paused = false);
    let idle = async || {
        let report = upstreams.report(engine).await.expect("it is up");
        report.slots == 8 && report.running == 0 && report.waiting == 0
    };
    drop(streams);

    eventually("an idle engine", idle).await;
}

#[tokio::test]
async fn orders_load_what_has_a_ticket_and_stale_ones_are_refused_where_checked() {
    let mut careless = engine(2);
    careless.checks_fence = false;
    let standin = start(Settings {
        engines: vec![engine(1), careless],
        ..Settings::default()
    })
    .await;
    let upstreams = Http::new();
    let order = |fence, version, tickets| Order {
        fence,
        loaded: smallvec![artifact(version)],
        tickets,
    };
    let (strict, careless) = (target(&standin.engines()[0]), target(&standin.engines()[1]));

    let without = upstreams.order(strict, order(5, "1", smallvec![])).await;
    let taken = upstreams.order(strict, order(5, "1", smallvec![1])).await;
    let again = upstreams.order(strict, order(5, "1", smallvec![])).await;
    let stale = upstreams.order(strict, order(4, "2", smallvec![2])).await;
    let new = upstreams.order(careless, order(5, "1", smallvec![1])).await;
    let late = upstreams.order(careless, order(4, "2", smallvec![2])).await;

    assert_error(without, Ran::No, |kind| {
        matches!(kind, Kind::Rejected { status: 409, .. })
    });
    assert_eq!((taken, again), (Ok(Verdict::Taken), Ok(Verdict::Taken)));
    assert_eq!(stale, Ok(Verdict::Stale { seen: 5 }));
    assert_eq!((new, late), (Ok(Verdict::Taken), Ok(Verdict::Taken)));
    for (engine, version) in [(strict, "1"), (careless, "2")] {
        eventually("loading", async || {
            let report = upstreams.report(engine).await.expect("it is up");
            report.fence == 5 && report.loaded[..] == [artifact(version)]
        })
        .await;
    }
}
