//! Load shedding under overload.

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

fn customer_load(own: u64, total: u64) -> CustomerLoad {
    CustomerLoad {
        own,
        weight: 1,
        total,
        weights: 2,
    }
}

#[parameterized(
    idle = { 10, customer_load(9, 10), true },
    busy = { 149, customer_load(100, 100), true },
    overloaded_and_over_its_share = { 150, customer_load(9, 10), false },
    overloaded_and_under_its_share = { 150, customer_load(1, 10), true },
    full = { 300, customer_load(0, 10), false },
)]
fn admission_by_load_and_share(load: u64, customer_load: CustomerLoad, admitted: bool) {
    assert_eq!(shed::admits(pressure(load), customer_load), admitted);
}

#[test]
fn single_customer_is_never_over_its_share() {
    let customer_load = CustomerLoad {
        own: 50,
        weight: 3,
        total: 50,
        weights: 3,
    };

    assert!(shed::admits(pressure(200), customer_load));
}

#[test]
fn unknown_capacity_admits_all() {
    let unknown = Pressure {
        capacity: 0,
        load: 1_000,
    };

    assert!(shed::admits(unknown, customer_load(10, 10)));
}

proptest! {
    #![proptest_config(property::config(500))]

    #[test]
    fn active_requests_match_reference_counts(
        steps in prop::collection::vec((0_u32..4, 0_u32..5, any::<bool>()), 0..80),
    ) {
        let mut active = ActiveRequests::default();
        let mut reference: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for (customer, weight, begins) in steps {
            let name = format!("customer-{customer}");
            let weight_used = u64::from(weight.max(1));
            if begins {
                active.begin(&name, weight);
                let entry = reference.entry(name.clone()).or_default();
                *entry = (entry.0 + 1, weight_used);
            } else {
                active.end(&name);
                if let Some(entry) = reference.get_mut(&name) {
                    entry.0 -= 1;
                }
                reference.retain(|_, (running, _)| *running > 0);
            }
            let customer_load = active.customer_load(&name, weight);
            let others = reference.iter().filter(|(other, _)| **other != name);
            let weights: u64 = others.map(|(_, (_, weight))| weight).sum();
            let expected = CustomerLoad {
                own: reference.get(&name).map_or(0, |(running, _)| *running),
                weight: weight_used,
                total: reference.values().map(|(running, _)| running).sum(),
                weights: weights + weight_used,
            };
            prop_assert_eq!(customer_load, expected);
        }
    }
}
