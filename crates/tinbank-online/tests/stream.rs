//! Streams through the real HTTP interface to stand-in engines, with engines lost in each phase.

mod support;

use serde_json::{Value, json};
use support::{NOTES, Size, World, chat, prompt, streamed, until, whole_text};
use tinbank_standin::account::End;
use yare::parameterized;

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_whole_and_ends_in_its_end_marker() {
    let world = World::start(Size::default()).await;
    let body = streamed("trace of logger 12");

    let answer = chat(world.address(), &[], &body).await;
    let id = answer.headers.get("x-request-id").cloned();
    let mut events = answer.events();
    events.read_all().await;

    assert_eq!(events.text, whole_text(&body));
    assert!(events.done && events.error.is_none());
    assert!(id.is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_not_streamed_is_one_json_value() {
    let world = World::start(Size::default()).await;
    let body = prompt("trace of logger 13");

    let answer = chat(world.address(), &[], &body).await.json().await;

    assert_eq!(
        answer["choices"][0]["message"]["content"],
        whole_text(&body)
    );
    assert_eq!(answer["object"], "chat.completion");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_the_customer_s_names_the_service() {
    let world = World::start(Size::default()).await;
    let mut body = prompt("why does the alarm sound?");
    body.as_object_mut()
        .expect("it is an object")
        .remove("model");

    let answer = chat(world.address(), &[("tinbank-stream", "alarms")], &body).await;

    assert_eq!(answer.json().await["model"], NOTES);
}

#[parameterized(
    after_the_first_token = { 1 },
    in_the_middle = { 12 },
    near_the_end = { 22 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn the_caller_gets_the_exact_text_though_the_engine_is_killed(tokens: u32) {
    let world = World::start(Size::default()).await;
    let body = streamed(&format!("killed after {tokens}"));

    let mut events = chat(world.address(), &[], &body).await.events();
    events.read(tokens).await;
    world
        .running_engine()
        .faults
        .change(|fault| fault.killed = true);
    events.read_all().await;

    assert_eq!(events.text, whole_text(&body));
    assert!(events.done && events.error.is_none());
}

#[parameterized(
    of_one_engine = { false },
    of_every_engine = { true },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_stream_without_its_end_marker_is_not_taken_for_whole(every: bool) {
    let world = World::start(Size::default()).await;
    let body = streamed("the end is lost");
    let lose = |probability| {
        for engine in world.standin.engines() {
            engine
                .faults
                .change(|fault| fault.lose_probability = probability);
        }
    };
    lose(1.0);

    let mut events = chat(world.address(), &[], &body).await.events();
    events.read(1).await;
    if !every {
        lose(0.0);
    }
    events.read_all().await;

    // A connection that breaks may take the tokens just before the break with it.
    assert!(whole_text(&body).starts_with(&events.text));
    assert!(every || events.text == whole_text(&body));
    assert_eq!(events.done, !every);
    assert_eq!(events.error.is_some(), every);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_not_to_be_repeated_runs_once_and_ends_in_an_explicit_error() {
    let world = World::start(Size::default()).await;
    let body = streamed("not to be repeated");

    let mut events = chat(world.address(), &[("tinbank-repeatable", "false")], &body)
        .await
        .events();
    events.read(3).await;
    world
        .running_engine()
        .faults
        .change(|fault| fault.killed = true);
    events.read_all().await;

    let error = events.error.expect("the caller is told");
    assert_eq!(
        (&error["code"], &error["ran"]),
        (&json!("outcome_unknown"), &json!("unknown"))
    );
    assert!(!events.done);
    assert_eq!(world.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_who_goes_away_cancels_at_the_engine() {
    let world = World::start(Size::default()).await;

    let mut events = chat(world.address(), &[], &streamed("the caller goes"))
        .await
        .events();
    events.read(2).await;
    drop(events);

    until(|| world.runs().iter().any(|run| run.end == End::Cancelled)).await;
    assert_eq!(world.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_request_and_finishes_what_it_has() {
    let world = World::start(Size::default()).await;
    let body = streamed("it leaves meanwhile");
    let mut events = chat(world.address(), &[], &body).await.events();
    events.read(1).await;
    let leaving = world.running_engine();

    leaving.faults.change(|fault| fault.leaving = true);
    for number in 0..12 {
        let body = prompt(&format!("request {number}"));
        let answer = chat(world.address(), &[], &body).await.json().await;
        let text = &answer["choices"][0]["message"]["content"];
        assert_eq!(text, &whole_text(&body), "{answer}");
    }
    events.read_all().await;

    assert_eq!(events.text, whole_text(&body));
    assert_eq!(leaving.account.runs().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn many_streams_at_once_each_get_their_own_answer() {
    let world = World::start(Size::default()).await;
    let ask = |number: u32| {
        let address = world.address();
        async move {
            let body = streamed(&format!("caller {number}"));
            let mut events = chat(address, &[], &body).await.events();
            events.read_all().await;
            (events.done, events.text == whole_text(&body))
        }
    };

    let answers = futures::future::join_all((0..40).map(ask)).await;

    assert!(
        answers.iter().all(|answer| *answer == (true, true)),
        "{answers:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_time_line_tells_of_the_request() {
    let world = World::start(Size::default()).await;

    chat(world.address(), &[], &prompt("to be traced"))
        .await
        .json()
        .await;

    let page = world
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
