//! Which record counts when two say different things, one case at a time.

use tinbank_base::{
    id,
    record::{Envelope, Writer, lease::Lease, work, work::Record},
};
use tinbank_ledger::{
    Change,
    duty::{self, Duties},
    placement,
    shard::{Item, Sending, Shard},
};

use crate::fixture::{self, DAY, SHARDS, answer, completed, writer};

const JOB: id::Job = 5;
const OWNER: u32 = 1;
/// An item that may not be repeated.
const ONCE: id::Item = 3;

#[test]
fn chunks_wait_for_their_release_and_only_its_intake_runs() {
    let mut shard = Shard::new(0, SHARDS);
    add(&mut shard, vec![chunk(1), chunk(2)]);
    let before = shard.ready("water").count();

    let changes = add(&mut shard, vec![release(2)]);

    assert_eq!(before, 0);
    assert_eq!(changes[..], [Change::Released(JOB)]);
    assert_eq!(shard.ready("water").count(), 1);
    assert_eq!(shard.count(JOB).map(|count| count.pending), Some(4));
}

#[test]
fn the_first_head_counts_and_a_second_intake_learns_of_it() {
    let job = fixture::job_in(0);
    let mut shard = Shard::new(0, SHARDS);

    let first = add(
        &mut shard,
        vec![Record::Head(fixture::head(job, 1, 4, 1, 1))],
    );
    let second = add(
        &mut shard,
        vec![Record::Head(fixture::head(job, 2, 4, 1, 1))],
    );

    assert_eq!(first[..], [Change::Committed(job)]);
    assert!(second.is_empty());
    assert_eq!(shard.job(job).map(|job| job.head.intake), Some(1));
}

#[test]
fn the_first_completion_counts() {
    let mut shard = running();

    let first = add(
        &mut shard,
        vec![completed(JOB, 0, vec![answer(0, "a"), answer(1, "a")])],
    );
    let second = add(
        &mut shard,
        vec![completed(JOB, 0, vec![answer(1, "b"), answer(2, "b")])],
    );

    assert_eq!(items(&first), [0, 1]);
    assert_eq!(items(&second), [2]);
    assert_eq!(shard.count(JOB).map(|count| count.answered), Some(3));
}

#[test]
fn a_completion_of_an_item_of_another_chunk_is_dropped() {
    let mut shard = running();

    let changes = add(
        &mut shard,
        vec![completed(
            JOB,
            0,
            vec![answer(4, "a"), answer(u32::MAX, "a")],
        )],
    );

    assert!(changes.is_empty());
}

#[test]
fn completions_after_a_cancel_do_not_count() {
    let mut shard = running();
    add(&mut shard, vec![completed(JOB, 0, vec![answer(0, "a")])]);

    let cancelled = add(&mut shard, vec![Record::Cancel { job: JOB }]);
    let late = add(&mut shard, vec![completed(JOB, 0, vec![answer(1, "a")])]);

    assert_eq!(
        cancelled[..],
        [Change::Cancelled(JOB), Change::Finished(JOB)]
    );
    assert!(late.is_empty());
    let count = shard.count(JOB).expect("the job is known");
    assert_eq!((count.pending, count.answered, count.cancelled), (0, 1, 3));
}

#[test]
fn a_cancel_before_the_release_stops_the_job() {
    let mut shard = Shard::new(0, SHARDS);
    add(&mut shard, vec![chunk(1), Record::Cancel { job: JOB }]);

    let changes = add(&mut shard, vec![release(1)]);

    assert_eq!(shard.ready("water").count(), 0);
    assert!(changes.contains(&Change::Finished(JOB)));
}

#[test]
fn a_cancel_of_what_was_never_accepted_changes_nothing() {
    let job = fixture::job_in(0);
    let mut shard = Shard::new(0, SHARDS);

    let changes = add(&mut shard, vec![Record::Cancel { job }]);

    assert!(changes.is_empty());
    assert!(!shard.live());
}

#[test]
fn a_second_copy_of_an_append_changes_nothing() {
    let mut shard = Shard::new(0, SHARDS);
    let envelope = fixture::envelope(writer(OWNER, 1), 1, 1, vec![chunk(1), release(1)]);
    shard.apply(0, &envelope);
    let before = shard.clone();

    let changes = shard.apply(1, &envelope);

    assert!(changes.is_empty());
    assert_eq!(shard.count(JOB), before.count(JOB));
    assert_eq!(shard.next(), 2);
}

#[test]
fn an_unreadable_record_is_passed_over() {
    let mut shard = running();
    let next = shard.next();

    shard.skip(next);

    assert_eq!((shard.next(), shard.skipped()), (next + 1, 1));
}

#[test]
fn an_item_not_to_be_repeated_needs_its_dispatch_read_back() {
    let mut shard = running();
    take(&mut shard, OWNER);
    let before = sending(&shard, 1);

    let changes = add(&mut shard, vec![dispatch(1)]);

    assert_eq!(before, Sending::DispatchFirst);
    assert!(matches!(changes[..], [Change::Dispatched { job: JOB, .. }]));
    assert_eq!(sending(&shard, 1), Sending::Yes);
}

