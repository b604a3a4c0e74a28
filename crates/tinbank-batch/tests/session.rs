//! Batch jobs as seen by a caller over real HTTP.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use http::StatusCode;
use support::{Host, ORDERS, PENDING_ITEMS, World, engines, eventually, line, lines};
use tinbank_base::record::work::Record;

/// Returns the state of each item by `custom_id`; panics on duplicates.
fn states_by_name(reply: &support::session::Reply) -> BTreeMap<String, String> {
    let mut states = BTreeMap::new();
    for item in reply.lines() {
        let name = item["custom_id"].as_str().unwrap().to_owned();
        let state = item["state"].as_str().unwrap().to_owned();
        assert_eq!(states.insert(name, state), None, "{item} came twice");
    }
    states
}

fn world_of(hosts: u32) -> (World, Vec<Host>) {
    let world = World::new();
    let hosts = (1..=hosts).map(|host| world.start(host)).collect();
    (world, hosts)
}

#[tokio::test]
async fn a_job_accepted_by_one_host_can_be_read_at_another() {
    let (world, hosts) = world_of(2);
    let (first, second) = (
        hosts[0].session("key-moreton"),
        hosts[1].session("key-moreton"),
    );

    let id = first.submit_accepted(None, lines(0, 700)).await;
    second.wait_for_state(&id, "completed").await;

    let status = second.status(&id).await;
    assert_eq!(status.json()["counts"]["answered"], 700);
    let item = second.item(&id, "item-600").await;
    assert_eq!(item.text("/state"), "answered");
    assert_eq!(
        item.text("/response/choices/0/message/content"),
        "noted: note 600"
    );
    assert_eq!(states_by_name(&second.results(&id).await).len(), 700);
    assert_eq!(world.engines.starts(), 700);
}

#[tokio::test]
async fn a_resend_returns_the_same_job_and_a_different_body_is_rejected() {
    let (world, hosts) = world_of(2);
    let (first, second) = (
        hosts[0].session("key-moreton"),
        hosts[1].session("key-moreton"),
    );
    let id = first.submit_accepted(Some("sweep-1"), lines(0, 3)).await;

    let again = second.submit(Some("sweep-1"), lines(0, 3)).await;
    let other = second.submit(Some("sweep-1"), lines(0, 4)).await;
    let neighbour = hosts[1].session("key-oberland");
    let foreign = neighbour.submit(Some("sweep-1"), lines(0, 3)).await;

    assert_eq!(
        (again.status, again.text("/id")),
        (StatusCode::OK, id.clone())
    );
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(
        (other.text("/code"), other.text("/ran")),
        ("key_reused".into(), "no".into())
    );
    assert_eq!(foreign.status, StatusCode::CREATED);
    assert_ne!(foreign.text("/id"), id);
    first.wait_for_state(&id, "completed").await;
    neighbour
        .wait_for_state(&foreign.text("/id"), "completed")
        .await;
    assert_eq!(world.engines.starts(), 6);
}

#[tokio::test]
async fn concurrent_submissions_with_one_key_at_two_hosts_create_one_job() {
    let (world, hosts) = world_of(2);
    let (first, second) = (
        hosts[0].session("key-moreton"),
        hosts[1].session("key-moreton"),
    );

    let (one, other) = tokio::join!(
        first.submit(Some("sweep"), lines(0, 300)),
        second.submit(Some("sweep"), lines(0, 300)),
    );

    let statuses = BTreeSet::from([one.status, other.status]);
    let expected = BTreeSet::from([StatusCode::OK, StatusCode::CREATED]);
    assert_eq!(statuses, expected, "{one:?} {other:?}");
    assert_eq!(one.text("/id"), other.text("/id"));
    let id = one.text("/id");
    first.wait_for_state(&id, "completed").await;
    assert_eq!(states_by_name(&second.results(&id).await).len(), 300);
    assert_eq!(world.engines.starts(), 300);
}

