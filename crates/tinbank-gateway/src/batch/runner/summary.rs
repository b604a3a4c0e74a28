//! Counts the pending items by what they wait for, so that an item that never runs again can be told from one that waits its turn.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tinbank_quarantine::Kind;
use tokio::time;

use super::{Key, Runner};
use crate::{batch::ownership, measure, node::Node};

/// Interval of the counts. Each examines all pending items of the log.
const INTERVAL: Duration = Duration::from_secs(5);

/// The pending items of all jobs, as one host sees them.
#[derive(Debug, Default, PartialEq, Eq)]
struct Summary {
    /// Items of other hosts.
    not_owned: usize,
    /// Items that are running, or whose result is being written.
    running: usize,
    /// Items whose content is quarantined.
    quarantined: usize,
    /// Items with a quarantined part of a prompt.
    quarantined_part: usize,
    /// Items that may not run before a time, since they were denied a slot or their last run broke off.
    delayed: usize,
    /// Items that wait for a slot.
    due: usize,
    /// How long the longest of the runs has taken, including the write of its result.
    longest_run: Duration,
}

impl Summary {
    fn add(&mut self, runner: &Runner, key: &Key, now: Instant) {
        if let Some(run) = runner.running.borrow().get(key) {
            self.running += 1;
            self.longest_run = self.longest_run.max(now.duration_since(run.started_at));
            return;
        }
        let waiting = runner.waiting.borrow();
        let waiting = waiting.get(key);
        let is_delayed = waiting.and_then(|it| it.until).is_some_and(|it| now < it);
        let state = match waiting.and_then(|it| it.quarantined) {
            _ if !is_delayed => &mut self.due,
            Some(Kind::Part) => &mut self.quarantined_part,
            Some(_) => &mut self.quarantined,
            None => &mut self.delayed,
        };
        *state += 1;
    }
}

/// Logs and measures what the pending items wait for, for as long as it is polled.
pub(in crate::batch) async fn report(node: Rc<Node>) {
    loop {
        time::sleep(INTERVAL).await;
        let summary = summarize(&node);
        measure::set_pending_items(&[
            ("running", summary.running),
            ("quarantined", summary.quarantined),
            ("quarantined_part", summary.quarantined_part),
            ("delayed", summary.delayed),
            ("due", summary.due),
        ]);
        if summary == Summary::default() {
            continue;
        }
        let Summary {
            not_owned,
            running,
            quarantined,
            quarantined_part,
            delayed,
            due,
            longest_run,
        } = summary;
        let longest_run_ms = longest_run.as_millis() as u64;
        log::info!(not_owned, running, longest_run_ms, quarantined, quarantined_part, delayed, due; "pending items");
    }
}

fn summarize(node: &Node) -> Summary {
    let mut summary = Summary::default();
    let Some(config) = node.view.config() else {
        return summary;
    };
    let now = Instant::now();
    let table = node.batch.table.borrow();
    for job in table.open_jobs() {
        if !ownership::may_start(node, &config, job) {
            summary.not_owned += job.pending().count();
            continue;
        }
        for (index, _) in job.pending() {
            summary.add(&node.batch.runner, &(job.id.clone(), index), now);
        }
    }
    summary
}
