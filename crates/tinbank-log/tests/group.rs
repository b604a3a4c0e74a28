//! What is sent when, without a log.

use std::time::{Duration, Instant};

use bytes::Bytes;
use tinbank_base::platform::log::Stream;
use tinbank_log::{
    budget::{self, Priority},
    group::{Action, Answer, Append, Group, Settings, Ticket},
    writer::Error,
};

const STREAM: Stream = Stream::Work(3);
const SECOND: Duration = Duration::from_secs(1);

fn group(now: Instant, per_second: f64) -> Group {
    let settings = Settings {
        group_bytes: 100,
        budget: budget::Settings {
            fleet_per_second: per_second,
            reserve: 0.0,
            burst: SECOND,
        },
        ..Settings::default()
    };
    Group::new(settings, 1, now)
}

fn append(ticket: Ticket, deadline: Instant) -> Append {
    Append {
        ticket,
        stream: STREAM,
        records: Bytes::from(vec![ticket as u8; 10]),
        count: 1,
        priority: Priority::Normal,
        deadline,
    }
}

fn sizes(actions: &[Action]) -> Vec<(u64, usize)> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send {
            sequence, count, ..
        } => Some((*sequence, *count)),
        _ => None,
    });
    sends.collect()
}

fn results(actions: &[Action]) -> Vec<(Ticket, Result<u64, Error>)> {
    let results = actions.iter().filter_map(|action| match action {
        Action::Resolve { ticket, result } => Some((*ticket, result.clone())),
        _ => None,
    });
    results.collect()
}

fn lost() -> Answer {
    Answer::Unknown("lost".to_owned())
}

fn refused() -> Answer {
    Answer::Refused {
        reason: "outage".to_owned(),
        retry_at: None,
    }
}

#[test]
fn records_that_come_while_one_is_in_flight_share_the_next_envelope() {
    let now = Instant::now();
    let mut group = group(now, 100.0);
    group.append(append(1, now + SECOND));
    let first = group.poll(now);
    for ticket in 2..=4 {
        group.append(append(ticket, now + SECOND));
    }

    let meanwhile = group.poll(now);
    let answered = group.answered(STREAM, Answer::Durable(7), 0.0, now);
    let second = group.poll(now);

    assert_eq!(sizes(&first), [(1, 1)]);
    assert_eq!(meanwhile, []);
    assert_eq!(results(&answered), [(1, Ok(7))]);
    assert_eq!(sizes(&second), [(2, 3)]);
}

#[test]
fn an_envelope_is_bounded() {
    let now = Instant::now();
    let mut group = group(now, 100.0);
    for ticket in 1..=25 {
        group.append(append(ticket, now + SECOND));
    }

    let sent = group.poll(now);

    assert_eq!(sizes(&sent), [(1, 10)]);
}

#[test]
fn without_budget_records_wait_and_are_coalesced() {
    let now = Instant::now();
    let mut group = group(now, 1.0);
    group.append(append(1, now + SECOND * 9));
    group.poll(now);
    group.answered(STREAM, Answer::Durable(0), 0.0, now);
    group.append(append(2, now + SECOND * 9));

    let at_once = group.poll(now);
    group.append(append(3, now + SECOND * 9));
    let wake = group.wake_at().expect("records wait");
    let later = group.poll(wake);

    assert_eq!(at_once, []);
    assert!(wake >= now + SECOND && wake < now + SECOND * 2);
    assert_eq!(sizes(&later), [(2, 2)]);
}

#[test]
fn reserved_streams_go_first() {
    let now = Instant::now();
    let mut group = group(now, 1.0);
    group.append(append(1, now + SECOND));
    group.append(Append {
        stream: Stream::Config,
        priority: Priority::Reserved,
        ..append(2, now + SECOND * 9)
    });

    let sent = group.poll(now);

    assert!(matches!(
        sent[..],
        [Action::Send {
            stream: Stream::Config,
            ..
        }]
    ));
}

#[test]
fn a_lost_answer_sends_the_same_number_again_and_nothing_in_between() {
    let now = Instant::now();
    let mut group = group(now, 100.0);
    group.append(append(1, now + SECOND));
    group.poll(now);
    group.append(append(2, now + SECOND));
    group.answered(STREAM, lost(), 0.0, now);

    let at_once = group.poll(now);
    let wake = group.wake_at().expect("it is sent again");
    let resent = group.poll(wake);

    assert_eq!(at_once, []);
    let expected = Action::Resend {
        stream: STREAM,
        sequence: 1,
    };
    assert_eq!(resent, [expected]);
}

#[test]
fn a_refused_envelope_is_not_appended_at_the_deadline() {
    let now = Instant::now();
    let mut group = group(now, 100.0);
    group.append(append(1, now + SECOND));
    group.poll(now);
    group.answered(STREAM, refused(), 1.0, now);

    let late = group.poll(now + SECOND);

    let expected = Err(Error::NotAppended("outage".to_owned()));
    assert_eq!(results(&late), [(1, expected)]);
    assert!(group.idle());
}

#[test]
fn an_envelope_with_a_lost_answer_is_unknown_even_if_it_is_refused_later() {
    let now = Instant::now();
    let mut group = group(now, 100.0);
    group.append(append(1, now + SECOND));
    group.poll(now);
    group.answered(STREAM, lost(), 0.0, now);
    let wake = group.wake_at().expect("it is sent again");
    group.poll(wake);
    group.answered(STREAM, refused(), 0.0, wake);

    let late = group.poll(now + SECOND);
    group.append(append(2, now + SECOND * 9));
    let next = group.poll(now + SECOND * 2);

    assert!(matches!(
        results(&late)[..],
        [(1, Err(Error::Unknown { sequence: 1, .. }))]
    ));
    assert_eq!(sizes(&next), [(2, 1)], "a new envelope has a new number");
}

#[test]
fn a_group_that_is_too_large_is_cut_and_a_single_record_is_refused() {
    let now = Instant::now();
    let mut group = group(now, 100.0);
    let too_large = Answer::TooLarge {
        size: 400,
        limit: 271,
    };
    group.append(append(1, now + SECOND));
    group.append(append(2, now + SECOND));
    group.poll(now);
    let cut = group.answered(STREAM, too_large.clone(), 0.0, now);
    let sent = group.poll(now);

    let refused = group.answered(STREAM, too_large, 0.0, now);

    assert_eq!(cut, []);
    assert_eq!(sizes(&sent), [(2, 1)]);
    let expected = Error::TooLarge {
        size: 400,
        limit: 271,
    };
    assert_eq!(results(&refused), [(1, Err(expected))]);
}
