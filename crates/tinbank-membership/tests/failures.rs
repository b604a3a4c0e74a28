//! Failures of processes, failure domains and the network.

mod network;

use std::time::Duration;

use network::{DOMAINS, Network, address, domain, processes};
use tinbank_base::{
    frame::heartbeat::{Health, Leaving, Phase},
    id::{Process, Role},
};
use tinbank_membership::state::Event;

const HOSTS: u32 = 12;

fn online(host: u32) -> Process {
    Process {
        host,
        role: Role::Online,
    }
}

#[test]
fn processes_discover_each_other_through_one_seed() {
    let network = Network::joined(HOSTS, 1);

    let view = network.view(online(3));
    assert_eq!(view.members.len(), 36);
    assert_eq!(view.ready(Role::Batch).count(), 12);
}

#[test]
fn only_a_killed_process_is_declared_dead() {
    let mut network = Network::joined(HOSTS, 2);

    network.kill(online(5));
    let took = network.until(Duration::from_secs(15), Network::agree);
    network.run(Duration::from_secs(30));

    assert!(
        took > Duration::from_secs(2),
        "suspected before it was declared dead"
    );
    assert!(network.agree());
    assert!(network.died.iter().all(|(_, dead)| *dead == online(5)));
}

#[yare::parameterized(
    a = { 0, 3 },
    b = { 1, 4 },
    c = { 2, 5 },
)]
fn a_killed_failure_domain_is_declared_dead_by_all_others(lost: usize, seed: u64) {
    let mut network = Network::joined(HOSTS, seed);

    for process in processes(HOSTS) {
        if domain(process) == lost {
            network.kill(process);
        }
    }
    network.until(Duration::from_secs(20), Network::agree);

    assert!(network.died.iter().all(|(_, dead)| domain(*dead) == lost));
    let view = network.view(network.up()[0]);
    let live = view.members.iter().filter(|m| m.health == Health::Alive);
    assert!(live.count() == 24, "{}", DOMAINS[lost]);
}

#[yare::parameterized(
    seconds = { 5, 11 },
    a_minute = { 60, 12 },
    ten_minutes = { 600, 13 },
)]
fn a_partition_between_failure_domains_heals(seconds: u64, seed: u64) {
    let mut network = Network::joined(HOSTS, seed);

    network.isolated = Some(1);
    network.run(Duration::from_secs(seconds));
    network.isolated = None;

    network.until(Duration::from_secs(30), Network::agree);
}

#[yare::parameterized(
    one = { 21 },
    two = { 22 },
    three = { 23 },
)]
fn ten_percent_frame_loss_declares_no_process_dead(seed: u64) {
    let mut network = Network::joined(HOSTS, seed);

    network.loss = 10;
    network.run(Duration::from_secs(600));

    assert_eq!(network.died, []);
}

#[test]
fn a_killed_process_is_declared_dead_despite_ten_percent_frame_loss() {
    let mut network = Network::joined(HOSTS, 24);
    network.loss = 10;

    network.kill(online(5));
    network.run(Duration::from_secs(30));

    let dead = |view: tinbank_base::peer::Members| {
        view.get(online(5)).map(|member| member.health) == Some(Health::Dead)
    };
    assert!(network.up().into_iter().all(|up| dead(network.view(up))));
    assert!(network.died.iter().all(|(_, dead)| *dead == online(5)));
}

#[test]
fn a_resumed_process_rejoins_and_declares_no_process_dead() {
    let mut network = Network::joined(HOSTS, 31);

    network.pause(online(2));
    network.run(Duration::from_secs(30));
    assert!(!network.alive(online(1)).contains(&online(2)));
    network.resume(online(2));
    network.until(Duration::from_secs(20), Network::agree);

    assert!(network.died.iter().all(|(by, _)| *by != online(2)));
}

#[test]
fn a_restarted_process_is_alive_with_its_new_incarnation() {
    let mut network = Network::joined(HOSTS, 32);
    let before = network.view(online(1)).get(online(2)).unwrap().writer;

    network.start(online(2));
    network.until(Duration::from_secs(10), |network| {
        network.up().iter().all(|&process| {
            let member = network.view(process).get(online(2)).unwrap().clone();
            member.writer.incarnation > before.incarnation && member.health == Health::Alive
        })
    });

    assert_eq!(network.died, []);
}

#[yare::parameterized(
    today = { 12, 0 },
    today_with_loss = { 12, 10 },
    target = { 370, 0 },
)]
fn leaving_upstreams_and_processes_are_known_everywhere_within_two_seconds(hosts: u32, loss: u32) {
    let mut network = Network::listed(hosts, 41);
    network.run(Duration::from_secs(5));
    network.loss = loss;
    let leaving = Leaving {
        upstream: 7,
        list: 3,
    };

    network.event(online(4), Event::UpstreamLeaving(leaving));
    network.event(online(6), Event::Phase(Phase::Leaving));
    network.run(Duration::from_secs(2));

    for process in network.up() {
        assert_eq!(network.state(process).leaving(), [leaving], "{process}");
        let view = network.view(process);
        assert_eq!(view.get(online(6)).unwrap().health, Health::Leaving);
    }
}

#[test]
fn a_leaving_process_is_not_declared_dead_until_it_stops() {
    let mut network = Network::joined(HOSTS, 42);
    network.loss = 10;

    network.event(online(6), Event::Phase(Phase::Leaving));
    network.run(Duration::from_secs(300));
    assert_eq!(network.died, []);

    network.kill(online(6));
    network.run(Duration::from_secs(60));
    let member = network.view(online(1)).get(online(6)).cloned();
    assert_eq!(member.map(|member| member.health), Some(Health::Dead));
}

/// Guards against processes that start together and hear of each other first: they have somebody to probe, and stayed apart from
/// the rest until the next regular probe of a seed.
#[test]
fn processes_that_hear_of_each_other_first_still_join_their_seeds() {
    let limit = Duration::from_secs(5);
    let slowest = (0..20).map(|seed| {
        let mut network = Network::new(seed);
        network.seeds = vec![address(online(1))];
        network.start(online(1));
        network.start(online(2));
        network.seeds = vec![address(online(2))];
        network.start(online(3));
        network.until(2 * limit, |network| {
            network.view(online(1)).members.len() == 3
        })
    });

    assert!(slowest.max() <= Some(limit));
}
