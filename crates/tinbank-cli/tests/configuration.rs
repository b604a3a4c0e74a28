//! Templates, customers and the configuration by the command line's own code, over HTTP to a stand-in of the log.

use tinbank_cli::exit::Exit;
use tinbank_standin::{Settings, Standin, log};

mod world;
use world::{Addresses, World};

const TEMPLATE: &str = include_str!("../../../examples/water-authority/template.jsonc");
const CUSTOMER: &str = include_str!("../../../examples/water-authority/customer.jsonc");

#[tokio::test]
async fn what_is_published_is_shown_and_listed() {
    let (world, _standin) = start().await;

    let template = world
        .run("ann", "template put water-utility template.jsonc --json")
        .await
        .json();
    let customer = world
        .run("ann", "customer put moreton-basin customer.jsonc --json")
        .await
        .json();

    assert_eq!(template["revision"], 0);
    assert_eq!(customer["revision"], 1);
    let shown = world.run("bob", "customer show moreton-basin").await;
    assert_eq!(shown.out.trim(), CUSTOMER.trim());
    assert_eq!(
        shown.err.trim(),
        "customer moreton-basin: revision 1 by ann"
    );
    let listed = world.run("bob", "template list --json").await.json();
    assert_eq!(listed[0]["object"], "water-utility");
    assert_eq!(listed[0]["author"], "ann");
}

#[tokio::test]
async fn of_two_operators_who_race_one_wins_and_the_other_is_told_by_whom() {
    let (world, _standin) = published().await;

    let line = "customer put --base 1 moreton-basin customer.jsonc";
    world.race(line).await;

    let history = world
        .run("bob", "config history --json --customer moreton-basin")
        .await;
    let verdicts: Vec<String> = history
        .json()
        .as_array()
        .into_iter()
        .flatten()
        .map(|change| change["verdict"].to_string())
        .collect();
    assert_eq!(
        verdicts,
        [r#""accepted""#, r#""accepted""#, r#""overtaken""#]
    );
}

#[tokio::test]
async fn a_diff_shows_all_findings_together_and_publishes_nothing() {
    let (world, _standin) = published().await;
    world.file(
        "wrong.jsonc",
        r#"{
  "template": "water-utility",
  "key_sha256": [],
  "services": { "notes": { "kind": "engine", "pool": "", "timeout_ms": 0 } },
  "share": 0
}"#,
    );

    let diff = world
        .run("ann", "customer diff moreton-basin wrong.jsonc")
        .await;

    assert_eq!(diff.exit, Exit::Input);
    for place in [
        "4:",
        "5:",
        "services.notes.pool",
        "services.notes.timeout_ms",
        "share",
    ] {
        assert!(diff.err.contains(place), "{place}: {}", diff.err);
    }
    assert!(diff.out.contains("+  \"share\": 0"), "{}", diff.out);
    let shown = world.run("ann", "customer show moreton-basin").await;
    assert_eq!(shown.out.trim(), CUSTOMER.trim());
}

#[tokio::test]
async fn a_diff_of_an_overtaken_base_says_so() {
    let (world, _standin) = published().await;
    let put = "customer put moreton-basin customer.jsonc";
    world.run("bob", put).await.done();

    let diff = world
        .run("ann", "customer diff --base 1 moreton-basin customer.jsonc")
        .await;

    assert_eq!(diff.exit, Exit::Overtaken);
    assert!(
        diff.err.contains("overtaken by bob: the revision is now 2"),
        "{}",
        diff.err
    );
}

#[tokio::test]
async fn a_change_that_is_repeated_under_its_number_takes_effect_once() {
    let (world, _standin) = published().await;
    let put = "customer put --change 0000000000000000000000000000000a moreton-basin customer.jsonc";
    let first = world.run("ann", put).await;
    let again = world.run("ann", put).await;

    assert_eq!(first.done(), again.done());
    let listed = world.run("ann", "customer list --json").await.json();
    assert_eq!(listed[0]["revision"], 2);
}

#[tokio::test]
async fn what_does_not_exist_is_missing() {
    let (world, _standin) = start().await;

    let shown = world.run("ann", "customer show nobody").await;

    assert_eq!(shown.exit, Exit::Missing);
    assert!(shown.err.contains("customer nobody"), "{}", shown.err);
}

#[tokio::test]
async fn a_log_in_an_outage_is_unreachable_and_nothing_is_changed() {
    let (world, standin) = published().await;
    let log = standin.log().expect("it was started").clone();
    log.faults.change(|fault| fault.outage = true);

    let history = world.run("ann", "config history").await;

    assert_eq!(history.exit, Exit::Unreachable);
    assert!(history.err.contains("help:"), "{}", history.err);
}

#[tokio::test]
async fn files_are_checked_without_asking_anybody() {
    let world = World::new();
    world.file("template.jsonc", TEMPLATE);
    world.file("customer.jsonc", CUSTOMER);
    world.file("settings.jsonc", r#"{ "log": "here", "onlin": [] }"#);

    let template = world.run("ann", "check template.jsonc").await;
    let customer = world.run("ann", "check customer.jsonc").await;
    let settings = world.run("ann", "check --as settings settings.jsonc").await;

    assert!(template.done().contains("template, no findings"));
    assert!(customer.done().contains("customer, no findings"));
    assert_eq!(settings.exit, Exit::Input);
    assert!(
        settings.err.contains("settings.jsonc:1:10"),
        "{}",
        settings.err
    );
    assert!(
        settings.err.contains("did you mean `online`?"),
        "{}",
        settings.err
    );
}

async fn published() -> (World, Standin) {
    let (world, standin) = start().await;
    let template = "template put water-utility template.jsonc";
    world.run("ann", template).await.done();
    let customer = "customer put moreton-basin customer.jsonc";
    world.run("ann", customer).await.done();
    (world, standin)
}

async fn start() -> (World, Standin) {
    let settings = Settings {
        log: Some(log::Settings::default()),
        ..Settings::default()
    };
    let standin = Standin::start(settings)
        .await
        .expect("loopback has free ports");
    let world = World::new();
    let addresses = Addresses {
        log: standin.log().map(|log| log.address),
        ..Addresses::default()
    };
    world.settings("ann", &addresses);
    world.settings("bob", &addresses);
    world.file("template.jsonc", TEMPLATE);
    world.file("customer.jsonc", CUSTOMER);
    (world, standin)
}
