//! Whole batch processes with membership, peers, admission control and the configuration stream, over an in-memory log.

mod support;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use async_trait::async_trait;
use support::{engines::Engines, eventually, lines, session::Session};
use tinbank_base::{
    clock::Stamp,
    id,
    platform::{
        hosts::{self, Hosts, Kind, List, State, Upstream},
        log::Stream,
        weights::{self, Artifact, Ticket, Weights},
    },
    record::{
        Envelope, Writer,
        config::{Object, Put, Record},
    },
};
use tinbank_batch::{Platform, Server, Settings};
use tinbank_settings::common::Common;
use tinbank_test_support::log::Memory;

const ENGINES: id::Upstream = 3;
const KEY: &str = "key-moreton";
/// SHA-256 of [`KEY`].
const KEY_DIGEST: &str = "85e6ac05137fbd6924777c5d17c0b074075f57b9115624bd54a374c47177cfa4";

#[derive(Debug)]
struct FixedHosts;

#[async_trait]
impl Hosts for FixedHosts {
    async fn list(&self) -> Result<List, hosts::Error> {
        let upstreams = (0..ENGINES).map(|upstream| Upstream {
            upstream,
            name: format!("engine-{upstream}"),
            kind: Kind::Engine,
            pools: ["pool".to_owned()].into_iter().collect(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            failure_domain: "local".to_owned(),
            checks_fence: true,
            slots: Some(8),
            state: State::Live,
        });
        Ok(List {
            version: 1,
            upstreams: upstreams.collect(),
            members: Vec::new(),
        })
    }
}

#[derive(Debug)]
struct NoWeights;

#[async_trait]
impl Weights for NoWeights {
    async fn ticket(&self, artifact: &Artifact) -> Result<Ticket, weights::Error> {
        Err(weights::Error::Missing(artifact.model.clone()))
    }
}

fn platform(log: &Memory, engines: &Engines) -> Platform {
    Platform {
        log: Arc::new(log.clone()),
        hosts: Arc::new(FixedHosts),
        weights: Arc::new(NoWeights),
        upstreams: Arc::new(engines.clone()),
    }
}

/// Returns a log with a template and a customer.
fn configured() -> Memory {
    let template = serde_json::json!({
        "services": {"notes": {
            "kind": "engine",
            "pool": "pool",
            "artifact": {"model": "notes", "version": "1", "adapter": null},
        }},
    });
    let customer = serde_json::json!({"template": "water", "key_sha256": [KEY_DIGEST]});
    let objects = [
        (Object::Template("water".to_owned()), template),
        (Object::Customer("moreton".to_owned()), customer),
    ];
    let log = Memory::new();
    for (sequence, (object, body)) in (1..).zip(objects) {
        let put = Put {
            change: u128::from(sequence),
            object,
            base: None,
            body: Some(body.to_string()),
            author: "test".to_owned(),
        };
        let envelope = Envelope {
            writer: Writer {
                process: id::Process {
                    host: 99,
                    role: id::Role::Tool,
                },
                incarnation: 1,
            },
            sequence,
            stamp: Stamp::default(),
            records: vec![Record::Put(put)],
        };
        log.push(Stream::Config, envelope.encode());
    }
    log
}

async fn start(host: id::Host, seeds: &[&Server], platform: Platform) -> Server {
    let seeds = seeds.iter().map(|server| server.peer_address());
    let settings = Settings {
        common: Common {
            host,
            seeds: seeds.collect(),
            ..Common::default()
        },
        shards: 4,
        lease_silence_ms: 1_000,
        ..Settings::default()
    };
    Server::start_with(settings, platform).await.unwrap()
}

async fn start_three(log: &Memory, engines: &Engines) -> Vec<Server> {
    let first = start(1, &[], platform(log, engines)).await;
    let second = start(2, &[&first], platform(log, engines)).await;
    let third = start(3, &[&first, &second], platform(log, engines)).await;
    let servers = vec![first, second, third];
    for server in &servers {
        let session = Session::new(server.http_address(), KEY);
        eventually("all members are known to each other", || async {
            let members = session.get("/members").await.json();
            let ready = members.as_array().unwrap().iter();
            ready.filter(|member| member["phase"] == "ready").count() == 3
        })
        .await;
    }
    servers
}

#[tokio::test]
async fn a_job_completes_after_its_host_is_lost() {
    let (log, engines) = (configured(), Engines::new(ENGINES));
    let mut servers = start_three(&log, &engines).await;
    let sessions: Vec<Session> = servers
        .iter()
        .map(|server| Session::new(server.http_address(), KEY))
        .collect();
    engines.hold();
    let id = sessions[0]
        .submit_accepted(Some("sweep"), lines(0, 300))
        .await;
    eventually("items are in the engines", || async {
        engines.starts() > 0
    })
    .await;

    let owner = owner_of(&servers).unwrap();
    servers.remove(owner).kill();
    engines.resume();
    let survivors: Vec<Session> = servers
        .iter()
        .map(|server| Session::new(server.http_address(), KEY))
        .collect();
    survivors[0].wait_for_state(&id, "completed").await;

    for survivor in survivors {
        let results = survivor.results(&id).await;
        assert_eq!(results.lines().len(), 300);
    }
    for server in servers {
        server.stop().await;
    }
}

/// Returns the first server whose timeline shows that it took a lease.
fn owner_of(servers: &[Server]) -> Option<usize> {
    servers.iter().position(|server| {
        let events = server.recorder().since(std::time::UNIX_EPOCH).events;
        events
            .iter()
            .any(|event| matches!(event.kind, tinbank_base::event::Kind::LeaseTaken { .. }))
    })
}

#[tokio::test]
async fn a_stopped_server_hands_over_its_work() {
    let (log, engines) = (configured(), Engines::new(ENGINES));
    let mut servers = start_three(&log, &engines).await;
    let last = Session::new(servers[2].http_address(), KEY);
    let id = last.submit_accepted(None, lines(0, 2_000)).await;
    eventually("items are in the engines", || async {
        engines.starts() > 0
    })
    .await;

    servers.remove(0).stop().await;
    servers.remove(0).stop().await;
    last.wait_for_state(&id, "completed").await;

    assert_eq!(last.results(&id).await.lines().len(), 2_000);
    assert_eq!(engines.starts(), 2_000, "a planned stop ran items again");
    tokio::time::timeout(Duration::from_secs(30), servers.remove(0).stop())
        .await
        .expect("the last server did not stop in time");
}
