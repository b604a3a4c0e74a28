//! Shedding under overload.

use std::collections::BTreeMap;

use proptest::prelude::*;
use tinbank_routing::shed::{self, ActiveRequests, CustomerLoad, Pressure};
use tinbank_test_support::property;
use yare::parameterized;

fn pressure(load: u64) -> Pressure {
    Pressure {
        capacity: 100,
        load,
    }
}

fn part(own: u64, total: u64) -> CustomerLoad {
    CustomerLoad {
        own,
        weight: 1,
        total,
        weights: 2,
    }
}

#[parameterized(
    idle = { 10, part(9, 10), true },
    busy = { 149, part(100, 100), true },
    overloaded_and_over_its_share = { 150, part(9, 10), false },
    overloaded_and_under_its_share = { 150, part(1, 10), true },
    full = { 300, part(0, 10), false },
)]
fn sheds(load: u64, part: CustomerLoad, admitted: bool) {
    assert_eq!(shed::admits(pressure(load), part), admitted);
}

#[test]
fn a_single_customer_is_not_over_its_share() {
    let part = CustomerLoad {
        own: 50,
        weight: 3,
        total: 50,
        weights: 3,
    };

    assert!(shed::admits(pressure(200), part));
}

#[test]
fn unknown_capacity_sheds_nobody() {
    let unknown = Pressure {
        capacity: 0,
        load: 1_000,
    };

    assert!(shed::admits(unknown, part(10, 10)));
}

proptest! {
    #![proptest_config(property::config(500))]

    #[test]
    fn active_customers_are_counted_as_a_naive_list_counts_them(
        steps in prop::collection::vec((0_u32..4, 0_u32..5, any::<bool>()), 0..80),
    ) {
        let mut active = ActiveRequests::default();
        let mut naive: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for (customer, weight, begins) in steps {
            let name = format!("customer-{customer}");
            let weight_used = u64::from(weight.max(1));
            if begins {
                active.begin(&name, weight);
                let entry = naive.entry(name.clone()).or_default();
                *entry = (entry.0 + 1, weight_used);
            } else {
                active.end(&name);
                if let Some(entry) = naive.get_mut(&name) {
                    entry.0 -= 1;
                }
                naive.retain(|_, (running, _)| *running > 0);
            }
            let part = active.customer_load(&name, weight);
            let others = naive.iter().filter(|(other, _)| **other != name);
            let weights: u64 = others.map(|(_, (_, weight))| weight).sum();
            let expected = CustomerLoad {
                own: naive.get(&name).map_or(0, |(running, _)| *running),
                weight: weight_used,
                total: naive.values().map(|(running, _)| running).sum(),
                weights: weights + weight_used,
            };
            prop_assert_eq!(part, expected);
        }
    }
}
