//! Ejection of failing upstreams, and their return after a probe.

use std::time::{Duration, Instant};

use tinbank_base::platform::upstream::Kind;
use tinbank_routing::health::{
    Change, EJECTION_THRESHOLD, FIRST_EJECTION, Health, MAX_EJECTION, Signal,
};
use yare::parameterized;

fn cut() -> Kind {
    Kind::Cut("test".to_owned())
}

#[parameterized(
    no_connection = { Kind::Connect(String::new()), Signal::Unreachable },
    cut_off = { cut(), Signal::Failing },
    crossed = { Kind::Crossed(String::new()), Signal::Failing },
    status_500 = { Kind::Failed { status: 500, message: String::new() }, Signal::Failing },
    leaving = { Kind::Leaving, Signal::Neutral },
    full = { Kind::Full, Signal::Neutral },
    timeout = { Kind::Timeout, Signal::Neutral },
    rejected = { Kind::Rejected { status: 400, message: String::new() }, Signal::Healthy },
)]
fn signal_of_failed_call(kind: Kind, signal: Signal) {
    assert_eq!(Signal::of(&kind), signal);
}

#[test]
fn only_consecutive_failures_eject() {
    let now = Instant::now();
    let mut health = Health::default();

    for _ in 0..10 {
        for _ in 1..EJECTION_THRESHOLD {
            assert_eq!(health.record(Signal::Failing, now), Change::None);
        }
        assert_eq!(health.record(Signal::Healthy, now), Change::None);
    }
    for _ in 1..EJECTION_THRESHOLD {
        health.record(Signal::Failing, now);
    }

    assert_eq!(
        health.record(Signal::Failing, now),
        Change::Ejected(now + FIRST_EJECTION)
    );
}

#[test]
fn unreachable_upstream_is_ejected_at_once() {
    let now = Instant::now();
    let mut health = Health::default();

    assert_eq!(
        health.record(Signal::Unreachable, now),
        Change::Ejected(now + FIRST_EJECTION)
    );
}

#[test]
fn failures_during_ejection_do_not_extend_it() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record(Signal::Unreachable, now);

    for _ in 0..20 {
        assert_eq!(health.record(Signal::Failing, now), Change::None);
    }

    assert_eq!(health.ejected_until(), Some(now + FIRST_EJECTION));
}

#[test]
fn failed_probe_doubles_ejection_up_to_maximum() {
    let mut now = Instant::now();
    let mut health = Health::default();
    health.record(Signal::Unreachable, now);
    let mut times = vec![FIRST_EJECTION];

    for _ in 0..12 {
        now = health.ejected_until().expect("it is ejected");
        let Change::Ejected(until) = health.record(Signal::Failing, now) else {
            panic!("a failed probe ejects again");
        };
        times.push(until - now);
    }

    assert_eq!(
        times[..3],
        [FIRST_EJECTION, FIRST_EJECTION * 2, FIRST_EJECTION * 4]
    );
    assert_eq!(times.last(), Some(&MAX_EJECTION));
}

#[test]
fn successful_probe_restores_upstream_and_resets_backoff() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record(Signal::Unreachable, now);

    let change = health.record(Signal::Healthy, now + FIRST_EJECTION);

    assert_eq!(change, Change::Returned);
    let again = health.record(Signal::Unreachable, now + Duration::from_secs(60));
    assert_eq!(
        again,
        Change::Ejected(now + Duration::from_secs(60) + FIRST_EJECTION)
    );
}
