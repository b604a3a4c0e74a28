//! Well-formed records of arbitrary contents, in any order: the fold applies or ignores each one and never panics.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use proptest::{prelude::*, sample::select};
use tinbank_base::{
    clock::Stamp,
    id, outcome,
    record::{
        Envelope, Writer,
        claim::{Claim, Settled, Stored},
        lease::Lease,
        work::{self, Record},
    },
};
use tinbank_ledger::{
    checkpoint::{self, Error, Recovery},
    duty,
    shard::Shard,
};
use tinbank_test_support::property;

use crate::fixture::{self, SHARDS, writer};

const CASES: u32 = 512;
/// An offset after all records that the checkpoints here cover.
const AFTER_COVERED: id::Offset = 100;

proptest! {
    #![proptest_config(property::config(CASES))]

    #[test]
    fn arbitrary_records_fold_without_panic_and_survive_a_checkpoint(envelopes in prop::collection::vec(envelope(), 0..24), gaps in prop::collection::vec(0_u64..3, 24)) {
        let mut shard = Shard::new(0, SHARDS);
        let mut offset = 0;

        for (envelope, gap) in envelopes.iter().zip(gaps) {
            offset += gap;
            shard.apply(offset, envelope);
        }

        run_queries(&shard);
        let restored = restore(&checkpoint::records(&shard, 64), 0);
        prop_assert_eq!(restored, Ok(Some(shard).filter(|shard| shard.next() > 0)));
    }

    #[test]
    fn the_largest_offset_folds_without_overflow(envelopes in prop::collection::vec(envelope(), 1..6)) {
        let mut shard = Shard::starting_at(0, SHARDS, id::Offset::MAX - 1);

        for envelope in &envelopes {
            shard.apply(id::Offset::MAX - 1, envelope);
            shard.apply(id::Offset::MAX, envelope);
            shard.skip(id::Offset::MAX);
        }

        prop_assert_eq!(shard.next(), id::Offset::MAX);
    }

    #[test]
    fn a_corrupt_state_is_rejected_or_folds_without_panic(
        envelopes in prop::collection::vec(envelope(), 1..12),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        after in prop::collection::vec(envelope(), 0..12),
    ) {
        let mut shard = Shard::new(0, SHARDS);
        for (offset, envelope) in envelopes.iter().enumerate() {
            shard.apply(offset as id::Offset, envelope);
        }
        let records = checkpoint::records(&shard, usize::MAX);
        let Some(Record::Checkpoint(part)) = records.first() else {
            panic!("a state has a part");
        };
        let mut state = part.state.to_vec();
        for (at, byte) in changes {
            let at = at.index(state.len());
            state[at] = byte;
        }
        let changed = Record::Checkpoint(work::Checkpoint { state: state.into(), ..part.clone() });

        if let Ok(Some(mut shard)) = restore(&[changed], 0) {
            for envelope in &after {
                shard.apply(shard.next(), envelope);
            }
            run_queries(&shard);
        }
    }

    #[test]
    fn arbitrary_checkpoint_parts_are_read_without_panic(parts in prop::collection::vec(part(), 0..12)) {
        let mut recovery = Recovery::new(0, SHARDS, 0);

        for part in parts {
            let _ = recovery.offer(AFTER_COVERED, &envelope_of(Record::Checkpoint(part)));
        }
    }
}

/// Sets each byte of a state to each value.
#[test]
fn a_state_with_one_corrupt_byte_is_rejected_or_folds_without_panic() {
    let shard = with_work();
    let records = checkpoint::records(&shard, usize::MAX);
    let [Record::Checkpoint(part)] = &records[..] else {
        panic!("a small state has one part");
    };
    let all = (0..4).map(|item| fixture::answer(item, "a")).collect();
    let settled = Record::Settled(Settled {
        key: 9,
        claimer: writer(1, 1),
        request: 9,
        answer: Ok(Bytes::new()),
    });
    let mut after = envelope_of(fixture::completed(1, 0, all));
    after.sequence = 9;
    after.records.push(settled);

    for at in 0..part.state.len() {
        for byte in 0..=u8::MAX {
            let mut state = part.state.to_vec();
            state[at] = byte;
            let state = state.into();
            let changed = Record::Checkpoint(work::Checkpoint {
                state,
                ..part.clone()
            });
            if let Ok(Some(mut shard)) = restore(&[changed], 0) {
                shard.apply(shard.next(), &after);
                run_queries(&shard);
            }
        }
    }
}

#[test]
fn the_state_of_another_shard_is_rejected() {
    let mut shard = Shard::new(1, SHARDS);
    shard.apply(0, &envelope_of(Record::Cancel { job: 1 }));

    let found = restore(&checkpoint::records(&shard, usize::MAX), 0);

    let rejected = Error::Shard {
        found: 1,
        found_of: SHARDS,
        shard: 0,
        shards: SHARDS,
    };
    assert_eq!(found, Err(rejected));
}