#[tokio::test]
async fn the_limit_of_pending_items_holds_over_all_hosts() {
    let (world, hosts) = world_of(2);
    let (first, second) = (
        hosts[0].session("key-limited"),
        hosts[1].session("key-limited"),
    );
    world.engines.hold();
    let most = PENDING_ITEMS as usize;
    let too_large = first.submit(Some("large"), lines(0, most + 1)).await;
    let id = first.submit_accepted(None, lines(0, most - 40)).await;
    eventually("items of the job run, so that all are counted", || async {
        world.engines.starts() > 0
    })
    .await;

    let over = second.submit(Some("over"), lines(0, 41)).await;
    let other = hosts[1]
        .session("key-moreton")
        .submit(None, lines(0, 41))
        .await;
    let rest = second.submit_accepted(None, lines(0, 40)).await;
    world.engines.resume();
    first.wait_for_state(&id, "completed").await;
    first.wait_for_state(&rest, "completed").await;
    let again = second.submit(Some("over"), lines(0, 41)).await;

    for refused in [too_large, over] {
        assert_eq!(refused.status, StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(
            (refused.text("/code"), refused.text("/ran")),
            ("limit_reached".into(), "no".into())
        );
    }
    assert_eq!(other.status, StatusCode::CREATED);
    assert_eq!(again.status, StatusCode::CREATED);
    let heads = world.records().into_iter();
    let heads = heads.filter(|record| matches!(record, Record::Head(_)));
    assert_eq!(heads.count(), 4);
}

#[tokio::test]
async fn an_invalid_line_rejects_the_whole_job() {
    let (world, hosts) = world_of(1);
    let caller = hosts[0].session("key-moreton");
    let body = format!("{}{}", lines(0, 20_000), line("item-7", "again"));

    let reply = caller.submit(Some("sweep"), body).await;

    assert_eq!(reply.status, StatusCode::BAD_REQUEST);
    assert_eq!(
        reply.text("/message"),
        "line 20001: `custom_id` \"item-7\" stands on an earlier line as well"
    );
    let records = world.records();
    let of = |wanted: fn(&Record) -> bool| records.iter().filter(|record| wanted(record)).count();
    assert!(of(|record| matches!(record, Record::Chunk(_))) > 0);
    assert_eq!(of(|record| matches!(record, Record::Head(_))), 0);
    let id = caller.submit_accepted(Some("sweep"), lines(0, 2)).await;
    caller.wait_for_state(&id, "completed").await;
    assert_eq!(world.engines.starts(), 2, "chunks without a head ran");
}

#[tokio::test]
async fn invalid_requests_are_rejected_with_their_status_code() {
    let (_world, hosts) = world_of(1);
    let caller = hosts[0].session("key-moreton");
    let id = caller.submit_accepted(None, lines(0, 1)).await;

    let no_service = caller.submit_to("unknown", None, lines(0, 1)).await;
    let wrong_key = hosts[0]
        .session("key-nobody")
        .submit(None, lines(0, 1))
        .await;
    let foreign = hosts[0].session("key-oberland").status(&id).await;
    let no_item = caller.item(&id, "item-9").await;
    let no_id = caller.status("17").await;
    let bad_due = caller
        .submit_to("notes&due=tomorrow", None, lines(0, 1))
        .await;

    let codes = [
        &no_service,
        &wrong_key,
        &foreign,
        &no_item,
        &no_id,
        &bad_due,
    ]
    .map(|reply| (reply.status.as_u16(), reply.text("/ran")));
    let no = || "no".to_owned();
    assert_eq!(
        codes,
        [
            (404, no()),
            (401, no()),
            (404, no()),
            (404, no()),
            (404, no()),
            (400, no())
        ]
    );
}

#[tokio::test]
async fn a_cancelled_job_is_cancelled_at_the_engines() {
    let (world, hosts) = world_of(2);
    let caller = hosts[0].session("key-moreton");
    world.engines.hold();
    let id = caller.submit_accepted(None, lines(0, 200)).await;
    eventually("items are in the engines", || async {
        world.engines.starts() > 0
    })
    .await;

    let reply = hosts[1].session("key-moreton").cancel(&id).await;
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    caller.wait_for_state(&id, "cancelled").await;

    let started = world.engines.starts();
    eventually("all are cancelled at the engines", || async {
        world.engines.read(|call_log| call_log.cancelled.len()) == started
    })
    .await;
    world.engines.resume();
    let counts = caller.status(&id).await.json()["counts"].clone();
    assert_eq!(
        (&counts["cancelled"], &counts["answered"]),
        (&200.into(), &0.into())
    );
    assert_eq!(world.engines.starts(), started);
    assert_eq!(caller.item(&id, "item-3").await.text("/state"), "cancelled");
}

#[tokio::test]
async fn failing_items_do_not_affect_others() {
    let (world, hosts) = world_of(1);
    let caller = hosts[0].session("key-moreton");
    let body = [
        lines(0, 50),
        line("bad", engines::MALFORMED),
        line("killer", engines::POISON),
        line("cut", engines::CUT_ONCE),
    ];

    let id = caller.submit_accepted(None, body.concat()).await;
    caller.wait_for_state(&id, "completed").await;

    let states = states_by_name(&caller.results(&id).await);
    let answered = states.values().filter(|state| *state == "answered").count();
    assert_eq!(
        (answered, &*states["bad"], &*states["killer"]),
        (51, "failed", "failed")
    );
    let bad = caller.item(&id, "bad").await;
    assert_eq!(bad.text("/error/code"), "upstream_rejected");
    assert_eq!(caller.item(&id, "cut").await.json()["attempts"], 2);
    assert_eq!(
        hosts[0].item_events(52),
        ["routed", "retried", "routed", "resumed", "completed"]
    );
    assert_eq!(
        world
            .engines
            .read(|call_log| call_log.resumed[engines::CUT_ONCE]),
        1
    );
    assert_eq!(
        world
            .engines
            .read(|call_log| call_log.started[engines::POISON]),
        3
    );
}

#[tokio::test]
async fn another_host_completes_the_job_of_a_lost_host() {
    let (world, mut hosts) = world_of(3);
    let caller = hosts[0].session("key-moreton");
    world.engines.hold();
    let id = caller.submit_accepted(None, lines(0, 300)).await;

    hosts[0].kill();
    world.engines.resume();
    let survivor = hosts[1].session("key-moreton");
    survivor.wait_for_state(&id, "completed").await;

    let states = states_by_name(&survivor.results(&id).await);
    assert_eq!(states.len(), 300);
    assert!(states.values().all(|state| state == "answered"));
    let counts = survivor.status(&id).await.json()["counts"].clone();
    assert_eq!(counts["answered"], 300);
}

#[tokio::test]
async fn after_any_host_is_lost_items_end_once_and_orders_run_at_most_once() {
    for lost in 0..3 {
        let (world, mut hosts) = world_of(3);
        let caller = hosts[(lost + 1) % 3].session("key-moreton");
        world.engines.hold();
        let reply = caller.submit_to(ORDERS, Some("round"), lines(0, 40)).await;
        let id = reply.text("/id");
        eventually("orders are under way", || async {
            world.engines.starts() > 0
        })
        .await;

        hosts[lost].kill();
        world.engines.resume();
        caller.wait_for_state(&id, "completed").await;

        let states = states_by_name(&caller.results(&id).await);
        assert_eq!(states.len(), 40);
        let most = world
            .engines
            .read(|call_log| call_log.started.values().copied().max());
        assert_eq!(most, Some(1), "an order ran twice");
        for (name, state) in states {
            if state == "failed" {
                let item = caller.item(&id, &name).await;
                assert_eq!(item.text("/error/code"), "outcome_unknown");
            }
        }
    }
}

#[tokio::test]
async fn a_planned_stop_hands_over_the_job_without_rerunning_orders() {
    let (world, mut hosts) = world_of(2);
    let caller = hosts[1].session("key-moreton");
    let reply = caller.submit_to(ORDERS, None, lines(0, 200)).await;
    let id = reply.text("/id");
    eventually("orders are under way", || async {
        world.engines.starts() > 0
    })
    .await;

    hosts[0].stop().await;
    caller.wait_for_state(&id, "completed").await;

    let states = states_by_name(&caller.results(&id).await);
    let answered = states.values().filter(|state| *state == "answered").count();
    assert_eq!(answered, 200, "a stopped host left orders behind");
    assert_eq!(world.engines.starts(), 200);
}

#[tokio::test]
async fn without_the_log_a_job_is_rejected_as_not_run() {
    let (world, hosts) = world_of(1);
    let caller = hosts[0].session("key-moreton");
    let id = caller.submit_accepted(Some("before"), lines(0, 2)).await;
    caller.wait_for_state(&id, "completed").await;
    world.log.outage(true);

    let reply = caller.submit(Some("during"), lines(0, 2)).await;
    world.log.outage(false);

    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        (reply.text("/code"), reply.text("/ran")),
        ("log_unavailable".into(), "no".into())
    );
    caller.submit_accepted(Some("during"), lines(0, 2)).await;
}
