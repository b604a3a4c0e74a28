//! Retry decisions.

use std::time::{Duration, Instant, UNIX_EPOCH};

use proptest::prelude::*;
use tinbank_base::{
    outcome::{Code, Failure, Ran},
    platform::upstream::{Error, Kind},
};
use tinbank_routing::retry::{
    Attempts, Budget, Decision, MAX_ATTEMPTS, OVERLOAD_RETRY_AFTER, RATIO_MILLIS, RESERVE_MILLIS,
    RETRY_AFTER,
};
use tinbank_test_support::property;
use yare::parameterized;

fn error(ran: Ran, kind: Kind) -> Error {
    Error {
        upstream: 1,
        ran,
        kind,
    }
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        Just(Kind::Connect(String::new())),
        Just(Kind::Leaving),
        Just(Kind::Full),
        Just(Kind::Cut(String::new())),
        Just(Kind::Crossed(String::new())),
        Just(Kind::Timeout),
        Just(Kind::Rejected {
            status: 400,
            message: String::new()
        }),
        Just(Kind::Failed {
            status: 500,
            message: String::new()
        }),
    ]
}

fn ran() -> impl Strategy<Value = Ran> {
    prop_oneof![Just(Ran::No), Just(Ran::Unknown), Just(Ran::Yes)]
}

proptest! {
    #![proptest_config(property::config(2_000))]

    #[test]
    fn unrepeatable_request_runs_at_most_once(failures in prop::collection::vec((ran(), kind()), 1..8)) {
        let now = Instant::now();
        let mut attempts = Attempts::new(false, now + Duration::from_secs(1));
        let mut budget = Budget::default();
        let mut may_have_run = 0;
        for (ran, kind) in failures {
            attempts.record_sent(&mut budget);
            may_have_run += u32::from(ran != Ran::No);
            match attempts.record_failure(&error(ran, kind), &mut budget, now, UNIX_EPOCH) {
                Decision::Retry => prop_assert_eq!(may_have_run, 0),
                Decision::Stop(failure) => {
                    prop_assert_eq!(failure.ran == Ran::No, may_have_run == 0);
                    break;
                }
            }
        }
        prop_assert!(may_have_run <= 1);
    }

    #[test]
    fn not_run_is_reported_only_if_no_attempt_may_have_run(
        repeatable: bool,
        failures in prop::collection::vec((ran(), kind()), 1..8),
    ) {
        let now = Instant::now();
        let mut attempts = Attempts::new(repeatable, now + Duration::from_secs(1));
        let mut budget = Budget::default();
        let mut all_not_run = true;
        for (ran, kind) in failures {
            attempts.record_sent(&mut budget);
            all_not_run &= ran == Ran::No;
            if let Decision::Stop(failure) = attempts.record_failure(&error(ran, kind), &mut budget, now, UNIX_EPOCH) {
                prop_assert_eq!(failure.ran == Ran::No, all_not_run);
                break;
            }
        }
        prop_assert!(attempts.sent <= MAX_ATTEMPTS);
    }

    #[test]
    fn nothing_is_retried_after_deadline(ran in ran(), kind in kind()) {
        let now = Instant::now();
        let mut attempts = Attempts::new(true, now);
        let mut budget = Budget::default();
        attempts.record_sent(&mut budget);

        let decision = attempts.record_failure(&error(ran, kind), &mut budget, now, UNIX_EPOCH);

        prop_assert!(matches!(decision, Decision::Stop(_)));
    }

    #[test]
    fn budget_bounds_retries(steps in prop::collection::vec(any::<bool>(), 0..600)) {
        let mut budget = Budget::default();
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for is_first in steps {
            if is_first {
                budget.deposit();
                requests += 1;
            } else {
                retries += u64::from(budget.withdraw());
            }
            prop_assert!(retries * 1_000 <= RESERVE_MILLIS + requests * RATIO_MILLIS);
        }
    }
}

#[test]
fn begun_stream_is_never_reported_as_not_run() {
    let now = Instant::now();
    let mut attempts = Attempts::new(true, now + Duration::from_secs(1));
    let mut budget = Budget::default();
    attempts.record_sent(&mut budget);
    attempts.record_progress();

    let refused = error(
        Ran::No,
        Kind::Rejected {
            status: 400,
            message: String::new(),
        },
    );
    let decision = attempts.record_failure(&refused, &mut budget, now, UNIX_EPOCH);

    let Decision::Stop(failure) = decision else {
        panic!("a rejected body is not retried");
    };
    assert_eq!(
        (failure.code, failure.ran),
        (Code::UpstreamRejected, Ran::Unknown)
    );
}

#[parameterized(
    full = { false, Ran::No, Kind::Full, Code::Overloaded, Some(OVERLOAD_RETRY_AFTER) },
    no_connection = { false, Ran::No, Kind::Connect(String::new()), Code::NoUpstream, Some(RETRY_AFTER) },
    leaving = { false, Ran::No, Kind::Leaving, Code::NoUpstream, Some(RETRY_AFTER) },
    cut_but_repeatable = { true, Ran::Unknown, Kind::Cut(String::new()), Code::UpstreamFailed, Some(RETRY_AFTER) },
    outcome_unknown = { false, Ran::Unknown, Kind::Cut(String::new()), Code::OutcomeUnknown, None },
    late = { true, Ran::Unknown, Kind::Timeout, Code::Timeout, None },
)]
fn final_failure_has_retry_time_if_retry_is_safe(
    repeatable: bool,
    ran: Ran,
    kind: Kind,
    code: Code,
    wait: Option<Duration>,
) {
    let now = Instant::now();
    let mut attempts = Attempts::new(repeatable, now + Duration::from_secs(1));
    attempts.sent = MAX_ATTEMPTS;

    let decision =
        attempts.record_failure(&error(ran, kind), &mut Budget::default(), now, UNIX_EPOCH);

    let Decision::Stop(failure) = decision else {
        panic!("the attempts are used up");
    };
    assert_eq!(failure.code, code);
    assert_eq!(failure.retry_at, wait.map(|wait| UNIX_EPOCH + wait));
}

#[test]
fn exhausted_budget_lengthens_retry_time() {
    let now = Instant::now();
    let mut budget = Budget::default();
    while budget.withdraw() {}
    let mut attempts = Attempts::new(true, now + Duration::from_secs(1));
    attempts.sent = 1;

    let refused = error(Ran::No, Kind::Connect(String::new()));
    let decision = attempts.record_failure(&refused, &mut budget, now, UNIX_EPOCH);

    let Decision::Stop(failure) = decision else {
        panic!("the budget is used up");
    };
    assert_eq!(failure.retry_at, Some(UNIX_EPOCH + OVERLOAD_RETRY_AFTER));
}

#[parameterized(
    not_run = { Ran::No, false, true },
    repeatable = { Ran::Unknown, true, true },
    may_have_run = { Ran::Unknown, false, false },
)]
fn exhausted_upstreams_give_retry_time_if_retry_is_safe(
    ran: Ran,
    repeatable: bool,
    has_retry_time: bool,
) {
    let mut attempts = Attempts::new(repeatable, Instant::now());
    attempts.ran = ran;
    let refusal = Failure::not_run(Code::NoUpstream, "none").retry_at(UNIX_EPOCH + RETRY_AFTER);

    let failure = attempts.exhausted(refusal);

    assert_eq!(failure.retry_at.is_some(), has_retry_time);
}
