//! The whole process with stand-ins of the platform, over HTTP on loopback.

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
use tinbank_configuration::{fold::Verdict as ChangeVerdict, publish::Publisher};
use tinbank_fleet::{Server, Settings};
use tinbank_log::{reader, writer};
use tinbank_platform::{log, upstream};
use tinbank_server::metrics::catalog;
use tinbank_settings::common::Common;
use tinbank_standin::{Standin, engine, hosts, log as log_standin, weights};
use tinbank_test_support::scrape;
use tokio::{sync::watch, time::sleep};

/// Time after which a wait fails the test.
const TIMEOUT: Duration = Duration::from_secs(60);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_load_the_artifacts_that_the_configuration_requires() {
    let platform = platform().await;
    publish_service(&platform).await;

    let server = Server::start(settings(&platform, 1))
        .await
        .expect("the server starts");

    wait_until_loaded(&platform).await;
    let text = scrape::page(server.http_address(), "/metrics").await;
    let text = text.expect("the server runs");
    assert!(text.contains("tinbank_log_appends_total"), "{text}");
    assert_eq!(catalog::unlisted(&text), Vec::<&str>::new());
    assert_eq!(catalog::unlisted_labels(&text), Vec::<String>::new());
    assert!(
        !text.contains("moreton"),
        "the metrics name a customer: {text}"
    );
    server.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_ignores_fencing_and_obeyed_a_stale_order_is_corrected() {
    let platform = platform().await;
    publish_service(&platform).await;
    let server = Server::start(settings(&platform, 1))
        .await
        .expect("the server starts");
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
async fn another_process_sends_orders_after_the_lease_holder_is_lost() {
    let platform = platform().await;
    let first = Server::start(settings(&platform, 1))
        .await
        .expect("the server starts");
    wait_for(|| async { holds_lease(&first) }).await;
    first.kill();
    let second = Server::start(settings(&platform, 2))
        .await
        .expect("the server starts");

    publish_service(&platform).await;

    wait_until_loaded(&platform).await;
    second.stop().await;
}

/// Indexes of the engines in the settings.
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
        service.expect("the stand-in runs the service").address
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
    let address = platform
        .log()
        .expect("the stand-in runs the service")
        .address;
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
            .put(put, Instant::now() + TIMEOUT)
            .await
            .expect("the log is up");
        assert!(
            matches!(judged.verdict, ChangeVerdict::Accepted { .. }),
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
    let deadline = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "the condition was not met in time"
        );
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