#[test]
fn a_dispatch_of_a_former_owner_does_not_count() {
    let mut shard = running();
    take(&mut shard, OWNER);
    take(&mut shard, 2);

    let changes = add(&mut shard, vec![dispatch(1)]);

    assert!(changes.is_empty());
    assert_eq!(sending(&shard, 2), Sending::DispatchFirst);
}

#[test]
fn an_open_dispatch_ends_as_unknown_after_a_takeover() {
    let mut shard = running();
    take(&mut shard, OWNER);
    add(&mut shard, vec![dispatch(1)]);
    take(&mut shard, 2);
    let spent = sending(&shard, 2);

    let duties = due(&mut shard, 2);
    let ended = add(
        &mut shard,
        duties.into_iter().map(|duty| duty.record).collect(),
    );

    assert_eq!(spent, Sending::MaybeSent);
    assert_eq!(items(&ended), [ONCE]);
    assert_eq!(sending(&shard, 2), Sending::Ended);
    assert_eq!(shard.count(JOB).map(|count| count.failed), Some(1));
}

#[test]
fn duties_are_repeated_until_done_and_only_by_the_owner() {
    let job = fixture::job_in(0);
    let mut shard = Shard::new(0, SHARDS);
    add(
        &mut shard,
        vec![Record::Head(fixture::head(job, 1, 8, 2, 2))],
    );
    take(&mut shard, OWNER);
    let now = std::time::Instant::now();
    let retry = std::time::Duration::from_secs(1);
    let mut duties = Duties::new(retry);

    let none = duties.due(&shard, writer(2, 1), now);
    let both = duties.due(&shard, writer(OWNER, 1), now);
    let soon = duties.due(&shard, writer(OWNER, 1), now);
    both.iter()
        .for_each(|duty| duties.acknowledged(&shard, duty));
    let later = duties.due(&shard, writer(OWNER, 1), now + retry);

    assert_eq!(none, []);
    assert_eq!(shards(&both), [0, 1]);
    assert_eq!(soon, []);
    assert_eq!(
        shards(&later),
        [0],
        "our own shard's release was not read back"
    );
}

#[test]
fn a_part_is_told_to_the_head_and_then_noted_here() {
    let job = fixture::job_in(1);
    let mut shard = Shard::new(0, SHARDS);
    let head = fixture::head(job, 1, 4, 1, 1);
    let chunk = fixture::chunk(job, 1, 0, 0, 4);
    let release = duty::release(&head, head.shards[0], SHARDS);
    let ends = (0..4).map(|item| answer(item, "a")).collect();
    add(
        &mut shard,
        vec![
            Record::Chunk(chunk),
            Record::Release(release),
            completed(job, 0, ends),
        ],
    );
    take(&mut shard, OWNER);
    let now = std::time::Instant::now();
    let mut duties = Duties::new(std::time::Duration::from_secs(1));

    let told = duties.due(&shard, writer(OWNER, 1), now);
    told.iter()
        .for_each(|duty| duties.acknowledged(&shard, duty));
    let noted = duties.due(&shard, writer(OWNER, 1), now);
    add(
        &mut shard,
        noted.iter().map(|duty| duty.record.clone()).collect(),
    );

    assert_eq!(shards(&told), [placement::shard_of_job(job, SHARDS)]);
    assert_eq!(shards(&noted), [0]);
    assert!(!shard.live());
}

#[test]
fn a_finished_job_is_forgotten_after_its_time() {
    let mut shard = finished();

    add_at(&mut shard, writer(1, 1), 8 * DAY, Vec::new());

    assert!(shard.work(JOB).is_none());
}

#[test]
fn a_job_taken_in_again_long_after_runs_even_where_the_first_is_remembered() {
    let mut shard = finished();
    let stale = release(1);
    let again = Record::Release(released_again(7 * DAY + 1));

    add(&mut shard, vec![chunk(2)]);
    let changes = add(&mut shard, vec![again]);
    let flipped = add(&mut shard, vec![stale, part()]);

    assert_eq!(changes[..], [Change::Released(JOB)]);
    assert!(flipped.is_empty());
    assert_eq!(shard.count(JOB).map(|count| count.pending), Some(4));
    assert!(
        shard.live(),
        "the part of the first does not end the second"
    );
}

#[test]
fn a_release_of_another_intake_does_not_end_a_running_job() {
    let mut shard = running();

    let changes = add(
        &mut shard,
        vec![chunk(2), Record::Release(released_again(7 * DAY + 1))],
    );

    assert!(changes.is_empty());
    assert_eq!(
        shard
            .work(JOB)
            .and_then(|work| work.release.as_ref())
            .map(|release| release.intake),
        Some(1)
    );
}

