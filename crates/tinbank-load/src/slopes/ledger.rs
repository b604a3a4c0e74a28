//! The fold of a work shard: time a record and an item, bytes an item.

use std::time::{Duration, SystemTime};

use smallvec::smallvec;
use tinbank_base::{
    clock::Stamp,
    id::{self, Process, Role},
    record::{
        Envelope, Writer,
        work::{Chunk, Completed, Completion, Head, Item, Outcome, Record, Release},
    },
};
use tinbank_ledger::{checkpoint, placement::ITEMS_PER_CHUNK, shard::Shard};

use super::{Allocated, Point, Series, micros, point, processor_time, weight};

const SIZES: [usize; 4] = [25_600, 51_200, 102_400, 204_800];
/// Completions in one record: what one group commit of a busy shard holds.
const GROUP: usize = 32;
const CHECKPOINT_PART: usize = 256 << 10;

pub(super) fn fold_items() -> Series {
    let points = points(|items| {
        let work = work(items);
        micros(processor_time(Shard::default, |shard| {
            fold(shard, &work);
        }))
    });
    Series::new(
        "ledger fold items",
        "item through intake, release and completion",
        "µs",
        points,
    )
}

pub(super) fn fold_records() -> Series {
    let points = points(|items| {
        let single = singles(items);
        let before = fold(Shard::new(0, 1), &intake(items));
        micros(processor_time(
            || before.clone(),
            |shard| {
                fold(shard, &single);
            },
        ))
    });
    Series::new(
        "ledger fold records",
        "record of one completion",
        "µs",
        points,
    )
}

pub(super) fn pending_bytes(allocated: Allocated) -> Series {
    let points = points(|items| {
        let intake = intake(items);
        weight(allocated, || fold(Shard::new(0, 1), &intake))
    });
    Series::new("ledger pending bytes", "pending item", "bytes", points)
}

pub(super) fn ended_bytes(allocated: Allocated) -> Series {
    let points = points(|items| {
        let work = work(items);
        weight(allocated, || fold(Shard::new(0, 1), &work))
    });
    Series::new(
        "ledger ended bytes",
        "ended item whose result is readable",
        "bytes",
        points,
    )
}

pub(super) fn checkpoint_bytes() -> Series {
    let points = points(|items| {
        let shard = fold(Shard::new(0, 1), &intake(items));
        let records = checkpoint::records(&shard, CHECKPOINT_PART);
        envelope(1, records).encode().len() as f64
    });
    Series::new("ledger checkpoint bytes", "pending item", "bytes", points)
}

fn points(measure: impl Fn(usize) -> f64) -> Vec<Point> {
    SIZES
        .iter()
        .map(|items| point(*items, measure(*items)))
        .collect()
}

fn fold(shard: Shard, envelopes: &[Envelope<Record>]) -> Shard {
    let mut shard = shard;
    let first = shard.next();
    for (offset, envelope) in (first..).zip(envelopes) {
        shard.apply(offset, envelope);
    }
    shard
}

fn work(items: usize) -> Vec<Envelope<Record>> {
    let mut envelopes = intake(items);
    let first = envelopes.len() as u64 + 1;
    let completions = (0..items).collect::<Vec<_>>();
    let groups = completions.chunks(GROUP).map(completed);
    envelopes.extend(
        (first..)
            .zip(groups)
            .map(|(sequence, record)| envelope(sequence, vec![record])),
    );
    envelopes
}

/// One record an envelope and one completion a record: the worst case of an idle budget.
fn singles(items: usize) -> Vec<Envelope<Record>> {
    let first = intake(items).len() as u64 + 1;
    (first..)
        .zip(0..items)
        .map(|(sequence, item)| envelope(sequence, vec![completed(&[item])]))
        .collect()
}

fn intake(items: usize) -> Vec<Envelope<Record>> {
    let chunks = items / ITEMS_PER_CHUNK;
    let mut records: Vec<_> = (0..chunks).map(chunk).collect();
    records.push(Record::Head(head(items, chunks)));
    records.push(Record::Release(release(chunks)));
    (1..)
        .zip(records)
        .map(|(sequence, record)| envelope(sequence, vec![record]))
        .collect()
}

fn chunk(chunk: usize) -> Record {
    let first = chunk * ITEMS_PER_CHUNK;
    let items = (first..first + ITEMS_PER_CHUNK).map(item).collect();
    Record::Chunk(Chunk {
        job: JOB,
        intake: INTAKE,
        chunk: chunk as id::Chunk,
        first: first as id::Item,
        items,
    })
}

/// Bodies are empty here: the fold keeps none of them, and reading them is the log's cost.
fn item(item: usize) -> Item {
    Item {
        custom_id: format!("logger-{item:07}"),
        body: "{}".into(),
        repeatable: true,
    }
}

fn completed(items: &[usize]) -> Record {
    let completions = items.iter().map(|item| completion(*item)).collect();
    let chunk = (items[0] / ITEMS_PER_CHUNK) as id::Chunk;
    Record::Completed(Completed {
        job: JOB,
        chunk,
        completions,
    })
}

fn completion(item: usize) -> Completion {
    Completion {
        item: item as id::Item,
        attempts: 1,
        outcome: Outcome::Answer("{}".into()),
    }
}

fn head(items: usize, chunks: usize) -> Head {
    Head {
        job: JOB,
        intake: INTAKE,
        customer: "moreton-basin".into(),
        service: "logger-notes".into(),
        body: [7; 32],
        items: items as id::Item,
        chunks: chunks as id::Chunk,
        shards: smallvec![0],
        received: SystemTime::UNIX_EPOCH,
        due: later(),
        keep_until: later(),
    }
}

fn release(chunks: usize) -> Release {
    Release {
        job: JOB,
        intake: INTAKE,
        customer: "moreton-basin".into(),
        service: "logger-notes".into(),
        chunks: chunks as id::Chunk,
        due: later(),
        keep_until: later(),
    }
}

fn later() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(86_400)
}

fn envelope(sequence: u64, records: Vec<Record>) -> Envelope<Record> {
    Envelope {
        writer: Writer {
            process: Process {
                host: 1,
                role: Role::Batch,
            },
            incarnation: 1,
        },
        sequence,
        stamp: Stamp {
            micros: sequence,
            counter: 0,
        },
        records,
    }
}

const JOB: id::Job = 42;
const INTAKE: u64 = 1;
