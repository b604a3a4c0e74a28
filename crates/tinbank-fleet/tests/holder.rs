//! The order holder's term, with a second process that wants the lease.

use std::time::{Duration, Instant};

use tinbank_base::{
    clock::Stamp,
    id::{Process, Role},
    record::{Envelope, Writer, lease::Lease},
};
use tinbank_fleet::holder::Holder;
use tinbank_ledger::lease::{Step, Terms, Want};

#[test]
fn a_term_is_fenced_by_the_offset_of_its_take() {
    let now = Instant::now();
    let mut holder = reader(1, now);
    let take = append(&mut holder, now);

    holder.read(5, &envelope(1, 1, take));

    assert_eq!(holder.term().map(|term| term.fence), Some(5));
}

#[test]
fn a_term_ends_by_itself_before_another_may_take_the_lease() {
    let start = Instant::now();
    let mut first = reader(1, start);
    let mut second = reader(2, start);
    let take = append(&mut first, start);
    let taken = envelope(1, 1, take);
    let read = start + Duration::from_millis(20);
    for holder in [&mut first, &mut second] {
        holder.read(0, &taken);
        holder.read_end(true, read);
    }
    let stop_at = first.term().expect("the first holds the lease").stop_at;

    let taken_at = first_take(&mut second, read);

    assert!(
        stop_at < taken_at,
        "the old holder may send till the new one has taken over"
    );
}

#[test]
fn a_holder_that_was_paused_finds_its_term_over() {
    let start = Instant::now();
    let mut holder = reader(1, start);
    let take = append(&mut holder, start);
    holder.read(0, &envelope(1, 1, take));
    let awake = start + Duration::from_secs(300);

    let term = holder
        .term()
        .expect("it still believes that it holds the lease");

    assert!(term.stop_at < awake);
}

#[test]
fn reading_another_take_ends_the_term() {
    let start = Instant::now();
    let mut holder = reader(1, start);
    let take = append(&mut holder, start);
    holder.read(0, &envelope(1, 1, take));

    holder.read(
        1,
        &envelope(
            2,
            1,
            Lease::Take {
                epoch: 2,
                expected: Some(0),
            },
        ),
    );

    assert_eq!(holder.term(), None);
}

#[test]
fn a_resent_take_does_not_begin_a_second_term() {
    let start = Instant::now();
    let mut holder = reader(1, start);
    let take = append(&mut holder, start);
    let resent = envelope(1, 1, take);
    holder.read(0, &resent);

    holder.read(1, &resent);

    assert_eq!(holder.term().map(|term| term.fence), Some(0));
}

fn reader(host: u32, now: Instant) -> Holder {
    let mut holder = Holder::new(writer(host), Terms::default());
    holder.read_end(true, now);
    holder
}

fn writer(host: u32) -> Writer {
    Writer {
        process: Process {
            host,
            role: Role::Fleet,
        },
        incarnation: 1,
    }
}

fn wish() -> Want {
    Want {
        rank: Some(0),
        live: true,
        ..Want::default()
    }
}

fn append(holder: &mut Holder, now: Instant) -> Lease {
    match holder.step(wish(), now) {
        Step::Append(record) => record,
        step => panic!("expected an append, got {step:?}"),
    }
}

/// Lets time pass with reads at the tail that bring nothing, till the process takes the lease.
fn first_take(holder: &mut Holder, from: Instant) -> Instant {
    (0..600)
        .map(|tick| from + Duration::from_millis(100) * tick)
        .find(|now| {
            holder.read_end(true, *now);
            matches!(holder.step(wish(), *now), Step::Append(_))
        })
        .expect("silence is long enough in a minute")
}

fn envelope(host: u32, sequence: u64, record: Lease) -> Envelope<Lease> {
    Envelope {
        writer: writer(host),
        sequence,
        stamp: Stamp::default(),
        records: vec![record],
    }
}
