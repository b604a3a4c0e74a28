//! Effect on callers and upstreams of one request that crashes each upstream that runs it.
//!
//! Comparison of strategies, for `docs/design/quarantine.md`:
//! `cargo test --release -p tinbank-quarantine --test fleet -- --ignored --nocapture`.

mod simulation;

use simulation::{Outcome, Scenario, Strategy};
use yare::parameterized;

/// Number of seeds for each row of the table.
const SEEDS: u64 = 10;
/// Retries allowed later than the convergence time after the third crash.
const MAX_RETRIES: usize = 3;

const BASE: Scenario = Scenario {
    strategy: Strategy::BroadcastAndStored,
    seed: 1,
    hosts: 12,
    interval: 500,
    copies: 1,
    loss_percent: 1,
    is_partitioned: false,
    restarts_all: false,
    has_crash_storm: false,
};

#[parameterized(
    three_hosts = { Scenario { hosts: 3, ..BASE } },
    twelve_hosts = { BASE },
    many_hosts = { Scenario { hosts: 300, ..BASE } },
    short_interval = { Scenario { interval: 100, ..BASE } },
    copies_at_once = { Scenario { copies: 4, ..BASE } },
    packet_loss = { Scenario { loss_percent: 30, ..BASE } },
    partition = { Scenario { is_partitioned: true, ..BASE } },
    restarts_all = { Scenario { restarts_all: true, ..BASE } },
    crash_storm = { Scenario { has_crash_storm: true, ..BASE } },
    all_faults = { Scenario { copies: 2, loss_percent: 30, is_partitioned: true, restarts_all: true, ..BASE } },
)]
fn it_is_sent_no_further_and_nobody_else_is_held_back(scenario: Scenario) {
    for seed in 1..=2 {
        let outcome = Scenario { seed, ..scenario }.run();

        assert!(outcome.retries <= MAX_RETRIES, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.false_positives, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
#[ignore = "prints the table of the design note"]
fn ways() {
    let scenarios = [
        ("12 hosts", BASE),
        ("3 hosts", Scenario { hosts: 3, ..BASE }),
        ("300 hosts", Scenario { hosts: 300, ..BASE }),
        (
            "each 0.1 s",
            Scenario {
                interval: 100,
                ..BASE
            },
        ),
        ("4 copies at once", Scenario { copies: 4, ..BASE }),
        (
            "3 of 10 datagrams lost",
            Scenario {
                loss_percent: 30,
                ..BASE
            },
        ),
        (
            "a third partitioned, 15 s",
            Scenario {
                is_partitioned: true,
                ..BASE
            },
        ),
        (
            "a third of the upstreams crash for other reasons each 2 s",
            Scenario {
                has_crash_storm: true,
                ..BASE
            },
        ),
        (
            "the same, 4 copies at once",
            Scenario {
                has_crash_storm: true,
                copies: 4,
                ..BASE
            },
        ),
        (
            "all hosts restart, three times",
            Scenario {
                restarts_all: true,
                ..BASE
            },
        ),
    ];
    let strategies = [
        Strategy::Stateless,
        Strategy::Local,
        Strategy::Broadcast,
        Strategy::Stored,
        Strategy::BroadcastAndStored,
    ];
    println!(
        "| fault | strategy | upstreams crashed | retries | others interrupted | others quarantined |"
    );
    for (name, scenario) in scenarios {
        for strategy in strategies {
            let outcomes = (1..=SEEDS).map(|seed| {
                Scenario {
                    strategy,
                    seed,
                    ..scenario
                }
                .run()
            });
            let all: Vec<Outcome> = outcomes.collect();
            let sum = |of: fn(&Outcome) -> usize| all.iter().map(of).sum::<usize>();
            let max = all.iter().map(|it| it.retries).max().unwrap_or_default();
            println!(
                "| {name} | {strategy:?} | {:.1} | {max} | {:.1} | {} |",
                sum(|it| it.crashes) as f64 / SEEDS as f64,
                sum(|it| it.interrupted) as f64 / SEEDS as f64,
                sum(|it| it.false_positives),
            );
        }
    }
}
