//! Effect on callers and upstreams of one request that crashes each upstream that runs it.
//!
//! Comparison of strategies, for `docs/design/quarantine.md`:
//! `cargo test --release -p tinbank-quarantine --test fleet -- --ignored --nocapture`.

mod parts;
mod simulation;

use parts::Guilt;
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

/// Requests with a part that crashes upstreams, no two alike, in a fleet of 12 hosts.
const PARTS: parts::Scenario = parts::Scenario {
    seed: 1,
    hosts: 12,
    guilt: Guilt::SecondPart,
    guilty_rate: 8.0,
    loss_percent: 1,
    is_partitioned: false,
    restarts_all: false,
    has_crash_storm: false,
};

#[parameterized(
    twelve_hosts = { PARTS },
    many_hosts = { parts::Scenario { hosts: 300, ..PARTS } },
    frequent = { parts::Scenario { guilty_rate: 20.0, ..PARTS } },
    rare = { parts::Scenario { guilty_rate: 0.5, ..PARTS } },
    first_part = { parts::Scenario { guilt: Guilt::FirstPart, ..PARTS } },
    two_parts = { parts::Scenario { guilt: Guilt::TwoSecondParts, ..PARTS } },
    packet_loss = { parts::Scenario { loss_percent: 30, ..PARTS } },
    partition = { parts::Scenario { is_partitioned: true, ..PARTS } },
    restarts_all = { parts::Scenario { restarts_all: true, ..PARTS } },
    crash_storm = { parts::Scenario { has_crash_storm: true, ..PARTS } },
)]
fn a_part_is_sent_no_further_and_requests_beside_it_are_served(scenario: parts::Scenario) {
    for seed in 1..=4 {
        let outcome = parts::Scenario { seed, ..scenario }.run();

        let of_each_part = if scenario.guilt == Guilt::TwoSecondParts {
            2
        } else {
            1
        };
        assert!(
            outcome.late <= MAX_RETRIES * of_each_part,
            "seed {seed}: {outcome:?}"
        );
        assert!(
            2 * outcome.refused_beside <= outcome.sound_beside,
            "seed {seed}: {outcome:?}"
        );
    }
}

#[test]
#[ignore = "prints the table of parts of the design note"]
fn parts_of_prompts() {
    let scenarios = [
        ("12 hosts", PARTS),
        (
            "300 hosts",
            parts::Scenario {
                hosts: 300,
                ..PARTS
            },
        ),
        (
            "20 a second",
            parts::Scenario {
                guilty_rate: 20.0,
                ..PARTS
            },
        ),
        (
            "one each 2 s",
            parts::Scenario {
                guilty_rate: 0.5,
                ..PARTS
            },
        ),
        (
            "a first part",
            parts::Scenario {
                guilt: Guilt::FirstPart,
                ..PARTS
            },
        ),
        (
            "two parts",
            parts::Scenario {
                guilt: Guilt::TwoSecondParts,
                ..PARTS
            },
        ),
        (
            "3 of 10 datagrams lost",
            parts::Scenario {
                loss_percent: 30,
                ..PARTS
            },
        ),
        (
            "a third partitioned, 15 s",
            parts::Scenario {
                is_partitioned: true,
                ..PARTS
            },
        ),
        (
            "all hosts restart, three times",
            parts::Scenario {
                restarts_all: true,
                ..PARTS
            },
        ),
        (
            "a third of the upstreams crash for other reasons each 2 s",
            parts::Scenario {
                has_crash_storm: true,
                ..PARTS
            },
        ),
        (
            "the same, nothing guilty",
            parts::Scenario {
                has_crash_storm: true,
                guilt: Guilt::Nothing,
                ..PARTS
            },
        ),
    ];
    println!(
        "| fault | upstreams crashed, mean and most | late, most | sound refused, mean and worst | beside, worst |"
    );
    for (name, scenario) in scenarios {
        let seeds = (1..=SEEDS).map(|seed| parts::Scenario { seed, ..scenario }.run());
        let all: Vec<parts::Outcome> = seeds.collect();
        let crashes = all.iter().map(|it| it.crashes);
        let mean = crashes.clone().sum::<usize>() as f64 / SEEDS as f64;
        let most = crashes.max().unwrap_or_default();
        let late = all.iter().map(|it| it.late).max().unwrap_or_default();
        let share = |refused: usize, all: usize| refused as f64 / all.max(1) as f64;
        let refused = all.iter().map(|it| share(it.refused, it.sound));
        let worst = refused.clone().fold(0.0, f64::max);
        let refused = refused.sum::<f64>() / SEEDS as f64;
        let beside = all
            .iter()
            .map(|it| share(it.refused_beside, it.sound_beside));
        let beside = beside.fold(0.0, f64::max);
        println!(
            "| {name} | {mean:.1}, {most} | {late} | {refused:.4}, {worst:.4} | {beside:.3} |"
        );
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
