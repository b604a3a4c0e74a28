//! Planned stops interrupt no stream, and a lost host never makes an answer look complete.

mod support;

use std::time::Instant;

use support::{Cluster, ClusterOptions, chat, chat_body, expected_text, streamed_body, wait_until};
use tinbank_base::frame::heartbeat::Leaving;
use tinbank_online::Server;

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_every_stream() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    let address = cluster.address();
    let bodies: Vec<_> = (0..5)
        .map(|number| streamed_body(&format!("stream {number}")))
        .collect();
    let mut streams = Vec::new();
    for body in &bodies {
        let mut events = chat(address, &[], body).await.events();
        events.read(1).await;
        streams.push(events);
    }

    let server = cluster.servers.remove(0);
    let stopped = tokio::spawn(server.stop());
    for (events, body) in streams.iter_mut().zip(&bodies) {
        events.read_all().await;
        assert_eq!(events.text, expected_text(body));
        assert!(events.done && !events.broken);
    }

    stopped.await.expect("the server stops");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_host_breaks_its_streams_and_another_host_serves() {
    let mut cluster = Cluster::start(ClusterOptions {
        servers: 2,
        ..ClusterOptions::default()
    })
    .await;
    let mut events = chat(cluster.address(), &[], &streamed_body("the host is lost"))
        .await
        .events();
    events.read(2).await;

    cluster.servers.remove(0).kill();
    events.read_all().await;
    let body = chat_body("asked elsewhere");
    let answer = chat(cluster.address(), &[], &body).await.json().await;

    assert!(!events.done);
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected_text(&body)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_engine_is_used_again() {
    let cluster = Cluster::start(ClusterOptions {
        engines: 1,
        ..ClusterOptions::default()
    })
    .await;
    let engine = &cluster.standin.engines()[0];

    engine.faults.change(|fault| fault.killed = true);
    let refused = chat(
        cluster.address(),
        &[("tinbank-timeout-ms", "500")],
        &chat_body("first"),
    )
    .await;
    assert!(refused.status.is_server_error());
    engine.faults.change(|fault| fault.killed = false);

    let address = cluster.address();
    let mut answered = false;
    for number in 0..200 {
        let answer = chat(address, &[], &chat_body(&format!("again {number}"))).await;
        answered |= answer.status.is_success();
        if answered {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert!(answered);
    wait_until(|| {
        engine
            .account
            .runs()
            .iter()
            .all(|run| run.end != tinbank_standin::account::End::Running)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_reported_to_one_host_is_avoided_by_all() {
    let cluster = Cluster::start(ClusterOptions {
        servers: 3,
        ..ClusterOptions::default()
    })
    .await;
    // Only this message says that the engine leaves; the engine and the host list report it as live.
    let leaving = Leaving {
        upstream: 1,
        list: u64::MAX,
    };

    cluster.server().table().hear(leaving, Instant::now());

    let known_everywhere = || {
        let mut tables = cluster.servers.iter().map(Server::table);
        tables.all(|table| table.is_leaving(1, Instant::now()))
    };
    wait_until(known_everywhere).await;
    let answer = chat(
        cluster.servers[2].http_address(),
        &[],
        &chat_body("after the message"),
    )
    .await;
    assert!(answer.status.is_success());
    assert!(cluster.standin.engines()[0].account.runs().is_empty());
}
