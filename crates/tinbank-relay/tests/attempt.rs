//! Tests when a failed request is sent again.

use proptest::prelude::*;
use tinbank_relay::{
    attempt::{Attempts, Failure, Next},
    route::Kind,
};
use tinbank_test_support::property;
use yare::parameterized;

const RESUMABLE: Kind = Kind::Stream { resumable: true };
const PLAIN_STREAM: Kind = Kind::Stream { resumable: false };

#[parameterized(
    once_not_run = { Kind::Once, 1, &[Failure::NotRun], Next::Retry },
    once_unknown = { Kind::Once, 3, &[Failure::Unknown], Next::Fail },
    once_unknown_then_not_run = { Kind::Once, 3, &[Failure::NotRun, Failure::Unknown], Next::Fail },
    idempotent_unknown = { Kind::Idempotent, 2, &[Failure::Unknown], Next::Retry },
    idempotent_twice = { Kind::Idempotent, 2, &[Failure::Unknown, Failure::Unknown], Next::Fail },
    idempotent_not_run_does_not_count = { Kind::Idempotent, 1, &[Failure::NotRun, Failure::NotRun], Next::Retry },
    resumable_unknown = { RESUMABLE, 2, &[Failure::Unknown], Next::Retry },
    resumable_only_once = { RESUMABLE, 1, &[Failure::Unknown], Next::Fail },
    plain_stream_unknown = { PLAIN_STREAM, 2, &[Failure::Unknown], Next::Fail },
)]
fn retries_depend_on_kind_and_failures(kind: Kind, max: u32, failures: &[Failure], next: Next) {
    let mut attempts = Attempts::new(kind, max);

    for failure in failures {
        attempts.record("u".into(), *failure);
    }

    assert_eq!(attempts.next(), next);
}

proptest! {
    #![proptest_config(property::config(500))]

    /// Guards against reporting "not run" for a request that may have run, and against more runs than the route allows.
    #[test]
    fn refusals_are_truthful_and_runs_are_bounded(
        idempotent in any::<bool>(),
        max in 1..5u32,
        failures in prop::collection::vec(any::<bool>(), 1..10),
    ) {
        let kind = if idempotent { Kind::Idempotent } else { Kind::Once };
        let mut attempts = Attempts::new(kind, max);
        let mut may_have_run = 0;

        for unknown in failures {
            if attempts.next() != Next::Retry {
                break;
            }
            let failure = if unknown { Failure::Unknown } else { Failure::NotRun };
            attempts.record("u".into(), failure);
            may_have_run += u32::from(unknown);
        }

        let bound = if idempotent { max } else { 1 };
        prop_assert!(may_have_run <= bound);
        prop_assert_eq!(attempts.give_up() == Next::Refuse, may_have_run == 0);
    }
}
