//! Callers resume streams in a fleet with two builds, in virtual time, while hosts, links and failure domains fail: no stream goes on
//! at another build, and at hosts in touch most go on.

mod simulation;

use simulation::{Fault, Fleet, Lag, Outcome};
use yare::parameterized;

/// Least share of the resumed streams that goes on at hosts that were neither killed nor cut off.
const MIN_SHARE: f64 = 0.5;
const SEEDS: u64 = 4;

fn play(hosts: usize, fault: Fault) -> Outcome {
    let plays = (0..SEEDS).map(|seed| Fleet::new(hosts, fault, seed).play());
    plays.fold(Outcome::default(), Outcome::add)
}

#[parameterized(
    a_third_killed_of_12 = { 12, Fault::ThirdKilled },
    a_third_killed_of_300 = { 300, Fault::ThirdKilled },
    connections_reset_of_12 = { 12, Fault::ConnectionsReset },
    connections_reset_of_300 = { 300, Fault::ConnectionsReset },
    hosts_restarted_in_turn_of_12 = { 12, Fault::RestartedInTurn },
    hosts_restarted_in_turn_of_300 = { 300, Fault::RestartedInTurn },
    one_domain_dark_of_12 = { 12, Fault::DomainsDark(1) },
    two_domains_dark_of_12 = { 12, Fault::DomainsDark(2) },
    two_domains_dark_of_300 = { 300, Fault::DomainsDark(2) },
    one_domain_cut_off_of_12 = { 12, Fault::DomainCutOff },
    one_domain_cut_off_of_300 = { 300, Fault::DomainCutOff },
    datagrams_lost_of_12 = { 12, Fault::Lossy },
    datagrams_lost_of_300 = { 300, Fault::Lossy },
)]
fn streams_go_on_at_their_build_and_most_of_them_go_on(hosts: usize, fault: Fault) {
    let outcome = play(hosts, fault);

    assert_eq!(outcome.at_another_build, 0);
    assert!(outcome.resumed >= 12, "{outcome:?}");
    let share = outcome.went_on as f64 / outcome.resumed as f64;
    assert!(share >= MIN_SHARE, "{outcome:?}");
}

/// Guards against a guess by hosts that know neither the stream nor the builds that have served.
#[parameterized(
    all_killed_of_12 = { 12, Fault::AllKilled },
    all_killed_of_300 = { 300, Fault::AllKilled },
    all_killed_at_the_end_of_a_release_of_12 = { 12, Fault::AllKilledAfterRelease },
    store_away_when_a_build_appears_of_12 = { 12, Fault::StoreAwayAtRelease },
    store_away_when_a_build_appears_of_300 = { 300, Fault::StoreAwayAtRelease },
)]
fn no_stream_goes_on_at_another_build_when_hosts_know_little(hosts: usize, fault: Fault) {
    let outcome = play(hosts, fault);

    assert_eq!(outcome.at_another_build, 0);
    assert!(outcome.tries >= 12, "{outcome:?}");
}

/// Guards against a host that takes the only build that it knows for the only one that serves.
#[parameterized(
    cut_off_of_12 = { 12, Lag::CutOff },
    cut_off_of_300 = { 300, Lag::CutOff },
    standing_still_of_12 = { 12, Lag::StandingStill },
    standing_still_of_300 = { 300, Lag::StandingStill },
    with_an_old_list_of_builds_of_12 = { 12, Lag::OfBuilds },
    with_an_old_list_of_builds_of_300 = { 300, Lag::OfBuilds },
)]
fn no_stream_goes_on_at_another_build_at_hosts_that_are_behind(hosts: usize, lag: Lag) {
    let outcome = play(hosts, Fault::Behind(lag));

    assert!(outcome.newer_at_behind >= 12, "{outcome:?}");
    assert_eq!(outcome.at_another_build, 0, "{outcome:?}");
}

#[parameterized(
    of_12 = { 12 },
    of_300 = { 300 },
)]
fn streams_go_on_after_all_hosts_were_killed_while_one_build_serves(hosts: usize) {
    let outcome = play(hosts, Fault::AllKilledWithOneBuild);

    assert_eq!(outcome.successes, outcome.tries);
    assert!(outcome.tries >= 12, "{outcome:?}");
}

/// Prints the figures of `docs/design/mixed-builds.md`: `cargo test --release -p tinbank-origin --test fleet figures -- --ignored
/// --nocapture`.
#[test]
#[ignore = "prints figures"]
fn figures() {
    let faults = [
        Fault::ThirdKilled,
        Fault::ConnectionsReset,
        Fault::RestartedInTurn,
        Fault::DomainsDark(1),
        Fault::DomainsDark(2),
        Fault::DomainCutOff,
        Fault::Lossy,
        Fault::AllKilled,
        Fault::AllKilledWithOneBuild,
        Fault::Behind(Lag::CutOff),
        Fault::Behind(Lag::StandingStill),
        Fault::Behind(Lag::OfBuilds),
    ];
    for hosts in [3, 12, 300, 985] {
        for fault in faults {
            let outcome = play(hosts, fault);
            println!("{hosts} hosts, {fault:?}: {outcome:?}");
        }
    }
}
