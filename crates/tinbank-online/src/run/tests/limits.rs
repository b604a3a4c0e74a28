//! The exchange of limits as frames between processes.

use std::time::Duration;

use tinbank_base::{
    frame::demand::{Claim, ClaimRequest, Grant, Message, Part, Recall},
    id,
    outcome::{Code, Ran},
    record::Writer,
};
use tinbank_configuration::limit::Online;
use tinbank_routing::limit::{LimitKind, Scope, claim::MAX_GRANT_TTL, ring::Ring, scope};

use super::fixture::{Fixture, OTHER_HOST, request};
use crate::{clock, control::limits, gate::Permit, request::Request};

/// Online processes that share the limits in these tests.
const HOSTS: usize = 2;
const OWN_HOST: id::Host = 1;
const LIMIT: u32 = 100;

/// Two hosts that have known each other for long.
async fn fixture() -> Fixture {
    let fixture = Fixture::new(1, 0);
    let hosts = [OWN_HOST, OTHER_HOST].into();
    fixture.ctx.gate.set_hosts(hosts, clock::now());
    tokio::time::advance(MAX_GRANT_TTL).await;
    fixture
}

fn writer(host: id::Host) -> Writer {
    Writer {
        process: id::Process {
            host,
            role: id::Role::Online,
        },
        incarnation: 1,
    }
}

/// A request within a scope whose limit is kept at a host.
fn limited(keeper: id::Host) -> Request {
    let limits = Online {
        requests_per_second: Some(LIMIT),
        ..Online::default()
    };
    let mut ring = Ring::default();
    ring.set([OWN_HOST, OTHER_HOST].into(), clock::now());
    let scope = (0..)
        .map(|number| Scope::new(&number.to_string(), scope::Subject::Customer, limits))
        .find(|scope| ring.keeper(scope.key) == Some(keeper))
        .expect("each host keeps some");
    Request {
        scopes: [scope].into_iter().collect(),
        ..request(true)
    }
}

fn let_in(fixture: &Fixture, request: &Request) -> usize {
    let tries = 0..LIMIT;
    let permits = tries.map(|_| Permit::get(&fixture.ctx, request, clock::now()));
    permits.filter(Result::is_ok).count()
}

fn ask_all(fixture: &Fixture) {
    limits::ask_all(&fixture.ctx, &fixture.ctx.directory.members());
}

#[tokio::test(start_paused = true)]
async fn another_host_s_grant_raises_the_share() {
    let fixture = fixture().await;
    let request = limited(OTHER_HOST);
    let at_first = let_in(&fixture, &request);

    ask_all(&fixture);
    let told = fixture.peers.told();
    let [Message::ClaimRequest(ClaimRequest { round, claims })] = &told[..] else {
        panic!("one ask: {told:?}");
    };
    let part = Part {
        millis: 80_000,
        ttl_s: 10,
    };
    let parts = [part].into_iter().collect();
    let grant = Message::Grant(Grant {
        round: *round,
        parts,
    });
    // One who is not the keeper is not believed.
    limits::told(&fixture.ctx, writer(3), &grant);
    let by_stranger = let_in(&fixture, &request);
    limits::told(&fixture.ctx, writer(OTHER_HOST), &grant);
    tokio::time::advance(Duration::from_millis(500)).await;

    assert_eq!((claims[0].limit_value, claims[0].held_millis), (LIMIT, 0));
    let even_part = LIMIT as usize / HOSTS;
    assert_eq!((at_first, by_stranger), (even_part, 0));
    assert_eq!(let_in(&fixture, &request), 40);
}

#[tokio::test(start_paused = true)]
async fn a_limit_that_is_kept_here_costs_no_frame() {
    let fixture = fixture().await;
    let request = limited(OWN_HOST);
    let_in(&fixture, &request);

    ask_all(&fixture);
    tokio::time::advance(Duration::from_secs(1)).await;

    assert!(fixture.peers.told().is_empty());
    assert!(let_in(&fixture, &request) >= 90);
}

#[tokio::test(start_paused = true)]
async fn another_host_s_ask_is_answered_and_recalls_what_we_hold() {
    let fixture = fixture().await;
    let request = limited(OWN_HOST);
    let_in(&fixture, &request);
    ask_all(&fixture);
    let limit = scope::limit(request.scopes[0].key, LimitKind::Requests);
    let claim = Claim {
        limit,
        limit_value: LIMIT,
        demand_millis: 100_000,
        held_millis: 0,
    };
    let ask = |round| {
        Message::ClaimRequest(ClaimRequest {
            round,
            claims: [claim].into_iter().collect(),
        })
    };

    limits::told(&fixture.ctx, writer(OTHER_HOST), &ask(1));
    let first = fixture.peers.told();
    ask_all(&fixture);
    ask_all(&fixture);
    limits::told(&fixture.ctx, writer(OTHER_HOST), &ask(2));
    let second = fixture.peers.told();

    let granted = |message: &Message| match message {
        Message::Grant(grant) => Some(grant.parts[0].millis),
        _ => None,
    };
    let sum = |told: &[Message]| told.iter().filter_map(granted).sum::<u32>();
    assert!(sum(&first) < 10_000, "{first:?}");
    assert!(sum(&second) > 40_000, "{second:?}");
}

#[tokio::test(start_paused = true)]
async fn a_recall_makes_us_ask_again_at_once() {
    let fixture = fixture().await;
    let request = limited(OTHER_HOST);
    let_in(&fixture, &request);
    ask_all(&fixture);
    let told = fixture.peers.told();
    let [Message::ClaimRequest(ClaimRequest { round, .. })] = &told[..] else {
        panic!("one ask: {told:?}");
    };
    let part = Part {
        millis: 80_000,
        ttl_s: 10,
    };
    let grant = Grant {
        round: *round,
        parts: [part].into_iter().collect(),
    };
    limits::told(&fixture.ctx, writer(OTHER_HOST), &Message::Grant(grant));
    let limit = scope::limit(request.scopes[0].key, LimitKind::Requests);
    let recall = Recall {
        limits: [limit].into_iter().collect(),
    };

    ask_all(&fixture);
    let before = fixture.peers.told();
    limits::told(&fixture.ctx, writer(OTHER_HOST), &Message::Recall(recall));
    ask_all(&fixture);

    assert!(before.is_empty(), "{before:?}");
    assert!(matches!(
        &fixture.peers.told()[..],
        [Message::ClaimRequest(_)]
    ));
}

#[tokio::test(start_paused = true)]
async fn a_request_over_a_service_s_limit_is_told_so_and_when_to_come_back() {
    let fixture = Fixture::new(1, 0);
    let limits = Online {
        online_at_once: Some(1),
        ..Online::default()
    };
    let service = Scope::new("customer", scope::Subject::Service("notes"), limits);
    let request = Request {
        scopes: [service].into_iter().collect(),
        ..request(true)
    };
    let _running = Permit::get(&fixture.ctx, &request, clock::now()).unwrap();

    let refused = Permit::get(&fixture.ctx, &request, clock::now()).unwrap_err();

    assert_eq!((refused.code, refused.ran), (Code::LimitReached, Ran::No));
    assert!(
        refused.message.contains("the service"),
        "{}",
        refused.message
    );
    assert!(refused.retry_at.is_some());
}
