//! What callers and upstreams get while one request ends each upstream that runs it.
//!
//! The ways that were weighed, for `docs/design/quarantine.md`:
//! `cargo test --release -p tinbank-quarantine --test fleet -- --ignored --nocapture`.

mod play;

use play::{Outcome, Play, Way};
use yare::parameterized;

/// Seeds of a row of the table.
const SEEDS: u64 = 10;
/// Retries that users allow, later than the contact time after the third end.
const MOST_RETRIES: usize = 3;

const CALM: Play = Play {
    way: Way::ToldAndStored,
    seed: 1,
    hosts: 12,
    every: 500,
    copies: 1,
    lost_percent: 1,
    is_cut: false,
    all_lost: false,
    has_storm: false,
};

#[parameterized(
    three_hosts = { Play { hosts: 3, ..CALM } },
    twelve_hosts = { CALM },
    many_hosts = { Play { hosts: 300, ..CALM } },
    each_tenth_of_a_second = { Play { every: 100, ..CALM } },
    copies_at_once = { Play { copies: 4, ..CALM } },
    lossy = { Play { lost_percent: 30, ..CALM } },
    cut = { Play { is_cut: true, ..CALM } },
    all_lost = { Play { all_lost: true, ..CALM } },
    storm = { Play { has_storm: true, ..CALM } },
    all_at_once = { Play { copies: 2, lost_percent: 30, is_cut: true, all_lost: true, ..CALM } },
)]
fn it_is_sent_no_further_and_nobody_else_is_held_back(play: Play) {
    for seed in 1..=2 {
        let outcome = Play { seed, ..play }.run();

        assert!(outcome.retries <= MOST_RETRIES, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.held_wrongly, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
#[ignore = "prints the table of the design note"]
fn ways() {
    let plays = [
        ("12 hosts", CALM),
        ("3 hosts", Play { hosts: 3, ..CALM }),
        ("300 hosts", Play { hosts: 300, ..CALM }),
        ("each 0.1 s", Play { every: 100, ..CALM }),
        ("4 copies at once", Play { copies: 4, ..CALM }),
        (
            "3 of 10 datagrams lost",
            Play {
                lost_percent: 30,
                ..CALM
            },
        ),
        (
            "a third cut off, 15 s",
            Play {
                is_cut: true,
                ..CALM
            },
        ),
        (
            "a third of the upstreams end by themselves each 2 s",
            Play {
                has_storm: true,
                ..CALM
            },
        ),
        (
            "the same, 4 copies at once",
            Play {
                has_storm: true,
                copies: 4,
                ..CALM
            },
        ),
        (
            "all lost, three times",
            Play {
                all_lost: true,
                ..CALM
            },
        ),
    ];
    let ways = [
        Way::Nothing,
        Way::Alone,
        Way::Told,
        Way::Stored,
        Way::ToldAndStored,
    ];
    println!("| fault | way | upstreams ended | retries | others broken | others held back |");
    for (name, play) in plays {
        for way in ways {
            let outcomes = (1..=SEEDS).map(|seed| Play { way, seed, ..play }.run());
            let all: Vec<Outcome> = outcomes.collect();
            let sum = |of: fn(&Outcome) -> usize| all.iter().map(of).sum::<usize>();
            let most = all.iter().map(|it| it.retries).max().unwrap_or_default();
            println!(
                "| {name} | {way:?} | {:.1} | {most} | {:.1} | {} |",
                sum(|it| it.ended) as f64 / SEEDS as f64,
                sum(|it| it.broken) as f64 / SEEDS as f64,
                sum(|it| it.held_wrongly),
            );
        }
    }
}
