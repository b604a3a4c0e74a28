//! Reads results and the bodies of waiting items.

use std::{
    cmp::Ordering,
    time::{Duration, Instant},
};

use tinbank_jobs::job::{Final, Job};
use tokio::time;

use super::follower;
use crate::{
    border::ingress::{Listed, Page, Reply},
    node::Node,
};

/// Most bytes of results in a page. Source: the users' bound of 1 MB, less the names around the texts.
const PAGE_BYTES: usize = 800_000;
/// Bytes that a result takes beside its text.
const RESULT_BYTES: usize = 120;
/// A page without news says that there is none if the table is at most this old. Source: the users' bound of 1 s.
const FRESH: Duration = Duration::from_millis(800);
/// How long a host may take to read the log to its end before it says that it can't tell.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(700);

/// Results of a job from a position on.
pub(crate) async fn page(node: &Node, job: &str, from: usize, wait: Duration) -> Reply {
    let until = Instant::now() + wait;
    if listed(node, job).is_none_or(|listed| listed < from) {
        let caught_up = follower::catch_up(node, Instant::now() + CATCH_UP_TIMEOUT).await;
        match listed(node, job) {
            Some(listed) if listed >= from => {}
            _ if !caught_up => return unsure(job, "log not read to its end"),
            None => return not_found(job),
            Some(_) => return unsure(job, "position beyond the results known"),
        }
    }
    loop {
        let changed = node.batch.changed.notified();
        if let Some(page) = read(node, job, from)
            && (!page.results.is_empty() || page.next == page.total as usize)
        {
            return Reply::Results(page);
        }
        if time::timeout_at(until.into(), changed).await.is_err() {
            break;
        }
    }
    if !node.batch.is_fresh(FRESH) {
        return unsure(job, "log read too long ago");
    }
    read(node, job, from).map_or(Reply::NotFound, Reply::Results)
}

/// The body of an item that has no result yet.
pub(crate) async fn body(node: &Node, job: &str, item: &str) -> Reply {
    let known = |node: &Node| {
        let table = node.batch.table.borrow();
        let job = table.job(job)?;
        Some(job.waiting(item).map(|item| item.body.clone()))
    };
    if known(node).is_none() {
        let until = Instant::now() + CATCH_UP_TIMEOUT;
        if !follower::catch_up(node, until).await {
            return unsure(job, "log not read to its end");
        }
    }
    match known(node) {
        Some(Some(body)) => Reply::Body(body),
        Some(None) | None => not_found(job),
    }
}

fn unsure(job: &str, why: &'static str) -> Reply {
    log::info!(job, why; "can't tell about the job now");
    Reply::Unsure
}

fn not_found(job: &str) -> Reply {
    log::info!(job; "no such job or item");
    Reply::NotFound
}

fn listed(node: &Node, job: &str) -> Option<usize> {
    node.batch.table.borrow().job(job).map(Job::listed)
}

fn read(node: &Node, job: &str, from: usize) -> Option<Page> {
    let table = node.batch.table.borrow();
    let job = table.job(job)?;
    let mut bytes = 0;
    let mut results = Vec::new();
    for listed in job.results(from) {
        bytes += RESULT_BYTES + text_bytes(listed.result);
        if bytes.cmp(&PAGE_BYTES) == Ordering::Greater && !results.is_empty() {
            break;
        }
        results.push(Listed {
            item: listed.item.to_owned(),
            result: listed.result.clone(),
        });
    }
    Some(Page {
        total: job.total() as u32,
        next: from + results.len(),
        results,
    })
}

fn text_bytes(result: &Final) -> usize {
    match result {
        Final::Completed(text) => text.len(),
        Final::Abandoned(_) => 0,
    }
}
