//! Streams over HTTP from stand-in engines that fail in each phase of the stream.

mod support;

use serde_json::{Value, json};
use support::{
    Cluster, ClusterOptions, NOTES, chat, chat_body, expected_text, streamed_body, wait_until,
};
use tinbank_standin::account::End;
use yare::parameterized;

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_complete_and_ends_with_the_end_marker() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let body = streamed_body("trace of logger 12");

    let answer = chat(cluster.address(), &[], &body).await;
    let id = answer.headers.get("x-request-id").cloned();
    let mut events = answer.events();
    events.read_all().await;

    assert_eq!(events.text, expected_text(&body));
    assert!(events.done && events.error.is_none());
    assert!(id.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unstreamed_answer_is_one_json_value() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let body = chat_body("trace of logger 13");

    let answer = chat(cluster.address(), &[], &body).await.json().await;

    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected_text(&body)
    );
    assert_eq!(answer["object"], "chat.completion");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_customer_stream_selects_the_service() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let mut body = chat_body("why does the alarm sound?");
    body.as_object_mut()
        .expect("it is an object")
        .remove("model");

    let answer = chat(cluster.address(), &[("tinbank-stream", "alarms")], &body).await;

    assert_eq!(answer.json().await["model"], NOTES);
}

#[parameterized(
    after_the_first_token = { 1 },
    in_the_middle = { 12 },
    near_the_end = { 22 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn the_caller_gets_the_exact_text_when_the_engine_is_killed(tokens: u32) {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let body = streamed_body(&format!("killed after {tokens}"));

    let mut events = chat(cluster.address(), &[], &body).await.events();
    events.read(tokens).await;
    cluster
        .running_engine()
        .faults
        .change(|fault| fault.killed = true);
    events.read_all().await;

    assert_eq!(events.text, expected_text(&body));
    assert!(events.done && events.error.is_none());
}

#[parameterized(
    of_one_engine = { false },
    of_every_engine = { true },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_stream_without_an_end_marker_is_not_complete(every: bool) {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let body = streamed_body("the end is lost");
    let lose = |probability| {
        for engine in cluster.standin.engines() {
            engine
                .faults
                .change(|fault| fault.lose_probability = probability);
        }
    };
    lose(1.0);

    let mut events = chat(cluster.address(), &[], &body).await.events();
    events.read(1).await;
    if !every {
        lose(0.0);
    }
    events.read_all().await;

    // The last tokens before a broken connection may be lost with it.
    assert!(expected_text(&body).starts_with(&events.text));
    assert!(every || events.text == expected_text(&body));
    assert_eq!(events.done, !every);
    assert_eq!(events.error.is_some(), every);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_repeatable_stream_runs_once_and_ends_with_an_error() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let body = streamed_body("not to be repeated");

    let mut events = chat(cluster.address(), &[("tinbank-repeatable", "false")], &body)
        .await
        .events();
    events.read(3).await;
    cluster
        .running_engine()
        .faults
        .change(|fault| fault.killed = true);
    events.read_all().await;

    let error = events.error.expect("the caller gets an error");
    assert_eq!(
        (&error["code"], &error["ran"]),
        (&json!("outcome_unknown"), &json!("unknown"))
    );
    assert!(!events.done);
    assert_eq!(cluster.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_disconnect_cancels_the_request_at_the_engine() {
    let cluster = Cluster::start(ClusterOptions::default()).await;

    let mut events = chat(cluster.address(), &[], &streamed_body("the caller goes"))
        .await
        .events();
    events.read(2).await;
    drop(events);

    wait_until(|| cluster.runs().iter().any(|run| run.end == End::Cancelled)).await;
    assert_eq!(cluster.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_requests_and_finishes_its_streams() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let body = streamed_body("it leaves meanwhile");
    let mut events = chat(cluster.address(), &[], &body).await.events();
    events.read(1).await;
    let leaving = cluster.running_engine();

    leaving.faults.change(|fault| fault.leaving = true);
    for number in 0..12 {
        let body = chat_body(&format!("request {number}"));
        let answer = chat(cluster.address(), &[], &body).await.json().await;
        let text = &answer["choices"][0]["message"]["content"];
        assert_eq!(text, &expected_text(&body), "{answer}");
    }
    events.read_all().await;

    assert_eq!(events.text, expected_text(&body));
    assert_eq!(leaving.account.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_streams_get_their_own_answers() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let run_chat = |number: u32| {
        let address = cluster.address();
        async move {
            let body = streamed_body(&format!("caller {number}"));
            let mut events = chat(address, &[], &body).await.events();
            events.read_all().await;
            (events.done, events.text == expected_text(&body))
        }
    };

    let answers = futures::future::join_all((0..40).map(run_chat)).await;

    assert!(
        answers.iter().all(|answer| *answer == (true, true)),
        "{answers:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_timeline_records_the_events_of_a_request() {
    let cluster = Cluster::start(ClusterOptions::default()).await;

    chat(cluster.address(), &[], &chat_body("to be traced"))
        .await
        .json()
        .await;

    let page = cluster
        .server()
        .recorder()
        .since(std::time::SystemTime::UNIX_EPOCH);
    let kinds: Vec<Value> = page
        .events
        .iter()
        .filter(|event| event.subject.request.is_some())
        .map(|event| serde_json::to_value(&event.kind).expect("it is plain data")["event"].clone())
        .collect();
    assert_eq!(kinds, ["accepted", "routed", "first_token", "answered"]);
}
