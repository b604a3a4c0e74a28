//! The list of upstreams after outages of the store, at hosts that read it, follow delegates, restart and change their scope.

mod fleet;

use std::time::Duration;

use fleet::{ALLOCATOR, Fleet, Role, Step, UPSTREAMS};
use proptest::prelude::*;
use tinbank_test_support::property;
use yare::parameterized;

use Step::{
    Ask, BeginRead, EndRead, Follow, Freeze, Outage, Refuse, Report, Restart, Resume, Rounds,
    SetRole, Stall, Trim, Wait,
};

/// Upper bound of the time from the store's return until all hosts have the true list: lapsed entries are back within 2 s, the
/// first read of a host may be as late as that, and missing entries expire after the renewal time and one read more.
const RECOVERY_TIME: Duration = Duration::from_millis(2_000 + 2_500 + 1_000);

fn play(steps: &[Step]) -> Fleet {
    let mut fleet = Fleet::new();
    for step in steps {
        fleet.play(*step);
    }
    fleet
}

/// Guards against a delegate for which an upstream never changed: it sends no change of it, but the position after its return.
#[test]
fn a_follower_that_changes_its_delegate_ends_with_the_list_of_the_new_one() {
    let mut fleet = play(&[
        SetRole(0, Role::Delegate),
        SetRole(1, Role::Delegate),
        SetRole(2, Role::Follower),
    ]);
    fleet.settle();
    // Delegate 0 reads before and after the upstream leaves, and delegate 1 only after its return.
    for step in [Stall(0), BeginRead(0), EndRead(0), Follow(2, 0)] {
        fleet.play(step);
    }
    let while_gone = fleet.serving(2);
    for step in [Resume(0), BeginRead(1), EndRead(1), Follow(2, 1)] {
        fleet.play(step);
    }

    assert_eq!(while_gone, ["u1"]);
    assert_eq!(fleet.serving(2), ["u0", "u1"]);
}

/// Guards against the result of a read that began before an update was applied, and takes the list back.
#[test]
fn a_read_that_ends_after_an_update_of_a_delegate_is_discarded() {
    let mut fleet = play(&[SetRole(0, Role::Delegate), SetRole(1, Role::Delegate)]);
    fleet.settle();
    for step in [BeginRead(1), Stall(0), BeginRead(0), EndRead(0)] {
        fleet.play(step);
    }
    fleet.play(Follow(1, 0));
    let position = fleet.position(1);
    fleet.play(EndRead(1));

    assert_eq!(fleet.position(1), position);
    assert!(!fleet.serving(1).contains(&"u0".to_owned()));
}

#[parameterized(
    follower_reads_the_store = { &[SetRole(2, Role::Reader), Outage(0b1111), BeginRead(2), EndRead(2)] },
    reader_follows_again = { &[SetRole(2, Role::Reader), Outage(0b1111), BeginRead(2), EndRead(2), SetRole(2, Role::Follower), Follow(2, 0)] },
    delegate_restarts_in_the_outage = { &[Outage(0b1111), Restart(0), BeginRead(0), EndRead(0), Follow(2, 0)] },
    delegate_has_not_read_after_its_renewal_time = { &[Outage(0b1111), Restart(0), BeginRead(0), EndRead(0), Wait(750), BeginRead(0), EndRead(0), Wait(1_680), Follow(2, 0)] },
)]
fn upstreams_whose_entries_lapsed_are_never_gone(steps: &[Step]) {
    let mut fleet = play(&[SetRole(0, Role::Delegate), SetRole(2, Role::Follower)]);
    fleet.settle();

    for step in steps {
        fleet.play(*step);
    }

    assert_eq!(fleet.wrongly_gone(), []);
    assert_eq!(fleet.serving(2), ["u0", "u1"]);
}

/// Longest time until a removed upstream has to be left alone: the bound of the platform.
const MAX_LEAVING_TIME: Duration = Duration::from_secs(2);

/// Guards against a host that forgets its own contact with the store when it receives a list.
#[test]
fn a_reader_that_receives_a_list_leaves_a_removed_upstream_alone_in_time() {
    let mut fleet = play(&[SetRole(0, Role::Delegate), SetRole(1, Role::Reader)]);
    fleet.settle();
    fleet.play(Follow(1, 0));

    fleet.play(Stall(0));
    let removed_at = fleet.now();
    while fleet.now() < removed_at + MAX_LEAVING_TIME {
        fleet.run_normally();
    }

    assert_eq!(fleet.serving(1), ["u1"]);
}

