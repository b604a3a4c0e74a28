//! Membership over real sockets.

use std::{sync::Arc, time::SystemTime};

use tinbank_base::{
    clock,
    frame::{
        datagram::Key,
        heartbeat::{Health, Leaving, Phase},
    },
    id::{Process, Role},
    peer::{Directory, Members},
    record::Writer,
};
use tinbank_membership::{Membership, Settings};
use tinbank_peer::Endpoint;
use tinbank_timeline::Recorder;

fn online(host: u32) -> Process {
    Process {
        host,
        role: Role::Online,
    }
}

async fn start(host: u32, seeds: &[&Endpoint]) -> (Endpoint, Membership, Recorder) {
    let recorder = Recorder::new(online(host), 100);
    let key = Key {
        number: 1,
        secret: [1; 32],
    };
    let endpoint = Endpoint::bind(tinbank_peer::Settings {
        address: "127.0.0.1:0".parse().unwrap(),
        writer: Writer {
            process: online(host),
            incarnation: clock::incarnation(SystemTime::now()),
        },
        keys: [key].into_iter().collect(),
        clock: Arc::new(recorder.clone()),
    })
    .await
    .unwrap();
    let settings = Settings {
        http: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "logan".into(),
        seeds: seeds.iter().map(|seed| seed.address()).collect(),
    };
    let membership = Membership::start(&endpoint, settings);
    membership.set_phase(Phase::Ready);
    (endpoint, membership, recorder)
}

async fn until(membership: &Membership, holds: impl Fn(&Members) -> bool) {
    let mut members = membership.watch();
    members.wait_for(|members| holds(members)).await.unwrap();
}

fn three_ready(members: &Members) -> bool {
    members.ready(Role::Online).count() == 3
}

#[tokio::test]
async fn processes_join_and_learn_of_leaving_upstreams_and_processes() {
    let (a_endpoint, a, recorder) = start(1, &[]).await;
    let (_b_endpoint, b, _) = start(2, &[&a_endpoint]).await;
    let (_c_endpoint, c, _) = start(3, &[&a_endpoint]).await;
    for membership in [&a, &b, &c] {
        until(membership, three_ready).await;
    }
    let joined = recorder.since(SystemTime::UNIX_EPOCH).events.len();
    assert!(joined >= 2, "the timeline has the processes that joined");

    let leaving = Leaving {
        upstream: 4,
        list: 1,
    };
    b.upstream_leaving(leaving);
    let mut received = c.leaving();
    received
        .wait_for(|known| **known == [leaving])
        .await
        .unwrap();
    b.leave().await;

    let left = |members: &Members| {
        members.get(online(2)).map(|member| member.health) == Some(Health::Leaving)
    };
    until(&a, left).await;
    until(&c, left).await;
    assert_eq!(a.members().ready(Role::Online).count(), 2);
}

#[tokio::test]
async fn a_peer_with_a_newer_configuration_is_published_as_ahead() {
    let (a_endpoint, a, _) = start(1, &[]).await;
    let (b_endpoint, b, _) = start(2, &[&a_endpoint]).await;

    b.set_config(9);
    let mut ahead = a.ahead();
    let found = ahead.wait_for(Option::is_some).await.unwrap().unwrap();

    assert_eq!((found.peer, found.config), (b_endpoint.address(), 9));
}
