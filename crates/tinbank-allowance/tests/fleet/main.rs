//! Simulates customers of a fleet in virtual time, and compares the admitted requests with a model that has global
//! knowledge.

mod simulation;

use std::time::Duration;

use proptest::prelude::*;
use tinbank_test_support::property;
use yare::parameterized;

use self::simulation::{Fault, Simulation, Strategy};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a simulation of a customer that sends five times its limit.
fn above_limit() -> Simulation {
    Simulation {
        rate: 94.0,
        burst: 94.0,
        sent: 470.0,
        ..Simulation::default()
    }
}

#[parameterized(
    no_fault = { Fault::None },
    one_counter_is_lost = { Fault::CounterLost { at: ms(6_000) } },
    all_hosts_lose_power = { Fault::AllLost { at: ms(6_000), restart_after: ms(1_200) } },
    all_hosts_lose_power_twice = { Fault::AllLostTwice { at: ms(6_000), again_after: ms(2_000) } },
    counters_are_partitioned_from_each_other = { Fault::CountersPartitioned { at: ms(6_000), until: ms(12_000) } },
    hosts_are_isolated = { Fault::HostsIsolated { hosts: 16, at: ms(6_000), until: ms(12_000) } },
    datagrams_are_lost = { Fault::Lossy { percent: 30 } },
)]
fn a_customer_above_its_limit_stays_within_the_tolerance(fault: Fault) {
    let simulation = Simulation {
        fault,
        ..above_limit()
    };

    let outcome = simulation.run(Strategy::Exchange);

    assert!(
        outcome.max_in_window <= simulation.max_allowed(),
        "{outcome:?}"
    );
}

/// The customer's allowance is complete when its load rises above the limit, shortly before a fault.
#[parameterized(
    a_third_of_the_hosts_is_isolated = { Fault::HostsIsolated { hosts: 21, at: ms(7_000), until: ms(13_000) }, 34.0 },
    a_third_is_isolated_with_a_large_customer = { Fault::HostsIsolated { hosts: 21, at: ms(7_000), until: ms(13_000) }, 94.0 },
    all_hosts_lose_power_twice = { Fault::AllLostTwice { at: ms(6_500), again_after: ms(2_700) }, 34.0 },
    a_counter_is_lost = { Fault::CounterLost { at: ms(6_000) }, 34.0 },
    a_third_of_the_hosts_is_partitioned = { Fault::GroupPartitioned { hosts: 21, at: ms(7_000), until: ms(13_000) }, 34.0 },
    all_counters_are_lost = { Fault::CountersLost { at: ms(7_000), standbys_receive_counts: true }, 34.0 },
)]
fn a_customer_that_has_just_exceeded_its_limit_stays_within_the_tolerance(fault: Fault, rate: f64) {
    for seed in 0..20 {
        let simulation = Simulation {
            seed,
            rate,
            burst: rate,
            sent: rate * 5.0,
            above_limit_from: ms(5_000),
            fault,
            ..Simulation::default()
        };

        let outcome = simulation.run(Strategy::Exchange);

        assert!(
            outcome.max_in_window <= simulation.max_allowed(),
            "of {}: {outcome:?}",
            simulation.max_allowed()
        );
    }
}

#[parameterized(
    no_fault = { Fault::None },
    one_counter_is_lost = { Fault::CounterLost { at: ms(6_000) } },
    all_hosts_lose_power = { Fault::AllLost { at: ms(6_000), restart_after: ms(1_200) } },
    a_sixth_of_the_hosts_is_lost = { Fault::HostsLost { hosts: 10, at: ms(6_000) } },
    datagrams_are_lost = { Fault::Lossy { percent: 30 } },
)]
fn a_customer_below_its_limit_is_never_refused(fault: Fault) {
    let simulation = Simulation {
        sent: 59.0,
        fault,
        ..above_limit()
    };

    let outcome = simulation.run(Strategy::Exchange);

    assert_eq!(outcome.wrongly_refused, 0, "{outcome:?}");
}

