//! Builders of records and envelopes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use tinbank_base::{
    clock::Stamp,
    id,
    record::{Envelope, Writer, work},
};
use tinbank_ledger::placement;

pub const SHARDS: u16 = 2;
/// Log time of the first envelope, in seconds since 1970.
pub const START: u64 = 1_000_000;
pub const DAY: u64 = 24 * 3_600;

pub fn writer(host: id::Host, incarnation: id::Incarnation) -> Writer {
    Writer {
        process: id::Process {
            host,
            role: id::Role::Batch,
        },
        incarnation,
    }
}

pub fn time(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(START + seconds)
}

pub fn envelope(
    writer: Writer,
    sequence: u64,
    seconds: u64,
    records: Vec<work::Record>,
) -> Envelope<work::Record> {
    Envelope {
        writer,
        sequence,
        stamp: Stamp {
            micros: (START + seconds) * 1_000_000,
            counter: 0,
        },
        records,
    }
}

/// Returns an item. Every third item is not repeatable.
pub fn item(number: id::Item) -> work::Item {
    work::Item {
        custom_id: format!("item-{number}"),
        body: Bytes::from(format!("body of {number}")),
        repeatable: !number.is_multiple_of(3),
    }
}

/// Returns an item with an id that is unique to the intake.
fn item_of_intake(intake: u64, number: id::Item) -> work::Item {
    work::Item {
        custom_id: format!("item-{number}-of-{intake}"),
        ..item(number)
    }
}

pub fn chunk(
    job: id::Job,
    intake: u64,
    chunk: id::Chunk,
    first: id::Item,
    items: id::Item,
) -> work::Chunk {
    work::Chunk {
        job,
        intake,
        chunk,
        first,
        items: (first..first + items)
            .map(|number| item_of_intake(intake, number))
            .collect(),
    }
}

pub fn head(
    job: id::Job,
    intake: u64,
    items: id::Item,
    chunks: id::Chunk,
    spread: u16,
) -> work::Head {
    work::Head {
        job,
        intake,
        customer: "water".into(),
        service: "logger-notes".into(),
        body: [7; 32],
        items,
        chunks,
        shards: placement::shards_of_chunks(job, chunks, spread, SHARDS),
        received: time(0),
        due: time(DAY),
        keep_until: time(7 * DAY),
    }
}

pub fn answer(item: id::Item, text: &str) -> work::Completion {
    work::Completion {
        item,
        attempts: 1,
        outcome: work::Outcome::Answer(Bytes::copy_from_slice(text.as_bytes())),
    }
}

pub fn completed(
    job: id::Job,
    chunk: id::Chunk,
    completions: Vec<work::Completion>,
) -> work::Record {
    work::Record::Completed(work::Completed {
        job,
        chunk,
        completions,
    })
}

/// Returns a job id whose head is in shard `shard`.
pub fn job_in(shard: id::Shard) -> id::Job {
    (0..100)
        .map(|number| placement::job_id("water", &format!("sweep {number}")))
        .find(|job| placement::shard_of_job(*job, SHARDS) == shard)
        .expect("one of 100 jobs must be in the shard")
}
