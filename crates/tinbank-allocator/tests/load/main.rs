//! What callers get under load, played in virtual time: arrivals of some patterns against allocators and upstreams of sizes
//! that no deployment has.

mod caller;
mod play;
mod upstream;

use std::time::{Duration, Instant};

use caller::{Pattern, Tally, arrivals};
use play::{Load, Policy, play};
use upstream::bound;
use yare::parameterized;

/// How long arrivals go on.
const LENGTH: Duration = Duration::from_secs(10);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn load(
    failure_domains: usize,
    upstreams: usize,
    slots: usize,
    held: Duration,
    target: Duration,
) -> Load {
    Load {
        failure_domains,
        upstreams,
        slots,
        target,
        time: (held * 7).max(target * 12),
        held,
        first_event: target / 12,
        has_batch: false,
        slow: 0,
        policy: Policy::Admission,
        loses_one_in: None,
    }
}

fn slots(load: Load) -> usize {
    load.failure_domains * load.upstreams * load.slots
}

/// Requests at a percentage of what the upstreams can carry.
fn requests(load: Load, pattern: Pattern, percent: u32) -> Vec<Instant> {
    let carried = slots(load) as f64 / load.held.as_secs_f64();
    let per_second = carried * f64::from(percent) / 100.0;
    arrivals(pattern, per_second, LENGTH, Instant::now() + ms(60_000))
}

/// What callers got, and how many could have had their answers in time.
fn played(load: Load, pattern: Pattern, percent: u32) -> (Tally, usize) {
    let requests = requests(load, pattern, percent);
    let patience = load.target - load.first_event;
    let best = bound(&requests, slots(load), load.held, patience);
    let tally = play(load, &requests);
    println!("{pattern:?} at {percent}%: {tally:?}, at best {best} in time");
    (tally, best)
}

#[parameterized(
    three_small = { load(3, 1, 4, ms(300), ms(200)), Pattern::OnOff, 70 },
    seven = { load(1, 7, 8, ms(700), ms(300)), Pattern::OnOff, 70 },
    thirty_one = { load(1, 31, 8, ms(700), ms(300)), Pattern::Jump, 60 },
    a_hundred_and_fifty = { load(5, 30, 4, ms(1_000), ms(500)), Pattern::Jump, 60 },
    large_slots = { load(2, 3, 32, ms(2_000), ms(1_000)), Pattern::Jump, 60 },
    all_back = { load(4, 3, 8, ms(700), ms(300)), Pattern::AllBack, 80 },
    long_requests = { load(2, 4, 8, ms(10_000), ms(2_000)), Pattern::OnOff, 60 },
    steady = { load(4, 3, 8, ms(700), ms(300)), Pattern::Steady, 110 },
    short_requests = { load(3, 5, 1, ms(20), ms(100)), Pattern::OnOff, 60 },
)]
fn nearly_all_that_could_be_in_time_are(load: Load, pattern: Pattern, percent: u32) {
    let (tally, best) = played(load, pattern, percent);

    assert!(
        tally.in_time * 100 >= best * LEAST_OF_BEST,
        "{tally:?}, at best {best}"
    );
}

/// Least part of what an allocator that knows all could serve in time, in percent.
const LEAST_OF_BEST: usize = 85;

#[parameterized(
    jump = { Pattern::Jump },
    all_back = { Pattern::AllBack },
    on_off = { Pattern::OnOff },
)]
fn more_are_in_time_than_if_requests_waited_inside_upstreams(pattern: Pattern) {
    let load = load(4, 3, 8, ms(700), ms(300));
    let inside = Load {
        policy: Policy::InsideUpstreams,
        ..load
    };

    let (tally, _) = played(load, pattern, 85);
    let (other, _) = played(inside, pattern, 85);

    assert!(
        tally.in_time * 100 > other.in_time * 110,
        "{tally:?} against {other:?}"
    );
}

#[test]
fn callers_that_come_again_make_no_new_one_late() {
    let load = load(4, 3, 8, ms(700), ms(300));
    let as_new = Load {
        policy: Policy::LateAsNew,
        ..load
    };

    let (tally, best) = played(load, Pattern::Jump, 60);
    let (other, _) = played(as_new, Pattern::Jump, 60);

    assert!(
        tally.in_time * 100 >= best * 90,
        "{tally:?}, at best {best}"
    );
    assert!(tally.in_time > other.in_time, "{tally:?} against {other:?}");
}

#[test]
fn nobody_is_held_for_longer_than_is_of_use() {
    let load = load(2, 4, 8, ms(700), ms(300));

    let (tally, _) = played(load, Pattern::Jump, 80);

    assert!(tally.refused > 0);
    assert!(tally.longest_in_vain <= load.held + ms(100), "{tally:?}");
}

#[test]
fn batch_fills_the_gaps_and_makes_no_online_request_late() {
    let alone = load(4, 3, 8, ms(700), ms(300));
    let beside = Load {
        has_batch: true,
        ..alone
    };

    let (alone, _) = played(alone, Pattern::OnOff, 60);
    let (beside, _) = played(beside, Pattern::OnOff, 60);

    assert!(beside.items > 0);
    assert!(
        beside.in_time * 100 >= alone.in_time * 97,
        "{beside:?} against {alone:?}"
    );
}

/// A slot kept free of batch at each of 31 upstreams was one in seven of all slots.
#[test]
fn batch_gets_nearly_all_slots_that_many_upstreams_leave_free() {
    let alone = load(1, 31, 7, ms(700), ms(300));
    let beside = Load {
        has_batch: true,
        ..alone
    };

    let (alone, _) = played(alone, Pattern::OnOff, 40);
    let (beside, _) = played(beside, Pattern::OnOff, 40);

    // 192 with a slot kept free at each upstream.
    assert!(beside.items >= 200, "{beside:?}");
    assert!(
        beside.in_time * 100 >= alone.in_time * 99,
        "{beside:?} against {alone:?}"
    );
}

#[test]
fn slow_upstreams_cost_little_more_than_what_they_can_t_carry() {
    let load = load(4, 3, 8, ms(700), ms(300));
    let with_slow = Load { slow: 1, ..load };
    // Of three upstreams one carries a quarter.
    let carried = 100 * 9 / 12;

    let (tally, best) = played(load, Pattern::Steady, 100);
    let (other, _) = played(with_slow, Pattern::Steady, 100);

    assert!(
        other.in_time * 100 >= best * carried * 90 / 100,
        "{other:?} against {tally:?}"
    );
}

#[test]
fn lost_datagrams_cost_little() {
    let load = load(4, 3, 8, ms(700), ms(300));
    let lossy = Load {
        loses_one_in: Some(40),
        ..load
    };

    let (tally, _) = played(load, Pattern::OnOff, 70);
    let (other, _) = played(lossy, Pattern::OnOff, 70);

    assert!(
        other.in_time * 100 >= tally.in_time * 90,
        "{other:?} against {tally:?}"
    );
}
