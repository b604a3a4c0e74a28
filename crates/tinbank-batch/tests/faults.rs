//! Jobs under log outages, lost log responses, trimmed logs, stalled reads, and withdrawal in favour of online requests.

mod support;

use std::{collections::BTreeSet, time::Duration};

use support::{
    APPEND_TIMEOUT, Host, LAGGING_HOST, SHARDS, World, engines::LARGE, eventually, line, lines,
};
use tinbank_base::{
    id,
    platform::log::Stream,
    record::{Envelope, work::Record},
};
use tinbank_ledger::lease::Lease;
use tinbank_test_support::log::Fault;

fn world_of(hosts: u32) -> (World, Vec<Host>) {
    let world = World::new();
    let hosts = (1..=hosts).map(|host| world.start(host)).collect();
    (world, hosts)
}

/// Returns the `custom_id`s of a job's items; panics on duplicates and on items without an answer.
fn answered_names(reply: &support::session::Reply) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for item in reply.lines() {
        assert_eq!(item["state"], "answered", "{item}");
        let name = item["custom_id"].as_str().unwrap().to_owned();
        assert!(names.insert(name), "{item} came twice");
    }
    names
}

#[tokio::test]
async fn items_assigned_before_an_outage_continue_and_do_not_run_again() {
    let (world, hosts) = world_of(2);
    let caller = hosts[0].session("key-moreton");
    world.engines.hold();
    let id = caller.submit_accepted(None, lines(0, 200)).await;
    eventually("items are in the engines", || async {
        world.engines.starts() > 0
    })
    .await;

    world.log.outage(true);
    world.engines.resume();
    eventually("the assigned items have run", || async {
        world.engines.starts() == 200
    })
    .await;
    // Longer than the append timeout, so that completions have to be appended again.
    tokio::time::sleep(APPEND_TIMEOUT * 2).await;
    world.log.outage(false);
    caller.wait_for_state(&id, "completed").await;

    assert_eq!(answered_names(&caller.results(&id).await).len(), 200);
    assert_eq!(world.engines.starts(), 200);
}

#[tokio::test]
async fn lost_log_responses_neither_lose_nor_duplicate_items() {
    let (world, hosts) = world_of(2);
    let caller = hosts[0].session("key-moreton");
    for fault in [
        Fault::LostAfter,
        Fault::LostBefore,
        Fault::Refused,
        Fault::LostAfter,
    ] {
        world.log.fault_next_append(fault);
    }

    let id = caller.submit_accepted(Some("sweep"), lines(0, 600)).await;
    for fault in [
        Fault::LostBefore,
        Fault::LostAfter,
        Fault::LostAfter,
        Fault::Refused,
    ] {
        world.log.fault_next_append(fault);
    }
    caller.wait_for_state(&id, "completed").await;

    assert_eq!(answered_names(&caller.results(&id).await).len(), 600);
    assert_eq!(
        caller
            .submit(Some("sweep"), lines(0, 600))
            .await
            .text("/id"),
        id
    );
}

#[tokio::test]
async fn a_lagging_host_does_not_answer_for_an_ended_job() {
    let (world, hosts) = world_of(2);
    let caller = hosts[0].session("key-moreton");
    let id = caller.submit_accepted(None, lines(0, 10)).await;
    caller.wait_for_state(&id, "completed").await;
    eventually("all leases are released", || async {
        holders(&world).is_empty()
    })
    .await;
    world.frozen.send_replace(true);

    let mut counts = Vec::new();
    for job in 1..5 {
        // The keys determine the jobs' shards; the lagging host ranks first for some of them.
        let key = format!("job-{job}");
        let id = caller
            .submit_accepted(Some(&key), lines(job * 100, 10))
            .await;
        caller.wait_for_state(&id, "completed").await;
        counts.push(answered_names(&caller.results(&id).await).len());
    }
    world.frozen.send_replace(false);

    assert_eq!(counts, [10; 4]);
}

#[tokio::test]
async fn a_lease_holder_with_stalled_reads_is_replaced() {
    let (world, hosts) = world_of(2);
    let caller = hosts[0].session("key-moreton");
    world.engines.hold();
    // Keep the engines empty until both hosts hold leases: a host that starts late receives a lease only from a holder with
    // no items in flight.
    world.gate.withdraw();
    // More chunks than a holder loads ahead, so that it cannot complete the job without further reads.
    let id = caller.submit_accepted(Some("sweep"), lines(0, 4_096)).await;
    eventually("both hosts hold leases", || async {
        let holders = holders(&world);
        holders.contains(&1) && holders.contains(&2)
    })
    .await;
    world.gate.reopen();
    eventually(
        "both hosts hold leases and the engines are full",
        || async {
            let holders = holders(&world);
            holders.contains(&1) && holders.contains(&2) && world.engines.starts() == 24
        },
    )
    .await;

    world.frozen.send_replace(true);
    world.engines.resume();
    caller.wait_for_state(&id, "completed").await;

    assert_eq!(answered_names(&caller.results(&id).await).len(), 4_096);
    assert!(!holders(&world).contains(&LAGGING_HOST));
}

