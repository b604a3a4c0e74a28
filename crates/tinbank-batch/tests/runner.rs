//! The runner's decisions: retries, isolation of suspects, and shares of limits.

use tinbank_base::{
    outcome::{Code, Ran},
    platform::upstream::{Error, Kind, Part},
    record::work::Outcome,
};
use tinbank_batch::runner::{
    answer,
    isolation::SuspectIsolation,
    quota::{self, Quotas},
    retry::{self, FailureHistory, Verdict},
    task::PartialAnswer,
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

fn history(repeatable: bool, failures: u16) -> FailureHistory {
    FailureHistory {
        repeatable,
        failures,
        limit: 3,
        exceeds_loss_limit: false,
    }
}

/// Returns the code that an item fails with; `None` if it is retried.
fn code(verdict: Verdict) -> Option<Code> {
    match verdict {
        Verdict::Retry => None,
        Verdict::Fail(Outcome::Failed { code, .. }) => Some(code),
        Verdict::Fail(Outcome::Answer(_)) => panic!("a failure became an answer"),
    }
}

#[yare::parameterized(
    not_run = { Ran::No, Kind::Full, history(true, 99), None },
    not_run_order = { Ran::No, Kind::Connect(String::new()), history(false, 0), None },
    unknown = { Ran::Unknown, cut(), history(true, 2), None },
    unknown_too_often = { Ran::Unknown, cut(), history(true, 3), Some(Code::UpstreamFailed) },
    unknown_order = { Ran::Unknown, cut(), history(false, 1), Some(Code::OutcomeUnknown) },
    failed_order = { Ran::Yes, cut(), history(false, 1), Some(Code::UpstreamFailed) },
    malformed = { Ran::No, rejected(), history(true, 0), Some(Code::UpstreamRejected) },
    exceeds_loss_limit = { Ran::Unknown, cut(), FailureHistory { exceeds_loss_limit: true, ..history(true, 1) }, Some(Code::UpstreamFailed) },
)]
fn the_retry_decision_follows_the_failure_and_its_history(
    ran: Ran,
    kind: Kind,
    history: FailureHistory,
    expected: Option<Code>,
) {
    let verdict = retry::decide(&error(ran, kind), history);

    assert_eq!(code(verdict), expected);
}

#[test]
fn backoff_grows_up_to_a_limit() {
    let pauses: Vec<_> = (1..40).map(retry::backoff).collect();

    assert!(pauses.is_sorted());
    assert_eq!(pauses[38].as_secs(), 5);
}

#[test]
fn a_suspect_runs_alone_in_its_upstream() {
    let mut isolation = SuspectIsolation::default();
    isolation.on_sent(1, false);
    isolation.on_sent(2, false);
    isolation.on_sent(2, false);

    assert!(!isolation.admits(1, true));
    isolation.reserve(&[1, 2]);
    let others = (isolation.admits(1, false), isolation.admits(2, false));
    isolation.on_returned(1, false);
    let suspect = isolation.admits(1, true);
    isolation.on_sent(1, true);
    let beside = (isolation.admits(1, false), isolation.admits(1, true));
    isolation.on_returned(1, true);

    assert_eq!(
        (others, suspect, beside),
        ((false, true), true, (false, false))
    );
    assert!(isolation.admits(1, false));
}

#[yare::parameterized(even = { 12, 4 }, uneven = { 13, 4 }, few = { 2, 5 }, none = { 0, 3 })]
fn local_shares_add_up_to_the_limit(limit: u32, hosts: u32) {
    let sum: u32 = (0..hosts)
        .map(|place| quota::local_share(limit, place, hosts))
        .sum();

    assert_eq!(sum, limit);
}

#[test]
fn a_customer_at_its_limit_waits() {
    let mut quotas = Quotas::default();
    quotas.set_limit("a", Some(2));
    quotas.on_sent("a");
    quotas.on_sent("a");
    quotas.on_sent("b");

    let full = (quotas.has_capacity("a"), quotas.has_capacity("b"));
    quotas.on_returned("a");

    assert_eq!((full, quotas.has_capacity("a")), ((false, true), true));
}

#[test]
fn a_completion_requires_all_tokens_in_order() {
    let token = |index| Part::Token {
        index,
        text: "x".to_owned(),
    };
    let end = |tokens| Part::End {
        reason: "stop".to_owned(),
        tokens,
    };
    let mut partial_answer = PartialAnswer::default();
    assert_eq!(
        answer::push_part(&mut partial_answer, token(0), 7, "notes"),
        Ok(None)
    );

    let jumped = answer::push_part(&mut partial_answer.clone(), token(2), 7, "notes");
    let short = answer::push_part(&mut partial_answer.clone(), end(2), 7, "notes");
    let whole = answer::push_part(&mut partial_answer, end(1), 7, "notes")
        .unwrap()
        .unwrap();

    assert!(matches!(jumped, Err(Kind::Crossed(_))));
    assert!(matches!(short, Err(Kind::Cut(_))));
    let json: serde_json::Value = serde_json::from_slice(&whole).unwrap();
    assert_eq!(json["choices"][0]["message"]["content"], "x");
    assert_eq!(json["id"], "chatcmpl-00000000000000000000000000000007");
}
