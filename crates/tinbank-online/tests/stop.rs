//! Planned stops cut off nothing; a lost host never makes an answer look whole.

mod support;

use support::{Size, World, chat, prompt, streamed, until, whole_text};

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
