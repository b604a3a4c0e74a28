//! The fold of the records of jobs.

mod naive;

use std::time::{Duration, SystemTime};

use naive::Naive;
use proptest::prelude::*;
use tinbank_jobs::{
    Table,
    fold::{Change, Verdict},
    job::Final,
    record::{
        Advance, Attachment, Failure, Finish, Item, Outcome, Piece, Reason, Record, Stored,
        Submission,
    },
};
use tinbank_test_support::property;

fn submission(job: &str, quota: Option<u64>) -> Record {
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

/// Where the text of a piece stands; here its numbers say what it is.
fn stored(run: u64, after: u64, last: u64) -> Stored {
    Stored {
        partition: run as u32,
        offset: after,
        records: (last - after) as u32,
        bytes: 1,
    }
}

fn text(pieces: &[Stored]) -> String {
    let lines = pieces.iter().flat_map(|piece| {
        let events = piece.offset + 1..=piece.offset + u64::from(piece.records);
        events.map(|event| format!("{}.{event}", piece.partition))
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn advanced(index: u32, piece: Piece) -> Record {
    Record::Advanced(Advance {
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

#[test]
fn each_failed_run_of_an_item_counts_once_whoever_ran_it() {
    let mut table = table();

    // A record whose answer was lost is written again.
    let records = [failed(0, 7), failed(0, 7), failed(0, 8), failed(1, 9)];
    let changes = records.map(|record| table.apply(1, record));

    assert_eq!(changes[1], Change::Dropped);
    let job = table.job("job").unwrap();
    assert_eq!([0, 1, 2].map(|index| job.failures(index)), [2, 1, 0]);
}

fn texts(table: &Table) -> Vec<(String, Option<String>)> {
    let results = table.job("job").unwrap().results(0);
    let results = results.map(|listed| {
        let text = match listed.result {
            Final::Completed(pieces) => Some(text(pieces)),
            Final::Abandoned(_) => None,
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
fn the_first_submission_of_a_name_counts() {
    let mut table = table();

    let again = table.apply(1, submission("job", None));

    assert_eq!(verdict(again), Verdict::Known);
    assert_eq!(table.job("job").unwrap().submission, 0);
}

#[test]
fn a_job_beyond_the_quota_is_refused_by_the_fold_itself() {
    let mut table = table();

    let over = table.apply(1, submission("other", Some(59)));
    let fits = table.apply(2, submission("other", Some(60)));

    assert_eq!(verdict(over), Verdict::OverQuota { waiting: 30 });
    assert_eq!(verdict(fits), Verdict::Accepted);
}

#[test]
fn the_first_result_of_an_item_counts() {
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
fn a_text_goes_on_where_another_host_stopped() {
    let mut table = table();

    table.apply(1, advanced(0, piece(7, 0, 0, 2)));
    table.apply(2, completed(0, piece(8, 2, 2, 3)));

    assert_eq!(
        texts(&table),
        [("item-0".to_owned(), Some("7.1\n7.2\n8.3".to_owned()))]
    );
}

#[test]
fn a_run_that_did_not_go_on_where_the_text_stands_is_refused() {
    let mut table = table();
    table.apply(1, advanced(0, piece(7, 0, 0, 2)));
    table.apply(2, advanced(0, piece(8, 2, 2, 4)));

    // Run 7 never heard that run 8 went on behind its event 2.
    let stale = table.apply(3, advanced(0, piece(7, 0, 2, 4)));
    let joined = table.apply(4, completed(0, piece(7, 0, 4, 5)));

    let refused = Change::Refused {
        job: "job".to_owned(),
        index: 0,
        run: 7,
    };
    assert_eq!(stale, refused);
    assert_eq!(joined, refused);
    assert!(texts(&table).is_empty());
}

#[test]
fn a_piece_that_was_written_twice_counts_once() {
    let mut table = table();
    table.apply(1, advanced(0, piece(7, 0, 0, 2)));

    let again = table.apply(2, advanced(0, piece(7, 0, 0, 2)));

    assert_eq!(again, Change::Dropped);
    assert_eq!(table.job("job").unwrap().progress(0).last, 2);
}

#[test]
fn a_record_of_an_earlier_job_of_the_name_is_dropped() {
    let mut table = table();

    let change = table.apply(1, finished(99, 0, Outcome::Abandoned(Reason::Impossible)));

    assert_eq!(change, Change::Dropped);
}

#[test]
fn an_ended_job_takes_no_results_and_keeps_what_it_has() {
    let mut table = table();
    table.apply(1, completed(1, piece(7, 0, 0, 1)));

    table.apply(2, Record::Ended("job".to_owned()));
    let late = table.apply(3, completed(0, piece(7, 0, 0, 1)));
    let again = table.apply(4, Record::Ended("job".to_owned()));

    assert_eq!(late, Change::Dropped);
    assert_eq!(again, Change::Dropped);
    assert_eq!(texts(&table).len(), 1);
    assert_eq!(table.waiting_tokens("sweep", None), 0);
}

#[test]
fn jobs_that_are_over_are_dropped_once_nobody_may_ask() {
    let mut table = table();
    let kept = Duration::from_secs(120);
    let soon = SystemTime::UNIX_EPOCH + Duration::from_secs(119);
    let later = SystemTime::UNIX_EPOCH + Duration::from_secs(121);

    table.prune(kept, later);
    let open = table.len();
    table.apply(1, Record::Ended("job".to_owned()));
    table.prune(kept, soon);
    let readable = table.len();
    table.prune(kept, later);

    assert_eq!((open, readable, table.len()), (1, 1, 0));
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
        8 => (0..3u32, piece).prop_map(|(index, piece)| advanced(index, piece)),
        6 => (0..3u32, outcome).prop_map(|(index, outcome)| finished(0, index, outcome)),
        1 => Just(Record::Ended("job".to_owned())),
    ]
}

proptest! {
    #![proptest_config(property::config(1500))]

    /// Against a version that keeps every event with the run it came from and judges each text as a whole: the same
    /// results at the same positions, positions never change, and no text joins runs that did not go on from each other.
    #[test]
    fn any_records_in_any_order_give_the_results_of_the_naive_version(
        records in prop::collection::vec(record(), 1..60),
    ) {
        let mut table = table();
        let mut naive = Naive::new(3);
        let mut before = Vec::new();

        for (offset, record) in (1..).zip(records) {
            naive.apply(&record);
            table.apply(offset, record);

            let now = texts(&table);
            prop_assert_eq!(&now[..before.len()], &before[..]);
            prop_assert_eq!(&now, &naive.texts());
            before = now;
        }
    }
}
