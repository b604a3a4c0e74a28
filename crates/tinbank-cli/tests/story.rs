//! The story of a deployment, through the command line's own code and real HTTP on loopback: publish, race, ask, submit,
//! cancel, read, drain a host, and find it all in the time line in causal order.

use serde_json::Value;
use tinbank_cli::exit::Exit;
use tinbank_server::metrics::catalog;
use tinbank_test_support::scrape;

mod world;
use world::deployment::Deployment;

const TEMPLATE: &str = include_str!("../../../examples/water-authority/template.jsonc");
const CUSTOMER: &str = include_str!("../../../examples/water-authority/customer.jsonc");

/// Items of the job that is read.
const ITEMS: usize = 24;
/// Items of the job that is cancelled: more than can end before the cancel.
const MANY_ITEMS: usize = 3_000;

#[tokio::test(flavor = "multi_thread")]
async fn a_deployment_from_its_first_customer_to_a_drained_host() {
    let mut deployment = Deployment::start(2).await;
    publish(&deployment).await;
    race(&deployment).await;
    in_force_everywhere(&deployment).await;
    chat(&deployment).await;
    let job = submit(&deployment).await;
    read(&deployment, &job).await;
    find_item(&deployment, &job).await;
    cancel(&deployment).await;
    drain(&mut deployment).await;
    read(&deployment, &job).await;
    look_back(&deployment).await;
    scrape(&deployment).await;
}

/// After all that happened: no metric and no label outside the table, and none that names a customer or a request.
async fn scrape(deployment: &Deployment) {
    let host = &deployment.hosts[0];
    for address in [host.online.http_address(), host.batch.http_address()] {
        let text = scrape::page(address, "/metrics").await;
        let text = text.expect("the server runs");

        assert!(text.contains("tinbank_online_request_seconds"), "{text}");
        assert_eq!(catalog::unlisted(&text), Vec::<&str>::new());
        assert_eq!(catalog::unlisted_labels(&text), Vec::<String>::new());
        assert!(
            !text.contains("moreton-basin"),
            "a customer is named: {text}"
        );
        assert!(!text.contains("logger-notes"), "a service is named: {text}");
    }
}

async fn publish(deployment: &Deployment) {
    let world = &deployment.world;
    world.file("template.jsonc", TEMPLATE);
    world.file("customer.jsonc", CUSTOMER);
    let template = "template put --new water-utility template.jsonc";
    world.run("ann", template).await.done();
    let customer = "customer put --new moreton-basin customer.jsonc";
    world.run("ann", customer).await.done();
}

async fn race(deployment: &Deployment) {
    let world = &deployment.world;
    let shown = world
        .run("ann", "customer show moreton-basin --json")
        .await
        .json();
    let line = format!(
        "customer put --base {} moreton-basin customer.jsonc",
        shown["revision"]
    );

    world.race(&line).await;
}

async fn in_force_everywhere(deployment: &Deployment) {
    deployment.in_force_everywhere().await;
    let status = deployment
        .world
        .run("ann", "config status --json")
        .await
        .json();
    let processes = status["processes"].as_array().map(Vec::len);
    assert_eq!(processes, Some(4), "{status}");
}

async fn chat(deployment: &Deployment) {
    let line =
        "chat --service logger-notes --max-tokens 20 --json \"What does a drop of 2 bar mean?\"";
    let answer = deployment.world.run("ann", line).await.json();

    assert!(
        answer["text"].as_str().is_some_and(|text| !text.is_empty()),
        "{answer}"
    );
    let request = answer["request"]
        .as_str()
        .expect("the answer has a request id");
    let line = format!("timeline --json --request {request}");
    let timeline = deployment.world.run("ann", &line).await.json();
    assert_in_order(
        &names(&timeline),
        &["accepted", "routed", "first_token", "answered"],
    );
}

async fn submit(deployment: &Deployment) -> String {
    let world = &deployment.world;
    world.file("sweep.ndjson", &items(ITEMS, 12));
    let line = "batch submit --service logger-notes sweep.ndjson";

    let first = world.run("ann", &format!("{line} --due 7h")).await;
    // A time span from now would be another due time, so what is printed for repeating it names the time.
    let repeat = first.err.trim().strip_prefix("to repeat it safely: ");
    let repeat = repeat.expect("it says how to repeat it");
    let again = world.run("ann", &format!("{line} {repeat}")).await;

    let job = first.out.trim().to_owned();
    assert_eq!(
        again.done().trim(),
        job,
        "a repeated submission gives the same job"
    );
    job
}

