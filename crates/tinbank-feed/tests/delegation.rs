//! When a host becomes a delegate, or stops being one.

use std::time::{Duration, Instant};

use tinbank_feed::{Delegation, delegation::DELAY};
use yare::parameterized;

#[parameterized(
    delegate = { true },
    follower = { false },
)]
fn the_first_list_sets_the_role_without_delay(is_selected: bool) {
    let mut delegation = Delegation::default();

    delegation.initialize(is_selected);

    assert_eq!(delegation.is_delegate(), is_selected);
}

#[test]
fn a_short_change_of_the_selection_does_not_change_the_role() {
    let mut now = Instant::now();
    let mut delegation = Delegation::default();
    delegation.initialize(false);

    for _ in 0..10 {
        assert!(!delegation.update(true, now));
        now += DELAY - Duration::from_millis(1);
        assert!(!delegation.update(true, now));
        assert!(!delegation.update(false, now));
    }

    assert!(!delegation.is_delegate());
}

#[parameterized(
    becomes_delegate = { true },
    stops_being_delegate = { false },
)]
fn a_lasting_change_of_the_selection_changes_the_role(is_selected: bool) {
    let now = Instant::now();
    let mut delegation = Delegation::default();
    delegation.initialize(!is_selected);
    delegation.update(is_selected, now);

    let changed = delegation.update(is_selected, now + DELAY);

    assert!(changed);
    assert_eq!(delegation.is_delegate(), is_selected);
    assert!(!delegation.update(is_selected, now + DELAY * 2));
}

/// Before it reads the list of hosts, each host would find itself the only candidate.
#[test]
fn a_host_without_a_list_does_not_become_a_delegate() {
    let now = Instant::now();
    let mut delegation = Delegation::default();

    delegation.update(true, now);
    delegation.update(true, now + DELAY);

    assert!(!delegation.is_delegate());
}
