//! Terms of the lease holder while other processes contend for the lease.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tinbank_base::{
    clock::Stamp,
    id::{Process, Role},
    record::{Envelope, Writer, lease::Lease},
};
use tinbank_fleet::lease::LeaseState;
use tinbank_ledger::lease::{Change, Step, Timings, Want};
use tinbank_test_support::property;

#[test]
fn the_fence_of_a_term_is_the_offset_of_its_take() {
    let now = Instant::now();
    let mut holder = state_at_tail(1, now);
    (0..5).for_each(|offset| holder.skip(offset));
    holder.on_read_end(true, now);
    let take = step_to_append(&mut holder, now);

    holder.apply(5, &envelope(1, 1, take));

    assert_eq!(holder.term().map(|term| term.fence), Some(5));
}

#[test]
fn a_term_ends_before_another_process_may_take_the_lease() {
    let start = Instant::now();
    let mut first = state_at_tail(1, start);
    let mut second = state_at_tail(2, start);
    let take = step_to_append(&mut first, start);
    let taken = envelope(1, 1, take);
    let read = start + Duration::from_millis(20);
    for holder in [&mut first, &mut second] {
        holder.apply(0, &taken);
        holder.on_read_end(true, read);
    }
    let stop_at = first.term().expect("the first holds the lease").stop_at;

    let taken_at = time_of_take(&mut second, read);

    assert!(
        stop_at < taken_at,
        "the old holder may still send orders when the new one takes the lease"
    );
}

#[test]
fn the_term_of_a_paused_holder_ends() {
    let start = Instant::now();
    let mut holder = state_at_tail(1, start);
    let take = step_to_append(&mut holder, start);
    holder.apply(0, &envelope(1, 1, take));
    let awake = start + Duration::from_secs(300);

    let term = holder
        .term()
        .expect("the process has not read that it lost the lease");

    assert!(term.stop_at < awake);
}

