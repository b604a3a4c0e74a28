//! The runner's decisions: what is tried again, where a suspect goes, how much of a limit is ours.

use tinbank_base::{
    outcome::{Code, Ran},
    platform::upstream::{Error, Kind, Part},
    record::work::Outcome,
};
use tinbank_batch::runner::{
    answer,
    lanes::Lanes,
    quota::{self, Quotas},
    retry::{self, Past, Verdict},
    task::Kept,
};

fn error(ran: Ran, kind: Kind) -> Error {
    Error {
        upstream: 1,
        ran,
        kind,
    }
}

fn cut() -> Kind {
    Kind::Cut("connection lost".to_owned())
}

fn rejected() -> Kind {
    Kind::Rejected {
        status: 400,
        message: "bad".to_owned(),
    }
}

fn past(repeatable: bool, failures: u16) -> Past {
    Past {
        repeatable,
        failures,
        limit: 3,
        hopeless: false,
    }
}

/// The code that an item ends with; `None` if it is tried again.
fn code(verdict: Verdict) -> Option<Code> {
    match verdict {
        Verdict::Again => None,
        Verdict::End(Outcome::Failed { code, .. }) => Some(code),
        Verdict::End(Outcome::Answer(_)) => panic!("a failure became an answer"),
    }
}

#[yare::parameterized(
    not_run = { Ran::No, Kind::Full, past(true, 99), None },
    not_run_order = { Ran::No, Kind::Connect(String::new()), past(false, 0), None },
    unknown = { Ran::Unknown, cut(), past(true, 2), None },
    unknown_too_often = { Ran::Unknown, cut(), past(true, 3), Some(Code::UpstreamFailed) },
    unknown_order = { Ran::Unknown, cut(), past(false, 1), Some(Code::OutcomeUnknown) },
    failed_order = { Ran::Yes, cut(), past(false, 1), Some(Code::UpstreamFailed) },
    malformed = { Ran::No, rejected(), past(true, 0), Some(Code::UpstreamRejected) },
    hopeless = { Ran::Unknown, cut(), Past { hopeless: true, ..past(true, 1) }, Some(Code::UpstreamFailed) },
)]
fn only_what_may_is_tried_again(ran: Ran, kind: Kind, past: Past, expected: Option<Code>) {
    let verdict = retry::decide(&error(ran, kind), past);

    assert_eq!(code(verdict), expected);
}

#[test]
fn pauses_grow_up_to_a_bound() {
    let pauses: Vec<_> = (1..40).map(retry::backoff).collect();

    assert!(pauses.is_sorted());
    assert_eq!(pauses[38].as_secs(), 5);
}

#[test]
fn a_suspect_is_alone_in_its_lane() {
    let mut lanes = Lanes::default();
    lanes.enter(1, false);
    lanes.enter(2, false);
    lanes.enter(2, false);

    assert!(!lanes.open(1, true));
    lanes.reserve(&[1, 2]);
    let others = (lanes.open(1, false), lanes.open(2, false));
    lanes.leave(1, false);
    let suspect = lanes.open(1, true);
    lanes.enter(1, true);
    let beside = (lanes.open(1, false), lanes.open(1, true));
    lanes.leave(1, true);

    assert_eq!(
        (others, suspect, beside),
        ((false, true), true, (false, false))
    );
    assert!(lanes.open(1, false));
}

#[yare::parameterized(even = { 12, 4 }, uneven = { 13, 4 }, few = { 2, 5 }, none = { 0, 3 })]
fn parts_of_a_limit_add_up_to_it(limit: u32, hosts: u32) {
    let sum: u32 = (0..hosts).map(|place| quota::of(limit, place, hosts)).sum();

    assert_eq!(sum, limit);
}

#[test]
fn a_customer_over_its_limit_waits() {
    let mut quotas = Quotas::default();
    quotas.limit("a", Some(2));
    quotas.enter("a");
    quotas.enter("a");
    quotas.enter("b");

    let full = (quotas.open("a"), quotas.open("b"));
    quotas.leave("a");

    assert_eq!((full, quotas.open("a")), ((false, true), true));
}

#[test]
fn only_a_whole_answer_in_order_is_an_answer() {
    let token = |index| Part::Token {
        index,
        text: "x".to_owned(),
    };
    let end = |tokens| Part::End {
        reason: "stop".to_owned(),
        tokens,
    };
    let mut kept = Kept::default();
    assert_eq!(answer::take(&mut kept, token(0), 7, "notes"), Ok(None));

    let jumped = answer::take(&mut kept.clone(), token(2), 7, "notes");
    let short = answer::take(&mut kept.clone(), end(2), 7, "notes");
    let whole = answer::take(&mut kept, end(1), 7, "notes")
        .unwrap()
        .unwrap();

    assert!(matches!(jumped, Err(Kind::Crossed(_))));
    assert!(matches!(short, Err(Kind::Cut(_))));
    let json: serde_json::Value = serde_json::from_slice(&whole).unwrap();
    assert_eq!(json["choices"][0]["message"]["content"], "x");
    assert_eq!(json["id"], "chatcmpl-00000000000000000000000000000007");
}
