//! What becomes of jobs when the log fails, forgets or loses answers, and when engines are wanted for online requests.

mod support;

use std::{collections::BTreeSet, time::Duration};

use support::{
    APPEND_TIMEOUT, Host, LAGGING, SHARDS, World, engines::LARGE, eventually, line, lines,
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

/// The names of a job's items that have an answer; fails if one comes twice.
fn answered(reply: &support::session::Reply) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for item in reply.lines() {
        assert_eq!(item["state"], "answered", "{item}");
        let name = item["custom_id"].as_str().unwrap().to_owned();
        assert!(names.insert(name), "{item} came twice");
    }
    names
}

#[tokio::test]
async fn items_assigned_before_an_outage_go_on_and_are_not_run_again() {
    let (world, hosts) = world_of(2);
    let caller = hosts[0].session("key-moreton");
    world.engines.hold();
    let id = caller.accepted(None, lines(0, 200)).await;
    eventually("items are in the engines", || async {
        world.engines.starts() > 0
    })
    .await;

    world.log.outage(true);
    world.engines.go_on();
    eventually("the assigned items have run", || async {
        world.engines.starts() == 200
    })
    .await;
    // Long enough for appends to fail for good, so that their completions have to be appended anew.
    tokio::time::sleep(APPEND_TIMEOUT * 2).await;
    world.log.outage(false);
    caller.until(&id, "completed").await;

    assert_eq!(answered(&caller.results(&id).await).len(), 200);
    assert_eq!(world.engines.starts(), 200);
}

#[tokio::test]
async fn lost_answers_of_the_log_neither_lose_nor_double_an_item() {
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

    let id = caller.accepted(Some("sweep"), lines(0, 600)).await;
    for fault in [
        Fault::LostBefore,
        Fault::LostAfter,
        Fault::LostAfter,
        Fault::Refused,
    ] {
        world.log.fault_next_append(fault);
    }
    caller.until(&id, "completed").await;

    assert_eq!(answered(&caller.results(&id).await).len(), 600);
    assert_eq!(
        caller
            .submit(Some("sweep"), lines(0, 600))
            .await
            .text("/id"),
        id
    );
}

#[tokio::test]
async fn a_host_that_lags_does_not_answer_for_a_job_that_has_ended() {
    let (world, hosts) = world_of(2);
    let caller = hosts[0].session("key-moreton");
    let id = caller.accepted(None, lines(0, 10)).await;
    caller.until(&id, "completed").await;
    eventually("all leases are given back", || async {
        holders(&world).is_empty()
    })
    .await;
    world.frozen.send_replace(true);

    let mut counts = Vec::new();
    for job in 1..5 {
        // The keys fix the jobs' shards, so that some of them have the lagging host first in rank.
        let key = format!("job-{job}");
        let id = caller.accepted(Some(&key), lines(job * 100, 10)).await;
        caller.until(&id, "completed").await;
        counts.push(answered(&caller.results(&id).await).len());
    }
    world.frozen.send_replace(false);

    assert_eq!(counts, [10; 4]);
}

#[tokio::test]
async fn a_holder_whose_reads_hang_is_followed_by_another() {
    let (world, hosts) = world_of(2);
    let caller = hosts[0].session("key-moreton");
    world.engines.hold();
    // A host that is slow to begin finds all leases taken, and gets its own only from a holder that has nothing in an engine.
    world.gate.withdraw();
    // More chunks than a holder takes in hand, so that it can't end them without reading more.
    let id = caller.accepted(Some("sweep"), lines(0, 4_096)).await;
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
    world.engines.go_on();
    caller.until(&id, "completed").await;

    assert_eq!(answered(&caller.results(&id).await).len(), 4_096);
    assert!(!holders(&world).contains(&LAGGING));
}

/// The hosts that hold leases now, by a fold of their own.
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
async fn batch_gives_way_and_resumes_where_it_was() {
    let (world, hosts) = world_of(1);
    let caller = hosts[0].session("key-moreton");
    world.engines.hold();
    let id = caller.accepted(None, lines(0, 10)).await;
    eventually("all are in the engines", || async {
        world.engines.starts() == 10
    })
    .await;

    world.gate.withdraw();
    eventually("all are cancelled at the engines", || async {
        world.engines.read(|account| account.cancelled.len()) == 10
    })
    .await;
    world.engines.go_on();
    world.gate.reopen();
    caller.until(&id, "completed").await;

    assert_eq!(answered(&caller.results(&id).await).len(), 10);
    assert_eq!(world.engines.read(|account| account.resumed.len()), 10);
    assert_eq!(
        hosts[0].story(4),
        ["routed", "preempted", "routed", "resumed", "completed"]
    );
    let item = caller.item(&id, "item-4").await;
    assert_eq!(
        item.text("/response/choices/0/message/content"),
        "noted: note 4"
    );
}

#[tokio::test]
async fn results_outlive_the_records_that_held_them() {
    results_outlive_their_records(lines(0, 300), 300).await;
}

#[tokio::test]
async fn results_too_large_for_one_record_outlive_the_records_that_held_them() {
    let lines: String = (0..100)
        .map(|item| line(&format!("item-{item}"), &format!("{LARGE} {item}")))
        .collect();

    results_outlive_their_records(lines, 100).await;
}

async fn results_outlive_their_records(lines: String, items: usize) {
    let world = World {
        retention: Duration::from_secs(2),
        ..World::new()
    };
    let mut first = world.start(1);
    let caller = first.session("key-moreton");
    let id = caller.accepted(Some("sweep"), lines.clone()).await;
    caller.until(&id, "completed").await;
    let tails: Vec<id::Offset> = (0..SHARDS).map(|shard| tail(&world, shard)).collect();

    eventually("what is old is carried forward", || async {
        (0..SHARDS).all(|shard| is_kept(&world, shard, tails[usize::from(shard)]))
    })
    .await;
    for (shard, tail) in (0..SHARDS).zip(&tails) {
        world.log.trim(Stream::Work(shard), *tail);
    }
    first.kill();
    let second = world.start(2);
    let caller = second.session("key-moreton");

    assert_eq!(caller.status(&id).await.json()["counts"]["answered"], items);
    assert_eq!(answered(&caller.results(&id).await).len(), items);
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

/// Whether a whole checkpoint stands after an offset, which is only written when all chunks before are carried.
fn is_kept(world: &World, shard: id::Shard, before: id::Offset) -> bool {
    let envelopes: Vec<Envelope<Record>> = world.log.envelopes(Stream::Work(shard));
    let records = envelopes.iter().flat_map(|envelope| &envelope.records);
    let mut whole = records.filter_map(|record| match record {
        Record::Checkpoint(part) if part.part + 1 == part.parts => Some(part.through),
        _ => None,
    });
    before == 0 || whole.any(|through| through + 1 >= before)
}
