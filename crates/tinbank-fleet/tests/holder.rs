//! The order holder's term, with a second process that wants the lease.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tinbank_base::{
    clock::Stamp,
    id::{Process, Role},
    record::{Envelope, Writer, lease::Lease},
};
use tinbank_fleet::holder::Holder;
use tinbank_ledger::lease::{Change, Step, Timings, Want};
use tinbank_test_support::property;

#[test]
fn a_term_is_fenced_by_the_offset_of_its_take() {
    let now = Instant::now();
    let mut holder = reader(1, now);
    (0..5).for_each(|offset| holder.skip(offset));
    holder.read_end(true, now);
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

/// An entry that its writer had not read came between: somebody may hold the lease by it.
#[test]
fn a_take_that_does_not_stand_right_behind_what_was_read_does_not_count() {
    let now = Instant::now();
    let mut holder = reader(1, now);
    let take = append(&mut holder, now);
    holder.skip(0);

    holder.read(1, &envelope(1, 1, take));

    assert_eq!(holder.term(), None);
}

#[test]
fn a_holder_whose_records_were_all_trimmed_can_be_followed_after_its_silence() {
    let start = Instant::now();
    let mut holder = Holder::new(writer(2), Timings::default());
    holder.trimmed(40);

    let taken_at = first_take(&mut holder, start);
    let take = Lease::Take {
        epoch: 41,
        expected: Some(39),
    };
    holder.read(40, &envelope(2, 1, take));

    assert!(
        taken_at - start >= Timings::default().silence,
        "somebody may hold it"
    );
    assert_eq!(holder.term().map(|term| term.fence), Some(40));
}

#[test]
fn what_an_unknown_holder_writes_starts_its_silence_anew() {
    let start = Instant::now();
    let mut holder = Holder::new(writer(2), Timings::default());
    holder.trimmed(40);
    holder.read_end(true, start);
    let renewed = start + Duration::from_secs(1);
    holder.read(40, &envelope(1, 9, Lease::Renew { epoch: 3 }));

    let taken_at = first_take(&mut holder, renewed);

    assert!(taken_at - renewed >= Timings::default().silence);
}

#[test]
fn a_holder_that_lags_behind_the_trim_holds_no_more() {
    let start = Instant::now();
    let mut holder = reader(1, start);
    let take = append(&mut holder, start);
    holder.read(0, &envelope(1, 1, take));

    holder.trimmed(40);

    assert_eq!(holder.term(), None);
}

#[test]
fn a_late_copy_does_not_prove_that_a_newer_step_stands() {
    let start = Instant::now();
    let mut holder = reader(1, start);
    let taken = envelope(1, 1, append(&mut holder, start));
    holder.read(0, &taken);
    holder.read_end(true, start);
    let before = holder.term();
    append(&mut holder, start + Duration::from_secs(2));

    holder.read(1, &taken);

    assert_eq!(holder.term(), before);
}

proptest! {
    #![proptest_config(property::config(512))]

    /// Wherever a reader began, from the first take that it judged on it names the same holder as one that read all.
    #[test]
    fn readers_that_began_at_different_places_name_the_same_holder(
        steps in prop::collection::vec((0_u32..3, 0_u8..6), 1..40), first in 0_usize..40
    ) {
        let mut whole = Holder::new(writer(9), Timings::default());
        let mut late = Holder::new(writer(8), Timings::default());
        late.trimmed(first as u64);
        let mut judged = false;

        for (offset, (host, kind)) in (0_u64..).zip(&steps) {
            let holder = whole.lease().holder;
            let record = match kind {
                0 | 1 => Lease::Take { epoch: offset + 1, expected: offset.checked_sub(1) },
                2 => Lease::Take { epoch: offset, expected: offset.checked_sub(2) },
                3 => Lease::Take { epoch: holder.map_or(0, |holder| holder.epoch) + 1, expected: Some(0) },
                4 => Lease::Renew { epoch: holder.map_or(1, |holder| holder.epoch) },
                _ => Lease::Release { epoch: holder.map_or(1, |holder| holder.epoch) },
            };
            let envelope = envelope(*host, offset + 1, record);
            let change = whole.read(offset, &envelope);
            if offset >= first as u64 {
                let seen = late.read(offset, &envelope);
                judged |= matches!(change, Some(Change::Taken(_)));
                if judged {
                    prop_assert_eq!(seen, change);
                    prop_assert_eq!(late.lease(), whole.lease());
                }
            }
        }
    }

    #[test]
    fn any_records_are_judged(
        records in prop::collection::vec((0_u32..3, wide(), wide(), prop::option::of(wide()), 0_u8..4, wide()), 0..20)
    ) {
        let mut holder = reader(1, Instant::now());

        for (host, sequence, epoch, expected, kind, offset) in records {
            let record = match kind {
                0 => Lease::Take { epoch, expected },
                1 => Lease::Renew { epoch },
                _ => Lease::Release { epoch },
            };
            holder.read(offset, &envelope(host, sequence, record));
            holder.skip(offset);
            holder.step(wish(), Instant::now());
        }
    }
}

fn wide() -> impl Strategy<Value = u64> {
    prop_oneof![0_u64..4, prop::sample::select(vec![u64::MAX - 1, u64::MAX])]
}

fn reader(host: u32, now: Instant) -> Holder {
    let mut holder = Holder::new(writer(host), Timings::default());
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
