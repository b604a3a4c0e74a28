//! Tests the selection of routes and services.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use tinbank_relay::route::{Batch, Config, Kind, Limits, Route, Share};
use yare::parameterized;

fn route(name: &str, host: &str, prefix: &str) -> Rc<Route> {
    Rc::new(Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Once,
        services: [("a", 90), ("b", 10)]
            .map(|(service, weight)| Share {
                service: service.to_owned(),
                weight,
            })
            .into_iter()
            .collect(),
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(300),
        max_attempts: 1,
        rank: 0,
        is_open: false,
        event_gap: None,
        session_affinity: false,
        allowed_regions: None,
        batch: Batch::default(),
    })
}

fn config() -> Config {
    Config {
        version: 1,
        routes: vec![
            route("short", "one.example", "/p/"),
            route("long", "one.example", "/p/q/"),
            route("other", "two.example", "/"),
        ],
        limits: Limits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        customers: None,
        cold_starts: Vec::new(),
        services: Vec::new(),
    }
}

#[parameterized(
    single_match = { "one.example", "/p/x", Some("short") },
    longest_prefix = { "one.example", "/p/q/x", Some("long") },
    partial_segment = { "one.example", "/p/qx", Some("short") },
    other_host = { "two.example", "/p/q/x", Some("other") },
    unknown_host = { "three.example", "/p/x", None },
    unknown_path = { "one.example", "/x", None },
)]
fn a_request_takes_the_route_with_the_longest_prefix_on_its_host(
    host: &str,
    path: &str,
    name: Option<&str>,
) {
    let config = config();

    let route = config.route(host, path);

    assert_eq!(route.map(|route| route.name.as_str()), name);
}

#[test]
fn services_are_chosen_in_proportion_to_their_weights() {
    let route = route("r", "h", "/");
    let mut counts = BTreeMap::new();

    for draw in 0..1000 {
        let service = route.service(draw).cloned().unwrap();
        *counts.entry(service).or_insert(0) += 1;
    }

    assert_eq!(counts["a"], 900);
    assert_eq!(counts["b"], 100);
}
