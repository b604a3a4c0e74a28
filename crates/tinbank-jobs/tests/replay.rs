//! Effects of records on the job table.

mod model;

use std::time::{Duration, SystemTime};

use model::Model;
use proptest::prelude::*;
use tinbank_jobs::{
    Table,
    change::{Change, Verdict},
    job::ItemResult,
    record::{
        Attachment, Checkpoint, Failure, Finish, Item, Outcome, Piece, Reason, Record, RunStart,
        Stored, Submission,
    },
};
use tinbank_origin::Origin;
use tinbank_test_support::property;

fn submission(job: &str, quota: Option<u64>) -> Record {
    submission_at(None, job, quota)
}

/// Returns a submission whose call began at a position of the log.
fn submission_at(position: Option<u64>, job: &str, quota: Option<u64>) -> Record {
    Record::Submitted(Submission {
        job: job.to_owned(),
        call: 1,
        host: "one.example".to_owned(),
        route: "sweep".to_owned(),
        quota,
        max_attempts: 3,
        submitted_at: SystemTime::UNIX_EPOCH,
        retention: Duration::from_secs(60),
        target: Duration::from_secs(18),
        items: (0..3).map(item).collect(),
        contents: Attachment::Stored(Stored::default()),
        position,
    })
}

fn item(index: u32) -> Item {
    Item {
        id: format!("item-{index}"),
        path: "/p/x".to_owned(),
        tokens: 10,
    }
}

fn piece(run: u64, started_after: u64, after: u64, last: u64) -> Piece {
    Piece {
        run,
        started_after,
        after,
        last,
        text: stored(run, after, last),
    }
}

/// Encodes run and events of a piece in the location of its text, for [`text`] to decode.
fn stored(run: u64, after: u64, last: u64) -> Stored {
    Stored {
        partition: run as u32,
        offset: after,
        records: (last - after) as u32,
        bytes: 1,
    }
}

