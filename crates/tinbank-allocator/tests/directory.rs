//! Which host is asked.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::{
    Directory,
    directory::{Capacity, Peer},
};

const STRONG: Capacity = Capacity {
    cpu_millis: 500,
    memory_mb: 512,
    link_mbps: 600,
};
const WEAK: Capacity = Capacity {
    cpu_millis: 120,
    memory_mb: 160,
    link_mbps: 30,
};

fn peer(index: u8, failure_domain: &str) -> Peer {
    peer_with(index, failure_domain, STRONG)
}

fn peer_with(index: u8, failure_domain: &str, capacity: Capacity) -> Peer {
    Peer {
        address: SocketAddr::from(([10, 0, 0, index], 7000)),
        callers: SocketAddr::from(([10, 0, 0, index], 80)),
        failure_domain: failure_domain.to_owned(),
        capacity,
    }
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    directory.set_hosts(vec![
        peer(1, "north"),
        peer(2, "north"),
        peer(3, "north"),
        peer(4, "south"),
        peer(5, "west"),
    ]);
    directory
}

/// Misses answers of a host until it is passed over.
fn silence(directory: &mut Directory, host: SocketAddr, now: Instant) {
    directory.record_timeout(host, now);
    directory.record_timeout(host, now);
}

#[test]
fn all_hosts_ask_the_same_one() {
    let now = Instant::now();
    let mut other = Directory::default();
    other.set_hosts(vec![peer(3, "north"), peer(1, "north"), peer(2, "north")]);

    let asked = directory().allocator("north", now);

    assert!(asked.is_some());
    assert_eq!(asked, other.allocator("north", now));
}

#[test]
fn a_silent_host_is_passed_over_and_asked_again_later() {
    let now = Instant::now();
    let mut directory = directory();
    let first = directory.allocator("north", now).unwrap();

    let at_first = directory.record_timeout(first, now);
    let asked = directory.allocator("north", now).unwrap();
    let moved = directory.record_timeout(first, now);
    let moved_again = directory.record_timeout(first, now);
    let second = directory.allocator("north", now).unwrap();
    let later = now + Duration::from_secs(2);

    assert!(!at_first);
    assert_eq!(asked, first);
    assert!(moved);
    assert!(!moved_again);
    assert_ne!(first, second);
    assert!(directory.hosts_to_probe(now).is_empty());
    assert_eq!(directory.hosts_to_probe(later).as_slice(), [first]);
}

/// With one packet in forty lost, hosts passed over allocators some forty times a second, and each of
/// them dealt without knowing of the others' leases.
#[test]
fn single_answers_that_are_missing_move_no_allocator() {
    let now = Instant::now();
    let mut directory = directory();
    let first = directory.allocator("north", now).unwrap();

    for _ in 0..20 {
        assert!(!directory.record_timeout(first, now));
        assert!(!directory.record_datagram(first));
    }

    assert_eq!(directory.allocator("north", now), Some(first));
}

#[test]
fn a_host_far_away_is_waited_for_longer() {
    let mut now = Instant::now();
    let mut directory = directory();
    let (near, far) = (peer(1, "north").address, peer(4, "south").address);

    for _ in 0..20 {
        directory.record_heartbeat_sent(near, now);
        directory.record_heartbeat_sent(far, now);
        directory.record_heartbeat_reply(near, now + Duration::from_millis(2));
        directory.record_heartbeat_reply(far, now + Duration::from_millis(30));
        now += Duration::from_secs(1);
    }

    let millis = |host| directory.response_timeout(host).as_millis();
    assert_eq!((millis(near), millis(far)), (25, 90));
    assert_eq!(millis(peer(5, "west").address), 25);
}

#[test]
fn a_late_answer_makes_nobody_wait_for_long() {
    let now = Instant::now();
    let mut directory = directory();
    let host = peer(1, "north").address;
    directory.record_heartbeat_sent(host, now);

    directory.record_heartbeat_reply(host, now + Duration::from_secs(2));

    assert_eq!(directory.response_timeout(host), Duration::from_millis(150));
}

#[test]
fn a_host_that_is_heard_counts_at_once() {
    let now = Instant::now();
    let mut directory = directory();
    let first = directory.allocator("north", now).unwrap();
    silence(&mut directory, first, now);

    let was_silent = directory.record_datagram(first);

    assert!(was_silent);
    assert_eq!(directory.allocator("north", now), Some(first));
}

