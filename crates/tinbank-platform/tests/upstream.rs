//! The adapter for upstreams against the stand-ins: answers, cancels, reports and orders.

mod support;

use std::time::Duration;

use futures::StreamExt;
use serde_json::{Value, json};
use smallvec::smallvec;
use support::{
    artifact, assert_error, call, collect, engine, eventually, expected, fixture, prompt, runs,
    slow_fixture, start, target,
};
use tinbank_base::{
    outcome::Ran,
    platform::upstream::{Call, Kind, Order, Part, Upstreams, Verdict},
};
use tinbank_platform::upstream::Http;
use tinbank_standin::{Settings, account::End};

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
