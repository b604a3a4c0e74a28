//! Tests in which order a host starts the items of several customers.

use std::time::{Duration, Instant, SystemTime};

use tinbank_jobs::schedule::Due;

use super::{Contender, Shares};

/// A job with items that may run.
#[derive(Clone, Copy)]
struct Job {
    customer: Option<&'static str>,
    name: &'static str,
    items: usize,
    is_late: bool,
    due_s: u64,
}

const fn job(customer: Option<&'static str>, name: &'static str, items: usize, due_s: u64) -> Job {
    Job {
        customer,
        name,
        items,
        is_late: false,
        due_s,
    }
}

/// Starts `count` items one after the other. Returns their jobs, in order.
fn start(shares: &mut Shares, jobs: &mut [Job], count: usize) -> Vec<&'static str> {
    let now = Instant::now();
    let mut started = Vec::new();
    for _ in 0..count {
        let open = jobs.iter().filter(|it| it.items > 0);
        let contender = |it: &Job| Contender {
            customer: it.customer,
            job: it.name,
        };
        let contenders: Vec<_> = open.map(contender).collect();
        shares.set_contenders(&contenders, now);
        let turn = |it: &Job| {
            let at = SystemTime::UNIX_EPOCH + Duration::from_secs(it.due_s);
            let is_late = it.is_late;
            shares.turn(contender(it), Due { is_late, at })
        };
        let open = jobs.iter_mut().filter(|it| it.items > 0);
        let next = open.min_by_key(|it| turn(it)).expect("an open job");
        next.items -= 1;
        started.push(next.name);
        shares.record_start(contender(next), 1_000, 1_000, now);
    }
    started
}

fn count(started: &[&str], job: &str) -> usize {
    started.iter().filter(|it| **it == job).count()
}

#[test]
fn a_job_of_200_items_does_not_hold_up_one_of_5() {
    let mut shares = Shares::default();
    let mut jobs = [
        job(Some("a"), "large", 200, 10),
        job(Some("b"), "small", 0, 20),
    ];
    start(&mut shares, &mut jobs, 20);
    jobs[1].items = 5;

    let started = start(&mut shares, &mut jobs, 10);

    assert_eq!((count(&started, "small"), jobs[0].items), (5, 175));
}

#[test]
fn the_jobs_of_one_customer_count_as_one() {
    let mut jobs = [
        job(Some("a"), "a1", 50, 10),
        job(Some("a"), "a2", 50, 11),
        job(Some("a"), "a3", 50, 12),
        job(Some("b"), "b1", 50, 13),
    ];

    let started = start(&mut Shares::default(), &mut jobs, 12);

    let counts = ["a1", "a2", "a3", "b1"].map(|it| count(&started, it));
    assert_eq!(counts, [2, 2, 2, 6]);
}

#[test]
fn an_item_that_can_be_on_time_runs_before_late_ones() {
    let mut jobs = [
        job(Some("a"), "in time", 4, 10),
        job(Some("b"), "late", 4, 5),
    ];
    jobs[1].is_late = true;

    let started = start(&mut Shares::default(), &mut jobs, 5);

    assert_eq!(started[..4], ["in time"; 4]);
}

/// Guards against a change of behaviour where the configuration has no customers.
#[test]
fn jobs_without_a_customer_run_in_order_of_their_due_times() {
    let mut jobs = [job(None, "second", 3, 20), job(None, "first", 3, 10)];

    let started = start(&mut Shares::default(), &mut jobs, 4);

    assert_eq!(started, ["first", "first", "first", "second"]);
}