#[test]
fn each_silence_is_passed_over_for_longer() {
    let mut now = Instant::now();
    let mut directory = directory();
    let first = directory.allocator("north", now).unwrap();
    silence(&mut directory, first, now);
    now += Duration::from_secs(2);

    // It was not heard since, so one more is enough.
    directory.record_timeout(first, now);

    assert!(directory.hosts_to_probe(now + Duration::from_secs(3)).is_empty());
    assert_eq!(directory.hosts_to_probe(now + Duration::from_secs(4)).len(), 1);
}

#[test]
fn the_own_failure_domain_comes_first_and_the_others_in_turn() {
    let directory = directory();

    let one = directory.failure_domains("north", 0);
    let other = directory.failure_domains("north", 1);

    assert_eq!(one.as_slice(), ["north", "south", "west"]);
    assert_eq!(other.as_slice(), ["north", "west", "south"]);
}

#[test]
fn a_failure_domain_without_a_host_that_answers_has_no_allocator() {
    let now = Instant::now();
    let mut directory = directory();
    silence(&mut directory, peer(4, "south").address, now);

    let asked = directory.allocator("south", now);

    assert_eq!(asked, None);
}

#[test]
fn the_allocators_are_one_of_each_failure_domain() {
    let now = Instant::now();
    let mut directory = directory();
    let before = directory.allocators(now);

    silence(&mut directory, peer(5, "west").address, now);
    let after = directory.allocators(now);

    assert_eq!(before.len(), 3);
    assert_eq!(after.as_slice(), &before[..2]);
}

/// A weak host that was the allocator of 31 upstreams answered so late that all hosts took it for silent.
#[test]
fn hosts_that_can_carry_most_act_for_their_failure_domain() {
    let now = Instant::now();
    let weak = (1..=40).map(|index| peer_with(index, "north", WEAK));
    let strong = (41..=43).map(|index| peer(index, "north"));
    let mut directory = Directory::default();
    directory.set_hosts(weak.chain(strong).collect());

    let delegates = directory.delegates("north", now);

    let capacities: Vec<Capacity> = delegates.iter().map(|it| it.capacity).collect();
    assert_eq!(capacities, [STRONG, STRONG, STRONG, WEAK]);
    assert_eq!(
        directory.allocator("north", now),
        Some(delegates[0].address)
    );
}

#[test]
fn hosts_that_differ_little_are_equals() {
    let now = Instant::now();
    let mut first = Vec::new();
    for index in 1..=20 {
        let mut directory = Directory::default();
        let smaller = Capacity {
            memory_mb: 300,
            ..STRONG
        };
        directory.set_hosts(vec![
            peer_with(index, "north", smaller),
            peer(index + 100, "north"),
        ]);
        first.push(directory.delegates("north", now)[0].capacity == STRONG);
    }

    assert!(first.contains(&true));
    assert!(first.contains(&false));
}

#[test]
fn the_next_hosts_take_over_from_delegates_that_are_silent() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.set_hosts((1..=9).map(|index| peer(index, "north")).collect());
    let before: Vec<SocketAddr> = addresses(&directory, now);

    for host in &before {
        silence(&mut directory, *host, now);
    }

    let after = addresses(&directory, now);
    assert_eq!((before.len(), after.len()), (4, 4));
    assert!(before.iter().all(|host| !after.contains(host)));
}

fn addresses(directory: &Directory, now: Instant) -> Vec<SocketAddr> {
    let delegates = directory.delegates("north", now);
    delegates.iter().map(|peer| peer.address).collect()
}

/// Hosts notice each for itself that an allocator is lost. The one that takes over has to be told what customers use by those
/// that have not noticed yet.
#[test]
fn the_host_that_takes_over_is_told_by_those_that_have_not_noticed() {
    let now = Instant::now();
    let unaware = directory();
    let mut aware = directory();
    let lost = aware.allocator("north", now).unwrap();

    silence(&mut aware, lost, now);

    let next = aware.allocator("north", now).unwrap();
    assert_ne!(next, lost);
    assert!(unaware.counters(now).contains(&next));
    let south = aware.allocator("south", now).unwrap();
    assert!(aware.counters(now).contains(&south));
}
