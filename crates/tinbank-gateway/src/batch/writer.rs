//! Writes checkpoints and results: first their texts, then the records that refer to the texts.

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
use crate::{border::store::Error, dependency::Dependency, node::Node, settings};

/// Timeout of the first attempt to append, doubled with each further attempt. Duplicate records have no effect.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// Upper bound of the timeout.
const MAX_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long records are gathered before they are written together; short against the interval at which callers poll.
const GATHER_TIME: Duration = Duration::from_millis(50);
/// Bytes of framing per stored record, by the store and by fragments.
const RECORD_OVERHEAD: usize = 8;

/// Queue of the records to be written.
#[derive(Default)]
pub(super) struct Writer {
    queue: RefCell<VecDeque<Queued>>,
    writing: Cell<bool>,
    added: Notify,
}

/// A record whose text is not written yet.
struct Queued {
    record: Record,
    text: Bytes,
}

impl Writer {
    /// Queues a record and its text.
    pub fn add(&self, record: Record, text: Bytes) {
        self.queue.borrow_mut().push_back(Queued { record, text });
        self.added.notify_one();
    }

    /// Returns whether all records have been written.
    pub fn is_idle(&self) -> bool {
        !self.writing.get() && self.queue.borrow().is_empty()
    }

    /// Takes as many records as have texts that fit in one append.
    fn take(&self, limits: &settings::Store) -> Vec<Queued> {
        let mut queue = self.queue.borrow_mut();
        let mut taken = Vec::new();
        let mut bytes = 0;
        while let Some(queued) = queue.pop_front() {
            let fragments = fragment::count(queued.text.len(), limits.record_bytes);
            bytes += queued.text.len() + fragments * RECORD_OVERHEAD;
            if !taken.is_empty() && bytes > limits.call_bytes {
                queue.push_front(queued);
                break;
            }
            taken.push(queued);
        }
        taken
    }
}

/// Writes queued records for as long as the process runs.
pub(super) async fn run(node: Rc<Node>) {
    loop {
        let taken = node.batch.writer.take(&node.settings.store);
        if taken.is_empty() {
            node.batch.writer.added.notified().await;
            time::sleep(GATHER_TIME).await;
            continue;
        }
        node.batch.writer.writing.set(true);
        write(&node, taken).await;
        node.batch.writer.writing.set(false);
    }
}

async fn write(node: &Node, taken: Vec<Queued>) {
    let texts = taken.iter().map(|queued| queued.text.clone());
    let texts: Vec<Bytes> = texts.filter(|text| !text.is_empty()).collect();
    let mut stored = Vec::new();
    if !texts.is_empty() {
        let write = async |until| large::write(node, &texts, until).await;
        stored = retry("texts", write).await;
    }
    let mut stored = stored.into_iter().zip(texts);
    let limits = &node.settings.store;
    let mut appends = Appends::new(limits.call_bytes);
    for mut queued in taken {
        if !queued.text.is_empty()
            && let Some((at, text)) = stored.next()
        {
            queued.record.set_text(at);
            node.batch.large_records.insert(at, text);
        }
        match queued.record.encode() {
            Ok(bytes) => appends.add(fragment::split(&bytes, limits.record_bytes)),
            Err(error) => log::error!(error:%; "record of an item can't be encoded"),
        }
    }
    for fragments in appends.all {
        let append = async |until| node.store.append(JOBS, &fragments, until).await;
        retry("records", append).await;
    }
}

/// The fragments of records, grouped so that the store accepts each append, and that all fragments of a record are in the same one.
struct Appends {
    all: Vec<Vec<Bytes>>,
    /// Size of the last one, with framing.
    bytes: usize,
    max_bytes: usize,
}

impl Appends {
    fn new(max_bytes: usize) -> Self {
        Self {
            all: Vec::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Adds the fragments of a record.
    fn add(&mut self, fragments: Vec<Bytes>) {
        let sizes = fragments.iter().map(|it| it.len() + RECORD_OVERHEAD);
        let added: usize = sizes.sum();
        let is_full = self.bytes + added > self.max_bytes;
        match self.all.last_mut() {
            Some(last) if !is_full => {
                last.extend(fragments);
                self.bytes += added;
            }
            _ => {
                self.all.push(fragments);
                self.bytes = added;
            }
        }
    }
}

/// Repeats a call until it succeeds. `name` identifies the dependency in logs and metrics.
async fn retry<T>(name: &'static str, call: impl AsyncFn(Instant) -> Result<T, Error>) -> T {
    let mut dependency = Dependency::new(name);
    let mut timeout = INITIAL_TIMEOUT;
    loop {
        match call(Instant::now() + timeout).await {
            Ok(done) => {
                dependency.record_success();
                return done;
            }
            Err(error) => dependency.record_failure(&error),
        }
        time::sleep(RETRY_DELAY).await;
        timeout = (timeout * 2).min(MAX_TIMEOUT);
    }
}
