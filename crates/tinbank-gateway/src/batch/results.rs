//! Reads results and the bodies of waiting items.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use tinbank_jobs::{
    job::{Final, Job},
    record::Stored,
};
use tokio::time;

use super::{contents, follower, large};
use crate::{
    border::{
        ingress::{ItemOutcome, ItemResult, Page, Reply},
        store::Error,
    },
    node::Node,
};

/// Most bytes of results in a page. Source: the platform's bound of 1 MB, less the names around the texts.
const PAGE_BYTES: usize = 800_000;
/// Bytes that a result takes beside its text.
const RESULT_BYTES: usize = 120;
/// A page without news says that there is none if the table is at most this old. Source: the platform's bound of 1 s.
const FRESH: Duration = Duration::from_millis(800);
/// How long a page may take before it is given as far as it has come. Source: well below the 1.5 s that callers
/// wait beyond what they allow.
const FILL_TIME: Duration = Duration::from_millis(500);
/// Texts that are read at the same time.
const TEXTS_AT_ONCE: usize = 8;
/// How long a host may take to read the log to its end before it says that it can't tell.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(700);

/// Where the results of a page stand.
struct Outline {
    total: u32,
    next: usize,
    results: Vec<(String, Final)>,
}

/// Results of a job from a position on.
pub(crate) async fn page(node: &Node, job: &str, from: usize, wait: Duration) -> Reply {
    let until = Instant::now() + wait;
    if listed(node, job).is_none_or(|listed| listed < from) {
        let caught_up = follower::catch_up(node, Instant::now() + CATCH_UP_TIMEOUT).await;
        match listed(node, job) {
            Some(listed) if listed >= from => {}
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
    if !node.sharing.has_read_store(FRESH, Instant::now())
        && !follower::catch_up(node, Instant::now() + CATCH_UP_TIMEOUT).await
    {
        return unsure(job, "log read too long ago");
    }
    match outline(node, job, from) {
        Some(outline) => fill(node, job, outline).await,
        None => absent(node, job),
    }
}

/// Reads the texts of a page. Those behind one that can't be read now, or not in time, are left for the next call: a caller
/// that gives up a long page and asks for it again would never get it.
async fn fill(node: &Node, job: &str, outline: Outline) -> Reply {
    let until = Instant::now() + FILL_TIME;
    let from = outline.next - outline.results.len();
    let filled = outline.results.iter().map(|(item, result)| async move {
        let result = match result {
            Final::Abandoned(reason) => Ok(ItemOutcome::Abandoned(*reason)),
            Final::Completed(pieces) => text(node, pieces).await.map(ItemOutcome::Completed),
        };
        (item, result)
    });
    let mut filled = stream::iter(filled).buffered(TEXTS_AT_ONCE);
    let mut results = Vec::with_capacity(outline.results.len());
    while let Some((item, result)) = filled.next().await {
        match result {
            Ok(result) => results.push(ItemResult {
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

/// A text from its pieces, without the line feed behind its last event.
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

/// The body of an item that has no result yet.
pub(crate) async fn body(node: &Node, job: &str, item: &str) -> Reply {
    let known = |node: &Node| {
        let table = node.batch.table.borrow();
        let job = table.job(job)?;
        Some((job.waiting(item), job.contents))
    };
    if known(node).is_none() {
        let until = Instant::now() + CATCH_UP_TIMEOUT;
        if !follower::catch_up(node, until).await {
            return unsure(job, "log not read to its end");
        }
    }
    let (index, source) = match known(node) {
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
    log::info!(job, why; "can't tell about the job now");
    Reply::Unsure
}

/// What to say of a job that the table does not have: that there is none only while the table holds the log. A host that gave
/// its duty up while a call waited has forgotten it.
pub(super) fn absent(node: &Node, job: &str) -> Reply {
    match node.batch.is_known() {
        true => not_found(job),
        false => unsure(job, "log of jobs not followed any more"),
    }
}

fn not_found(job: &str) -> Reply {
    log::info!(job; "no such job or item");
    Reply::NotFound
}

fn listed(node: &Node, job: &str) -> Option<usize> {
    node.batch.table.borrow().job(job).map(Job::listed)
}

fn outline(node: &Node, job: &str, from: usize) -> Option<Outline> {
    let table = node.batch.table.borrow();
    let job = table.job(job)?;
    let mut bytes = 0;
    let mut results = Vec::new();
    for listed in job.results(from) {
        bytes += RESULT_BYTES + text_bytes(listed.result);
        if bytes > PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push((listed.item.to_owned(), listed.result.clone()));
    }
    Some(Outline {
        total: job.total() as u32,
        next: from + results.len(),
        results,
    })
}

fn text_bytes(result: &Final) -> usize {
    match result {
        Final::Completed(pieces) => pieces.iter().map(|piece| piece.bytes as usize).sum(),
        Final::Abandoned(_) => 0,
    }
}
