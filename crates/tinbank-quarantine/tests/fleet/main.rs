//! Effect on callers and upstreams of one request that crashes each upstream that runs it.
//!
//! Comparison of strategies, for `docs/design/quarantine.md`:
//! `cargo test --release -p tinbank-quarantine --test fleet -- --ignored --nocapture`.

mod simulation;

use simulation::{Outcome, Scenario, Strategy, Wait};
use tinbank_quarantine::table::CRASH_THRESHOLD;
use yare::parameterized;

/// Number of seeds for each row of the table.
const SEEDS: u64 = 10;
/// Retries allowed later than the convergence time after the third crash.
const MAX_RETRIES: usize = 3;

/// A request that crashes its upstreams before any probe ends, and whose route allows six runs.
const FAST: Scenario = Scenario {
    runs: 6,
    time_to_crash: 5,
    loss_percent: 0,
    ..BASE
};

const BASE: Scenario = Scenario {
    strategy: Strategy::BroadcastAndStored,
    seed: 1,
    hosts: 12,
    interval: 500,
    copies: 1,
    runs: 1,
    time_to_crash: 50,
    probe_time: 30,
    wait: Wait::All,
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
    resumed = { FAST },
    late_probes = { Scenario { probe_time: 930, ..FAST } },
    probes_lost_with_their_hosts = { Scenario { probe_time: 330, restarts_all: true, ..FAST } },
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

/// A host waits for its probes, and the others know of the crashes when the caller retries.
#[parameterized(
    resumed = { FAST },
    resumed_in_each_attempt = { Scenario { runs: 2, ..FAST } },
    many_hosts = { Scenario { hosts: 300, ..FAST } },
    packet_loss = { Scenario { loss_percent: 30, ..FAST } },
    crash_storm = { Scenario { has_crash_storm: true, ..FAST } },
)]
fn no_more_upstreams_crash_than_the_threshold(scenario: Scenario) {
    for seed in 1..=2 {
        let outcome = Scenario { seed, ..scenario }.run();

        assert_eq!(outcome.crashes, CRASH_THRESHOLD as usize, "seed {seed}");
    }
}

#[test]
#[ignore = "prints the table of waits of the design note"]
fn waits() {
    let each = |interval, runs| Scenario {
        interval,
        runs,
        ..FAST
    };
    let probed_for = |probe_time| Scenario { probe_time, ..FAST };
    let restarts = Scenario {
        restarts_all: true,
        ..FAST
    };
    let scenarios = [
        ("each 500 ms, 6 runs", FAST),
        ("each 500 ms, 2 runs", each(500, 2)),
        ("each 100 ms, 1 run", each(100, 1)),
        ("each 50 ms, 1 run", each(50, 1)),
        ("each 30 ms, 1 run", each(30, 1)),
        ("each 20 ms, 1 run", each(20, 1)),
        ("each 10 ms, 1 run", each(10, 1)),
        ("each 10 ms, 2 runs", each(10, 2)),
        ("6 runs, probes of 330 ms", probed_for(330)),
        ("6 runs, probes of 930 ms", probed_for(930)),
        ("6 runs, all hosts restart three times", restarts),
        (
            "the same, probes of 330 ms",
            Scenario {
                probe_time: 330,
                ..restarts
            },
        ),
    ];
    println!("| request | waits | upstreams crashed | most |");
    for (name, scenario) in scenarios {
        for wait in [Wait::None, Wait::Suspects, Wait::All] {
            let seeds = (1..=SEEDS).map(|seed| Scenario {
                wait,
                seed,
                ..scenario
            });
            let crashes: Vec<usize> = seeds.map(|it| it.run().crashes).collect();
            let mean = crashes.iter().sum::<usize>() as f64 / SEEDS as f64;
            let most = crashes.iter().max().unwrap_or(&0);
            println!("| {name} | {wait:?} | {mean:.1} | {most} |");
        }
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
