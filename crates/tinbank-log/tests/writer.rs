//! The writer against a log with faults, in virtual time.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::future::join_all;
use proptest::prelude::*;
use tinbank_base::{clock::Stamp, id, platform::log::Stream, record};
use tinbank_log::{
    budget::{self, Priority},
    fold::Dedupe,
    group,
    writer::{Error, Settings, Writer},
};
use tinbank_test_support::{
    log::{Fault, Memory},
    property,
};
use tokio::{sync::watch, time};

const STREAM: Stream = Stream::Work(0);

fn writer_with(log: &Memory, settings: Settings) -> Writer {
    let identity = record::Writer {
        process: id::Process {
            host: 1,
            role: id::Role::Batch,
        },
        incarnation: 1,
    };
    let (_, writers) = watch::channel(1);
    Writer::start(
        Arc::new(log.clone()),
        identity,
        Arc::new(Stamp::default),
        settings,
        writers,
    )
}

fn writer(log: &Memory) -> Writer {
    writer_with(log, Settings::default())
}

/// What a fold of the stream counts.
fn counted(log: &Memory, stream: Stream) -> Vec<u64> {
    let mut dedupe = Dedupe::default();
    log.envelopes::<u64>(stream)
        .into_iter()
        .filter(|envelope| dedupe.admit(envelope.writer, envelope.sequence))
        .flat_map(|envelope| envelope.records)
        .collect()
}

fn after(millis: u64) -> Instant {
    (time::Instant::now() + Duration::from_millis(millis)).into_std()
}

