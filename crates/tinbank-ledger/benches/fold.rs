//! Throughput of decoding, folding and recovery. Results are in `docs/design/ledger.md`.
//!
//! `cargo bench -p tinbank-ledger`

use std::{
    hint::black_box,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use criterion::{BatchSize, Criterion, Throughput, criterion_group, criterion_main};
use tinbank_base::{
    clock::Stamp,
    id,
    record::{Envelope, Writer, work},
};
use tinbank_ledger::{
    checkpoint::{self, Recovery},
    duty,
    shard::Shard,
};

const JOB: id::Job = 1;
const ITEMS: id::Item = 100_000;
const CHUNK: id::Item = 256;
const BODY: usize = 400;
const ANSWER: usize = 600;
/// Completion records in one append.
const GROUP: usize = 128;
const SHARDS: u16 = 1;
const CHECKPOINT_BYTES: usize = 256 << 10;

fn benches(criterion: &mut Criterion) {
    let intake = intake();
    let completions = completions();
    let pending = fold(Shard::new(0, SHARDS), &intake);

    let mut group = criterion.benchmark_group("fold");
    group.throughput(Throughput::Elements(u64::from(ITEMS)));
    group.bench_function("one record for each completion", |bencher| {
        bencher.iter_batched(
            || pending.clone(),
            |shard| fold(shard, &completions),
            BatchSize::LargeInput,
        );
    });
    let encoded: Vec<Bytes> = completions.iter().map(Envelope::encode).collect();
    group.bench_function("decode and fold completions", |bencher| {
        bencher.iter_batched(
            || pending.clone(),
            |shard| decode_and_fold(shard, &encoded),
            BatchSize::LargeInput,
        );
    });
    group.finish();

    let mut group = criterion.benchmark_group("recovery of 100,000 live items");
    let encoded: Vec<Bytes> = intake.iter().map(Envelope::encode).collect();
    group.bench_function("from their chunks", |bencher| {
        bencher.iter(|| decode_and_fold(Shard::new(0, SHARDS), &encoded));
    });
    let parts = checkpoint::records(&pending, CHECKPOINT_BYTES);
    let parts: Vec<Bytes> = parts
        .into_iter()
        .map(|part| envelope(u64::MAX, vec![part]).encode())
        .collect();
    group.bench_function("from a checkpoint", |bencher| {
        bencher.iter(|| recover(&parts));
    });
    group.finish();
}

fn fold(mut shard: Shard, envelopes: &[Envelope<work::Record>]) -> Shard {
    for envelope in envelopes {
        black_box(shard.apply(shard.next(), envelope));
    }
    shard
}

fn decode_and_fold(mut shard: Shard, payloads: &[Bytes]) -> Shard {
    for payload in payloads {
        let envelope = Envelope::decode(payload).expect("the envelope must decode");
        black_box(shard.apply(shard.next(), &envelope));
    }
    shard
}

fn recover(payloads: &[Bytes]) -> Shard {
    let mut recovery = Recovery::new(0, SHARDS, 0);
    payloads
        .iter()
        .find_map(|payload| {
            let envelope = Envelope::decode(payload).expect("the envelope must decode");
            recovery
                .offer(id::Offset::MAX, &envelope)
                .expect("the checkpoint must be readable")
        })
        .expect("the checkpoint must be complete")
}

fn intake() -> Vec<Envelope<work::Record>> {
    let chunks = ITEMS.div_ceil(CHUNK);
    let mut envelopes: Vec<_> = (0..chunks)
        .map(|number| {
            let first = number * CHUNK;
            let items = (first..ITEMS.min(first + CHUNK)).map(item).collect();
            let chunk = work::Chunk {
                job: JOB,
                intake: 1,
                chunk: number,
                first,
                items,
            };
            envelope(u64::from(number) + 1, vec![work::Record::Chunk(chunk)])
        })
        .collect();
    let release = duty::release(&head(chunks), 0, SHARDS);
    let release = work::Record::Release(release);
    envelopes.push(envelope(u64::from(chunks) + 1, vec![release]));
    envelopes
}

fn completions() -> Vec<Envelope<work::Record>> {
    let items: Vec<id::Item> = (0..ITEMS).collect();
    items
        .chunks(GROUP)
        .enumerate()
        .map(|(number, group)| {
            let records = group.iter().map(|item| completed(*item)).collect();
            envelope(1_000_000 + number as u64, records)
        })
        .collect()
}

fn item(number: id::Item) -> work::Item {
    work::Item {
        custom_id: format!("logger-{number}"),
        body: Bytes::from(vec![b'x'; BODY]),
        repeatable: true,
    }
}

fn completed(item: id::Item) -> work::Record {
    work::Record::Completed(work::Completed {
        job: JOB,
        chunk: item / CHUNK,
        completions: vec![work::Completion {
            item,
            attempts: 1,
            outcome: work::Outcome::Answer(Bytes::from(vec![b'y'; ANSWER])),
        }],
    })
}

fn head(chunks: id::Chunk) -> work::Head {
    work::Head {
        job: JOB,
        intake: 1,
        customer: "water".into(),
        service: "logger-notes".into(),
        body: [0; 32],
        items: ITEMS,
        chunks,
        shards: [0].into_iter().collect(),
        received: at(0),
        due: at(3_600),
        keep_until: at(36_000),
    }
}

fn at(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(seconds)
}

fn envelope(sequence: u64, records: Vec<work::Record>) -> Envelope<work::Record> {
    let process = id::Process {
        host: 1,
        role: id::Role::Batch,
    };
    Envelope {
        writer: Writer {
            process,
            incarnation: 1,
        },
        sequence,
        stamp: Stamp::default(),
        records,
    }
}

criterion_group!(fold_benches, benches);
criterion_main!(fold_benches);
