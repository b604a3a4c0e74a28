//! Planned stops cut off nothing; a lost host never makes an answer look whole.

mod support;

use std::time::Instant;

use support::{Size, World, chat, prompt, streamed, until, whole_text};
use tinbank_base::frame::heartbeat::Leaving;
use tinbank_online::Server;

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_every_stream() {
    let mut world = World::start(Size::default()).await;
    let address = world.address();
    let bodies: Vec<_> = (0..5)
        .map(|number| streamed(&format!("stream {number}")))
        .collect();
    let mut streams = Vec::new();
    for body in &bodies {
        let mut events = chat(address, &[], body).await.events();
        events.read(1).await;
        streams.push(events);
    }

    let server = world.servers.remove(0);
    let stopped = tokio::spawn(server.stop());
    for (events, body) in streams.iter_mut().zip(&bodies) {
        events.read_all().await;
        assert_eq!(events.text, whole_text(body));
        assert!(events.done && !events.broken);
    }

    stopped.await.expect("it stops");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_host_breaks_its_streams_and_another_serves_on() {
    let mut world = World::start(Size {
        servers: 2,
        ..Size::default()
    })
    .await;
    let mut events = chat(world.address(), &[], &streamed("the host is lost"))
        .await
        .events();
    events.read(2).await;

    world.servers.remove(0).kill();
    events.read_all().await;
    let body = prompt("asked elsewhere");
    let answer = chat(world.address(), &[], &body).await.json().await;

    assert!(!events.done);
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        whole_text(&body)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_is_killed_and_comes_back_is_used_again() {
    let world = World::start(Size {
        engines: 1,
        ..Size::default()
    })
    .await;
    let engine = &world.standin.engines()[0];

    engine.faults.change(|fault| fault.killed = true);
    let refused = chat(
        world.address(),
        &[("tinbank-timeout-ms", "500")],
        &prompt("first"),
    )
    .await;
    assert!(refused.status.is_server_error());
    engine.faults.change(|fault| fault.killed = false);

    let address = world.address();
    let mut answered = false;
    for number in 0..200 {
        let answer = chat(address, &[], &prompt(&format!("again {number}"))).await;
        answered |= answer.status.is_success();
        if answered {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert!(answered);
    until(|| {
        engine
            .account
            .runs()
            .iter()
            .all(|run| run.end != tinbank_standin::account::End::Running)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sign_that_one_host_has_heard_reaches_the_others() {
    let world = World::start(Size {
        servers: 3,
        ..Size::default()
    })
    .await;
    // Nothing but the word says so: the engine itself and the list hold it for live.
    let word = Leaving {
        upstream: 1,
        list: u64::MAX,
    };

    world.server().table().apply_leaving(word, Instant::now());

    let everywhere = || {
        let mut tables = world.servers.iter().map(Server::table);
        tables.all(|table| table.is_leaving(1, Instant::now()))
    };
    until(everywhere).await;
    let asked = chat(
        world.servers[2].http_address(),
        &[],
        &prompt("after the word"),
    )
    .await;
    assert!(asked.status.is_success());
    assert!(world.standin.engines()[0].account.runs().is_empty());
}