/// Returns a line `run.event` for each event of the pieces.
fn text(pieces: &[Stored]) -> String {
    let lines = pieces.iter().flat_map(|piece| {
        let events = piece.offset + 1..=piece.offset + u64::from(piece.records);
        events.map(|event| format!("{}.{event}", piece.partition))
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn checkpointed(index: u32, piece: Piece) -> Record {
    Record::Checkpointed(Checkpoint {
        job: "job".to_owned(),
        submission: 0,
        index,
        piece,
    })
}

fn finished(submission: u64, index: u32, result: Outcome) -> Record {
    Record::Finished(Finish {
        job: "job".to_owned(),
        submission,
        index,
        result,
    })
}

fn completed(index: u32, piece: Piece) -> Record {
    finished(0, index, Outcome::Completed(piece))
}

fn failed(index: u32, run: u64) -> Record {
    Record::Failed(Failure {
        job: "job".to_owned(),
        submission: 0,
        index,
        run,
    })
}

/// Returns the start of a run that follows event `previous.1` of run `previous.0`.
fn started(run: u64, build: &str, previous: (u64, u64), resumes: bool) -> Record {
    Record::RunStarted(RunStart {
        job: "job".to_owned(),
        submission: 0,
        index: 0,
        run,
        origin: Origin {
            service: "notes".to_owned(),
            build: build.into(),
        },
        previous_run: previous.0,
        previous_event: previous.1,
        resumes,
    })
}

fn conflict(run: u64) -> Change {
    Change::Conflict {
        job: "job".to_owned(),
        index: 0,
        run,
    }
}

#[test]
fn each_failed_run_of_an_item_is_counted_once() {
    let mut table = table();

    // Records are written again when the answer to an append is lost.
    let records = [failed(0, 7), failed(0, 7), failed(0, 8), failed(1, 9)];
    let changes = records.map(|record| table.apply(1, record));

    assert_eq!(changes[1], Change::Dropped);
    let job = table.job("job").unwrap();
    assert_eq!([0, 1, 2].map(|index| job.failure_count(index)), [2, 1, 0]);
}

fn texts(table: &Table) -> Vec<(String, Option<String>)> {
    let results = table.job("job").unwrap().results(0);
    let results = results.map(|listed| {
        let text = match listed.result {
            ItemResult::Completed(pieces) => Some(text(pieces)),
            ItemResult::Abandoned(_) => None,
        };
        (listed.item.to_owned(), text)
    });
    results.collect()
}

fn table() -> Table {
    let mut table = Table::default();
    table.apply(0, submission("job", None));
    table
}

fn verdict(change: Change) -> Verdict {
    match change {
        Change::Submitted { verdict, .. } => verdict,
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn only_the_first_submission_of_a_job_name_is_accepted() {
    let mut table = table();

    let again = table.apply(1, submission("job", None));

    assert_eq!(verdict(again), Verdict::Known);
    assert_eq!(table.job("job").unwrap().submission, 0);
}

#[test]
fn a_job_over_quota_is_rejected_when_its_record_is_applied() {
    let mut table = table();

    let over = table.apply(1, submission("other", Some(59)));
    let fits = table.apply(2, submission("other", Some(60)));

    assert_eq!(verdict(over), Verdict::OverQuota { waiting: 30 });
    assert_eq!(verdict(fits), Verdict::Accepted);
}

/// Guards against a refused job that runs because an append without an answer was done after its quota had room again.
#[test]
fn a_late_copy_of_a_refused_submission_is_not_accepted() {
    let mut table = table();
    let refused = submission_at(Some(1), "other", Some(30));
    let first = table.apply(1, refused.clone());
    table.apply(2, Record::Cancelled("job".to_owned()));

    let copy = table.apply(3, refused);
    let new_attempt = table.apply(4, submission_at(Some(4), "other", Some(30)));

    assert_eq!(verdict(first), Verdict::OverQuota { waiting: 30 });
    assert_eq!(verdict(copy), Verdict::Outdated);
    assert_eq!(verdict(new_attempt), Verdict::Accepted);
}

/// Guards against an attempt that got no answer and is appended after a later attempt of its caller was refused.
#[test]
fn an_attempt_that_began_before_a_refusal_of_its_job_is_not_accepted() {
    let mut table = table();
    table.apply(1, submission_at(Some(1), "other", Some(30)));
    table.apply(2, Record::Cancelled("job".to_owned()));

    let earlier = table.apply(3, submission_at(Some(0), "other", Some(30)));
    let of_another_job = table.apply(4, submission_at(Some(0), "another", Some(30)));

    assert_eq!(verdict(earlier), Verdict::Outdated);
    assert_eq!(verdict(of_another_job), Verdict::Accepted);
}

/// Guards against verdicts that depend on when a host began to read the log.
#[test]
fn a_submission_that_began_before_the_first_kept_record_is_not_accepted() {
    let mut table = Table::default();
    table.skip_to(10);

    let earlier = table.apply(10, submission_at(Some(9), "one", None));
    let later = table.apply(11, submission_at(Some(10), "two", None));

    assert_eq!(verdict(earlier), Verdict::Outdated);
    assert_eq!(verdict(later), Verdict::Accepted);
}

/// Guards against decisions that are kept for good, and against late copies after they are dropped.
#[test]
fn a_submission_is_outdated_once_decisions_of_its_time_are_dropped() {
    let far = 1 << 20;
    let mut table = table();
    let refused = submission_at(Some(1), "other", Some(30));
    table.apply(1, refused.clone());
    table.apply(far, Record::Cancelled("job".to_owned()));
    table.prune(Duration::from_secs(120), SystemTime::UNIX_EPOCH);

    let copy = table.apply(far + 1, refused);

    assert_eq!(verdict(copy), Verdict::Outdated);
}

/// Guards against a job that runs again because a copy of its submission is appended after hosts have dropped it.
#[test]
fn a_late_copy_of_a_submission_is_known_after_its_job_was_dropped() {
    let mut table = Table::default();
    let accepted = submission_at(Some(0), "one", None);
    table.apply(0, accepted.clone());
    table.apply(1, Record::Cancelled("one".to_owned()));
    let after_retention = SystemTime::UNIX_EPOCH + Duration::from_secs(121);
    table.prune(Duration::from_secs(120), after_retention);

    let copy = table.apply(2, accepted);
    let new_attempt = table.apply(3, submission_at(Some(3), "one", None));

    assert_eq!(verdict(copy), Verdict::Known);
    assert_eq!(verdict(new_attempt), Verdict::Accepted);
}

#[test]
fn the_position_of_a_submission_is_encoded() {
    let positioned = submission_at(Some(300), "job", None);
    let earlier_version = submission("job", None);

    let encoded = [&positioned, &earlier_version].map(|it| it.encode().unwrap());

    assert!(encoded[0].starts_with(&encoded[1]));
    assert_eq!(Record::decode(&encoded[0]).unwrap(), positioned);
    assert_eq!(Record::decode(&encoded[1]).unwrap(), earlier_version);
}

#[test]
fn only_the_first_result_of_an_item_is_recorded() {
    let mut table = table();

    table.apply(1, completed(2, piece(7, 0, 0, 2)));
    let second = table.apply(2, completed(2, piece(8, 0, 0, 3)));

    assert_eq!(second, Change::Dropped);
    assert_eq!(
        texts(&table),
        [("item-2".to_owned(), Some("7.1\n7.2".to_owned()))]
    );
}

#[test]
fn a_text_continues_with_a_run_resumed_by_another_host() {
    let mut table = table();

    table.apply(1, checkpointed(0, piece(7, 0, 0, 2)));
    table.apply(2, completed(0, piece(8, 2, 2, 3)));

    assert_eq!(
        texts(&table),
        [("item-0".to_owned(), Some("7.1\n7.2\n8.3".to_owned()))]
    );
}

#[test]
fn a_text_begins_anew_with_a_run_at_another_build() {
    let mut table = table();
    table.apply(1, started(7, "v1", (0, 0), true));
    table.apply(2, checkpointed(0, piece(7, 0, 0, 2)));

    table.apply(3, started(8, "v2", (7, 2), false));
    let stale = table.apply(4, checkpointed(0, piece(7, 0, 2, 4)));
    table.apply(5, completed(0, piece(8, 0, 0, 3)));

    assert_eq!(stale, conflict(7));
    assert_eq!(
        texts(&table),
        [("item-0".to_owned(), Some("8.1\n8.2\n8.3".to_owned()))]
    );
}

#[test]
fn a_text_is_not_continued_by_a_run_at_another_build() {
    let mut table = table();
    table.apply(1, started(7, "v1", (0, 0), true));
    table.apply(2, checkpointed(0, piece(7, 0, 0, 2)));

    let other_build = table.apply(3, started(8, "v2", (7, 2), true));
    let its_piece = table.apply(4, checkpointed(0, piece(8, 2, 2, 3)));
    let same_build = table.apply(5, started(9, "v1", (7, 2), true));
    table.apply(6, completed(0, piece(9, 2, 2, 3)));

    assert_eq!([other_build, its_piece], [conflict(8), conflict(8)]);
    assert_ne!(same_build, conflict(9));
    assert_eq!(
        texts(&table),
        [("item-0".to_owned(), Some("7.1\n7.2\n9.3".to_owned()))]
    );
}

/// Guards against a start that is appended again, or late, and discards the text of a later run.
#[test]
fn a_late_or_repeated_start_of_a_run_discards_nothing() {
    let mut table = table();
    table.apply(1, started(7, "v1", (0, 0), true));
    table.apply(2, checkpointed(0, piece(7, 0, 0, 2)));
    table.apply(3, started(8, "v1", (7, 2), true));
    table.apply(4, checkpointed(0, piece(8, 2, 2, 4)));

    let repeated = table.apply(5, started(7, "v1", (0, 0), true));
    let late = table.apply(6, started(9, "v2", (7, 2), false));

    assert_eq!([repeated, late], [conflict(7), conflict(9)]);
    assert_eq!(table.job("job").unwrap().progress(0).last_event, 4);
}

#[test]
fn a_run_that_does_not_continue_the_text_is_a_conflict() {
    let mut table = table();
    table.apply(1, checkpointed(0, piece(7, 0, 0, 2)));
    table.apply(2, checkpointed(0, piece(8, 2, 2, 4)));

    // Run 8 continued the text after event 2 of run 7.
    let stale = table.apply(3, checkpointed(0, piece(7, 0, 2, 4)));
    let completed_later = table.apply(4, completed(0, piece(7, 0, 4, 5)));

    assert_eq!(stale, conflict(7));
    assert_eq!(completed_later, conflict(7));
    assert!(texts(&table).is_empty());
}

#[test]
fn a_duplicate_piece_is_dropped() {
    let mut table = table();
    table.apply(1, checkpointed(0, piece(7, 0, 0, 2)));

    let again = table.apply(2, checkpointed(0, piece(7, 0, 0, 2)));

    assert_eq!(again, Change::Dropped);
    assert_eq!(table.job("job").unwrap().progress(0).last_event, 2);
}

#[test]
fn a_record_of_an_earlier_job_of_the_same_name_is_dropped() {
    let mut table = table();

    let change = table.apply(1, finished(99, 0, Outcome::Abandoned(Reason::Impossible)));

    assert_eq!(change, Change::Dropped);
}

#[test]
fn a_cancelled_job_keeps_its_results_and_records_no_more() {
    let mut table = table();
    table.apply(1, completed(1, piece(7, 0, 0, 1)));

    table.apply(2, Record::Cancelled("job".to_owned()));
    let late = table.apply(3, completed(0, piece(7, 0, 0, 1)));
    let again = table.apply(4, Record::Cancelled("job".to_owned()));

    assert_eq!(late, Change::Dropped);
    assert_eq!(again, Change::Dropped);
    assert_eq!(texts(&table).len(), 1);
    assert_eq!(table.waiting_tokens("sweep", None), 0);
}

#[test]
fn closed_jobs_are_pruned_after_the_retention_time() {
    let mut table = table();
    let retention = Duration::from_secs(120);
    let before_end = SystemTime::UNIX_EPOCH + Duration::from_secs(119);
    let after_end = SystemTime::UNIX_EPOCH + Duration::from_secs(121);

    table.prune(retention, after_end);
    let while_open = table.len();
    table.apply(1, Record::Cancelled("job".to_owned()));
    table.prune(retention, before_end);
    let before_retention_end = table.len();
    table.prune(retention, after_end);

    assert_eq!((while_open, before_retention_end, table.len()), (1, 1, 0));
}

fn record() -> impl Strategy<Value = Record> {
    let piece =
        (1..4u64, 0..4u64, 0..4u64, 1..3u64).prop_map(|(run, started_after, after, more)| {
            piece(run, started_after.min(after), after, after + more)
        });
    let outcome = prop_oneof![
        3 => piece.clone().prop_map(Outcome::Completed),
        1 => Just(Outcome::Abandoned(Reason::Attempts)),
    ];
    prop_oneof![
        1 => Just(submission("job", None)),
        8 => (0..3u32, piece).prop_map(|(index, piece)| checkpointed(index, piece)),
        6 => (0..3u32, outcome).prop_map(|(index, outcome)| finished(0, index, outcome)),
        1 => Just(Record::Cancelled("job".to_owned())),
    ]
}

/// Returns the build at which a run of [`run_record`] runs.
fn build_of(run: u64) -> &'static str {
    ["v1", "v2"][run as usize % 2]
}

/// Returns the start or a piece of one of some runs of an item, in any order.
fn run_record() -> impl Strategy<Value = Record> {
    let previous = (0..6u64, 0..4u64);
    let start = (1..6u64, previous, any::<bool>())
        .prop_map(|(run, previous, resumes)| started(run, build_of(run), previous, resumes));
    let piece =
        (1..6u64, 0..4u64, 0..4u64, 1..3u64).prop_map(|(run, started_after, after, more)| {
            piece(run, started_after.min(after), after, after + more)
        });
    prop_oneof![
        3 => start,
        4 => piece.clone().prop_map(|piece| checkpointed(0, piece)),
        1 => piece.prop_map(|piece| completed(0, piece)),
    ]
}

/// Returns whether a host may write a record: it writes the start of a run before a piece of it, unless the run begins the text and
/// completes it.
fn is_written(record: &Record, started: &[u64]) -> bool {
    match record {
        Record::Checkpointed(it) => started.contains(&it.piece.run),
        Record::Finished(it) => match &it.result {
            Outcome::Completed(piece) => piece.after == 0 || started.contains(&piece.run),
            Outcome::Abandoned(_) => true,
        },
        _ => true,
    }
}

/// Names of the jobs of [`job_record`].
const JOBS: [&str; 3] = ["one", "two", "three"];

/// Returns a record about one of some jobs, of which about two fit the quota. Submissions began some records before their offset.
fn job_record() -> impl Strategy<Value = (Record, u64)> {
    let job = (0..JOBS.len()).prop_map(|index| JOBS[index]);
    let submitted = job
        .clone()
        .prop_map(|job| submission_at(Some(0), job, Some(70)));
    let cancelled = job.prop_map(|job| Record::Cancelled(job.to_owned()));
    (prop_oneof![3 => submitted, 1 => cancelled], 0..12u64)
}

/// Sets the position of a submission.
fn set_position(record: &mut Record, position: u64) {
    if let Record::Submitted(submission) = record {
        submission.position = Some(position);
    }
}

/// Returns whether a host may write a record: it cancels only jobs that it knows.
fn may_write(table: &Table, record: &Record) -> bool {
    match record {
        Record::Cancelled(job) => table.job(job).is_some(),
        _ => true,
    }
}

proptest! {
    #![proptest_config(property::config(1500))]

    /// Guards against verdicts that a late copy of a record changes, however late it is.
    #[test]
    fn copies_of_records_change_no_verdict(
        records in prop::collection::vec(job_record(), 1..40),
        copies in prop::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>()), 0..6),
        gap in prop_oneof![Just(2), Just(1 << 15), Just(1 << 17)],
    ) {
        let mut written: Vec<Record> = Vec::new();
        let mut expected = Table::default();
        let mut copied = Table::default();

        for (offset, (mut record, lag)) in (0u64..).step_by(gap).zip(records) {
            if !may_write(&expected, &record) {
                continue;
            }
            set_position(&mut record, offset.saturating_sub(lag));
            prop_assert_eq!(copied.apply(offset, record.clone()), expected.apply(offset, record.clone()));
            written.push(record);
            copied.prune(Duration::from_secs(120), SystemTime::UNIX_EPOCH);
            let late = copies.iter().filter(|(_, after)| after.index(40) == written.len());
            for (original, _) in late {
                let change = copied.apply(offset + 1, original.get(&written).clone());
                let is_accepted = matches!(change, Change::Submitted { verdict: Verdict::Accepted, .. });
                prop_assert!(!is_accepted);
            }
        }
    }

    #[test]
    fn no_sequence_of_records_joins_the_texts_of_two_builds(
        records in prop::collection::vec(run_record(), 1..60),
    ) {
        let mut table = table();
        let mut runs = Vec::new();

        for (offset, record) in (1..).zip(records) {
            if let Record::RunStarted(start) = &record {
                runs.push(start.run);
            }
            if is_written(&record, &runs) {
                table.apply(offset, record);
            }
        }

        for (_, text) in texts(&table) {
            let text = text.unwrap_or_default();
            let runs = text.lines().filter_map(|line| line.split_once('.'));
            let builds: Vec<_> = runs.map(|(run, _)| build_of(run.parse().unwrap())).collect();
            prop_assert!(builds.windows(2).all(|pair| pair[0] == pair[1]), "{}", text);
        }
    }

    /// The model validates each text as a whole, so it also checks that no text joins runs that don't continue each other.
    #[test]
    fn any_sequence_of_records_gives_the_results_of_the_model_at_fixed_positions(
        records in prop::collection::vec(record(), 1..60),
    ) {
        let mut table = table();
        let mut model = Model::new(3);
        let mut before = Vec::new();

        for (offset, record) in (1..).zip(records) {
            model.apply(&record);
            table.apply(offset, record);

            let now = texts(&table);
            prop_assert_eq!(&now[..before.len()], &before[..]);
            prop_assert_eq!(&now, &model.texts());
            before = now;
        }
    }
}