#[test]
fn chunks_without_a_release_are_forgotten_after_a_day() {
    let mut shard = running();
    add(&mut shard, vec![chunk(2)]);
    add_at(&mut shard, writer(2, 1), 2, Vec::new());
    let waiting = shard.to_carry(shard.next()).count();

    add_at(&mut shard, writer(1, 1), DAY + 100, Vec::new());
    add_at(&mut shard, writer(2, 1), DAY + 100, Vec::new());

    assert_eq!(waiting, 2);
    assert_eq!(shard.to_carry(shard.next()).count(), 1);
}

#[test]
fn a_cancel_follows_the_release() {
    let job = fixture::job_in(0);
    let mut shard = Shard::new(0, SHARDS);
    add(
        &mut shard,
        vec![
            Record::Head(fixture::head(job, 1, 8, 2, 2)),
            Record::Cancel { job },
        ],
    );
    take(&mut shard, OWNER);
    let now = std::time::Instant::now();
    let mut duties = Duties::new(std::time::Duration::from_secs(1));

    let first = duties.due(&shard, writer(OWNER, 1), now);
    first
        .iter()
        .for_each(|duty| duties.acknowledged(&shard, duty));
    let next = duties.due(&shard, writer(OWNER, 1), now);

    assert!(
        first
            .iter()
            .all(|duty| matches!(duty.record, Record::Release(_)))
    );
    assert_eq!(
        next.iter()
            .map(|duty| duty.record.clone())
            .collect::<Vec<_>>(),
        [Record::Cancel { job }]
    );
    assert_eq!(shards(&next), [1]);
}

#[test]
fn one_fast_clock_makes_nobody_forget() {
    let mut shard = finished();
    add_at(&mut shard, writer(2, 1), 2, Vec::new());

    add_at(&mut shard, writer(3, 1), 1_000 * DAY, Vec::new());
    add_at(&mut shard, writer(3, 1), 1_001 * DAY, Vec::new());

    assert!(shard.work(JOB).is_some());
}

fn finished() -> Shard {
    let mut shard = running();
    let ends = (0..4).map(|item| answer(item, "a")).collect();
    add(&mut shard, vec![completed(JOB, 0, ends), part()]);
    shard
}

/// A release of the second intake whose results stay readable until `keep_until` seconds.
fn released_again(keep_until: u64) -> work::Release {
    let head = fixture::head(JOB, 2, 4, 1, 1);
    work::Release {
        keep_until: fixture::time(keep_until),
        ..duty::release(&head, head.shards[0], SHARDS)
    }
}

fn running() -> Shard {
    let mut shard = Shard::new(0, SHARDS);
    add(&mut shard, vec![chunk(1), release(1)]);
    shard
}

fn chunk(intake: u64) -> Record {
    Record::Chunk(fixture::chunk(JOB, intake, 0, 0, 4))
}

fn release(intake: u64) -> Record {
    let head = fixture::head(JOB, intake, 4, 1, 1);
    Record::Release(duty::release(&head, head.shards[0], SHARDS))
}

fn part() -> Record {
    Record::Part(work::Part {
        job: JOB,
        intake: 1,
        shard: 0,
        answered: 4,
        failed: 0,
        cancelled: 0,
    })
}

fn dispatch(epoch: id::Epoch) -> Record {
    Record::Dispatch(work::Dispatch {
        job: JOB,
        chunk: 0,
        epoch,
        items: vec![ONCE],
    })
}

fn sending(shard: &Shard, epoch: id::Epoch) -> Sending {
    let item = Item {
        chunk: 0,
        item: ONCE,
        repeatable: false,
    };
    shard.sending(JOB, item, epoch)
}

fn take(shard: &mut Shard, host: id::Host) {
    let take = Lease::Take {
        epoch: shard.lease().epoch + 1,
        expected: shard.lease().last,
    };
    add_at(shard, writer(host, 1), 1, vec![Record::Lease(take)]);
}

fn due(shard: &mut Shard, host: id::Host) -> Vec<duty::Duty> {
    let retry = std::time::Duration::from_secs(1);
    Duties::new(retry).due(shard, writer(host, 1), std::time::Instant::now())
}

fn shards(duties: &[duty::Duty]) -> Vec<id::Shard> {
    duties.iter().map(|duty| duty.shard).collect()
}

fn items(changes: &[Change]) -> Vec<id::Item> {
    let completed = changes.iter().filter_map(|change| match change {
        Change::Completed { items, .. } => Some(items.to_vec()),
        _ => None,
    });
    completed.flatten().collect()
}

fn add(shard: &mut Shard, records: Vec<Record>) -> tinbank_ledger::Changes {
    add_at(shard, writer(OWNER, 1), 1, records)
}

fn add_at(
    shard: &mut Shard,
    writer: Writer,
    seconds: u64,
    records: Vec<Record>,
) -> tinbank_ledger::Changes {
    let offset = shard.next();
    let envelope: Envelope<Record> = fixture::envelope(writer, offset + 1, seconds, records);
    shard.apply(offset, &envelope)
}
