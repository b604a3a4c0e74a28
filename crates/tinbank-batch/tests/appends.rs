//! Measures the appends per thousand items. The result depends on the budget of appends, not on the speed of the build.

mod support;

use std::{collections::BTreeMap, time::Instant};

use support::{SHARDS, World, lines};
use tinbank_base::{
    platform::log::Stream,
    record::{Envelope, work::Record},
};

/// Items of each concurrent job.
const ITEMS: usize = 2_048;
const JOBS: usize = 4;

#[tokio::test]
#[ignore = "prints figures: cargo test -p tinbank-batch --test appends -- --ignored --nocapture"]
async fn appends_per_thousand_items() {
    for budget in [300.0, 100.0, 50.0, 25.0, 10.0] {
        let world = World {
            appends_per_second: budget,
            ..World::new()
        };
        let host = world.start(1);
        let caller = host.session("key-moreton");
        let began = Instant::now();
        let jobs = (0..JOBS).map(|job| {
            let caller = caller.clone();
            async move {
                let key = format!("sweep-{job}");
                let id = caller
                    .submit_accepted(Some(&key), lines(job * ITEMS, ITEMS))
                    .await;
                caller.wait_for_state(&id, "completed").await;
            }
        });
        futures::future::join_all(jobs).await;
        let seconds = began.elapsed().as_secs_f64();

        assert_eq!(world.engines.starts(), ITEMS * JOBS);
        let kinds = kinds(&world);
        let appends: usize = kinds.values().sum();
        let thousands = (ITEMS * JOBS) as f64 / 1_000.0;
        println!(
            "budget {budget}/s: {:.1} appends per 1,000 items, {:.0} items/s, {:.1} appends/s {kinds:?}",
            appends as f64 / thousands,
            thousands * 1_000.0 / seconds,
            appends as f64 / seconds,
        );
    }
}

/// Returns the number of appends by the kinds of records in them.
fn kinds(world: &World) -> BTreeMap<String, usize> {
    let mut kinds = BTreeMap::new();
    for shard in 0..SHARDS {
        let envelopes: Vec<Envelope<Record>> = world.log.envelopes(Stream::Work(shard));
        for envelope in envelopes {
            let mut names: Vec<&str> = envelope.records.iter().map(name).collect();
            names.sort_unstable();
            names.dedup();
            *kinds.entry(names.join("+")).or_default() += 1;
        }
    }
    kinds
}

fn name(record: &Record) -> &'static str {
    match record {
        Record::Chunk(_) => "chunk",
        Record::Head(_) => "head",
        Record::Release(_) => "release",
        Record::Completed(_) => "completed",
        Record::Part(_) => "part",
        Record::Lease(_) => "lease",
        _ => "other",
    }
}
