//! Serves results of jobs and bodies of pending items.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use tinbank_jobs::{
    job::{ItemResult, Job},
    record::Stored,
};
use tokio::time;

use super::{contents, follower, large};
use crate::{
    border::{
        ingress::{ItemOutcome, Page, PageEntry, Reply},
        store::Error,
    },
    node::Node,
};

/// Limit on the bytes of a page. Below the platform's limit of 1 MB, to leave room for its structure.
const PAGE_BYTES: usize = 800_000;
/// Bytes of a result beside its text.
const RESULT_OVERHEAD: usize = 120;
/// Limit on the age of the table for an empty page. Below the platform's limit of 1 s.
const MAX_STALENESS: Duration = Duration::from_millis(800);
/// Time after which a page is returned with the texts read so far. Well below the 1.5 s that callers wait beyond the requested
/// wait.
const FILL_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of texts that are read concurrently.
const CONCURRENT_READS: usize = 8;
/// Limit on the time to catch up with the log before a call is answered as unsure.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(700);

/// A page whose texts are not read yet.
struct Outline {
    total: u32,
    next: usize,
    results: Vec<(String, ItemResult)>,
}

/// Returns the results of a job from a position on, and waits up to `wait` for the first one.
pub(crate) async fn page(node: &Node, job: &str, from: usize, wait: Duration) -> Reply {
    let until = Instant::now() + wait;
    if result_count(node, job).is_none_or(|count| count < from) {
        let caught_up = follower::catch_up(node, Instant::now() + CATCH_UP_TIMEOUT).await;
        match result_count(node, job) {
            Some(count) if count >= from => {}
            _ if !caught_up => return unsure(job, "log not read to its end"),
            None => return absent(node, job),
            Some(_) => return unsure(job, "position beyond the results known"),
        }
    }
    loop {
        let changed = node.batch.changed.notified();
        if let Some(outline) = outline(node, job, from)
            && (!outline.results.is_empty() || outline.next == outline.total as usize)
        {
            return fill(node, job, outline).await;
        }
        if time::timeout_at(until.into(), changed).await.is_err() {
            break;
        }
    }
    if !node.sharing.has_read_store(MAX_STALENESS, Instant::now())
        && !follower::catch_up(node, Instant::now() + CATCH_UP_TIMEOUT).await
    {
        return unsure(job, "log not read recently");
    }
    match outline(node, job, from) {
        Some(outline) => fill(node, job, outline).await,
        None => absent(node, job),
    }
}

/// Reads the texts of a page. The page ends early at a text that can't be read or when the time is up, so that callers that
/// would time out waiting for the whole page make progress.
async fn fill(node: &Node, job: &str, outline: Outline) -> Reply {
    let until = Instant::now() + FILL_TIMEOUT;
    let from = outline.next - outline.results.len();
    let filled = outline.results.iter().map(|(item, result)| async move {
        let result = match result {
            ItemResult::Abandoned(reason) => Ok(ItemOutcome::Abandoned(*reason)),
            ItemResult::Completed(pieces) => text(node, pieces).await.map(ItemOutcome::Completed),
        };
        (item, result)
    });
    let mut filled = stream::iter(filled).buffered(CONCURRENT_READS);
    let mut results = Vec::with_capacity(outline.results.len());
    while let Some((item, result)) = filled.next().await {
        match result {
            Ok(result) => results.push(PageEntry {
                item: item.clone(),
                result,
            }),
            Err(error) => {
                log::warn!(job, item:%, error:%; "text of a result not read");
                break;
            }
        }
        if Instant::now() > until {
            break;
        }
    }
    if results.is_empty() && !outline.results.is_empty() {
        return unsure(job, "texts not read");
    }
    Reply::Results(Page {
        total: outline.total,
        next: from + results.len(),
        results,
    })
}

/// Reads the pieces of a text and joins them, without the line feed after the last event.
async fn text(node: &Node, pieces: &[Stored]) -> Result<Bytes, Error> {
    let size = pieces.iter().map(|piece| piece.bytes as usize).sum();
    let mut text = BytesMut::with_capacity(size);
    for piece in pieces {
        text.extend_from_slice(&large::read(node, *piece).await?);
    }
    if text.ends_with(b"\n") {
        text.truncate(text.len() - 1);
    }
    Ok(text.freeze())
}

/// Returns the body of an item that may still run.
pub(crate) async fn body(node: &Node, job: &str, item: &str) -> Reply {
    let lookup = |node: &Node| {
        let table = node.batch.table.borrow();
        let job = table.job(job)?;
        Some((job.runnable_index(item), job.contents))
    };
    if lookup(node).is_none() {
        let until = Instant::now() + CATCH_UP_TIMEOUT;
        if !follower::catch_up(node, until).await {
            return unsure(job, "log not read to its end");
        }
    }
    let (index, source) = match lookup(node) {
        Some((Some(index), source)) => (index, source),
        Some((None, _)) => return not_found(job),
        None => return absent(node, job),
    };
    if let Some(content) = node.batch.contents.of_item(job, index) {
        return Reply::Body(content.body);
    }
    let contents = match contents::read(node, source).await {
        Ok(contents) => contents,
        Err(error) => {
            log::warn!(job, source:?, error:%; "contents of a job not read");
            return unsure(job, "contents not read");
        }
    };
    match contents.0.into_iter().nth(index as usize) {
        Some(content) => Reply::Body(content.body),
        None => absent(node, job),
    }
}

fn unsure(job: &str, why: &'static str) -> Reply {
    log::info!(job, why; "cannot tell the state of the job now");
    Reply::Unsure
}

/// Returns the reply for a job that is not in the table. It is "not found" only while this host follows the log: if the host
/// stopped being a delegate during the call, the table is empty.
pub(super) fn absent(node: &Node, job: &str) -> Reply {
    match node.batch.is_caught_up() {
        true => not_found(job),
        false => unsure(job, "log of jobs no longer followed"),
    }
}

fn not_found(job: &str) -> Reply {
    log::info!(job; "no such job or item");
    Reply::NotFound
}

fn result_count(node: &Node, job: &str) -> Option<usize> {
    node.batch.table.borrow().job(job).map(Job::result_count)
}

fn outline(node: &Node, job: &str, from: usize) -> Option<Outline> {
    let table = node.batch.table.borrow();
    let job = table.job(job)?;
    let mut bytes = 0;
    let mut results = Vec::new();
    for listed in job.results(from) {
        bytes += RESULT_OVERHEAD + text_bytes(listed.result);
        if bytes > PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push((listed.item.to_owned(), listed.result.clone()));
    }
    Some(Outline {
        total: job.item_count() as u32,
        next: from + results.len(),
        results,
    })
}

fn text_bytes(result: &ItemResult) -> usize {
    match result {
        ItemResult::Completed(pieces) => pieces.iter().map(|piece| piece.bytes as usize).sum(),
        ItemResult::Abandoned(_) => 0,
    }
}
