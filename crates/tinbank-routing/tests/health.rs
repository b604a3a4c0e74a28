//! Ejection and probing return.

use std::time::{Duration, Instant};

use tinbank_base::platform::upstream::Kind;
use tinbank_routing::health::{Change, FAILURES, FIRST, Health, LONGEST, Sign};
use yare::parameterized;

fn cut() -> Kind {
    Kind::Cut("test".to_owned())
}

#[parameterized(
    no_connection = { Kind::Connect(String::new()), Sign::Down },
    cut_off = { cut(), Sign::Bad },
    crossed = { Kind::Crossed(String::new()), Sign::Bad },
    status_500 = { Kind::Failed { status: 500, message: String::new() }, Sign::Bad },
    leaving = { Kind::Leaving, Sign::Neutral },
    full = { Kind::Full, Sign::Neutral },
    timeout = { Kind::Timeout, Sign::Neutral },
    rejected = { Kind::Rejected { status: 400, message: String::new() }, Sign::Good },
)]
fn results_say(kind: Kind, sign: Sign) {
    assert_eq!(Sign::of(&kind), sign);
}

#[test]
fn failures_in_a_row_eject_and_a_success_between_them_does_not() {
    let now = Instant::now();
    let mut health = Health::default();

    for _ in 0..10 {
        for _ in 1..FAILURES {
            assert_eq!(health.note(Sign::Bad, now), Change::None);
        }
        assert_eq!(health.note(Sign::Good, now), Change::None);
    }
    for _ in 1..FAILURES {
        health.note(Sign::Bad, now);
    }

    assert_eq!(health.note(Sign::Bad, now), Change::Ejected(now + FIRST));
}

#[test]
fn one_that_can_t_be_reached_is_ejected_at_once() {
    let now = Instant::now();
    let mut health = Health::default();

    assert_eq!(health.note(Sign::Down, now), Change::Ejected(now + FIRST));
}

#[test]
fn late_failures_of_the_same_fault_do_not_lengthen_the_ejection() {
    let now = Instant::now();
    let mut health = Health::default();
    health.note(Sign::Down, now);

    for _ in 0..20 {
        assert_eq!(health.note(Sign::Bad, now), Change::None);
    }

    assert_eq!(health.ejected_until(), Some(now + FIRST));
}

#[test]
fn a_failed_probe_doubles_the_ejection_up_to_the_longest() {
    let mut now = Instant::now();
    let mut health = Health::default();
    health.note(Sign::Down, now);
    let mut times = vec![FIRST];

    for _ in 0..12 {
        now = health.ejected_until().expect("it is ejected");
        let Change::Ejected(until) = health.note(Sign::Bad, now) else {
            panic!("a failed probe ejects again");
        };
        times.push(until - now);
    }

    assert_eq!(times[..3], [FIRST, FIRST * 2, FIRST * 4]);
    assert_eq!(times.last(), Some(&LONGEST));
}

#[test]
fn a_good_probe_brings_it_back_with_a_clean_record() {
    let now = Instant::now();
    let mut health = Health::default();
    health.note(Sign::Down, now);

    let change = health.note(Sign::Good, now + FIRST);

    assert_eq!(change, Change::Returned);
    let again = health.note(Sign::Down, now + Duration::from_secs(60));
    assert_eq!(
        again,
        Change::Ejected(now + Duration::from_secs(60) + FIRST)
    );
}
