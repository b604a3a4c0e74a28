//! What hosts tell each other.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use smallvec::smallvec;
use tinbank_allocator::directory::Peer;
use tinbank_feed::message::{Age, Ask, Error, Part, Scope, Snapshot, Update, decode, encode};
use tinbank_quarantine::Quarantined;
use tinbank_relay::{
    route::{Batch, Config, Kind, Limits, Route, Share},
    upstream::Upstream,
};
use yare::parameterized;

fn address(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7000))
}

fn config(routes: usize) -> Config {
    let route = |index: usize| Route {
        name: format!("r-{index:07}"),
        host: "nony24.example".to_owned(),
        prefix: format!("/pule{index}/"),
        kind: Kind::Stream { resumable: true },
        services: smallvec![Share {
            service: "notes".to_owned(),
            weight: 1,
        }],
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(300),
        max_attempts: 2,
        rank: 0,
        is_open: false,
        event_gap: Some(Duration::from_millis(300)),
        batch: Batch::default(),
    };
    Config {
        version: 7,
        routes: (0..routes).map(|index| Rc::new(route(index))).collect(),
        limits: Limits {
            head_bytes: 16384,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        customers: None,
        cold_starts: Vec::new(),
    }
}

fn update() -> Update {
    Update {
        config: Some(config(3)),
        upstreams: Some(Part {
            position: 40,
            is_whole: false,
            gone: vec!["i-0".into()],
            entries: vec![Upstream {
                name: "u1".into(),
                instance: "i-1".into(),
                address: address(1),
                service: "notes".to_owned(),
                failure_domain: "north".to_owned(),
                slots: 7,
                leaving: true,
                cold_until: None,
            }],
        }),
        settled: Some(39),
        hosts: Some(Part {
            position: 50,
            is_whole: true,
            gone: vec![address(4)],
            entries: vec![Peer {
                address: address(2),
                callers: address(3),
                failure_domain: "north".to_owned(),
                capacity: Default::default(),
            }],
        }),
        quarantine: Some(Snapshot {
            position: 3,
            entries: vec![Quarantined {
                request: 1 << 100,
                ended: 3,
                reached: 1,
            }],
        }),
        evacuations: Some(Snapshot {
            position: 5,
            entries: vec!["south".to_owned()],
        }),
        age: Age {
            config: Some(Duration::from_millis(12)),
            upstreams: Some(Duration::from_millis(400)),
        },
    }
}

#[test]
fn what_is_told_arrives_as_it_was() {
    let told = decode::<Update>(&encode(&update()).unwrap()).unwrap();
    let asked = Ask {
        scope: Scope::Domain("north".to_owned()),
        settled: Some(3),
        config: Some(6),
        upstreams: None,
        hosts: Some(9),
        quarantine: Some(2),
        evacuations: Some(4),
    };

    assert_eq!(told, update());
    assert_eq!(decode::<Ask>(&encode(&asked).unwrap()).unwrap(), asked);
}

/// As the store gives it, base64 of JSON, a route takes some 330 bytes, and every host read that.
#[test]
fn a_route_takes_less_than_a_hundred_bytes() {
    let told = Update {
        config: Some(config(1_600)),
        ..Update::default()
    };

    let bytes = encode(&told).unwrap().len();

    assert!(bytes < 1_600 * 100, "{bytes}");
}

#[parameterized(
    read_lately = { Some(100), Some(1_700), true },
    upstreams_long_ago = { Some(100), Some(1_900), false },
    config_long_ago = { Some(1_900), Some(100), false },
    never_read = { None, Some(100), false },
)]
fn news_are_fresh_if_all_of_it_was_read_lately(
    config: Option<u64>,
    upstreams: Option<u64>,
    expected: bool,
) {
    let update = Update {
        age: Age {
            config: config.map(Duration::from_millis),
            upstreams: upstreams.map(Duration::from_millis),
        },
        ..Update::default()
    };

    assert_eq!(update.is_fresh(Duration::from_millis(1_800)), expected);
}

#[test]
fn messages_of_other_versions_and_other_bytes_are_refused() {
    let mut other = encode(&Ask::default()).unwrap();
    other[0] = 200;

    let version = decode::<Ask>(&other);
    let empty = decode::<Ask>(&[]);
    let cut = decode::<Update>(&encode(&update()).unwrap()[..40]);

    assert!(matches!(version, Err(Error::Version { found: Some(200) })));
    assert!(matches!(empty, Err(Error::Version { found: None })));
    assert!(matches!(cut, Err(Error::Malformed(_))));
}
