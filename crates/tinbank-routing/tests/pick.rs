//! Choice of an upstream, compared with a reference implementation and by properties.

use proptest::prelude::*;
use tinbank_base::id;
use tinbank_routing::pick::{
    self, AFFINITY, Candidate, FAR, LAST_RESORT, LEAST_LOADED, LOAD_BOUND_PERCENT,
};
use tinbank_test_support::property;

fn idle(upstream: id::Upstream) -> Candidate {
    Candidate {
        upstream,
        own: 0,
        others: 0,
        waiting: 0,
        slots: 8,
        near: true,
        loaded: true,
        ejected: false,
    }
}

fn fleet(size: u32) -> Vec<Candidate> {
    (1..=size).map(idle).collect()
}

/// Straightforward implementation of the rule in `docs/design/routing.md`.
fn reference_choice(candidates: &[Candidate], prefix: u64) -> Option<id::Upstream> {
    let usable: Vec<Candidate> = candidates
        .iter()
        .copied()
        .filter(|c| !c.ejected && c.loaded)
        .collect();
    let unknown: Vec<Candidate> = candidates.iter().copied().filter(|c| !c.ejected).collect();
    let tier = [usable, unknown, candidates.to_vec()]
        .into_iter()
        .find(|tier| !tier.is_empty())?;
    let mut ranked = tier.clone();
    ranked.sort_by_key(|c| {
        (
            std::cmp::Reverse(pick::weight(prefix, c.upstream)),
            c.upstream,
        )
    });
    for near in [true, false] {
        let group: Vec<&Candidate> = tier.iter().filter(|c| c.near == near).collect();
        if group.is_empty() {
            continue;
        }
        let total: u64 = group.iter().map(|c| u64::from(c.own)).sum::<u64>() + 1;
        let has_room = |c: &&Candidate| {
            let load = u64::from(c.own) + u64::from(c.others);
            let full = c.waiting > 0 || (c.slots > 0 && load >= u64::from(c.slots));
            // Including this request, at most the bound, rounded up.
            let with_this = u64::from(c.own) * 100 * group.len() as u64;
            c.near == near && !full && with_this < total * u64::from(LOAD_BOUND_PERCENT)
        };
        if let Some(first) = ranked.iter().find(has_room) {
            return Some(first.upstream);
        }
    }
    let per_slot = |count: u64, c: &Candidate| count * 1_000 / u64::from(c.slots.max(1));
    let least = ranked.iter().min_by_key(|c| {
        let others = u64::from(c.others) + u64::from(c.waiting);
        (per_slot(c.own.into(), c), per_slot(others, c), !c.near)
    });
    least.map(|c| c.upstream)
}

prop_compose! {
    fn candidate(upstream: id::Upstream)(
        own in 0_u32..6,
        others in 0_u32..10,
        waiting in prop_oneof![4 => Just(0_u32), 1 => 1_u32..4],
        slots in prop_oneof![Just(0_u32), Just(4), Just(8)],
        near: bool,
        loaded in prop::bool::weighted(0.8),
        ejected in prop::bool::weighted(0.2),
    ) -> Candidate {
        Candidate { upstream, own, others, waiting, slots, near, loaded, ejected }
    }
}

fn candidates() -> impl Strategy<Value = Vec<Candidate>> {
    (0_u32..12).prop_flat_map(|size| (1..=size).map(candidate).collect::<Vec<_>>())
}

proptest! {
    #![proptest_config(property::config(2_000))]

    #[test]
    fn choice_matches_reference_implementation(fleet in candidates(), prefix: u64) {
        let chosen = pick::choose(&fleet, prefix).map(|pick| fleet[pick.index].upstream);

        prop_assert_eq!(chosen, reference_choice(&fleet, prefix));
    }

    #[test]
    fn ejected_upstream_is_chosen_only_if_all_are_ejected(fleet in candidates(), prefix: u64) {
        if let Some(pick) = pick::choose(&fleet, prefix) && fleet[pick.index].ejected {
            prop_assert!(fleet.iter().all(|candidate| candidate.ejected));
            prop_assert_eq!(pick.reason, LAST_RESORT);
        }
    }

    #[test]
    fn loss_of_another_upstream_keeps_prefix_assignment(size in 2_u32..20, lost in 1_u32..20, prefix: u64) {
        let whole = fleet(size);
        let rest: Vec<Candidate> = whole.iter().copied().filter(|c| c.upstream != lost).collect();
        let before = whole[pick::choose(&whole, prefix).unwrap().index].upstream;
        let after = rest[pick::choose(&rest, prefix).unwrap().index].upstream;

        prop_assert!(before == lost || before == after);
    }

    #[test]
    fn own_counts_stay_within_load_bound(size in 1_u32..12, prefix: u64, requests in 1_u32..60) {
        let mut fleet = fleet(size);
        for candidate in &mut fleet {
            candidate.slots = 0;
        }
        for _ in 0..requests {
            let pick = pick::choose(&fleet, prefix).unwrap();
            fleet[pick.index].own += 1;
        }

        let most = fleet.iter().map(|candidate| candidate.own).max().unwrap();
        let bound = (requests * LOAD_BOUND_PERCENT).div_ceil(size * 100);
        prop_assert!(most <= bound, "{most} of {requests} on {size}");
    }
}

#[test]
fn same_prefix_gets_same_upstream() {
    let fleet = fleet(12);

    let first = pick::choose(&fleet, 42).unwrap();
    let second = pick::choose(&fleet, 42).unwrap();

    assert_eq!(first, second);
    assert_eq!(first.reason, AFFINITY);
}

#[test]
fn other_failure_domain_is_chosen_only_when_own_is_full() {
    let mut fleet = fleet(4);
    fleet[2].near = false;
    fleet[3].near = false;

    let near = pick::choose(&fleet, 1).unwrap();
    fleet[0].others = 8;
    fleet[1].waiting = 1;
    let far = pick::choose(&fleet, 1).unwrap();

    assert!(fleet[near.index].near);
    assert!(!fleet[far.index].near);
    assert_eq!(far.reason, FAR);
}

#[test]
fn own_counts_outweigh_stale_reports() {
    let mut fleet = fleet(2);
    // The outdated report shows it idle, though all requests of this process are there.
    fleet[0].own = 9;
    fleet[0].slots = 8;
    fleet[1].others = 8;

    let pick = pick::choose(&fleet, 5).unwrap();

    assert_eq!(fleet[pick.index].upstream, 2);
    assert_eq!(pick.reason, LEAST_LOADED);
}
