//! Tests of which items a host takes for running.

use std::rc::Rc;

use tinbank_jobs::record::JobId;

use super::{Run, Runner};

/// Returns a runner with one run of each job.
fn running(jobs: &[&str]) -> Runner {
    let runner = Runner::default();
    for job in jobs {
        let run = Run::new();
        let key = (JobId::from(*job), 0);
        runner.running.borrow_mut().insert(key, Rc::new(run));
    }
    runner
}

/// Guards against items of a later job of the same name that count as running, because a result was being written at the cancellation.
#[test]
fn a_cancelled_job_leaves_no_runs() {
    let runner = running(&["cancelled", "other"]);

    runner.on_cancelled(&JobId::from("cancelled"));

    let running = runner.running.borrow();
    let jobs: Vec<&str> = running.keys().map(|key| key.0.as_str()).collect();
    assert_eq!(jobs, ["other"]);
}