/// All callers of the customer retry at the same time, with the requests that they could not send during the outage.
#[test]
fn retries_after_a_loss_of_all_hosts_are_admitted() {
    let simulation = Simulation {
        sent: 150.0,
        fault: Fault::AllLost {
            at: ms(0),
            restart_after: ms(500),
        },
        length: ms(1_000),
        ..above_limit()
    };

    let outcome = simulation.run(Strategy::Exchange);

    assert_eq!(outcome.refused, 0, "{outcome:?}");
}

#[test]
fn a_customer_of_one_failure_domain_is_not_refused_below_its_limit() {
    let simulation = Simulation {
        sent: 59.0,
        in_one_domain: true,
        ..above_limit()
    };

    let outcome = simulation.run(Strategy::Exchange);

    assert_eq!(outcome.wrongly_refused, 0, "{outcome:?}");
}

#[test]
fn a_customer_above_its_limit_gets_all_of_it() {
    let outcome = above_limit().run(Strategy::Exchange);

    assert!(outcome.admitted_percent_of_limit >= 98, "{outcome:?}");
}

#[test]
fn a_lowered_limit_is_enforced_after_one_window() {
    let simulation = Simulation {
        fault: Fault::Lowered {
            at: ms(6_000),
            to: 9.4,
        },
        ..above_limit()
    };

    let outcome = simulation.run(Strategy::Exchange);

    let lower = Simulation {
        rate: 9.4,
        burst: 9.4,
        ..above_limit()
    };
    assert!(
        outcome.max_in_window_after(ms(6_000)) <= lower.max_allowed(),
        "{outcome:?}"
    );
}

proptest! {
    #![proptest_config(property::config(24))]

    #[test]
    fn no_window_exceeds_the_tolerance(
        seed in any::<u64>(),
        rate in 1.0_f64..120.0,
        times in 1.0_f64..10.0,
        hosts in prop::sample::select(vec![3_usize, 61, 300]),
        lossy in any::<bool>(),
    ) {
        let simulation = Simulation {
            seed,
            hosts,
            rate,
            burst: rate,
            sent: rate * times,
            fault: if lossy { Fault::Lossy { percent: 20 } } else { Fault::CounterLost { at: ms(5_000) } },
            ..Simulation::default()
        };

        let outcome = simulation.run(Strategy::Exchange);

        prop_assert!(outcome.max_in_window <= simulation.max_allowed(), "{:?}", outcome);
    }
}

/// Prints a comparison of the strategies: `cargo test -p tinbank-allowance --test fleet -- --ignored --nocapture`.
#[test]
#[ignore = "prints a table"]
fn strategies_compared() {
    let faults = [
        Fault::None,
        Fault::CounterLost { at: ms(6_000) },
        Fault::AllLost {
            at: ms(6_000),
            restart_after: ms(1_200),
        },
        Fault::AllLostTwice {
            at: ms(6_000),
            again_after: ms(2_000),
        },
        Fault::CountersPartitioned {
            at: ms(6_000),
            until: ms(12_000),
        },
        Fault::HostsIsolated {
            hosts: 16,
            at: ms(6_000),
            until: ms(12_000),
        },
        Fault::HostsLost {
            hosts: 10,
            at: ms(6_000),
        },
        Fault::Lossy { percent: 30 },
    ];
    for strategy in [Strategy::Exchange, Strategy::Central, Strategy::Split] {
        for fault in faults {
            let above_limit = Simulation {
                fault,
                ..above_limit()
            };
            let within_limit = Simulation {
                sent: 59.0,
                ..above_limit
            };
            let uneven = Simulation {
                in_one_domain: true,
                ..within_limit
            };
            let (above, below, uneven) = (
                above_limit.run(strategy),
                within_limit.run(strategy),
                uneven.run(strategy),
            );
            println!(
                "{strategy:?} {fault:?}: max per window {} of {:.0} allowed, refused below the limit {} of {} (in one failure domain {}), messages per second {}",
                above.max_in_window,
                above_limit.max_allowed(),
                below.wrongly_refused,
                below.sent,
                uneven.wrongly_refused,
                above.messages_per_second,
            );
        }
    }
}
