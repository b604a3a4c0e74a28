//! Decisions on sending again.

use std::time::{Duration, Instant, UNIX_EPOCH};

use proptest::prelude::*;
use tinbank_base::{
    outcome::{Code, Failure, Ran},
    platform::upstream::{Error, Kind},
};
use tinbank_routing::retry::{
    RETRY_AFTER, Attempts, Budget, Decision, MAX_ATTEMPTS, RATIO_MILLIS, OVERLOAD_RETRY_AFTER, RESERVE_MILLIS,
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
    fn what_may_not_be_repeated_runs_at_most_once(failures in prop::collection::vec((ran(), kind()), 1..8)) {
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
    fn not_run_is_said_only_if_no_attempt_may_have_run(
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
    fn nothing_is_sent_again_after_the_deadline(ran in ran(), kind in kind()) {
        let now = Instant::now();
        let mut attempts = Attempts::new(true, now);
        let mut budget = Budget::default();
        attempts.record_sent(&mut budget);

        let decision = attempts.record_failure(&error(ran, kind), &mut budget, now, UNIX_EPOCH);

        prop_assert!(matches!(decision, Decision::Stop(_)));
    }

    #[test]
    fn the_budget_bounds_what_is_sent_again(steps in prop::collection::vec(any::<bool>(), 0..600)) {
        let mut budget = Budget::default();
        let (mut first, mut again) = (0_u64, 0_u64);
        for is_first in steps {
            if is_first {
                budget.deposit();
                first += 1;
            } else {
                again += u64::from(budget.withdraw());
            }
            prop_assert!(again * 1_000 <= RESERVE_MILLIS + first * RATIO_MILLIS);
        }
    }
}

#[test]
fn a_stream_that_had_begun_is_never_not_run() {
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
        panic!("a rejected body is not sent again");
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
fn a_caller_that_is_given_up_on_is_told_when_to_come_back_if_that_is_safe(
    repeatable: bool,
    ran: Ran,
    kind: Kind,
    code: Code,
    wait: Option<Duration>,
) {
    let now = Instant::now();
    let mut attempts = Attempts::new(repeatable, now + Duration::from_secs(1));
    attempts.sent = MAX_ATTEMPTS;

    let decision = attempts.record_failure(&error(ran, kind), &mut Budget::default(), now, UNIX_EPOCH);

    let Decision::Stop(failure) = decision else {
        panic!("it was sent as often as may be");
    };
    assert_eq!(failure.code, code);
    assert_eq!(failure.retry_at, wait.map(|wait| UNIX_EPOCH + wait));
}

#[test]
fn a_used_up_budget_sends_callers_away_for_longer() {
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
fn when_no_upstream_is_left_only_a_safe_resend_is_asked_for(
    ran: Ran,
    repeatable: bool,
    told: bool,
) {
    let mut attempts = Attempts::new(repeatable, Instant::now());
    attempts.ran = ran;
    let refusal = Failure::not_run(Code::NoUpstream, "none").retry_at(UNIX_EPOCH + RETRY_AFTER);

    let failure = attempts.exhausted(refusal);

    assert_eq!(failure.retry_at.is_some(), told);
}
