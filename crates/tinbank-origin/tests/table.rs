//! What one host remembers of streams.

use std::time::{Duration, Instant};

use tinbank_origin::{Answer, Origin, RETENTION, Table, origin::key};

fn origin(build: &str) -> Origin {
    Origin {
        service: "notes".to_owned(),
        build: build.into(),
    }
}

#[test]
fn an_origin_is_known_until_it_expires_unless_it_is_refreshed() {
    let start = Instant::now();
    let mut table = Table::default();
    table.record(1, origin("v1"), start);
    table.record(2, origin("v2"), start);

    table.record(2, origin("v2"), start + RETENTION / 2);
    let later = start + RETENTION;
    table.record(3, origin("v2"), later);

    assert_eq!(table.get(1, later), Answer::Unknown);
    assert_eq!(table.get(2, later), Answer::Known(origin("v2")));
    assert_eq!(table.get(2, later + RETENTION), Answer::Unknown);
    assert_eq!(table.len(), 2);
}

#[test]
fn two_origins_of_one_stream_conflict_for_good() {
    let now = Instant::now();
    let mut table = Table::default();
    table.record(1, origin("v1"), now);

    table.record(1, origin("v2"), now);
    table.record(1, origin("v1"), now);

    assert_eq!(table.get(1, now), Answer::Conflicting);
}

#[test]
fn the_oldest_origins_give_way_when_there_are_too_many() {
    let now = Instant::now();
    let mut table = Table::default();

    for key in 0..40_000 {
        table.record(key, origin("v1"), now + Duration::from_micros(key));
    }

    let now = now + Duration::from_secs(1);
    assert_eq!(table.len(), 32 << 10);
    assert_eq!(table.get(0, now), Answer::Unknown);
    assert_eq!(table.get(39_999, now), Answer::Known(origin("v1")));
}

/// Guards against a customer that names an attempt of another one.
#[test]
fn a_key_depends_on_the_customer_and_the_host_name() {
    let own = key(Some("one"), "a.example", "attempt");

    assert_eq!(own, key(Some("one"), "a.example", "attempt"));
    assert_ne!(own, key(Some("two"), "a.example", "attempt"));
    assert_ne!(own, key(None, "a.example", "attempt"));
    assert_ne!(own, key(Some("one"), "b.example", "attempt"));
}
