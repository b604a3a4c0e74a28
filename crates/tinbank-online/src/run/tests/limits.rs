//! Messages that divide limits among processes.

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

/// Returns a fixture whose two hosts have been known for longer than a grant is valid.
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

/// Returns a request with a limit that is kept at the given host.
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
        .expect("each host keeps some limit");
    Request {
        scopes: [scope].into_iter().collect(),
        ..request(true)
    }
}

fn count_admitted(fixture: &Fixture, request: &Request) -> usize {
    let tries = 0..LIMIT;
    let permits = tries.map(|_| Permit::acquire(&fixture.ctx, request, clock::now()));
    permits.filter(Result::is_ok).count()
}

fn send_claim_requests(fixture: &Fixture) {
    limits::send_claim_requests(&fixture.ctx, &fixture.ctx.directory.members());
}

#[tokio::test(start_paused = true)]
async fn a_grant_from_the_keeper_raises_the_share() {
    let fixture = fixture().await;
    let request = limited(OTHER_HOST);
    let at_first = count_admitted(&fixture, &request);

    send_claim_requests(&fixture);
    let sent = fixture.peers.take_sent();
    let [Message::ClaimRequest(ClaimRequest { round, claims })] = &sent[..] else {
        panic!("one claim request: {sent:?}");
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
    // A grant from another host than the keeper is ignored.
    limits::on_message(&fixture.ctx, writer(3), &grant);
    let after_foreign_grant = count_admitted(&fixture, &request);
    limits::on_message(&fixture.ctx, writer(OTHER_HOST), &grant);
    tokio::time::advance(Duration::from_millis(500)).await;

    assert_eq!((claims[0].limit_value, claims[0].held_millis), (LIMIT, 0));
    let even_part = LIMIT as usize / HOSTS;
    assert_eq!((at_first, after_foreign_grant), (even_part, 0));
    assert_eq!(count_admitted(&fixture, &request), 40);
}

#[tokio::test(start_paused = true)]
async fn a_limit_kept_at_this_host_needs_no_messages() {
    let fixture = fixture().await;
    let request = limited(OWN_HOST);
    count_admitted(&fixture, &request);

    send_claim_requests(&fixture);
    tokio::time::advance(Duration::from_secs(1)).await;

    assert!(fixture.peers.take_sent().is_empty());
    assert!(count_admitted(&fixture, &request) >= 90);
}

#[tokio::test(start_paused = true)]
async fn a_claim_from_another_host_is_granted_from_the_share_held_here() {
    let fixture = fixture().await;
    let request = limited(OWN_HOST);
    count_admitted(&fixture, &request);
    send_claim_requests(&fixture);
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

    limits::on_message(&fixture.ctx, writer(OTHER_HOST), &ask(1));
    let first = fixture.peers.take_sent();
    send_claim_requests(&fixture);
    send_claim_requests(&fixture);
    limits::on_message(&fixture.ctx, writer(OTHER_HOST), &ask(2));
    let second = fixture.peers.take_sent();

    let granted = |message: &Message| match message {
        Message::Grant(grant) => Some(grant.parts[0].millis),
        _ => None,
    };
    let sum = |sent: &[Message]| sent.iter().filter_map(granted).sum::<u32>();
    assert!(sum(&first) < 10_000, "{first:?}");
    assert!(sum(&second) > 40_000, "{second:?}");
}

#[tokio::test(start_paused = true)]
async fn a_recalled_limit_is_claimed_again_immediately() {
    let fixture = fixture().await;
    let request = limited(OTHER_HOST);
    count_admitted(&fixture, &request);
    send_claim_requests(&fixture);
    let sent = fixture.peers.take_sent();
    let [Message::ClaimRequest(ClaimRequest { round, .. })] = &sent[..] else {
        panic!("one claim request: {sent:?}");
    };
    let part = Part {
        millis: 80_000,
        ttl_s: 10,
    };
    let grant = Grant {
        round: *round,
        parts: [part].into_iter().collect(),
    };
    limits::on_message(&fixture.ctx, writer(OTHER_HOST), &Message::Grant(grant));
    let limit = scope::limit(request.scopes[0].key, LimitKind::Requests);
    let recall = Recall {
        limits: [limit].into_iter().collect(),
    };

    send_claim_requests(&fixture);
    let before = fixture.peers.take_sent();
    limits::on_message(&fixture.ctx, writer(OTHER_HOST), &Message::Recall(recall));
    send_claim_requests(&fixture);

    assert!(before.is_empty(), "{before:?}");
    assert!(matches!(
        &fixture.peers.take_sent()[..],
        [Message::ClaimRequest(_)]
    ));
}

#[tokio::test(start_paused = true)]
async fn a_request_over_a_service_limit_is_refused_with_a_retry_time() {
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
    let _running = Permit::acquire(&fixture.ctx, &request, clock::now()).unwrap();

    let refused = Permit::acquire(&fixture.ctx, &request, clock::now()).unwrap_err();

    assert_eq!((refused.code, refused.ran), (Code::LimitReached, Ran::No));
    assert!(
        refused.message.contains("the service"),
        "{}",
        refused.message
    );
    assert!(refused.retry_at.is_some());
}
