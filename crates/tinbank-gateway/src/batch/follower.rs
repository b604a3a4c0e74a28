//! Reads the log of jobs and folds it.

use std::{
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

use log::Level;
use tinbank_feed::Patience;
use tinbank_jobs::{
    change::{Change, Verdict},
    fragment::{Joined, Joiner},
    job::Job,
    record::{JobId, Record},
};
use tokio::time;

use super::{JOBS, contents, owner};
use crate::{
    border::store::{Error, Offset, Page, Range},
    dependency::Dependency,
    node::Node,
};

/// How long a read waits for a record. Source: a page without news may be this old, and the platform's bound is 1 s.
const WAIT_MS: u64 = 400;
/// Time that the answer to a read may take beyond its wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Most bytes that are read at once: some thousand records, while a host needs little memory.
const PAGE_BYTES: usize = 256 << 10;
/// Pause between two reads that found records, so that several are read together: each call at the store has a price.
/// Source: less than half of the time between two reads of a caller.
const REST: Duration = Duration::from_millis(300);
/// Within this time after an append is acknowledged, a read that waits for news tells its records. Source: some times
/// the 4 ms that an answer of the store takes, far below the target for accepting a job.
const WAKE_TIME: Duration = Duration::from_millis(25);
/// Time beyond that for which a job is readable after which it is dropped: clocks of hosts differ.
const KEPT_MARGIN: Duration = Duration::from_secs(30);
/// How often jobs that are over are dropped.
const PRUNE: Duration = Duration::from_secs(5);

/// Follows the log for as long as it is polled.
pub(super) async fn follow(node: Rc<Node>) {
    let mut joiner = Joiner::default();
    let mut log_of_jobs = Dependency::new("jobs");
    let mut patience = Patience::new(ANSWER_TIMEOUT);
    let mut pruned_at = Instant::now();
    loop {
        let from = node.batch.next.get();
        match next_page(&node, from, patience.duration()).await {
            Ok(page) => {
                patience.answered();
                log_of_jobs.reached();
                let news = !page.records.is_empty();
                let end = page.end;
                take_in(&node, &mut joiner, from, page);
                if !news && node.batch.is_behind() {
                    time::sleep(WAKE_TIME).await;
                }
                if news && node.batch.next.get() >= end {
                    // Whoever waits for a record of its own cuts the pause short.
                    let _ = time::timeout(REST, node.batch.hurry.notified()).await;
                }
            }
            Err(Error::Trimmed { first }) => {
                log::warn!(offset = from, first; "records of jobs are gone, going on behind them");
                joiner.reset();
                node.batch.next.set(first);
            }
            Err(error) => {
                log_of_jobs.failed(&error);
                if matches!(error, Error::Unknown(_)) {
                    patience.missed();
                }
                node.retry.pause().await;
            }
        }
        if pruned_at.elapsed() > PRUNE {
            pruned_at = Instant::now();
            let kept = node.settings.job_readable + KEPT_MARGIN;
            let mut table = node.batch.table.borrow_mut();
            table.prune(kept, SystemTime::now());
            node.batch.contents.retain(|id| {
                let is_open = table.job(id).is_some_and(Job::is_open);
                is_open && owner::holds(&node, id)
            });
        }
    }
}

/// The records from an offset on. A read that waits for news is given up if somebody waits for records that are in the
/// log already: a store may fail to wake the reads that wait, and still answer those that don't.
async fn next_page(node: &Node, from: Offset, patience: Duration) -> Result<Page, Error> {
    if !node.batch.is_behind() {
        tokio::select! {
            page = read(node, from, WAIT_MS, patience) => return page,
            () = overdue(node) => {
                let wanted = node.batch.wanted.get();
                log::info!(offset = from, wanted; "read that waits for records does not tell them, reading at once");
            }
        }
    }
    read(node, from, 0, patience).await
}

async fn read(node: &Node, from: Offset, wait_ms: u64, patience: Duration) -> Result<Page, Error> {
    let until = Instant::now() + Duration::from_millis(wait_ms) + patience;
    let range = Range {
        from,
        bytes: PAGE_BYTES,
        wait_ms,
    };
    node.store.read(JOBS, range, until).await
}

/// Waits until records that somebody waits for should have been told by a read that waits for news.
async fn overdue(node: &Node) {
    loop {
        node.batch.hurry.notified().await;
        time::sleep(WAKE_TIME).await;
        if node.batch.is_behind() {
            return;
        }
    }
}

/// Waits until the table holds all that the log held when this was called. False if that takes too long.
///
/// While the log was never read to its end, nothing is asked: the answer is known, and callers would add to the load by
/// which it is not read yet.
pub(super) async fn catch_up(node: &Node, until: Instant) -> bool {
    if !node.batch.is_caught_up() {
        return false;
    }
    let from = node.batch.next.get();
    let range = Range {
        from,
        bytes: 1,
        wait_ms: 0,
    };
    let page = match node.store.read(JOBS, range, until).await {
        Ok(page) => page,
        Err(error) => {
            log::info!(error:%; "end of the log of jobs not read");
            return false;
        }
    };
    reached(node, page.end, until).await
}

/// Waits until the table holds all records before an offset. False if that takes too long.
pub(super) async fn reached(node: &Node, end: Offset, until: Instant) -> bool {
    node.batch.want(end);
    let waited = time::timeout_at(until.into(), async {
        while node.batch.next.get() < end {
            node.batch.changed.notified().await;
        }
    });
    waited.await.is_ok()
}

fn take_in(node: &Node, joiner: &mut Joiner, from: Offset, page: Page) {
    let batch = &node.batch;
    let mut offset = from;
    for piece in &page.records {
        if let Some(joined) = joiner.push(offset, piece) {
            apply(node, joined);
        }
        offset += 1;
    }
    batch.next.set(offset);
    if offset >= page.end {
        node.sharing.store_read(Instant::now());
        if !batch.known.replace(true) {
            log::info!(offset, jobs = batch.table.borrow().len(); "log of jobs read to its end");
        }
    }
    batch.changed.notify_waiters();
}

fn apply(node: &Node, joined: Joined) {
    let record = match Record::decode(&joined.bytes) {
        Ok(record) => record,
        Err(error) => {
            log::error!(offset = joined.offset, error:%; "record of jobs skipped");
            return;
        }
    };
    let contents = contents::inline(&record).cloned();
    let change = node.batch.table.borrow_mut().apply(joined.offset, record);
    match change {
        Change::Submitted { call, job, verdict } => {
            let level = level(node, &job);
            log::log!(level, job:%, offset = joined.offset, verdict:?; "job submitted");
            if let Some(contents) = contents
                && verdict == Verdict::Accepted
                && owner::holds(node, &job)
            {
                node.batch.contents.keep(job.clone(), contents);
            }
            let waiting = node.batch.verdicts.borrow_mut().remove(&call);
            if let Some(waiting) = waiting
                && waiting.send(verdict).is_err()
            {
                log::debug!(job:%; "nobody waits for the verdict any more");
            }
        }
        Change::Finished { job, index } => {
            if node.batch.runner.finished(&job, index) {
                log::info!(job:%, item = index, offset = joined.offset; "item finished");
            }
        }
        Change::Checkpointed { job, index, run } => node.batch.runner.advanced(&job, index, run),
        Change::Conflict { job, index, run } => {
            let level = level(node, &job);
            log::log!(level, job:%, item = index, offset = joined.offset, run; "run of an item refused, another one is further");
            node.batch.runner.refused(&job, index, run);
        }
        Change::Cancelled { job } => {
            let level = level(node, &job);
            log::log!(level, job:%, offset = joined.offset; "job ended by its caller");
            node.batch.runner.ended(&job);
        }
        Change::Failed { job, index } => {
            log::debug!(job:%, item = index, offset = joined.offset; "run of an item failed");
        }
        Change::Dropped => log::debug!(offset = joined.offset; "record of jobs dropped"),
    }
}

/// How loud a record of a job is noted: by the process that it falls to for all. Every delegate folds every record, and one
/// line of each was 10,000 lines for 500 jobs.
fn level(node: &Node, job: &JobId) -> Level {
    match owner::holds(node, job) {
        true => Level::Info,
        false => Level::Debug,
    }
}
