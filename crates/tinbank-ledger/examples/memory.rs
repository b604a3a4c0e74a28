//! Measures the memory of pending and half-completed items.
//!
//! `cargo run --release -p tinbank-ledger --example memory -- 256`
//!
//! The argument is the number of items in a chunk. Folds many jobs of one size, drops the records, and compares the
//! resident memory of the process before and after.

use std::{env, fs, time::UNIX_EPOCH};

use bytes::Bytes;
use tinbank_base::{
    clock::Stamp,
    id,
    record::{Envelope, Writer, work},
};
use tinbank_ledger::{duty, shard::Shard};

const DEFAULT_ITEMS: id::Item = 256;
const PAGE: usize = 4_096;
const CHUNKS: id::Chunk = 50_000;
const CHUNKS_PER_JOB: id::Chunk = 200;

fn main() {
    let argument = env::args().nth(1).and_then(|text| text.parse().ok());
    let items: id::Item = argument.unwrap_or(DEFAULT_ITEMS);
    let before = resident();
    let mut shard = Shard::new(0, 1);
    for job in 0..CHUNKS / CHUNKS_PER_JOB {
        submit_job(&mut shard, job.into(), items);
    }
    let pending = resident() - before;
    for job in 0..CHUNKS / CHUNKS_PER_JOB {
        complete_half(&mut shard, job.into(), items);
    }
    let half = resident() - before;
    let total = (CHUNKS * items) as f64;
    println!(
        "items_per_chunk={items} items={total} pending_bytes_per_item={:.3} half_ended_bytes_per_item={:.3}",
        pending as f64 / total,
        half as f64 / total,
    );
    assert!(shard.live());
}

fn submit_job(shard: &mut Shard, job: id::Job, items: id::Item) {
    for chunk in 0..CHUNKS_PER_JOB {
        let first = chunk * items;
        let list = (0..items).map(|_| work::Item {
            custom_id: String::new(),
            body: Bytes::new(),
            repeatable: true,
        });
        let chunk = work::Chunk {
            job,
            intake: 1,
            chunk,
            first,
            items: list.collect(),
        };
        append(shard, work::Record::Chunk(chunk));
    }
    let head = work::Head {
        job,
        intake: 1,
        customer: "water".into(),
        service: "logger-notes".into(),
        body: [0; 32],
        items: items * CHUNKS_PER_JOB,
        chunks: CHUNKS_PER_JOB,
        shards: [0].into_iter().collect(),
        received: UNIX_EPOCH,
        due: UNIX_EPOCH,
        keep_until: UNIX_EPOCH,
    };
    append(shard, work::Record::Release(duty::release(&head, 0, 1)));
}

fn complete_half(shard: &mut Shard, job: id::Job, items: id::Item) {
    for chunk in 0..CHUNKS_PER_JOB {
        let first = chunk * items;
        let completions = (0..items / 2).map(|item| work::Completion {
            item: first + item * 2,
            attempts: 1,
            outcome: work::Outcome::Answer(Bytes::new()),
        });
        let completed = work::Completed {
            job,
            chunk,
            completions: completions.collect(),
        };
        append(shard, work::Record::Completed(completed));
    }
}

fn append(shard: &mut Shard, record: work::Record) {
    let process = id::Process {
        host: 1,
        role: id::Role::Batch,
    };
    let envelope = Envelope {
        writer: Writer {
            process,
            incarnation: 1,
        },
        sequence: shard.next() + 1,
        stamp: Stamp::default(),
        records: vec![record],
    };
    shard.apply(shard.next(), &envelope);
}

/// Returns the resident memory of this process in bytes.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE
}
