//! Encoding of messages between hosts.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

use smallvec::smallvec;
use tinbank_allocator::directory::Peer;
use tinbank_feed::message::{
    Age, Contact, Delta, Error, Period, Reliability, Scope, Snapshot, Update, UpdateRequest,
    decode, encode,
};
use tinbank_origin::{Origin, history};
use tinbank_quarantine::{self as quarantine, Quarantined};
use tinbank_relay::{
    contact,
    route::{Batch, Config, Kind, Limits, Route, Share},
    upstream::Upstream,
};
use yare::parameterized;

/// Guards against a period that reaches over an outage, by the time that the message took.
#[test]
fn a_contact_is_never_longer_for_its_receiver_than_for_its_sender() {
    let ms = Duration::from_millis;
    let period = Period {
        since: ms(5_000),
        until: ms(300),
    };
    let requested_at = Instant::now();
    let received_at = requested_at + ms(400);

    let received = Contact(Some(period)).period(requested_at, received_at);
    let too_short = Contact(Some(Period {
        since: ms(500),
        ..period
    }));

    let expected = contact::Period {
        since: received_at - ms(5_000),
        until: requested_at - ms(300),
    };
    assert_eq!(received, Some(expected));
    assert_eq!(too_short.period(requested_at, received_at), None);
}

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
        session_affinity: true,
        allowed_regions: None,
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
        services: Vec::new(),
    }
}

fn update() -> Update {
    Update {
        config: Some(config(3)),
        upstreams: Some(Delta {
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
                build: "v1".into(),
                cold_until: None,
            }],
        }),
        settled: Some(39),
        reliability: Reliability {
            missing: vec!["i-2".into()],
            reliable_in: Some(Duration::from_millis(900)),
        },
        hosts: Some(Delta {
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
        builds: Some(Snapshot {
            position: 4,
            entries: vec![history::Entry {
                place: history::Place {
                    failure_domain: "north".to_owned(),
                    origin: Origin {
                        service: "notes".to_owned(),
                        build: "v1".into(),
                    },
                },
                gone_at: Some(SystemTime::UNIX_EPOCH + Duration::from_millis(1_234)),
            }],
        }),
        quarantine: Some(Snapshot {
            position: 3,
            entries: vec![Quarantined {
                subject: 1 << 100,
                kind: quarantine::Kind::Part,
                ended: 3,
                reached: 1,
                failed_trials: 2,
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
fn messages_survive_encoding_and_decoding() {
    let decoded = decode::<Update>(&encode(&update()).unwrap()).unwrap();
    let request = UpdateRequest {
        scope: Scope::Domain("north".to_owned()),
        is_other_source: true,
        settled: Some(3),
        config: Some(6),
        upstreams: None,
        hosts: Some(9),
        quarantine: Some(2),
        builds: Some(3),
        evacuations: Some(4),
    };

    assert_eq!(decoded, update());
    assert_eq!(
        decode::<UpdateRequest>(&encode(&request).unwrap()).unwrap(),
        request
    );
}

#[test]
fn a_route_takes_less_than_a_hundred_bytes() {
    let update = Update {
        config: Some(config(1_600)),
        ..Update::default()
    };

    let bytes = encode(&update).unwrap().len();

    assert!(bytes < 1_600 * 100, "{bytes}");
}

#[parameterized(
    read_lately = { Some(100), Some(1_700), true },
    stale_upstreams = { Some(100), Some(1_900), false },
    stale_config = { Some(1_900), Some(100), false },
    never_read = { None, Some(100), false },
)]
fn an_update_is_fresh_if_config_and_upstreams_were_read_lately(
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
fn messages_of_other_versions_and_malformed_messages_are_rejected() {
    let mut other_version = encode(&UpdateRequest::default()).unwrap();
    other_version[0] = 200;

    let version = decode::<UpdateRequest>(&other_version);
    let empty = decode::<UpdateRequest>(&[]);
    let truncated = decode::<Update>(&encode(&update()).unwrap()[..40]);

    assert!(matches!(version, Err(Error::Version { found: Some(200) })));
    assert!(matches!(empty, Err(Error::Version { found: None })));
    assert!(matches!(truncated, Err(Error::Malformed(_))));
}