#[test]
fn a_term_ends_when_a_take_of_another_process_is_read() {
    let start = Instant::now();
    let mut holder = state_at_tail(1, start);
    let take = step_to_append(&mut holder, start);
    holder.apply(0, &envelope(1, 1, take));

    holder.apply(
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
fn a_duplicate_take_does_not_start_a_new_term() {
    let start = Instant::now();
    let mut holder = state_at_tail(1, start);
    let take = step_to_append(&mut holder, start);
    let resent = envelope(1, 1, take);
    holder.apply(0, &resent);

    holder.apply(1, &resent);

    assert_eq!(holder.term().map(|term| term.fence), Some(0));
}

/// Another process may hold the lease by the entry in between, which the writer of the take had not read.
#[test]
fn a_take_that_does_not_directly_follow_the_last_read_entry_is_invalid() {
    let now = Instant::now();
    let mut holder = state_at_tail(1, now);
    let take = step_to_append(&mut holder, now);
    holder.skip(0);

    holder.apply(1, &envelope(1, 1, take));

    assert_eq!(holder.term(), None);
}

#[test]
fn the_lease_can_be_taken_after_the_silence_of_a_holder_whose_records_were_trimmed() {
    let start = Instant::now();
    let mut holder = LeaseState::new(writer(2), Timings::default());
    holder.on_trimmed(40);

    let taken_at = time_of_take(&mut holder, start);
    let take = Lease::Take {
        epoch: 41,
        expected: Some(39),
    };
    holder.apply(40, &envelope(2, 1, take));

    assert!(
        taken_at - start >= Timings::default().silence,
        "an unknown process may hold the lease"
    );
    assert_eq!(holder.term().map(|term| term.fence), Some(40));
}

#[test]
fn a_record_of_an_unknown_holder_restarts_its_silence() {
    let start = Instant::now();
    let mut holder = LeaseState::new(writer(2), Timings::default());
    holder.on_trimmed(40);
    holder.on_read_end(true, start);
    let renewed = start + Duration::from_secs(1);
    holder.apply(40, &envelope(1, 9, Lease::Renew { epoch: 3 }));

    let taken_at = time_of_take(&mut holder, renewed);

    assert!(taken_at - renewed >= Timings::default().silence);
}

#[test]
fn a_holder_that_has_not_read_trimmed_entries_loses_its_term() {
    let start = Instant::now();
    let mut holder = state_at_tail(1, start);
    let take = step_to_append(&mut holder, start);
    holder.apply(0, &envelope(1, 1, take));

    holder.on_trimmed(40);

    assert_eq!(holder.term(), None);
}

#[test]
fn a_late_duplicate_does_not_confirm_a_newer_step() {
    let start = Instant::now();
    let mut holder = state_at_tail(1, start);
    let taken = envelope(1, 1, step_to_append(&mut holder, start));
    holder.apply(0, &taken);
    holder.on_read_end(true, start);
    let before = holder.term();
    step_to_append(&mut holder, start + Duration::from_secs(2));

    holder.apply(1, &taken);

    assert_eq!(holder.term(), before);
}

proptest! {
    #![proptest_config(property::config(512))]

    /// From the first valid take that it reads, a late reader reaches the same result as one that read the whole stream.
    #[test]
    fn readers_that_begin_at_different_offsets_reach_the_same_result(
        steps in prop::collection::vec((0_u32..3, 0_u8..6), 1..40), first in 0_usize..40
    ) {
        let mut whole = LeaseState::new(writer(9), Timings::default());
        let mut late = LeaseState::new(writer(8), Timings::default());
        late.on_trimmed(first as u64);
        let mut is_synchronized = false;

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
            let change = whole.apply(offset, &envelope);
            if offset >= first as u64 {
                let seen = late.apply(offset, &envelope);
                is_synchronized |= matches!(change, Some(Change::Taken(_)));
                if is_synchronized {
                    prop_assert_eq!(seen, change);
                    prop_assert_eq!(late.lease(), whole.lease());
                }
            }
        }
    }

    #[test]
    fn arbitrary_records_do_not_panic(
        records in prop::collection::vec((0_u32..3, small_or_max_u64(), small_or_max_u64(), prop::option::of(small_or_max_u64()), 0_u8..4, small_or_max_u64()), 0..20)
    ) {
        let mut holder = state_at_tail(1, Instant::now());

        for (host, sequence, epoch, expected, kind, offset) in records {
            let record = match kind {
                0 => Lease::Take { epoch, expected },
                1 => Lease::Renew { epoch },
                _ => Lease::Release { epoch },
            };
            holder.apply(offset, &envelope(host, sequence, record));
            holder.skip(offset);
            holder.step(want(), Instant::now());
        }
    }
}

fn small_or_max_u64() -> impl Strategy<Value = u64> {
    prop_oneof![0_u64..4, prop::sample::select(vec![u64::MAX - 1, u64::MAX])]
}

fn state_at_tail(host: u32, now: Instant) -> LeaseState {
    let mut holder = LeaseState::new(writer(host), Timings::default());
    holder.on_read_end(true, now);
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

fn want() -> Want {
    Want {
        rank: Some(0),
        live: true,
        ..Want::default()
    }
}

fn step_to_append(holder: &mut LeaseState, now: Instant) -> Lease {
    match holder.step(want(), now) {
        Step::Append(record) => record,
        step => panic!("expected an append, got {step:?}"),
    }
}

/// Advances time, with reads at the tail that return nothing, until the process takes the lease.
fn time_of_take(holder: &mut LeaseState, from: Instant) -> Instant {
    (0..600)
        .map(|tick| from + Duration::from_millis(100) * tick)
        .find(|now| {
            holder.on_read_end(true, *now);
            matches!(holder.step(want(), *now), Step::Append(_))
        })
        .expect("the process takes the lease within a minute")
}

fn envelope(host: u32, sequence: u64, record: Lease) -> Envelope<Lease> {
    Envelope {
        writer: writer(host),
        sequence,
        stamp: Stamp::default(),
        records: vec![record],
    }
}
