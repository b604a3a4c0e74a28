//! Writes results to the log, those that wait together in one append.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tinbank_jobs::fragment;
use tokio::{sync::Notify, time};

use super::JOBS;
use crate::node::Node;

/// How long one append may take before it is sent again. The fold drops what is written twice.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before an append is sent again.
const RETRY: Duration = Duration::from_millis(200);
/// Bytes that a record takes beside its content.
const RECORD_BYTES: usize = 8;

/// Records on their way to the log.
#[derive(Default)]
pub(super) struct Writer {
    queue: RefCell<VecDeque<Bytes>>,
    writing: Cell<bool>,
    added: Notify,
}

impl Writer {
    /// Adds a record, to be written as soon as the one before it is.
    pub fn add(&self, record: Bytes) {
        self.queue.borrow_mut().push_back(record);
        self.added.notify_one();
    }

    /// True if the log has all records.
    pub fn is_idle(&self) -> bool {
        !self.writing.get() && self.queue.borrow().is_empty()
    }
}

/// Writes for as long as the process runs.
pub(super) async fn write(node: Rc<Node>) {
    loop {
        let pieces = node.batch.writer.take(&node);
        if pieces.is_empty() {
            node.batch.writer.added.notified().await;
            continue;
        }
        node.batch.writer.writing.set(true);
        let mut failing = false;
        loop {
            let until = Instant::now() + APPEND_TIMEOUT;
            match node.store.append(JOBS, &pieces, until).await {
                Ok(_) => break,
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        log::warn!(error:%, records = pieces.len(); "results not written yet");
                    }
                }
            }
            time::sleep(RETRY).await;
        }
        node.batch.writer.writing.set(false);
    }
}

impl Writer {
    /// The pieces of as many records as one append takes.
    fn take(&self, node: &Node) -> Vec<Bytes> {
        let store = &node.settings.store;
        let mut queue = self.queue.borrow_mut();
        let mut pieces = Vec::new();
        let mut bytes = 0;
        while let Some(record) = queue.front() {
            let split = fragment::split(record, store.record_bytes);
            let size: usize = split.iter().map(|piece| piece.len() + RECORD_BYTES).sum();
            if !pieces.is_empty() && bytes + size > store.call_bytes {
                break;
            }
            bytes += size;
            pieces.extend(split);
            queue.pop_front();
        }
        pieces
    }
}
