use std::time::Duration;

use bytes::Bytes;
use tinbank_base::platform::log::Bounds;
use tokio::time::Instant;

use super::{Refused, Settings, Store, Trimmed};

const STREAM: &str = "work-000";

fn store(settings: Settings) -> (Store, Instant) {
    let now = Instant::now();
    (Store::new(settings, now), now)
}

fn record(size: usize) -> Bytes {
    vec![7; size].into()
}

#[test]
fn appends_over_the_rate_wait_for_their_token() {
    let (mut store, now) = store(Settings {
        appends_per_second: 10.0,
        burst: 2.0,
        ..Settings::default()
    });

    let answers = [0, 0, 0, 50, 100].map(|after| {
        let now = now + Duration::from_millis(after);
        store.append(STREAM, record(1), now)
    });

    assert_eq!(answers[..2], [Ok(0), Ok(1)]);
    let wait = Duration::from_millis(100);
    assert_eq!(answers[2], Err(Refused::Limited { wait }));
    assert!(answers[3].is_err());
    assert_eq!(answers[4], Ok(2));
}

#[test]
fn records_leave_by_age_and_by_size() {
    let (mut store, now) = store(Settings {
        retention: Duration::from_secs(10),
        retention_bytes: 25,
        ..Settings::default()
    });

    for _ in 0..3 {
        store
            .append(STREAM, record(10), now)
            .expect("within the rate");
    }

    assert_eq!(store.bounds(STREAM, now), Bounds { first: 1, tail: 3 });
    assert_eq!(store.read(STREAM, 0, 100, now), Err(Trimmed { first: 1 }));
    let later = now + Duration::from_secs(11);
    assert_eq!(store.bounds(STREAM, later), Bounds { first: 3, tail: 3 });
}

#[test]
fn a_page_holds_about_its_limit_and_at_least_one_record() {
    let (mut store, now) = store(Settings::default());
    for size in [100, 10, 10, 10] {
        store
            .append(STREAM, record(size), now)
            .expect("within the rate");
    }

    let first = store.read(STREAM, 0, 20, now).expect("kept");
    let second = store.read(STREAM, first.next, 20, now).expect("kept");

    assert_eq!((first.entries.len(), first.next, first.tail), (1, 1, 4));
    assert_eq!((second.entries.len(), second.next), (2, 3));
}

#[test]
fn a_record_over_the_limit_is_refused_without_a_token() {
    let (mut store, now) = store(Settings {
        burst: 1.0,
        max_record_bytes: 5,
        ..Settings::default()
    });

    let refused = store.append(STREAM, record(6), now);
    let taken = store.append(STREAM, record(5), now);

    assert_eq!((refused, taken), (Err(Refused::TooLarge), Ok(0)));
}
