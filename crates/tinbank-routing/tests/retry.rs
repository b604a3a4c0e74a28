//! Decisions on sending again.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tinbank_base::{
    outcome::{Code, Ran},
    platform::upstream::{Error, Kind},
};
use tinbank_routing::retry::{
    Attempts, Budget, Decision, MAX_ATTEMPTS, RATIO_MILLIS, RESERVE_MILLIS,
};
use tinbank_test_support::property;

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
            attempts.send(&mut budget);
            may_have_run += u32::from(ran != Ran::No);
            match attempts.fail(&error(ran, kind), &mut budget, now) {
                Decision::Again => prop_assert_eq!(may_have_run, 0),
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
            attempts.send(&mut budget);
            all_not_run &= ran == Ran::No;
            if let Decision::Stop(failure) = attempts.fail(&error(ran, kind), &mut budget, now) {
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
        attempts.send(&mut budget);

        let decision = attempts.fail(&error(ran, kind), &mut budget, now);

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
    attempts.send(&mut budget);
    attempts.progress();

    let refused = error(
        Ran::No,
        Kind::Rejected {
            status: 400,
            message: String::new(),
        },
    );
    let decision = attempts.fail(&refused, &mut budget, now);

    let Decision::Stop(failure) = decision else {
        panic!("a rejected body is not sent again");
    };
    assert_eq!(
        (failure.code, failure.ran),
        (Code::UpstreamRejected, Ran::Unknown)
    );
}
