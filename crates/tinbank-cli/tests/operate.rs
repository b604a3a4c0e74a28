//! Chat, hosts, upstreams and draining by the command line's own code, over HTTP to servers and stand-ins in this process.

use tinbank_cli::exit::Exit;

mod world;
use world::deployment::Deployment;

const TEMPLATE: &str = include_str!("../../../examples/water-authority/template.jsonc");
const CUSTOMER: &str = include_str!("../../../examples/water-authority/customer.jsonc");
const CHAT: &str = "chat --service logger-notes --max-tokens 8 \"What does a drop of 2 bar mean?\"";

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_upstream_gets_no_new_work_until_it_is_returned() {
    let deployment = start(1).await;
    let world = &deployment.world;

    world.run("ann", "drain upstream 1").await.done();
    deployment.in_force_everywhere().await;
    until_only(&deployment, 1).await;

    world.run("ann", "drain upstream 1 --back").await.done();
    world.run("ann", "drain upstream 2").await.done();
    deployment.in_force_everywhere().await;
    until_only(&deployment, 0).await;
}

/// Chats with one prompt after another until many in a row ran at one engine only: a host may take a moment from
/// having the configuration to choosing by it.
async fn until_only(deployment: &Deployment, engine: usize) {
    const IN_A_ROW: usize = 12;
    const MOST: usize = 200;
    let other = &deployment.standin.engines()[1 - engine].account;
    let mut in_a_row = 0;
    for prompt in 0..MOST {
        let before = other.runs().len();
        let line =
            format!("chat --service logger-notes --max-tokens 4 \"prompt {engine} {prompt}\"");
        deployment.world.run("ann", &line).await.done();
        in_a_row = if other.runs().len() == before {
            in_a_row + 1
        } else {
            0
        };
        if in_a_row == IN_A_ROW {
            return;
        }
    }
    panic!("the drained engine still gets work");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_host_ends_and_the_last_one_is_kept() {
    let mut deployment = start(2).await;

    let drained = deployment.drain_second_host().await;
    let world = &deployment.world;
    let last = world.run("ann", "drain host 1").await;
    let unknown = world.run("ann", "drain host 77").await;

    assert!(drained.done().contains("host 2: to be drained"));
    assert_eq!(last.exit, Exit::Refused, "{}", last.err);
    assert_eq!(unknown.exit, Exit::Missing, "{}", unknown.err);
    let hosts = world.run("ann", "hosts").await;
    assert_eq!(
        hosts.exit,
        Exit::Partial,
        "the ended processes don't answer"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_is_found_in_the_time_line_and_on_its_page() {
    let deployment = start(1).await;
    let world = &deployment.world;
    let answer = world.run("ann", &format!("{CHAT} --json")).await.json();
    let request = answer["request"].as_str().expect("the answer has an id");

    let page = world.path("page.html");
    let line = format!("timeline --request {request} --html {page}");
    world.run("ann", &line).await.done();
    let text = world
        .run("ann", &format!("timeline --request {request}"))
        .await
        .done();

    let names: Vec<&str> = text
        .lines()
        .filter_map(|line| line.split_whitespace().nth(2))
        .collect();
    assert_eq!(names.first(), Some(&"accepted"), "{text}");
    assert_eq!(names.last(), Some(&"answered"), "{text}");
    let page = std::fs::read_to_string(page).expect("the page was written");
    assert_eq!(page.matches("<circle").count(), names.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_without_a_known_key_or_service_is_refused_and_says_why() {
    let deployment = start(1).await;
    let world = &deployment.world;
    let mut addresses = deployment.addresses();
    addresses.key = Some("nobody's key");
    world.settings("mallory", &addresses);

    let key = world.run("mallory", CHAT).await;
    let service = world.run("ann", "chat --service nothing hello").await;
    let mut nowhere = deployment.addresses();
    nowhere.online = vec![([127, 0, 0, 1], 9).into()];
    world.settings("lost", &nowhere);
    let lost = world.run("lost", CHAT).await;

    assert_eq!(key.exit, Exit::Refused, "{}", key.err);
    assert!(key.err.contains("unauthorized, not run"), "{}", key.err);
    assert_eq!(service.exit, Exit::Missing, "{}", service.err);
    assert_eq!(lost.exit, Exit::Unreachable, "{}", lost.err);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_submission_goes_on_at_another_entry_and_names_bad_lines() {
    let deployment = start(1).await;
    let world = &deployment.world;
    let mut addresses = deployment.addresses();
    addresses.batch.insert(0, ([127, 0, 0, 1], 9).into());
    world.settings("bob", &addresses);
    let line = r#"{"custom_id": "a", "body": {"max_tokens": 2, "messages": []}}"#;
    world.file("good.ndjson", line);
    world.file("bad.ndjson", &format!("{line}\n{{\n{line}\n"));

    let good = world
        .run("bob", "batch submit --service logger-notes good.ndjson")
        .await;
    let bad = world
        .run("bob", "batch submit --service logger-notes bad.ndjson")
        .await;
    let missing = world
        .run("bob", "batch status 00000000000000000000000000000001")
        .await;

    assert_eq!(good.done().trim().len(), 32);
    assert_eq!(bad.exit, Exit::Input, "{}", bad.err);
    assert!(bad.err.contains("line 2"), "{}", bad.err);
    assert_eq!(missing.exit, Exit::Missing, "{}", missing.err);
}

async fn start(hosts: u32) -> Deployment {
    let deployment = Deployment::start(hosts).await;
    let world = &deployment.world;
    world.file("template.jsonc", TEMPLATE);
    world.file("customer.jsonc", CUSTOMER);
    let template = "template put --new water-utility template.jsonc";
    world.run("ann", template).await.done();
    let customer = "customer put --new moreton-basin customer.jsonc";
    world.run("ann", customer).await.done();
    deployment.in_force_everywhere().await;
    deployment
}
