//! Contents of the items that this process runs.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use tinbank_jobs::{
    job::{Job, Source},
    record::{self, Attachment, Content, Index, JobId, Record},
};
use tokio::{task, time};

use super::{JOBS, large};
use crate::{border::store, node::Node};

/// Contents up to this size are part of the submission, which every delegate reads. At five jobs a second, that is 80
/// KB a second for each of them.
pub(super) const INLINE_BYTES: usize = 16 << 10;
/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Contents of jobs that are loaded or being loaded.
#[derive(Default)]
pub(super) struct Contents {
    loaded: RefCell<HashMap<JobId, Rc<record::Contents>>>,
    loading: RefCell<HashSet<JobId>>,
}

impl Contents {
    /// Returns whether the contents of a job are loaded.
    pub fn has(&self, job: &str) -> bool {
        self.loaded.borrow().contains_key(job)
    }

    /// Returns the content of an item if it is loaded.
    pub fn of_item(&self, job: &str, index: Index) -> Option<Content> {
        let loaded = self.loaded.borrow();
        loaded.get(job)?.0.get(index as usize).cloned()
    }

    /// Stores the contents of a job.
    pub fn insert(&self, job: JobId, contents: record::Contents) {
        self.loaded.borrow_mut().insert(job, Rc::new(contents));
    }

    /// Drops the contents of all jobs for which `is_needed` returns false.
    pub fn retain(&self, is_needed: impl Fn(&JobId) -> bool) {
        self.loaded.borrow_mut().retain(|job, _| is_needed(job));
    }
}

/// Loads the contents of a job in the background, unless that is in progress.
pub(super) fn load(node: &Rc<Node>, job: &Job) {
    let contents = &node.batch.contents;
    if !contents.loading.borrow_mut().insert(job.id.clone()) {
        return;
    }
    let node = Rc::clone(node);
    let id = job.id.clone();
    let source = job.contents;
    task::spawn_local(async move {
        match read(&node, source).await {
            Ok(read) => node.batch.contents.insert(id.clone(), read),
            Err(error) => {
                log::warn!(job:% = id, source:?, error:%; "contents of a job not read");
                time::sleep(RETRY_DELAY).await;
            }
        }
        node.batch.contents.loading.borrow_mut().remove(&id);
    });
}

/// A failure to read the contents of a job.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// The store returned an error.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// The record can't be decoded.
    #[error(transparent)]
    Record(#[from] record::Error),
    /// The record is not a submission with inline contents.
    #[error("the record is not a submission with inline contents")]
    OtherRecord,
}

/// Reads the contents of a job from the store.
pub(super) async fn read(node: &Node, source: Source) -> Result<record::Contents, Error> {
    match source {
        Source::Stored(stored) => {
            let bytes = large::read(node, stored).await?;
            Ok(record::Contents::decode(&bytes)?)
        }
        Source::Submission(offset) => {
            let bytes = large::read_record(node, JOBS, offset, INLINE_BYTES).await?;
            let record = Record::decode(&bytes)?;
            inline(&record).cloned().ok_or(Error::OtherRecord)
        }
    }
}

/// Returns the contents that a record carries inline.
pub(super) fn inline(record: &Record) -> Option<&record::Contents> {
    match &record.submission()?.contents {
        Attachment::Inline(contents) => Some(contents),
        Attachment::Stored(_) => None,
    }
}