/// Guards against a host that was suspended, with its clock, during an outage: the reads before and after seem to follow each other
/// without a gap, and lapsed entries count as removed.
#[test]
fn entries_that_lapsed_while_the_host_was_suspended_are_missing() {
    let mut fleet = play(&[SetRole(1, Role::Delegate)]);
    fleet.settle();

    fleet.suspend_in_outage(1, 0b0011);
    for step in [BeginRead(1), EndRead(1)] {
        fleet.play(step);
    }

    assert_eq!(fleet.wrongly_gone(), []);
    assert_eq!(fleet.serving(1), ["u0", "u1"]);
}

fn step() -> impl Strategy<Value = Step> {
    let host = || 0..fleet::HOSTS;
    let role = prop_oneof![
        Just(Role::Follower),
        Just(Role::Reader),
        Just(Role::Delegate)
    ];
    prop_oneof![
        2 => (0u8..16).prop_map(Outage),
        2 => (0..UPSTREAMS).prop_map(Stall),
        2 => (0..UPSTREAMS).prop_map(Resume),
        4 => host().prop_map(BeginRead),
        4 => host().prop_map(EndRead),
        6 => (host(), host()).prop_map(|(host, delegate)| Follow(host, delegate)),
        2 => host().prop_map(Restart),
        4 => (host(), role).prop_map(|(host, role)| SetRole(host, role)),
        1 => (50u64..1_500).prop_map(Wait),
        1 => host().prop_map(Trim),
        8 => (1u8..8).prop_map(Rounds),
        4 => host().prop_map(Report),
        4 => (host(), host()).prop_map(|(host, other)| Ask(host, other)),
        2 => (0u8..16, 1u8..8).prop_map(|(mask, rounds)| Refuse(mask, rounds)),
        2 => (0u8..16, 1u8..8).prop_map(|(mask, rounds)| Freeze(mask, rounds)),
    ]
}

/// Guards against hosts that take a refusal or a pause of their own for an outage of the store, and keep an upstream as missing
/// that was removed right after it. Host 0 has an unbroken view of the store, and the others have none at times.
#[parameterized(
    reader_was_refused = { &[SetRole(1, Role::Reader), Refuse(0b0010, 6)] },
    reader_was_frozen = { &[SetRole(1, Role::Reader), Freeze(0b0010, 8)] },
    all_other_readers_were_refused = { &[SetRole(1, Role::Delegate), SetRole(2, Role::Reader), SetRole(3, Role::Delegate), Refuse(0b1110, 6)] },
    delegate_of_others_was_refused = { &[SetRole(1, Role::Delegate), Follow(2, 1), Follow(3, 1), Refuse(0b0010, 6)] },
    follower_begins_to_read = { &[SetRole(1, Role::Delegate), Rounds(1)] },
    refused_host_follows_and_reads_again = { &[SetRole(1, Role::Delegate), Refuse(0b0010, 4), Follow(1, 0), Refuse(0b0010, 1), Follow(1, 0), Rounds(1)] },
    restarted_reader = { &[SetRole(1, Role::Delegate), Rounds(8), Restart(1), Rounds(1)] },
    refused_one_after_the_other = { &[SetRole(1, Role::Delegate), SetRole(2, Role::Delegate), Rounds(8), Refuse(0b0010, 6), Refuse(0b0100, 6)] },
)]
fn a_removed_upstream_is_left_alone_in_time_after_trouble_of_single_hosts(steps: &[Step]) {
    let mut fleet = play(&[SetRole(0, Role::Delegate)]);
    fleet.settle();
    for step in steps {
        fleet.play(*step);
    }

    fleet.play(Stall(0));
    let removed_at = fleet.now();
    while fleet.now() < removed_at + MAX_LEAVING_TIME {
        fleet.run_normally();
    }

    for host in 0..fleet::HOSTS {
        assert_eq!(fleet.serving(host), ["u1"], "host {host}");
    }
}

