//! Selection of allocators and delegates, and response timeouts.

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

/// Records timeouts until the host is skipped.
fn skip(directory: &mut Directory, host: SocketAddr, now: Instant) {
    directory.record_timeout(host, now);
    directory.record_timeout(host, now);
}

#[test]
fn all_hosts_select_the_same_allocator() {
    let now = Instant::now();
    let mut other = Directory::default();
    other.set_hosts(vec![peer(3, "north"), peer(1, "north"), peer(2, "north")]);

    let allocator = directory().allocator("north", now);

    assert!(allocator.is_some());
    assert_eq!(allocator, other.allocator("north", now));
}

#[test]
fn an_unresponsive_host_is_skipped_and_probed_later() {
    let now = Instant::now();
    let mut directory = directory();
    let first = directory.allocator("north", now).unwrap();

    let skipped_at_first = directory.record_timeout(first, now);
    let allocator = directory.allocator("north", now).unwrap();
    let skipped = directory.record_timeout(first, now);
    let skipped_again = directory.record_timeout(first, now);
    let second = directory.allocator("north", now).unwrap();
    let later = now + Duration::from_secs(2);

    assert!(!skipped_at_first);
    assert_eq!(allocator, first);
    assert!(skipped);
    assert!(!skipped_again);
    assert_ne!(first, second);
    assert!(directory.hosts_to_probe(now).is_empty());
    assert_eq!(directory.hosts_to_probe(later).as_slice(), [first]);
}

/// On lossy links, skipping allocators after single timeouts makes several of them grant without knowledge of each other.
#[test]
fn isolated_timeouts_do_not_move_the_allocator() {
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
fn the_response_timeout_grows_with_the_round_trip_time() {
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
fn the_response_timeout_is_bounded() {
    let now = Instant::now();
    let mut directory = directory();
    let host = peer(1, "north").address;
    directory.record_heartbeat_sent(host, now);

    directory.record_heartbeat_reply(host, now + Duration::from_secs(2));

    assert_eq!(directory.response_timeout(host), Duration::from_millis(150));
}

#[test]
fn a_host_that_sends_a_datagram_is_no_longer_skipped() {
    let now = Instant::now();
    let mut directory = directory();
    let first = directory.allocator("north", now).unwrap();
    skip(&mut directory, first, now);

    let was_skipped = directory.record_datagram(first);

    assert!(was_skipped);
    assert_eq!(directory.allocator("north", now), Some(first));
}

#[test]
fn an_unresponsive_host_is_skipped_for_longer_each_time() {
    let mut now = Instant::now();
    let mut directory = directory();
    let first = directory.allocator("north", now).unwrap();
    skip(&mut directory, first, now);
    now += Duration::from_secs(2);

    // No datagram arrived since, so one more timeout is enough.
    directory.record_timeout(first, now);

    assert!(
        directory
            .hosts_to_probe(now + Duration::from_secs(3))
            .is_empty()
    );
    assert_eq!(
        directory.hosts_to_probe(now + Duration::from_secs(4)).len(),
        1
    );
}

#[test]
fn the_own_failure_domain_comes_first_and_the_others_rotate() {
    let directory = directory();

    let one = directory.failure_domains("north", 0);
    let other = directory.failure_domains("north", 1);

    assert_eq!(one.as_slice(), ["north", "south", "west"]);
    assert_eq!(other.as_slice(), ["north", "west", "south"]);
}

#[test]
fn a_failure_domain_without_responsive_hosts_has_no_allocator() {
    let now = Instant::now();
    let mut directory = directory();
    skip(&mut directory, peer(4, "south").address, now);

    let allocator = directory.allocator("south", now);

    assert_eq!(allocator, None);
}

#[test]
fn there_is_one_allocator_per_failure_domain() {
    let now = Instant::now();
    let mut directory = directory();
    let before = directory.allocators(now);

    skip(&mut directory, peer(5, "west").address, now);
    let after = directory.allocators(now);

    assert_eq!(before.len(), 3);
    assert_eq!(after.as_slice(), &before[..2]);
}

/// A weak host that is the allocator of many upstreams responds too late and is taken for unresponsive.
#[test]
fn the_hosts_with_the_most_capacity_are_delegates() {
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
fn hosts_of_similar_capacity_rank_equally() {
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
fn unresponsive_delegates_are_replaced() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.set_hosts((1..=9).map(|index| peer(index, "north")).collect());
    let before: Vec<SocketAddr> = addresses(&directory, now);

    for host in &before {
        skip(&mut directory, *host, now);
    }

    let after = addresses(&directory, now);
    assert_eq!((before.len(), after.len()), (4, 4));
    assert!(before.iter().all(|host| !after.contains(host)));
}

fn addresses(directory: &Directory, now: Instant) -> Vec<SocketAddr> {
    let delegates = directory.delegates("north", now);
    delegates.iter().map(|peer| peer.address).collect()
}

/// Hosts notice the loss of an allocator at different times, so its replacement must receive counts from the others
/// before.
#[test]
fn the_replacement_of_a_lost_allocator_already_receives_counts() {
    let now = Instant::now();
    let unaware = directory();
    let mut aware = directory();
    let lost = aware.allocator("north", now).unwrap();

    skip(&mut aware, lost, now);

    let next = aware.allocator("north", now).unwrap();
    assert_ne!(next, lost);
    assert!(unaware.counters(now).contains(&next));
    let south = aware.allocator("south", now).unwrap();
    assert!(aware.counters(now).contains(&south));
}
