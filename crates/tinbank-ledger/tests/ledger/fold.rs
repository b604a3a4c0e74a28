//! Which of several conflicting records takes effect.

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
/// An item that is not repeatable.
const NOT_REPEATABLE: id::Item = 3;

#[test]
fn only_chunks_of_the_released_intake_run() {
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
fn the_first_head_is_accepted_and_a_second_one_ignored() {
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
fn only_the_first_completion_of_an_item_takes_effect() {
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
fn a_completion_of_an_item_outside_its_chunk_is_ignored() {
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
fn completions_after_a_cancel_are_ignored() {
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
fn a_cancel_of_an_unknown_job_is_ignored() {
    let job = fixture::job_in(0);
    let mut shard = Shard::new(0, SHARDS);

    let changes = add(&mut shard, vec![Record::Cancel { job }]);

    assert!(changes.is_empty());
    assert!(!shard.live());
}

#[test]
fn a_duplicate_append_is_ignored() {
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
fn an_undecodable_envelope_is_skipped_and_counted() {
    let mut shard = running();
    let next = shard.next();

    shard.skip(next);

    assert_eq!((shard.next(), shard.skipped()), (next + 1, 1));
}

#[test]
fn a_non_repeatable_item_is_sent_only_after_its_dispatch_was_read_back() {
    let mut shard = running();
    take(&mut shard, OWNER);
    let before = sending(&shard, 1);

    let changes = add(&mut shard, vec![dispatch(1)]);

    assert_eq!(before, Sending::DispatchFirst);
    assert!(matches!(changes[..], [Change::Dispatched { job: JOB, .. }]));
    assert_eq!(sending(&shard, 1), Sending::Yes);
}

#[test]
fn a_dispatch_by_a_former_owner_is_ignored() {
    let mut shard = running();
    take(&mut shard, OWNER);
    take(&mut shard, 2);

    let changes = add(&mut shard, vec![dispatch(1)]);

    assert!(changes.is_empty());
    assert_eq!(sending(&shard, 2), Sending::DispatchFirst);
}

#[test]
fn an_open_dispatch_fails_as_outcome_unknown_after_a_takeover() {
    let mut shard = running();
    take(&mut shard, OWNER);
    add(&mut shard, vec![dispatch(1)]);
    take(&mut shard, 2);
    let after_takeover = sending(&shard, 2);

    let duties = due(&mut shard, 2);
    let ended = add(
        &mut shard,
        duties.into_iter().map(|duty| duty.record).collect(),
    );

    assert_eq!(after_takeover, Sending::MaybeSent);
    assert_eq!(items(&ended), [NOT_REPEATABLE]);
    assert_eq!(sending(&shard, 2), Sending::Ended);
    assert_eq!(shard.count(JOB).map(|count| count.failed), Some(1));
}

#[test]
fn the_owner_retries_duties_until_they_are_done() {
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
        "the release in the owner's own shard was not read back"
    );
}

#[test]
fn a_finished_part_is_reported_to_the_shard_of_the_head_and_then_recorded_locally() {
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

    let reports = duties.due(&shard, writer(OWNER, 1), now);
    reports
        .iter()
        .for_each(|duty| duties.acknowledged(&shard, duty));
    let local = duties.due(&shard, writer(OWNER, 1), now);
    add(
        &mut shard,
        local.iter().map(|duty| duty.record.clone()).collect(),
    );

    assert_eq!(shards(&reports), [placement::shard_of_job(job, SHARDS)]);
    assert_eq!(shards(&local), [0]);
    assert!(!shard.live());
}

#[test]
fn a_finished_job_expires_after_its_retention() {
    let mut shard = finished();

    add_at(&mut shard, writer(1, 1), 8 * DAY, Vec::new());

    assert!(shard.work(JOB).is_none());
}

#[test]
fn a_resubmitted_job_runs_where_its_finished_predecessor_has_not_expired() {
    let mut shard = finished();
    let stale = release(1);
    let resubmitted = Record::Release(release_of_second_intake(7 * DAY + 1));

    add(&mut shard, vec![chunk(2)]);
    let changes = add(&mut shard, vec![resubmitted]);
    let stale_changes = add(&mut shard, vec![stale, part()]);

    assert_eq!(changes[..], [Change::Released(JOB)]);
    assert!(stale_changes.is_empty());
    assert_eq!(shard.count(JOB).map(|count| count.pending), Some(4));
    assert!(
        shard.live(),
        "the part of the first intake does not end the second"
    );
}

#[test]
fn a_release_of_another_intake_does_not_replace_a_running_job() {
    let mut shard = running();

    let changes = add(
        &mut shard,
        vec![
            chunk(2),
            Record::Release(release_of_second_intake(7 * DAY + 1)),
        ],
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
fn unreleased_chunks_expire_after_a_day() {
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
fn a_cancel_is_due_only_after_the_release_was_acknowledged() {
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
fn a_single_fast_clock_expires_nothing() {
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

/// Returns a release of the second intake whose results are kept until `keep_until` seconds.
fn release_of_second_intake(keep_until: u64) -> work::Release {
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
        items: vec![NOT_REPEATABLE],
    })
}

fn sending(shard: &Shard, epoch: id::Epoch) -> Sending {
    let item = Item {
        chunk: 0,
        item: NOT_REPEATABLE,
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