#[test]
fn the_state_of_a_deployment_with_another_shard_count_is_rejected() {
    let mut shard = Shard::new(0, SHARDS + 1);
    shard.apply(0, &envelope_of(Record::Cancel { job: 1 }));

    let found = restore(&checkpoint::records(&shard, usize::MAX), 0);

    assert!(matches!(found, Err(Error::Shard { .. })), "{found:?}");
}

#[test]
fn a_checkpoint_that_claims_to_cover_later_records_does_not_block_new_checkpoints() {
    let mut shard = Shard::new(0, SHARDS);
    let part = work::Checkpoint {
        through: id::Offset::MAX,
        part: 0,
        parts: 1,
        version: checkpoint::VERSION,
        state: Bytes::new(),
    };

    shard.apply(0, &envelope_of(Record::Checkpoint(part)));

    assert_eq!(shard.checkpoint(), None);
    assert!(shard.needs_checkpoint(1));
}

#[test]
fn recovery_finds_a_checkpoint_after_a_malformed_part() {
    let mut shard = Shard::new(0, SHARDS);
    shard.apply(0, &envelope_of(Record::Cancel { job: 1 }));
    let bad = work::Checkpoint {
        through: 0,
        part: u32::MAX,
        parts: u32::MAX,
        version: checkpoint::VERSION,
        state: Bytes::new(),
    };
    let mut records = vec![Record::Checkpoint(bad)];
    records.extend(checkpoint::records(&shard, usize::MAX));
    let mut recovery = Recovery::new(0, SHARDS, 0);

    let found = recovery.offer(
        AFTER_COVERED,
        &fixture::envelope(writer(1, 1), 1, 1, records),
    );

    assert_eq!(found, Ok(Some(shard)));
}

/// Returns a state with a partly completed chunk and an open claim.
fn with_work() -> Shard {
    let mut shard = Shard::new(0, SHARDS);
    let head = fixture::head(1, 1, 4, 1, 1);
    let release = duty::release(&head, head.shards[0], SHARDS);
    let claim = Claim {
        key: 9,
        body: [1; 32],
        claimer: writer(1, 1),
        request: 9,
        deadline: fixture::time(1),
        keep_until: fixture::time(fixture::DAY),
    };
    let records = vec![
        Record::Chunk(fixture::chunk(1, 1, 0, 0, 4)),
        Record::Release(release),
        fixture::completed(1, 0, vec![fixture::answer(0, "a")]),
        Record::Claim(claim),
    ];
    shard.apply(0, &fixture::envelope(writer(1, 1), 1, 1, records));
    shard
}

/// Runs the queries of the driver.
fn run_queries(shard: &Shard) {
    for job in [0, 1, id::Job::MAX] {
        let Some(work) = shard.work(job) else {
            continue;
        };
        work.count();
        for chunk in work.chunks() {
            chunk.oldest();
            assert!(chunk.pending_items().count() <= chunk.items() as usize);
        }
        work.pending_chunks().count();
    }
    shard.live();
    shard.needs_maintenance(shard.next());
}

fn restore(records: &[Record], shard: id::Shard) -> Result<Option<Shard>, Error> {
    let mut recovery = Recovery::new(shard, SHARDS, 0);
    for record in records {
        if let Some(shard) = recovery.offer(AFTER_COVERED, &envelope_of(record.clone()))? {
            return Ok(Some(shard));
        }
    }
    Ok(None)
}

fn envelope_of(record: Record) -> Envelope<Record> {
    fixture::envelope(writer(1, 1), 1, 1, vec![record])
}

fn envelope() -> impl Strategy<Value = Envelope<Record>> {
    let records = prop::collection::vec(record(), 0..5);
    (
        any_writer(),
        small_or_max_u64(),
        small_or_max_u64(),
        records,
    )
        .prop_map(|(writer, sequence, micros, records)| Envelope {
            writer,
            sequence,
            stamp: Stamp { micros, counter: 0 },
            records,
        })
}