/// Returns the hosts that hold leases now, computed from the log.
fn holders(world: &World) -> BTreeSet<id::Host> {
    let holder = |shard| {
        let mut lease = Lease::default();
        for entry in world.log.entries(Stream::Work(shard)) {
            let envelope: Envelope<Record> = Envelope::decode(&entry.payload).unwrap();
            for record in &envelope.records {
                if let Record::Lease(record) = record {
                    lease.apply(entry.offset, envelope.writer, *record);
                }
            }
            lease.record_envelope(envelope.writer, entry.offset);
        }
        lease.holder.map(|holder| holder.writer.process.host)
    };
    (0..SHARDS).filter_map(holder).collect()
}

#[tokio::test]
async fn withdrawn_items_resume_from_the_received_tokens() {
    let (world, hosts) = world_of(1);
    let caller = hosts[0].session("key-moreton");
    world.engines.hold();
    let id = caller.submit_accepted(None, lines(0, 10)).await;
    eventually("all are in the engines", || async {
        world.engines.starts() == 10
    })
    .await;

    world.gate.withdraw();
    eventually("all are cancelled at the engines", || async {
        world.engines.read(|call_log| call_log.cancelled.len()) == 10
    })
    .await;
    world.engines.resume();
    world.gate.reopen();
    caller.wait_for_state(&id, "completed").await;

    assert_eq!(answered_names(&caller.results(&id).await).len(), 10);
    assert_eq!(world.engines.read(|call_log| call_log.resumed.len()), 10);
    assert_eq!(
        hosts[0].item_events(4),
        ["routed", "preempted", "routed", "resumed", "completed"]
    );
    let item = caller.item(&id, "item-4").await;
    assert_eq!(
        item.text("/response/choices/0/message/content"),
        "noted: note 4"
    );
}

#[tokio::test]
async fn results_are_carried_forward_before_the_log_is_trimmed() {
    check_results_after_trim(lines(0, 300), 300).await;
}

#[tokio::test]
async fn results_too_large_for_one_record_are_carried_forward() {
    let lines: String = (0..100)
        .map(|item| line(&format!("item-{item}"), &format!("{LARGE} {item}")))
        .collect();

    check_results_after_trim(lines, 100).await;
}

async fn check_results_after_trim(lines: String, items: usize) {
    let world = World {
        retention: Duration::from_secs(2),
        ..World::new()
    };
    let mut first = world.start(1);
    let caller = first.session("key-moreton");
    let id = caller.submit_accepted(Some("sweep"), lines.clone()).await;
    caller.wait_for_state(&id, "completed").await;
    let tails: Vec<id::Offset> = (0..SHARDS).map(|shard| tail(&world, shard)).collect();

    eventually("old records are carried forward", || async {
        (0..SHARDS).all(|shard| is_carried_forward(&world, shard, tails[usize::from(shard)]))
    })
    .await;
    for (shard, tail) in (0..SHARDS).zip(&tails) {
        world.log.trim(Stream::Work(shard), *tail);
    }
    first.kill();
    let second = world.start(2);
    let caller = second.session("key-moreton");

    assert_eq!(caller.status(&id).await.json()["counts"]["answered"], items);
    assert_eq!(answered_names(&caller.results(&id).await).len(), items);
    assert_eq!(
        caller
            .submit(Some("sweep"), lines.clone())
            .await
            .text("/id"),
        id
    );
    assert_eq!(world.engines.starts(), items);
}

fn tail(world: &World, shard: id::Shard) -> id::Offset {
    let last = world.log.entries(Stream::Work(shard)).pop();
    last.map_or(0, |entry| entry.offset + 1)
}

/// Returns whether there is a complete checkpoint covering the records before an offset, which is written only once all
/// chunks before it are carried.
fn is_carried_forward(world: &World, shard: id::Shard, before: id::Offset) -> bool {
    let envelopes: Vec<Envelope<Record>> = world.log.envelopes(Stream::Work(shard));
    let records = envelopes.iter().flat_map(|envelope| &envelope.records);
    let mut whole = records.filter_map(|record| match record {
        Record::Checkpoint(part) if part.part + 1 == part.parts => Some(part.through),
        _ => None,
    });
    before == 0 || whole.any(|through| through + 1 >= before)
}
