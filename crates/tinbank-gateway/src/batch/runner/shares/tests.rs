//! Tests in which order a host starts the items of several customers.

use std::time::{Duration, Instant, SystemTime};

use tinbank_jobs::schedule::Due;
use yare::parameterized;

use super::{Contender, Shares};

/// A job with items that may run.
struct Job {
    contender: Contender<'static>,
    items: usize,
    due: Due,
}

fn job(customer: Option<&'static str>, job: &'static str, items: usize, due_s: u64) -> Job {
    let at = SystemTime::UNIX_EPOCH + Duration::from_secs(due_s);
    Job {
        contender: Contender { customer, job },
        items,
        due: Due { is_late: false, at },
    }
}

fn late(job: Job) -> Job {
    let is_late = true;
    let due = Due { is_late, ..job.due };
    Job { due, ..job }
}

/// Starts `count` items one after the other. Returns the names of their jobs, in order.
fn start(shares: &mut Shares, jobs: &mut [Job], count: usize) -> String {
    let now = Instant::now();
    let mut start_next = || {
        let open = jobs.iter_mut().filter(|it| it.items > 0);
        let open: Vec<_> = open.collect();
        let contenders: Vec<_> = open.iter().map(|it| it.contender).collect();
        shares.set_contenders(&contenders, now);
        let open = open.into_iter();
        let next = open.min_by_key(|it| shares.turn(it.contender, it.due));
        let next = next.expect("an open job");
        next.items -= 1;
        shares.record_start(next.contender, 1_000, 1_000, now);
        next.contender.job
    };
    (0..count).map(|_| start_next()).collect()
}

#[parameterized(
    a_large_job_does_not_hold_up_a_small_one = { vec![job(Some("a"), "L", 200, 10), job(Some("b"), "s", 5, 20)], "LsLsLsLsLsLL" },
    the_jobs_of_one_customer_count_as_one = { vec![job(Some("a"), "1", 9, 10), job(Some("a"), "2", 9, 11), job(Some("b"), "b", 9, 12)], "1b2b1b2b" },
    an_item_that_can_be_on_time_runs_before_late_ones = { vec![job(Some("a"), "i", 4, 10), late(job(Some("b"), "l", 4, 5))], "iiiil" },
    jobs_without_a_customer_run_in_order_of_their_due_times = { vec![job(None, "2", 3, 20), job(None, "1", 3, 10)], "1112" },
)]
fn the_customer_with_the_least_work_is_served_next(jobs: Vec<Job>, expected: &str) {
    let mut jobs = jobs;

    let started = start(&mut Shares::default(), &mut jobs, expected.len());

    assert_eq!(started, expected);
}

#[test]
fn a_job_that_arrives_later_takes_turns_with_those_that_were_served_before() {
    let mut shares = Shares::default();
    let mut jobs = [job(Some("a"), "a", 50, 10), job(Some("b"), "b", 0, 9)];
    start(&mut shares, &mut jobs, 20);
    jobs[1].items = 5;

    assert_eq!(start(&mut shares, &mut jobs, 6), "bababa");
}
