//! Reads the job log and applies its records to the table.

use std::{
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

use log::Level;
use tinbank_feed::ResponseTimeout;
use tinbank_jobs::{
    change::{Change, Verdict},
    fragment::{Joined, Joiner},
    job::Job,
    record::{JobId, Record},
};
use tokio::time;

use super::{JOBS, contents, ownership};
use crate::{
    border::store::{Error, Offset, Page, Range},
    dependency::Dependency,
    node::Node,
};

/// How long a read waits for a record. An empty page of results may be this old, and the platform allows 1 s.
const LONG_POLL_MS: u64 = 400;
/// Initial timeout of a read, beyond its wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Limit on the bytes of one read. It holds some thousand records, and a host needs little memory.
const PAGE_BYTES: usize = 256 << 10;
/// Pause after a read that returned records, so that several are read together: each call to the store has a cost. Less
/// than half of the time between two reads of a caller.
const READ_PAUSE: Duration = Duration::from_millis(300);
/// Time after the acknowledgement of an append in which a waiting read is expected to return its records. Several times
/// the 4 ms of an answer of the store, and far below the target for accepting a job.
const LONG_POLL_WAKE_TIME: Duration = Duration::from_millis(25);
/// Time for which jobs are kept beyond the time for which they are readable, to allow for clock skew between hosts.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);
/// Interval at which jobs that are over are dropped.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// Follows the job log for as long as it is polled.
pub(super) async fn follow(node: Rc<Node>) {
    let mut joiner = Joiner::default();
    let mut dependency = Dependency::new("jobs");
    let mut response_timeout = ResponseTimeout::new(ANSWER_TIMEOUT);
    let mut may_wait = true;
    let mut pruned_at = Instant::now();
    loop {
        let from = node.batch.next_offset.get();
        match next_page(&node, from, may_wait, response_timeout.duration()).await {
            Ok(page) => {
                response_timeout.on_response();
                may_wait = true;
                dependency.record_success();
                let has_records = !page.records.is_empty();
                let end = page.end;
                apply_page(&node, &mut joiner, from, page);
                if !has_records && node.batch.is_behind() {
                    time::sleep(LONG_POLL_WAKE_TIME).await;
                }
                if has_records && node.batch.next_offset.get() >= end {
                    // A caller that waits for a record ends the pause.
                    let _ = time::timeout(READ_PAUSE, node.batch.awaited.notified()).await;
                }
            }
            Err(Error::Trimmed { first }) => {
                log::warn!(offset = from, first; "records of jobs were trimmed, continuing after them");
                joiner.reset();
                node.batch.table.borrow_mut().skip_to(first);
                node.batch.next_offset.set(first);
            }
            Err(error) => {
                dependency.record_failure(&error);
                if matches!(error, Error::Unknown(_)) {
                    response_timeout.on_timeout();
                    may_wait = false;
                }
                node.retry.backoff().await;
            }
        }
        if pruned_at.elapsed() > PRUNE_INTERVAL {
            pruned_at = Instant::now();
            let retention = node.settings.job_retention + RETENTION_MARGIN;
            let mut table = node.batch.table.borrow_mut();
            table.prune(retention, SystemTime::now());
            node.batch.contents.retain(|id| {
                let is_open = table.job(id).is_some_and(Job::is_open);
                is_open && ownership::owns(&node, id)
            });
        }
    }
}

/// Reads the records from an offset on, and waits for one if `may_wait`. If a caller awaits records that are already in the log and the
/// waiting read does not return them, a read without wait replaces it: a store may fail to wake waiting reads while it answers all
/// others. Without a caller, such a read is noticed when it is not answered.
async fn next_page(
    node: &Node,
    from: Offset,
    may_wait: bool,
    timeout: Duration,
) -> Result<Page, Error> {
    if may_wait && !node.batch.is_behind() {
        tokio::select! {
            page = read(node, from, LONG_POLL_MS, timeout) => return page,
            () = long_poll_overdue(node) => {
                let wanted = node.batch.awaited_end.get();
                log::info!(offset = from, wanted; "read that waits for records does not return them, reading again without wait");
            }
        }
    }
    read(node, from, 0, timeout).await
}

async fn read(node: &Node, from: Offset, wait_ms: u64, timeout: Duration) -> Result<Page, Error> {
    let until = Instant::now() + Duration::from_millis(wait_ms) + timeout;
    let range = Range {
        from,
        bytes: PAGE_BYTES,
        wait_ms,
    };
    node.store.read(JOBS, range, until).await
}

/// Waits until awaited records are overdue, that is, until a waiting read should have returned them.
async fn long_poll_overdue(node: &Node) {
    loop {
        node.batch.awaited.notified().await;
        time::sleep(LONG_POLL_WAKE_TIME).await;
        if node.batch.is_behind() {
            return;
        }
    }
}

/// Waits until all records that are in the log at the time of the call are applied. Returns false if that takes too long.
///
/// Returns false at once until the log was read to its end: an additional read of each caller would only delay that.
pub(super) async fn catch_up(node: &Node, until: Instant) -> bool {
    if !node.batch.is_caught_up() {
        return false;
    }
    let from = node.batch.next_offset.get();
    let range = Range {
        from,
        bytes: 1,
        wait_ms: 0,
    };
    let page = match node.store.read(JOBS, range, until).await {
        Ok(page) => page,
        Err(error) => {
            log::info!(error:%; "cannot read the end of the log of jobs");
            return false;
        }
    };
    wait_until_applied(node, page.end, until).await
}

/// Waits until all records before `end` are applied. Returns false if that takes too long.
pub(super) async fn wait_until_applied(node: &Node, end: Offset, until: Instant) -> bool {
    node.batch.mark_awaited(end);
    let waited = time::timeout_at(until.into(), async {
        while node.batch.next_offset.get() < end {
            node.batch.changed.notified().await;
        }
    });
    waited.await.is_ok()
}

fn apply_page(node: &Node, joiner: &mut Joiner, from: Offset, page: Page) {
    let batch = &node.batch;
    let mut offset = from;
    for fragment in &page.records {
        if let Some(joined) = joiner.push(offset, fragment) {
            apply_record(node, joined);
        }
        offset += 1;
    }
    batch.next_offset.set(offset);
    if offset >= page.end {
        node.sharing.record_store_read(Instant::now());
        if !batch.caught_up.replace(true) {
            log::info!(offset, jobs = batch.table.borrow().len(); "log of jobs read to its end");
        }
    }
    batch.changed.notify_waiters();
}

fn apply_record(node: &Node, joined: Joined) {
    let record = match Record::decode(&joined.bytes) {
        Ok(record) => record,
        Err(error) => {
            log::error!(offset = joined.offset, error:%; "unreadable record of jobs skipped");
            return;
        }
    };
    let contents = contents::inline(&record).cloned();
    let change = node.batch.table.borrow_mut().apply(joined.offset, record);
    match change {
        Change::Submitted { call, job, verdict } => {
            let level = log_level(node, &job);
            log::log!(level, job:%, call, offset = joined.offset, verdict:?; "job submitted");
            if let Some(contents) = contents
                && verdict == Verdict::Accepted
                && ownership::owns(node, &job)
            {
                node.batch.contents.insert(job.clone(), contents);
            }
            let sender = node.batch.verdicts.borrow_mut().remove(&call);
            if let Some(sender) = sender
                && sender.send(verdict).is_err()
            {
                log::debug!(job:%; "submit call no longer waits for its verdict");
            }
        }
        Change::Finished { job, index } => {
            if node.batch.runner.on_finished(&job, index) {
                log::info!(job:%, item = index, offset = joined.offset; "item finished");
            }
        }
        Change::Checkpointed { job, index, run } | Change::RunStarted { job, index, run } => {
            node.batch.runner.on_checkpointed(&job, index, run)
        }
        Change::Conflict { job, index, run } => {
            let level = log_level(node, &job);
            log::log!(level, job:%, item = index, offset = joined.offset, run; "run of an item discarded, another run is ahead");
            node.batch.runner.on_conflict(&job, index, run);
        }
        Change::Cancelled { job } => {
            let level = log_level(node, &job);
            log::log!(level, job:%, offset = joined.offset; "job cancelled by its caller");
            node.batch.runner.on_cancelled(&job);
        }
        Change::Failed { job, index } => {
            log::debug!(job:%, item = index, offset = joined.offset; "run of an item failed");
        }
        Change::TakenOver { id } => node.batch.ownership.on_taken_over(id, joined.offset),
        Change::Dropped => log::debug!(offset = joined.offset; "record of jobs dropped"),
    }
}

/// Returns the log level for records of a job. Every delegate applies every record, so only the owner of the job logs them at
/// `Info`. With a line at each delegate, 500 jobs made 10,000 lines.
fn log_level(node: &Node, job: &JobId) -> Level {
    match ownership::owns(node, job) {
        true => Level::Info,
        false => Level::Debug,
    }
}
