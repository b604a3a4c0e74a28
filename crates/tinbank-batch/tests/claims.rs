//! Shard owners store the claims of online requests that run at most once.

mod support;

use std::time::{Duration, Instant, SystemTime};

use support::{Host, LAGGING_HOST, SHARDS, World};
use tinbank_base::{
    frame::request::{Claimed, Request, Response},
    id,
    peer::Peers as _,
    record::{
        Writer,
        claim::{Claim, Settled},
    },
};
use tinbank_ledger::placement;

fn claim(request: id::Request, body: u8) -> Claim {
    let now = SystemTime::now();
    Claim {
        key: placement::claim_key("moreton", "order-1"),
        body: [body; 32],
        claimer: Writer {
            process: id::Process {
                host: 9,
                role: id::Role::Online,
            },
            incarnation: 1,
        },
        request,
        deadline: now + Duration::from_secs(60),
        keep_until: now + Duration::from_secs(600),
    }
}

/// Returns the answer of the first host that follows the claim's shard.
async fn ask(world: &World, hosts: &[Host], request: Request) -> Response {
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        for host in hosts {
            let answer = world.net.ask(host.address, request.clone(), until).await;
            match answer.ok().and_then(|mut frames| frames.pop()) {
                None | Some(Response::NotOwner(_)) => {}
                Some(response) => return response,
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no host answers for a shard of {SHARDS}");
}

#[tokio::test]
async fn a_claimed_request_runs_once_and_its_answer_is_stored() {
    let world = World::new();
    let mut hosts = vec![world.start(1), world.start(2)];
    let first = claim(1, 7);
    let settled = Settled {
        key: first.key,
        claimer: first.claimer,
        request: first.request,
        answer: Ok("done".into()),
    };

    let won = ask(&world, &hosts, Request::Claim(first.clone())).await;
    let running = ask(&world, &hosts, Request::Claim(claim(2, 7))).await;
    let counts = ask(&world, &hosts, Request::Settle(settled)).await;
    hosts.remove(0).kill();
    let again = ask(&world, &hosts, Request::Claim(claim(3, 7))).await;
    let other = ask(&world, &hosts, Request::Claim(claim(4, 8))).await;

    assert_eq!(won, Response::Claimed(Claimed::Won));
    assert_eq!(running, Response::Claimed(Claimed::Running));
    assert_eq!(counts, Response::Settled(true));
    assert_eq!(
        again,
        Response::Claimed(Claimed::Settled(Ok("done".into())))
    );
    assert_eq!(
        other,
        Response::Claimed(Claimed::OtherBody { first: [7; 32] })
    );
}

/// Guards against a follower that answers `Running` because it has not read the settlement yet.
#[tokio::test]
async fn a_lagging_host_does_not_report_a_settled_claim_as_running() {
    let world = World::new();
    let hosts = [world.start(1), world.start(LAGGING_HOST)];
    let (ahead, lagging) = hosts.split_at(1);
    let first = claim(1, 7);
    let settled = Settled {
        key: first.key,
        claimer: first.claimer,
        request: first.request,
        answer: Ok("done".into()),
    };
    ask(&world, ahead, Request::Claim(first)).await;
    let known = ask(&world, lagging, Request::Claim(claim(2, 7))).await;
    world.frozen.send_replace(true);
    ask(&world, ahead, Request::Settle(settled)).await;

    let thaw = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        world.frozen.send_replace(false);
    };
    let (again, ()) = tokio::join!(ask(&world, lagging, Request::Claim(claim(3, 7))), thaw);

    assert_eq!(known, Response::Claimed(Claimed::Running));
    assert_eq!(
        again,
        Response::Claimed(Claimed::Settled(Ok("done".into())))
    );
}
