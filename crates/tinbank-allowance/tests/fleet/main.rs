//! Plays customers at a fleet in virtual time, and checks every window of what was let in against a count that knows all.

mod play;

use std::time::Duration;

use proptest::prelude::*;
use tinbank_test_support::property;
use yare::parameterized;

use self::play::{Fault, Play, Way};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A customer that sends five times its limit.
fn hot() -> Play {
    Play {
        rate: 94.0,
        burst: 94.0,
        sent: 470.0,
        ..Play::default()
    }
}

#[parameterized(
    calm = { Fault::None },
    one_counter_is_lost = { Fault::CounterLost { at: ms(6_000) } },
    all_hosts_lose_power = { Fault::AllLost { at: ms(6_000), back_after: ms(1_200) } },
    all_hosts_lose_power_twice = { Fault::AllLostTwice { at: ms(6_000), again_after: ms(2_000) } },
    counters_are_cut_off_from_each_other = { Fault::CountersCut { at: ms(6_000), until: ms(12_000) } },
    hosts_are_cut_off_from_all_others = { Fault::HostsCut { hosts: 16, at: ms(6_000), until: ms(12_000) } },
    datagrams_are_lost = { Fault::Lossy { percent: 30 } },
)]
fn a_hot_customer_never_exceeds_its_limit_by_more_than_allowed(fault: Fault) {
    let play = Play { fault, ..hot() };

    let outcome = play.run(Way::Told);

    assert!(outcome.most_in_window <= play.most_allowed(), "{outcome:?}");
}

/// A customer whose allowance is whole when it begins to send eight times its usual, shortly before a fault.
#[parameterized(
    a_third_of_the_hosts_is_cut_off = { Fault::HostsCut { hosts: 21, at: ms(7_000), until: ms(13_000) }, 34.0 },
    a_third_is_cut_off_from_a_large_customer = { Fault::HostsCut { hosts: 21, at: ms(7_000), until: ms(13_000) }, 94.0 },
    all_hosts_lose_power_twice = { Fault::AllLostTwice { at: ms(6_500), again_after: ms(2_700) }, 34.0 },
    a_counter_is_lost = { Fault::CounterLost { at: ms(6_000) }, 34.0 },
    a_third_of_the_hosts_is_cut_off_together = { Fault::GroupCut { hosts: 21, at: ms(7_000), until: ms(13_000) }, 34.0 },
    all_counters_are_lost = { Fault::CountersLost { at: ms(7_000), standbys_are_told: true }, 34.0 },
)]
fn a_customer_that_has_just_become_hot_is_held_to_its_limit(fault: Fault, rate: f64) {
    for seed in 0..20 {
        let play = Play {
            seed,
            rate,
            burst: rate,
            sent: rate * 5.0,
            hot_from: ms(5_000),
            fault,
            ..Play::default()
        };

        let outcome = play.run(Way::Told);

        assert!(
            outcome.most_in_window <= play.most_allowed(),
            "of {}: {outcome:?}",
            play.most_allowed()
        );
    }
}

#[parameterized(
    calm = { Fault::None },
    one_counter_is_lost = { Fault::CounterLost { at: ms(6_000) } },
    all_hosts_lose_power = { Fault::AllLost { at: ms(6_000), back_after: ms(1_200) } },
    a_sixth_of_the_hosts_is_lost = { Fault::HostsLost { hosts: 10, at: ms(6_000) } },
    datagrams_are_lost = { Fault::Lossy { percent: 30 } },
)]
fn a_customer_below_its_limit_is_never_refused(fault: Fault) {
    let play = Play {
        sent: 59.0,
        fault,
        ..hot()
    };

    let outcome = play.run(Way::Told);

    assert_eq!(outcome.refused_within, 0, "{outcome:?}");
}

/// A customer whose callers all come back within a moment, as after a loss of power, with what they could not send meanwhile.
#[test]
fn callers_that_come_back_after_a_loss_of_all_are_let_in() {
    let play = Play {
        sent: 150.0,
        fault: Fault::AllLost {
            at: ms(0),
            back_after: ms(500),
        },
        length: ms(1_000),
        ..hot()
    };

    let outcome = play.run(Way::Told);

    assert_eq!(outcome.refused, 0, "{outcome:?}");
}

#[test]
fn a_customer_of_one_failure_domain_gets_what_it_may() {
    let play = Play {
        sent: 59.0,
        in_one_domain: true,
        ..hot()
    };

    let outcome = play.run(Way::Told);

    assert_eq!(outcome.refused_within, 0, "{outcome:?}");
}

#[test]
fn a_customer_at_its_limit_gets_all_of_it() {
    let outcome = hot().run(Way::Told);

    assert!(outcome.let_in_percent_of_limit >= 98, "{outcome:?}");
}

#[test]
fn a_lower_limit_holds_one_window_later() {
    let play = Play {
        fault: Fault::Lowered {
            at: ms(6_000),
            to: 9.4,
        },
        ..hot()
    };

    let outcome = play.run(Way::Told);

    let lower = Play {
        rate: 9.4,
        burst: 9.4,
        ..hot()
    };
    assert!(
        outcome.most_in_window_after(ms(6_000)) <= lower.most_allowed(),
        "{outcome:?}"
    );
}

proptest! {
    #![proptest_config(property::config(24))]

    #[test]
    fn no_window_exceeds_a_limit(
        seed in any::<u64>(),
        rate in 1.0_f64..120.0,
        times in 1.0_f64..10.0,
        hosts in prop::sample::select(vec![3_usize, 61, 300]),
        lossy in any::<bool>(),
    ) {
        let play = Play {
            seed,
            hosts,
            rate,
            burst: rate,
            sent: rate * times,
            fault: if lossy { Fault::Lossy { percent: 20 } } else { Fault::CounterLost { at: ms(5_000) } },
            ..Play::default()
        };

        let outcome = play.run(Way::Told);

        prop_assert!(outcome.most_in_window <= play.most_allowed(), "{:?}", outcome);
    }
}

/// Prints how the ways that were weighed compare: `cargo test -p tinbank-allowance --test fleet -- --ignored --nocapture`.
#[test]
#[ignore = "prints a table"]
fn ways_compared() {
    let faults = [
        Fault::None,
        Fault::CounterLost { at: ms(6_000) },
        Fault::AllLost {
            at: ms(6_000),
            back_after: ms(1_200),
        },
        Fault::AllLostTwice {
            at: ms(6_000),
            again_after: ms(2_000),
        },
        Fault::CountersCut {
            at: ms(6_000),
            until: ms(12_000),
        },
        Fault::HostsCut {
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
    for way in [Way::Told, Way::Owner, Way::Parts] {
        for fault in faults {
            let hot = Play { fault, ..hot() };
            let cool = Play { sent: 59.0, ..hot };
            let uneven = Play {
                in_one_domain: true,
                ..cool
            };
            let (over, below, uneven) = (hot.run(way), cool.run(way), uneven.run(way));
            println!(
                "{way:?} {fault:?}: most in a window {} of {:.0} allowed, refused below the limit {} of {} (in one failure domain {}), messages a second {}",
                over.most_in_window,
                hot.most_allowed(),
                below.refused_within,
                below.sent,
                uneven.refused_within,
                over.messages_a_second,
            );
        }
    }
}
