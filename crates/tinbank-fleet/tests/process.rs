//! The whole process against the stand-ins, over HTTP on loopback.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use smallvec::smallvec;
use tinbank_base::{
    clock::Stamp,
    id::{self, Process, Role},
    platform::{
        upstream::{Order, Target, Upstreams as _, Verdict},
        weights::Artifact,
    },
    record::{
        Writer as Identity,
        config::{Object, Put},
    },
};
use tinbank_configuration::{fold::Verdict as Judgement, publish::Publisher};
use tinbank_fleet::{Server, Settings};
use tinbank_log::{reader, writer};
use tinbank_platform::{log, upstream};
use tinbank_server::metrics::catalog;
use tinbank_settings::common::Common;
use tinbank_standin::{Standin, engine, hosts, log as log_standin, weights};
use tinbank_test_support::scrape;
use tokio::{sync::watch, time::sleep};

/// A test that waits longer than this has failed; it is no measure of speed.
const PATIENCE: Duration = Duration::from_secs(60);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_come_to_hold_what_the_configuration_asks_for() {
    let platform = platform().await;
    publish_service(&platform).await;

    let server = Server::start(settings(&platform, 1))
        .await
        .expect("it starts");

    wait_until_loaded(&platform).await;
    let text = scrape::page(server.http_address(), "/metrics").await;
    let text = text.expect("the server runs");
    assert!(text.contains("tinbank_log_appends_total"), "{text}");
    assert_eq!(catalog::unlisted(&text), Vec::<&str>::new());
    assert_eq!(catalog::unlisted_labels(&text), Vec::<String>::new());
    assert!(!text.contains("moreton"), "a customer is named: {text}");
    server.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stale_order_to_an_engine_that_ignores_fencing_is_overwritten() {
    let platform = platform().await;
    publish_service(&platform).await;
    let server = Server::start(settings(&platform, 1))
        .await
        .expect("it starts");
    wait_until_loaded(&platform).await;
    let stale = Order {
        fence: 0,
        loaded: smallvec![],
        tickets: smallvec![],
    };

    let verdict = upstream::Http::new()
        .order(target(&platform, IGNORES_FENCE), stale)
        .await;

    assert_eq!(verdict, Ok(Verdict::Taken));
    wait_until_loaded(&platform).await;
    server.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_the_holder_is_lost_another_process_gives_the_orders() {
    let platform = platform().await;
    let first = Server::start(settings(&platform, 1))
        .await
        .expect("it starts");
    wait_for(|| async { holds_lease(&first) }).await;
    first.kill();
    let second = Server::start(settings(&platform, 2))
        .await
        .expect("it starts");

    publish_service(&platform).await;

    wait_until_loaded(&platform).await;
    second.stop().await;
}

/// Places of the engines in the settings.
const CHECKS_FENCE: usize = 0;
const IGNORES_FENCE: usize = 1;

async fn platform() -> Standin {
    let engine = |upstream, checks_fence| engine::Settings {
        upstream,
        pools: smallvec!["notes".to_owned()],
        checks_fence,
        load: Duration::from_millis(50),
        report_lag: Duration::from_millis(20),
        ..engine::Settings::default()
    };
    let settings = tinbank_standin::Settings {
        log: Some(log_standin::Settings::default()),
        hosts: Some(hosts::Settings::default()),
        weights: Some(weights::Settings::default()),
        engines: vec![engine(1, true), engine(2, false)],
        ..tinbank_standin::Settings::default()
    };
    Standin::start(settings).await.expect("the stand-ins start")
}

fn settings(platform: &Standin, host: id::Host) -> Settings {
    let address = |service: Option<&tinbank_standin::service::Service>| {
        service.expect("the stand-in runs it").address
    };
    let common = Common {
        host,
        log: address(platform.log()),
        hosts: address(platform.hosts()),
        weights: address(platform.weights()),
        ..Common::default()
    };
    Settings { common }
}

async fn publish_service(platform: &Standin) {
    let address = platform.log().expect("the stand-in runs it").address;
    let log = Arc::new(log::Http::new(address));
    let identity = Identity {
        process: Process {
            host: 99,
            role: Role::Tool,
        },
        incarnation: 1,
    };
    let stamper = Arc::new(Stamp::default);
    let writer = writer::Writer::start(
        log.clone(),
        identity,
        stamper,
        writer::Settings::default(),
        watch::channel(1).1,
    );
    let mut publisher = Publisher::new(log, writer, reader::Settings::default());
    let template = r#"{"services":{"notes":{"kind":"engine","pool":"notes","artifact":{"model":"hydro","version":"2","adapter":null}}}}"#;
    let customer = format!(r#"{{"template":"utility","key_sha256":["{:064x}"]}}"#, 7);
    for (change, object, body) in [
        (1, Object::Template("utility".into()), template.to_owned()),
        (2, Object::Customer("moreton".into()), customer),
    ] {
        let put = Put {
            change,
            object,
            base: None,
            body: Some(body),
            author: "test".into(),
        };
        let judged = publisher
            .put(put, Instant::now() + PATIENCE)
            .await
            .expect("the log is up");
        assert!(
            matches!(judged.verdict, Judgement::Accepted { .. }),
            "{judged:?}"
        );
    }
}

async fn wait_until_loaded(platform: &Standin) {
    for engine in [CHECKS_FENCE, IGNORES_FENCE] {
        wait_for(|| async { loaded(platform, engine).await == BTreeSet::from([artifact()]) }).await;
    }
}

async fn wait_for<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    let give_up = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < give_up, "it did not come about");
        sleep(Duration::from_millis(50)).await;
    }
}

async fn loaded(platform: &Standin, engine: usize) -> BTreeSet<Artifact> {
    let report = upstream::Http::new().report(target(platform, engine)).await;
    report
        .map(|report| report.loaded.into_iter().collect())
        .unwrap_or_default()
}

fn target(platform: &Standin, engine: usize) -> Target {
    let list = platform.engines();
    Target {
        upstream: engine as id::Upstream + 1,
        address: list[engine].address,
    }
}

fn holds_lease(server: &Server) -> bool {
    let events = server.core().recorder.since(std::time::UNIX_EPOCH).events;
    events
        .iter()
        .any(|event| matches!(event.kind, tinbank_base::event::Kind::LeaseTaken { .. }))
}

fn artifact() -> Artifact {
    Artifact {
        model: "hydro".into(),
        version: "2".into(),
        adapter: None,
    }
}