#[tokio::test(start_paused = true)]
async fn callers_of_one_moment_share_few_envelopes() {
    let log = Memory::new();
    log.delay(Duration::from_millis(5));
    let writer = writer(&log);

    let appends = (0..100_u64).map(|number| writer.append(STREAM, vec![number]));
    let results = join_all(appends).await;

    assert!(results.iter().all(Result::is_ok));
    assert_eq!(counted(&log, STREAM), (0..100).collect::<Vec<u64>>());
    assert!(log.append_calls() <= 2, "{} appends", log.append_calls());
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_doubles_nothing() {
    let log = Memory::new();
    log.fault_next_append(Fault::LostAfter);
    log.fault_next_append(Fault::LostAfter);
    let writer = writer(&log);

    let first = writer.append(STREAM, vec![1_u64]).await;
    let second = writer.append(STREAM, vec![2_u64]).await;

    assert_eq!((first, second), (Ok(2), Ok(3)));
    assert_eq!(log.entries(STREAM).len(), 4);
    assert_eq!(counted(&log, STREAM), [1, 2]);
}

#[tokio::test(start_paused = true)]
async fn an_outage_ends_as_not_appended_and_leaves_nothing() {
    let log = Memory::new();
    let writer = writer(&log);
    log.outage(true);

    let refused = writer
        .append_by(STREAM, vec![1_u64], Priority::Normal, after(500))
        .await;
    log.outage(false);
    let accepted = writer.append(STREAM, vec![2_u64]).await;

    assert!(matches!(refused, Err(Error::NotAppended(_))), "{refused:?}");
    assert!(accepted.is_ok());
    assert_eq!(counted(&log, STREAM), [2]);
}

#[tokio::test(start_paused = true)]
async fn an_outage_in_the_midst_is_waited_out() {
    let log = Memory::new();
    let writer = writer(&log);
    writer.append(STREAM, vec![1_u64]).await.unwrap();
    log.outage(true);

    let append = writer.append(STREAM, vec![2_u64]);
    let end_of_outage = async {
        time::sleep(Duration::from_secs(4)).await;
        log.outage(false);
    };
    let (appended, ()) = tokio::join!(append, end_of_outage);

    assert!(appended.is_ok(), "{appended:?}");
    assert_eq!(counted(&log, STREAM), [1, 2]);
}

#[tokio::test(start_paused = true)]
async fn an_envelope_that_appears_after_it_was_given_up_does_not_count() {
    let log = Memory::new();
    log.fault_next_append(Fault::LateEffect(Duration::from_secs(5)));
    let writer = writer(&log);

    let unknown = writer
        .append_by(STREAM, vec![1_u64], Priority::Normal, after(10))
        .await;
    let next = writer.append(STREAM, vec![2_u64]).await;
    time::sleep(Duration::from_secs(6)).await;

    assert!(matches!(unknown, Err(Error::Unknown { sequence: 1, .. })));
    assert!(next.is_ok());
    assert_eq!(log.entries(STREAM).len(), 2, "the late one stands there");
    assert_eq!(counted(&log, STREAM), [2]);
}

#[tokio::test(start_paused = true)]
async fn a_full_buffer_refuses_at_once_and_frees_itself() {
    let log = Memory::new();
    log.outage(true);
    let settings = Settings {
        buffer_bytes: 1_000,
        ..Settings::default()
    };
    let writer = writer_with(&log, settings);
    let big = vec![vec![0_u8; 800]];
    let waiting = {
        let (writer, big) = (writer.clone(), big.clone());
        tokio::spawn(async move {
            writer
                .append_by(STREAM, big, Priority::Normal, after(1_000))
                .await
        })
    };
    tokio::task::yield_now().await;
    let began = time::Instant::now();

    let refused = writer.append(STREAM, big.clone()).await;
    let took = began.elapsed();
    let expired = waiting.await.unwrap();
    log.outage(false);
    let accepted = writer.append(STREAM, big).await;

    assert!(matches!(refused, Err(Error::Full { limit: 1_000, .. })));
    assert_eq!(took, Duration::ZERO);
    assert!(matches!(expired, Err(Error::NotAppended(_))));
    assert!(accepted.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_writer_stays_under_its_share() {
    let log = Memory::new();
    let writer = writer(&log);
    let streams = 16_u16;

    let began = time::Instant::now();
    let callers = (0..streams).map(|shard| {
        let writer = writer.clone();
        async move {
            while began.elapsed() < Duration::from_secs(10) {
                writer
                    .append(Stream::Work(shard), vec![1_u64])
                    .await
                    .unwrap();
            }
        }
    });
    join_all(callers).await;

    let normal = 300.0 * 0.9;
    let most = (normal * 10.0 + normal) as usize + usize::from(streams);
    let calls = log.append_calls();
    assert!(calls <= most, "{calls} over {most}");
    assert!(calls >= (normal * 10.0) as usize, "{calls}");
}

/// One step of a storm.
#[derive(Clone, Debug)]
enum Step {
    Append { shard: u16, patience: u64 },
    Wait(u64),
    Fault(Fault),
    Outage(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let late = (1_u64..8_000).prop_map(Duration::from_millis);
    let fault = prop_oneof![
        Just(Fault::LostAfter),
        Just(Fault::LostBefore),
        Just(Fault::Refused),
        late.clone().prop_map(Fault::LateEffect),
        late.prop_map(Fault::SlowAnswer),
    ];
    prop_oneof![
        6 => (0_u16..3, 0_u64..6_000)
            .prop_map(|(shard, patience)| Step::Append { shard, patience }),
        3 => (0_u64..2_000).prop_map(Step::Wait),
        3 => fault.prop_map(Step::Fault),
        1 => any::<bool>().prop_map(Step::Outage),
    ]
}

async fn storm(steps: Vec<Step>) -> (Memory, BTreeMap<u64, (u16, Result<u64, Error>)>) {
    let log = Memory::new();
    let settings = Settings {
        group: group::Settings {
            budget: budget::Settings {
                fleet_per_second: 20.0,
                ..budget::Settings::default()
            },
            ..group::Settings::default()
        },
        ..Settings::default()
    };
    let writer = writer_with(&log, settings);
    let mut appends = Vec::new();
    for (number, step) in (0_u64..).zip(steps) {
        match step {
            Step::Append { shard, patience } => {
                let writer = writer.clone();
                let until = after(patience);
                appends.push(tokio::spawn(async move {
                    let stream = Stream::Work(shard);
                    let append = writer.append_by(stream, vec![number], Priority::Normal, until);
                    (number, (shard, append.await))
                }));
                tokio::task::yield_now().await;
            }
            Step::Wait(millis) => time::sleep(Duration::from_millis(millis)).await,
            Step::Fault(fault) => log.fault_next_append(fault),
            Step::Outage(on) => log.outage(on),
        }
    }
    let results = join_all(appends).await;
    time::sleep(Duration::from_secs(60)).await;
    (log, results.into_iter().map(Result::unwrap).collect())
}

proptest! {
    #![proptest_config(property::config(200))]

    /// Against one caller on a perfect log: what was promised stands once and in order, what was refused never does.
    #[test]
    fn promises_hold_in_any_storm(steps in prop::collection::vec(step(), 1..60)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();

        let (log, results) = runtime.block_on(storm(steps));

        let found: BTreeMap<u16, Vec<u64>> = (0..3)
            .map(|shard| (shard, counted(&log, Stream::Work(shard))))
            .collect();
        for (shard, numbers) in &found {
            prop_assert!(numbers.is_sorted_by(|a, b| a < b), "shard {}: {:?}", shard, numbers);
        }
        for (number, (shard, result)) in results {
            let stands = found[&shard].contains(&number);
            match result {
                Ok(_) => prop_assert!(stands, "{} is lost", number),
                Err(error) if error.may_stand() => {}
                Err(error) => prop_assert!(!stands, "{} stands in spite of {}", number, error),
            }
        }
    }
}