async fn read(deployment: &Deployment, job: &str) {
    let world = &deployment.world;
    let status = world
        .run("ann", &format!("batch status --wait --json {job}"))
        .await;
    let status = status.json();
    assert_eq!(status["counts"]["answered"], ITEMS, "{status}");
    let results = world
        .run("ann", &format!("batch results {job}"))
        .await
        .done();
    let mut ids: Vec<String> = results.lines().map(custom_id).collect();
    ids.sort();
    let expected: Vec<String> = (0..ITEMS).map(name).collect();
    assert_eq!(ids, expected);
    let item = world
        .run("ann", &format!("batch results --item {} {job}", name(3)))
        .await;
    assert_eq!(item.json()["state"], "answered");
}

async fn cancel(deployment: &Deployment) {
    let world = &deployment.world;
    world.file("storm.ndjson", &items(MANY_ITEMS, 120));
    let line = "batch submit --service logger-notes storm.ndjson";
    let job = world.run("ann", line).await.done();
    let job = job.trim();

    world
        .run("ann", &format!("batch cancel {job}"))
        .await
        .done();
    let status = world
        .run("ann", &format!("batch status --wait --json {job}"))
        .await;

    assert_eq!(status.exit, Exit::Partial, "{}", status.err);
    let status: Value = serde_json::from_str(&status.out).expect("it is JSON");
    assert_eq!(status["state"], "cancelled");
    assert!(status["counts"]["cancelled"].as_u64() > Some(0), "{status}");
    assert_eq!(status["counts"]["pending"], 0, "{status}");
}

async fn drain(deployment: &mut Deployment) {
    let drained = deployment.drain_second_host().await;

    let world = &deployment.world;
    assert!(drained.done().contains("host 2: to be drained"));
    let last = world.run("ann", "drain host 1").await;
    assert_eq!(last.exit, Exit::Refused, "{}", last.err);
}

/// The item's way in causal order, as text and on a page, while all processes can be asked.
async fn find_item(deployment: &Deployment, job: &str) {
    let world = &deployment.world;
    let page = world.path("item.html");

    let line = format!("timeline --json --item {job}/3 --html {page}");
    let timeline = world.run("ann", &line).await.json();

    let events = names(&timeline);
    assert_in_order(&events, &["committed", "accepted"]);
    assert_in_order(&events, &["committed", "routed", "completed"]);
    assert_eq!(timeline["gaps"], serde_json::json!([]));
    let page = std::fs::read_to_string(page).expect("the page was written");
    assert_eq!(page.matches("<circle").count(), events.len());
}

/// The drained host took its own events with it: that is shown, and its peers tell of it.
async fn look_back(deployment: &Deployment) {
    let timeline = deployment
        .world
        .run("ann", "timeline --json --host 2")
        .await;

    assert_eq!(timeline.exit, Exit::Partial, "{}", timeline.err);
    let timeline: Value = serde_json::from_str(&timeline.out).expect("it is JSON");
    assert_in_order(&names(&timeline), &["peer_leaving"]);
    let gaps = timeline["gaps"].as_array().into_iter().flatten();
    let hosts: Vec<u64> = gaps
        .filter_map(|gap| gap["process"]["host"].as_u64())
        .collect();
    assert_eq!(hosts, [2, 2], "{timeline}");
}

/// Names of the events, in the order of the time line.
fn names(timeline: &Value) -> Vec<&str> {
    let events = timeline["events"].as_array().into_iter().flatten();
    events.filter_map(|event| event["event"].as_str()).collect()
}

#[track_caller]
fn assert_in_order(events: &[&str], expected: &[&str]) {
    let mut rest = events.iter();
    for name in expected {
        assert!(
            rest.any(|event| event == name),
            "{name} is not in its place: {events:?}"
        );
    }
}

fn items(count: usize, tokens: u32) -> String {
    (0..count)
        .map(|index| {
            let content = format!("Summarise the trace of logger {index}.");
            let body = serde_json::json!({
                "max_tokens": tokens,
                "messages": [{ "role": "user", "content": content }],
            });
            let item = serde_json::json!({ "custom_id": name(index), "body": body });
            format!("{item}\n")
        })
        .collect()
}

fn name(index: usize) -> String {
    format!("logger-{index:04}")
}

fn custom_id(line: &str) -> String {
    let item: Value = serde_json::from_str(line).expect("each line is JSON");
    assert_eq!(item["state"], "answered", "{line}");
    item["custom_id"].as_str().unwrap_or_default().to_owned()
}
