//! Results of callers under load, simulated in virtual time: arrival patterns against allocators and upstreams of various
//! sizes.

mod caller;
mod shares;
mod simulation;
mod upstream;

use std::time::{Duration, Instant};

use caller::{Pattern, Tally, arrivals};
use simulation::{Load, Policy, simulate};
use upstream::ideal_on_time;
use yare::parameterized;

/// Duration of the arrivals.
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
        loss_one_in: None,
        allocators_lost_after: None,
    }
}

fn slots(load: Load) -> usize {
    load.failure_domains * load.upstreams * load.slots
}

/// Returns arrivals at a percentage of the upstreams' capacity.
fn requests(load: Load, pattern: Pattern, percent: u32) -> Vec<Instant> {
    let capacity = slots(load) as f64 / load.held.as_secs_f64();
    let per_second = capacity * f64::from(percent) / 100.0;
    arrivals(pattern, per_second, LENGTH, Instant::now() + ms(60_000))
}

/// Runs a simulation. Returns the results, and how many requests an ideal allocator could have served on time.
fn run(load: Load, pattern: Pattern, percent: u32) -> (Tally, usize) {
    let requests = requests(load, pattern, percent);
    let max_wait = load.target - load.first_event;
    let ideal = ideal_on_time(&requests, slots(load), load.held, max_wait);
    let tally = simulate(load, &requests);
    println!("{pattern:?} at {percent}%: {tally:?}, ideal {ideal} on time");
    (tally, ideal)
}

#[parameterized(
    three_small = { load(3, 1, 4, ms(300), ms(200)), Pattern::OnOff, 70 },
    seven = { load(1, 7, 8, ms(700), ms(300)), Pattern::OnOff, 70 },
    thirty_one = { load(1, 31, 8, ms(700), ms(300)), Pattern::Jump, 60 },
    a_hundred_and_fifty = { load(5, 30, 4, ms(1_000), ms(500)), Pattern::Jump, 60 },
    large_slots = { load(2, 3, 32, ms(2_000), ms(1_000)), Pattern::Jump, 60 },
    retry_burst = { load(4, 3, 8, ms(700), ms(300)), Pattern::RetryBurst, 80 },
    long_requests = { load(2, 4, 8, ms(10_000), ms(2_000)), Pattern::OnOff, 60 },
    steady = { load(4, 3, 8, ms(700), ms(300)), Pattern::Steady, 110 },
    short_requests = { load(3, 5, 1, ms(20), ms(100)), Pattern::OnOff, 60 },
)]
fn nearly_all_requests_that_can_be_on_time_are(load: Load, pattern: Pattern, percent: u32) {
    let (tally, ideal) = run(load, pattern, percent);

    assert!(
        tally.on_time * 100 >= ideal * MIN_PERCENT_OF_IDEAL,
        "{tally:?}, ideal {ideal}"
    );
}

/// Minimum percentage of the requests that an ideal allocator could serve on time.
const MIN_PERCENT_OF_IDEAL: usize = 85;

#[parameterized(
    jump = { Pattern::Jump },
    retry_burst = { Pattern::RetryBurst },
    on_off = { Pattern::OnOff },
)]
fn more_requests_are_on_time_than_with_queueing_inside_upstreams(pattern: Pattern) {
    let load = load(4, 3, 8, ms(700), ms(300));
    let inside = Load {
        policy: Policy::QueueInUpstreams,
        ..load
    };

    let (tally, _) = run(load, pattern, 85);
    let (other, _) = run(inside, pattern, 85);

    assert!(
        tally.on_time * 100 > other.on_time * 110,
        "{tally:?} against {other:?}"
    );
}