/// Guards against an allocator that does not believe hosts with an unbroken view of the store, since its list is as new as theirs.
#[test]
fn an_allocator_that_was_refused_believes_reports_of_an_upstream_that_it_misses() {
    let mut fleet = play(&[
        SetRole(0, Role::Delegate),
        SetRole(ALLOCATOR, Role::Delegate),
    ]);
    fleet.settle();
    for step in [
        Refuse(1 << ALLOCATOR, 6),
        Stall(0),
        BeginRead(0),
        EndRead(0),
    ] {
        fleet.play(step);
    }
    for step in [BeginRead(ALLOCATOR), EndRead(ALLOCATOR)] {
        fleet.play(step);
    }
    let by_its_list = fleet.allocated();

    fleet.play(Report(0));
    let by_the_report = fleet.allocated();
    for step in [BeginRead(ALLOCATOR), EndRead(ALLOCATOR)] {
        fleet.play(step);
    }

    assert_eq!(by_its_list, ["u0", "u1"]);
    assert_eq!(by_the_report, ["u1"]);
    assert_eq!(fleet.allocated(), ["u1"]);
}

/// Guards against hosts that confirm each other's contact although the store was away for all.
#[test]
fn nobody_confirms_contact_after_an_outage() {
    let all = [0, 1, 2, 3].map(|host| SetRole(host, Role::Delegate));
    let mut fleet = play(&all);
    fleet.settle();

    fleet.play(Outage(0b1111));
    for _ in 0..3 {
        fleet.run_normally();
        for (host, other) in (0..4).flat_map(|host| (0..4).map(move |other| (host, other))) {
            fleet.play(Ask(host, other));
        }
        assert_eq!(fleet.wrongly_gone(), []);
    }
}

/// Returns trouble of hosts other than host 0, and changes of role. Hosts 0 and 1 are delegates.
fn trouble() -> impl Strategy<Value = Step> {
    let mask = || (0u8..8).prop_map(|mask| mask << 1);
    let role = prop_oneof![
        Just(Role::Follower),
        Just(Role::Reader),
        Just(Role::Delegate)
    ];
    prop_oneof![
        3 => (mask(), 1u8..8).prop_map(|(mask, rounds)| Refuse(mask, rounds)),
        3 => (mask(), 1u8..8).prop_map(|(mask, rounds)| Freeze(mask, rounds)),
        2 => (2..fleet::HOSTS, role).prop_map(|(host, role)| SetRole(host, role)),
        2 => (1..fleet::HOSTS, 0usize..2).prop_map(|(host, delegate)| Follow(host, delegate)),
        1 => (1..fleet::HOSTS).prop_map(Restart),
        1 => (1u8..8).prop_map(Rounds),
    ]
}

proptest! {
    #![proptest_config(property::config(2_000))]
    #[test]
    fn a_removed_upstream_is_left_alone_in_time_if_one_host_has_read_all_along(steps in prop::collection::vec(trouble(), 1..12)) {
        let mut fleet = play(&[SetRole(0, Role::Delegate), SetRole(1, Role::Delegate), Rounds(10)]);
        for step in steps {
            fleet.play(step);
        }
        fleet.play(Stall(0));
        let removed_at = fleet.now();
        while fleet.now() < removed_at + MAX_LEAVING_TIME {
            fleet.run_normally();
        }
        for host in 0..fleet::HOSTS {
            prop_assert_eq!(fleet.serving(host), ["u1"], "host {}", host);
        }
    }

    #[test]
    fn all_hosts_end_with_the_true_list(steps in prop::collection::vec(step(), 1..60)) {
        let mut fleet = play(&[SetRole(0, Role::Delegate), SetRole(1, Role::Delegate), Rounds(10)]);
        for step in steps {
            fleet.play(step);
            prop_assert_eq!(fleet.wrongly_gone(), [], "after {:?}", step);
            prop_assert_eq!(fleet.wrongly_removed(), [], "after {:?}", step);
        }
        let returned_at = fleet.end_outage();
        while fleet.now() < returned_at + RECOVERY_TIME {
            fleet.run_normally();
        }
        prop_assert_eq!(fleet.gone_although_serving(), []);
        for host in 0..fleet::HOSTS {
            prop_assert_eq!(fleet.serving(host), fleet.expected(), "host {}", host);
        }
    }
}
