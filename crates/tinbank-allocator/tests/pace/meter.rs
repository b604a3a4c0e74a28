//! The measurement on one request.

use std::time::Instant;

use tinbank_allocator::pace::{Expected, Meter};

use crate::ms;

fn meter(now: Instant) -> Meter {
    let expected = Expected {
        first_event_ms: 50,
        interval_us: 40_000,
    };
    Meter::new(Some(expected), false, now)
}

#[test]
fn a_late_event_is_reported_when_it_is_noticed_and_when_it_arrives() {
    let start = Instant::now();
    let mut meter = meter(start);

    let early = meter.take_late(start + ms(100));
    let noticed = meter.take_late(start + ms(150)).unwrap();
    let again = meter.take_late(start + ms(160));
    let arrived = meter.record_event(start + ms(200)).unwrap();

    assert_eq!((early, again), (None, None));
    assert_eq!((noticed.first_event_ms, arrived.first_event_ms), (150, 200));
}

#[test]
fn the_number_of_reports_is_bounded() {
    let mut now = Instant::now();
    let mut meter = meter(now);

    let mut reports = 0;
    for _ in 0..20 {
        now += ms(300);
        reports += usize::from(meter.take_late(now).is_some());
        reports += usize::from(meter.record_event(now).is_some());
    }

    assert_eq!(reports, 4);
}

#[test]
fn a_sample_is_of_the_latest_events() {
    let mut now = Instant::now();
    let mut meter = meter(now);

    for interval in [40; 20].into_iter().chain([80; 10]) {
        meter.record_wait(now);
        now += ms(interval);
        meter.record_event(now);
    }

    let sample = meter.sample().unwrap();
    assert_eq!((sample.first_event_ms, sample.interval_us), (40, 80_000));
}

/// Guards against a slow caller being taken for a slow upstream.
#[test]
fn time_in_which_the_host_does_not_read_is_not_measured() {
    let start = Instant::now();
    let mut meter = meter(start);
    meter.record_event(start + ms(40));

    meter.record_wait(start + ms(1_000));
    let late = meter.take_late(start + ms(1_050));
    meter.record_event(start + ms(1_060));

    assert_eq!(late, None);
    assert_eq!(meter.sample().unwrap().interval_us, 0);
}