#[test]
fn retries_do_not_delay_first_attempts() {
    let load = load(4, 3, 8, ms(700), ms(300));
    let as_new = Load {
        policy: Policy::RetriesAsFirstAttempts,
        ..load
    };

    let (tally, ideal) = run(load, Pattern::Jump, 60);
    let (other, _) = run(as_new, Pattern::Jump, 60);

    assert!(
        tally.on_time * 100 >= ideal * 90,
        "{tally:?}, ideal {ideal}"
    );
    assert!(tally.on_time > other.on_time, "{tally:?} against {other:?}");
}

#[test]
fn refused_requests_are_not_held_for_long() {
    let load = load(2, 4, 8, ms(700), ms(300));

    let (tally, _) = run(load, Pattern::Jump, 80);

    assert!(tally.refused > 0);
    assert!(tally.longest_refused <= load.held + ms(100), "{tally:?}");
}

#[test]
fn batch_uses_idle_slots_without_delaying_online_requests() {
    let alone = load(4, 3, 8, ms(700), ms(300));
    let beside = Load {
        has_batch: true,
        ..alone
    };

    let (alone, _) = run(alone, Pattern::OnOff, 60);
    let (beside, _) = run(beside, Pattern::OnOff, 60);

    assert!(beside.items > 0);
    assert!(
        beside.on_time * 100 >= alone.on_time * 97,
        "{beside:?} against {alone:?}"
    );
}

/// Guards against items that keep their slots while online requests are refused or late.
#[parameterized(
    bursts_of_twice_the_capacity = { Pattern::OnOff, 200, 0 },
    bursts_of_three_times_the_capacity = { Pattern::OnOff, 300, 0 },
    jump_to_three_times_the_capacity = { Pattern::Jump, 300, 0 },
    retries_and_slow_upstreams = { Pattern::RetryBurst, 300, 1 },
    steady_overload = { Pattern::Steady, 150, 0 },
)]
fn batch_costs_online_requests_nothing_under_overload(pattern: Pattern, percent: u32, slow: usize) {
    let alone = Load {
        slow,
        ..load(4, 3, 8, ms(700), ms(300))
    };
    let beside = Load {
        has_batch: true,
        ..alone
    };

    let (alone, _) = run(alone, pattern, percent);
    let (beside, _) = run(beside, pattern, percent);

    assert!(beside.items > 0, "{beside:?}");
    assert!(
        beside.on_time * 100 >= alone.on_time * 97,
        "{beside:?} against {alone:?}"
    );
}

/// Guards against headroom that grows with the number of upstreams.
#[test]
fn batch_uses_nearly_all_idle_slots_of_many_upstreams() {
    let alone = load(1, 31, 7, ms(700), ms(300));
    let beside = Load {
        has_batch: true,
        ..alone
    };

    let (alone, _) = run(alone, Pattern::OnOff, 40);
    let (beside, _) = run(beside, Pattern::OnOff, 40);

    // More than are possible with one free slot per upstream.
    assert!(beside.items >= 200, "{beside:?}");
    assert!(
        beside.on_time * 100 >= alone.on_time * 99,
        "{beside:?} against {alone:?}"
    );
}

#[test]
fn slow_upstreams_cost_little_more_than_their_lost_capacity() {
    let load = load(4, 3, 8, ms(700), ms(300));
    let with_slow = Load { slow: 1, ..load };
    // One of three upstreams has a quarter of its capacity.
    let capacity = 100 * 9 / 12;

    let (tally, ideal) = run(load, Pattern::Steady, 100);
    let (other, _) = run(with_slow, Pattern::Steady, 100);

    assert!(
        other.on_time * 100 >= ideal * capacity * 90 / 100,
        "{other:?} against {tally:?}"
    );
}

#[test]
fn lost_datagrams_cost_little() {
    let load = load(4, 3, 8, ms(700), ms(300));
    let lossy = Load {
        loss_one_in: Some(40),
        ..load
    };

    let (tally, _) = run(load, Pattern::OnOff, 70);
    let (other, _) = run(lossy, Pattern::OnOff, 70);

    assert!(
        other.on_time * 100 >= tally.on_time * 90,
        "{other:?} against {tally:?}"
    );
}
