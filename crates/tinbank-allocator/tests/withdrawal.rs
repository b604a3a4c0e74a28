//! Permissions of overloaded hosts to withdraw from the load balancer.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tinbank_allocator::withdrawal::{PERMISSION_LIFETIME, Withdrawals};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn host(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7000))
}

/// Lets all hosts report at each heartbeat. Returns how many of them may withdraw.
fn permitted(hosts: usize, heartbeats: u32, start: Instant) -> usize {
    let mut withdrawals = Withdrawals::default();
    for beat in 0..heartbeats {
        let now = start + SECOND * beat;
        for index in 0..hosts {
            let may = withdrawals.may_withdraw(host(index), now);
            withdrawals.record(host(index), may, hosts, now);
        }
    }
    let now = start + SECOND * (heartbeats - 1);
    let hosts = (0..hosts).filter(|it| withdrawals.may_withdraw(host(*it), now));
    hosts.count()
}

/// If all hosts withdrew at once, the load balancer would use all of them again, and callers would be refused until then.
#[parameterized(
    many = { 29, 6 },
    twenty = { 20, 4 },
    six = { 6, 2 },
    three = { 3, 1 },
    too_few = { 2, 0 },
)]
fn about_a_fifth_of_the_hosts_may_withdraw_at_once(hosts: usize, expected: usize) {
    assert_eq!(permitted(hosts, 12, Instant::now()), expected);
}

/// Its predecessor may have permitted a fifth of the hosts already.
#[test]
fn a_new_allocator_permits_none_before_all_hosts_have_reported() {
    let start = Instant::now();

    assert_eq!(permitted(20, 2, start), 0);
}

#[test]
fn hosts_withdrawn_by_permission_of_another_allocator_count() {
    let now = Instant::now();
    let mut withdrawals = Withdrawals::default();
    for index in 0..4 {
        withdrawals.record(host(index), true, 20, now);
    }

    withdrawals.record(host(9), false, 20, now + 2 * SECOND);

    assert!(withdrawals.may_withdraw(host(0), now + 2 * SECOND));
    assert!(!withdrawals.may_withdraw(host(9), now + 2 * SECOND));
}

/// A host that no longer gets permissions returns before another one may take its place.
#[test]
fn the_place_of_a_host_is_free_after_its_permission_has_expired() {
    let start = Instant::now();
    let mut withdrawals = Withdrawals::default();
    withdrawals.record(host(0), true, 3, start);
    let at = |after: Duration| start + after;

    withdrawals.record(host(1), false, 3, at(PERMISSION_LIFETIME));
    let early = withdrawals.may_withdraw(host(1), at(PERMISSION_LIFETIME));
    withdrawals.record(host(1), false, 3, at(4 * SECOND));

    assert!(!early);
    assert!(withdrawals.may_withdraw(host(1), at(4 * SECOND)));
}