fn record() -> impl Strategy<Value = Record> {
    prop_oneof![
        lease().prop_map(Record::Lease),
        chunk().prop_map(Record::Chunk),
        head().prop_map(Record::Head),
        release().prop_map(Record::Release),
        job().prop_map(|job| Record::Cancel { job }),
        (
            job(),
            small_or_max_u32(),
            small_or_max_u64(),
            prop::collection::vec(small_or_max_u32(), 0..4)
        )
            .prop_map(
                |(job, chunk, epoch, items)| Record::Dispatch(work::Dispatch {
                    job,
                    chunk,
                    epoch,
                    items
                })
            ),
        (job(), small_or_max_u32(), completions())
            .prop_map(|(job, chunk, completions)| { fixture::completed(job, chunk, completions) }),
        (
            job(),
            small_or_max_u64(),
            small_or_max_u32(),
            select(vec![0, 1, u16::MAX])
        )
            .prop_map(|(job, intake, count, shard)| Record::Part(work::Part {
                job,
                intake,
                shard,
                answered: count,
                failed: count,
                cancelled: count
            })),
        (job(), any_writer(), job(), time(), time()).prop_map(
            |(key, claimer, request, deadline, keep_until)| Record::Claim(Claim {
                key,
                body: [1; 32],
                claimer,
                request,
                deadline,
                keep_until
            })
        ),
        (job(), any_writer(), job(), any::<bool>()).prop_map(|(key, claimer, request, ran)| {
            let answer = match ran {
                true => Ok(Bytes::from_static(b"{}")),
                false => Err(Stored {
                    code: outcome::Code::OutcomeUnknown,
                    ran: outcome::Ran::Unknown,
                    message: String::new(),
                }),
            };
            Record::Settled(Settled {
                key,
                claimer,
                request,
                answer,
            })
        }),
        part().prop_map(Record::Checkpoint),
        (small_or_max_u64(), chunk(), completions()).prop_map(|(through, chunk, completions)| {
            Record::Carried(work::Carried {
                through,
                chunk,
                completions,
            })
        }),
    ]
}

fn lease() -> impl Strategy<Value = Lease> {
    prop_oneof![
        (small_or_max_u64(), prop::option::of(small_or_max_u64()))
            .prop_map(|(epoch, expected)| Lease::Take { epoch, expected }),
        small_or_max_u64().prop_map(|epoch| Lease::Renew { epoch }),
        small_or_max_u64().prop_map(|epoch| Lease::Release { epoch }),
    ]
}

fn chunk() -> impl Strategy<Value = work::Chunk> {
    (
        job(),
        small_or_max_u64(),
        small_or_max_u32(),
        small_or_max_u32(),
        0_u32..70,
    )
        .prop_map(|(job, intake, chunk, first, items)| {
            let items = (0..items).map(fixture::item).collect();
            work::Chunk {
                job,
                intake,
                chunk,
                first,
                items,
            }
        })
}

fn head() -> impl Strategy<Value = work::Head> {
    let shards = prop::collection::vec(select(vec![0, 1, u16::MAX]), 0..3);
    (
        job(),
        small_or_max_u64(),
        small_or_max_u32(),
        small_or_max_u32(),
        shards,
        time(),
        time(),
    )
        .prop_map(
            |(job, intake, items, chunks, shards, due, keep_until)| work::Head {
                items,
                chunks,
                shards: shards.into(),
                due,
                keep_until,
                ..fixture::head(job, intake, 1, 1, 1)
            },
        )
}

fn release() -> impl Strategy<Value = work::Release> {
    (
        job(),
        small_or_max_u64(),
        small_or_max_u32(),
        time(),
        time(),
    )
        .prop_map(|(job, intake, chunks, due, keep_until)| work::Release {
            job,
            intake,
            customer: "water".into(),
            service: "logger-notes".into(),
            chunks,
            due,
            keep_until,
        })
}

fn completions() -> impl Strategy<Value = Vec<work::Completion>> {
    prop::collection::vec(small_or_max_u32(), 0..5).prop_map(|items| {
        let answer = |item| fixture::answer(item, "a");
        items.into_iter().map(answer).collect()
    })
}

fn part() -> impl Strategy<Value = work::Checkpoint> {
    let state = prop::collection::vec(any::<u8>(), 0..40);
    (
        small_or_max_u64(),
        small_or_max_u32(),
        small_or_max_u32(),
        state,
    )
        .prop_map(|(through, part, parts, state)| work::Checkpoint {
            through,
            part,
            parts,
            version: checkpoint::VERSION,
            state: state.into(),
        })
}

fn any_writer() -> impl Strategy<Value = Writer> {
    (0_u32..3, 0_u64..6).prop_map(|(host, incarnation)| writer(host, incarnation))
}

fn job() -> impl Strategy<Value = u128> {
    select(vec![0, 1, u128::MAX])
}

fn small_or_max_u32() -> impl Strategy<Value = u32> {
    prop_oneof![4 => 0_u32..4, 1 => select(vec![63, 64, 65, u32::MAX - 1, u32::MAX])]
}

fn small_or_max_u64() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0_u64..4, 1 => select(vec![u64::from(u32::MAX), u64::MAX - 1, u64::MAX])]
}

/// Times that a record can hold, including the first and the last one.
fn time() -> impl Strategy<Value = SystemTime> {
    let last = Duration::from_millis(i64::MAX as u64);
    select(vec![
        UNIX_EPOCH - last,
        UNIX_EPOCH,
        fixture::time(0),
        fixture::time(7 * fixture::DAY),
        UNIX_EPOCH + last,
    ])
}
