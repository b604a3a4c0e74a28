//! Checkpoints: parts, gaps, corrupt contents.

use bytes::Bytes;
use proptest::prelude::*;
use tinbank_base::record::{Envelope, work, work::Record};
use tinbank_ledger::{
    checkpoint::{self, Error, Recovery},
    duty,
    shard::Shard,
};
use tinbank_test_support::property;

use crate::fixture::{self, SHARDS, answer, completed, writer};

const CASES: u32 = 256;
const MAX_BYTES: usize = 32;
/// An offset after all records that the checkpoints here cover.
const AFTER_COVERED: u64 = 100;

#[test]
fn a_state_is_restored_once_its_last_part_is_read() {
    let shard = shard_with_work();
    let records = checkpoint::records(&shard, MAX_BYTES);
    let mut recovery = Recovery::new(0, SHARDS, 0);

    let found: Vec<_> = records
        .iter()
        .map(|record| {
            recovery
                .offer(AFTER_COVERED, &envelope_of(record.clone()))
                .expect("the checkpoint must be readable")
        })
        .collect();

    let (last, before) = found.split_last().expect("a state has parts");
    assert!(before.len() > 1 && before.iter().all(Option::is_none));
    assert_eq!(last.as_ref(), Some(&shard));
}

#[test]
fn a_checkpoint_from_before_a_gap_is_not_used() {
    let shard = shard_with_work();
    let mut recovery = Recovery::new(0, SHARDS, shard.next() + 1);

    let found = checkpoint::records(&shard, usize::MAX)
        .into_iter()
        .find_map(|record| {
            recovery
                .offer(AFTER_COVERED, &envelope_of(record))
                .expect("the checkpoint must be readable")
        });

    assert_eq!(found, None);
}

#[test]
fn an_unsupported_version_is_rejected() {
    let mut recovery = Recovery::new(0, SHARDS, 0);
    let part = work::Checkpoint {
        version: checkpoint::VERSION + 1,
        ..part(Bytes::new())
    };

    let found = recovery.offer(AFTER_COVERED, &envelope_of(Record::Checkpoint(part)));

    assert_eq!(found, Err(Error::Version(checkpoint::VERSION + 1)));
}

#[test]
fn the_fold_records_a_checkpoint_once_all_its_parts_were_read() {
    let mut shard = shard_with_work();
    let through = shard.next() - 1;
    let records = checkpoint::records(&shard, MAX_BYTES);
    let first = shard.next();
    let (last, before) = records.split_last().expect("a state has parts");

    append(&mut shard, before.to_vec());
    let incomplete = shard.checkpoint();
    append(&mut shard, vec![last.clone()]);

    assert_eq!(incomplete, None);
    assert_eq!(
        shard
            .checkpoint()
            .map(|found| (found.through, found.offset)),
        Some((through, first))
    );
    assert!(!shard.needs_checkpoint(first));
    assert!(shard.needs_checkpoint(first + 1));
}

#[test]
fn a_carried_chunk_moves_once_and_a_stale_copy_is_ignored() {
    let mut shard = shard_with_work();
    let through = shard.next() - 1;
    let carried = Record::Carried(work::Carried {
        through,
        chunk: fixture::chunk(1, 1, 0, 0, 4),
        completions: vec![answer(0, "a")],
    });

    append(&mut shard, vec![carried.clone()]);
    let (oldest, body) = (oldest_offset(&shard), body_offset(&shard));
    append(&mut shard, vec![carried]);

    assert_eq!((oldest, body), (through + 1, through + 1));
    assert_eq!((oldest_offset(&shard), body_offset(&shard)), (oldest, body));
}

proptest! {
    #![proptest_config(property::config(CASES))]

    #[test]
    fn arbitrary_contents_are_rejected_without_panic(state in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut recovery = Recovery::new(0, SHARDS, 0);

        let found = recovery.offer(AFTER_COVERED, &envelope_of(Record::Checkpoint(part(state.into()))));

        prop_assert!(found.is_err() || found.is_ok_and(|shard| shard.is_some()));
    }
}

fn shard_with_work() -> Shard {
    let mut shard = Shard::new(0, SHARDS);
    let head = fixture::head(1, 1, 4, 1, 1);
    let release = duty::release(&head, head.shards[0], SHARDS);
    let chunk = fixture::chunk(1, 1, 0, 0, 4);
    append(
        &mut shard,
        vec![Record::Chunk(chunk), Record::Release(release)],
    );
    append(&mut shard, vec![completed(1, 0, vec![answer(0, "a")])]);
    shard
}

fn oldest_offset(shard: &Shard) -> u64 {
    shard.work(1).expect("the job is known").chunks()[0].oldest()
}

fn body_offset(shard: &Shard) -> u64 {
    let work = shard.work(1).expect("the job is known");
    work.chunks()[0].place().offset
}

fn part(state: Bytes) -> work::Checkpoint {
    work::Checkpoint {
        through: 1,
        part: 0,
        parts: 1,
        version: checkpoint::VERSION,
        state,
    }
}

fn envelope_of(record: Record) -> Envelope<Record> {
    fixture::envelope(writer(1, 1), 1, 1, vec![record])
}

fn append(shard: &mut Shard, records: Vec<Record>) {
    let offset = shard.next();
    shard.apply(
        offset,
        &fixture::envelope(writer(1, 1), offset + 1, 1, records),
    );
}
