//! Counting of what became of requests and items.

use tinbank_demo::tally::{Counts, Tally};
use tinbank_standin::account::{End, Run};
use yare::parameterized;

const ITEM: &str = "logger 7";
const ANSWER: &str = "pressure holds";

fn run(end: End) -> Run {
    Run {
        request: None,
        reference: Some(ITEM.to_owned()),
        prompt: 0,
        resumed_from: 0,
        tokens: 2,
        end,
    }
}

fn count(answers: &[&str], failures: usize, runs: &[End]) -> Counts {
    let mut tally = Tally::default();
    tally.accepted(ITEM.to_owned(), ANSWER.to_owned());
    answers.iter().for_each(|text| tally.answered(ITEM, text));
    (0..failures).for_each(|_| tally.failed(ITEM));
    runs.iter().for_each(|end| tally.ran(&run(*end)));
    tally.counts()
}

fn one() -> Counts {
    Counts {
        accepted: 1,
        ..Counts::default()
    }
}

#[parameterized(
    once = { &[ANSWER], 0, &[End::Completed], Counts { once: 1, ..one() } },
    once_after_giving_way = { &[ANSWER], 0, &[End::Cancelled, End::Completed], Counts { once: 1, ..one() } },
    lost = { &[], 0, &[End::Completed], Counts { lost: 1, ..one() } },
    answered_twice = { &[ANSWER, ANSWER], 0, &[End::Completed], Counts { doubled: 1, ..one() } },
    ran_twice = { &[ANSWER], 0, &[End::Completed, End::Completed], Counts { doubled: 1, ..one() } },
    failed = { &[], 1, &[End::Failed], Counts { failed: 1, ..one() } },
    answered_and_failed = { &[ANSWER], 1, &[End::Completed], Counts { doubled: 1, ..one() } },
    anothers_answer = { &["anchor"], 0, &[End::Completed], Counts { wrong: 1, ..one() } },
    made_up = { &[ANSWER], 0, &[], Counts { wrong: 1, ..one() } },
)]
fn each_item_is_counted_by_its_answers_and_runs(
    answers: &[&str],
    failures: usize,
    runs: &[End],
    expected: Counts,
) {
    let counts = count(answers, failures, runs);

    assert_eq!(counts, expected);
    assert_eq!(counts.clean(), expected.once == 1);
}

#[test]
fn an_answer_that_nobody_asked_for_is_not_clean() {
    let mut tally = Tally::default();
    tally.accepted(ITEM.to_owned(), ANSWER.to_owned());
    tally.answered(ITEM, ANSWER);
    tally.ran(&run(End::Completed));
    tally.answered("other", ANSWER);

    assert_eq!(tally.counts().unasked, 1);
    assert!(!tally.counts().clean());
}

#[test]
fn nothing_done_is_not_clean() {
    assert!(!Tally::default().counts().clean());
}
