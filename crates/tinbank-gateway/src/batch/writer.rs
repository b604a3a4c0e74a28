//! Writes what runs have, and results: the texts first, then the records that tell where they stand.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tinbank_jobs::{fragment, record::Record};
use tokio::{sync::Notify, time};

use super::{JOBS, large};
use crate::{border::store::Error, dependency::Dependency, node::Node};

/// How long the first append may take before it is sent again, doubled each time. An answer that is lost never comes;
/// the fold drops what is written twice.
const FIRST_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that an append may take.
const LONGEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before an append is sent again.
const RETRY: Duration = Duration::from_millis(200);
/// How long records are gathered before they are written together. Source: a tenth of the time between two reads of a
/// caller, so that it costs no result.
const GATHER: Duration = Duration::from_millis(50);
/// Bytes that a record takes beside its content.
const RECORD_BYTES: usize = 8;

/// Records on their way to the log.
#[derive(Default)]
pub(super) struct Writer {
    queue: RefCell<VecDeque<Waiting>>,
    writing: Cell<bool>,
    added: Notify,
}

/// A record whose text is not written yet.
struct Waiting {
    record: Record,
    text: Bytes,
}

impl Writer {
    /// Adds a record and its text, to be written as soon as those before it are.
    pub fn add(&self, record: Record, text: Bytes) {
        self.queue.borrow_mut().push_back(Waiting { record, text });
        self.added.notify_one();
    }

    /// True if the log has all records.
    pub fn is_idle(&self) -> bool {
        !self.writing.get() && self.queue.borrow().is_empty()
    }

    /// As many records as one append takes.
    fn take(&self, node: &Node) -> Vec<Waiting> {
        let mut queue = self.queue.borrow_mut();
        let mut taken = Vec::new();
        let mut bytes = 0;
        while let Some(waiting) = queue.pop_front() {
            bytes += waiting.text.len() + RECORD_BYTES;
            if !taken.is_empty() && bytes > node.settings.store.call_bytes {
                queue.push_front(waiting);
                break;
            }
            taken.push(waiting);
        }
        taken
    }
}

/// Writes for as long as the process runs.
pub(super) async fn write(node: Rc<Node>) {
    loop {
        let taken = node.batch.writer.take(&node);
        if taken.is_empty() {
            node.batch.writer.added.notified().await;
            time::sleep(GATHER).await;
            continue;
        }
        node.batch.writer.writing.set(true);
        write_all(&node, taken).await;
        node.batch.writer.writing.set(false);
    }
}

async fn write_all(node: &Node, taken: Vec<Waiting>) {
    let texts = taken.iter().map(|waiting| waiting.text.clone());
    let texts: Vec<Bytes> = texts.filter(|text| !text.is_empty()).collect();
    let mut stored = Vec::new();
    if !texts.is_empty() {
        let write = async |until| large::write(node, &texts, until).await;
        stored = again("texts", write).await;
    }
    let mut stored = stored.into_iter().zip(texts);
    let mut pieces = Vec::new();
    for mut waiting in taken {
        if !waiting.text.is_empty()
            && let Some((at, text)) = stored.next()
        {
            waiting.record.set_text(at);
            node.batch.large.keep(at, text);
        }
        match waiting.record.encode() {
            Ok(bytes) => {
                pieces.extend(fragment::split(&bytes, node.settings.store.record_bytes));
            }
            Err(error) => log::error!(error:%; "record of an item can't be encoded"),
        }
    }
    let append = async |until| node.store.append(JOBS, &pieces, until).await;
    again("records", append).await;
}

/// Calls until it is done.
async fn again<T>(name: &'static str, call: impl AsyncFn(Instant) -> Result<T, Error>) -> T {
    let mut dependency = Dependency::new(name);
    let mut timeout = FIRST_TIMEOUT;
    loop {
        match call(Instant::now() + timeout).await {
            Ok(done) => {
                dependency.record_success();
                return done;
            }
            Err(error) => dependency.record_failure(&error),
        }
        time::sleep(RETRY).await;
        timeout = (timeout * 2).min(LONGEST_TIMEOUT);
    }
}
