//! The contents of the items that this process runs.

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

/// Contents up to this size are part of the submission. All hosts read them then; source: at five jobs a second, which is
/// the most that deployments took in, that is 80 KB a second a host.
pub(super) const INLINE_BYTES: usize = 16 << 10;
/// Pause before contents that could not be read are asked for again.
const RETRY: Duration = Duration::from_millis(200);

/// Contents that were read, and jobs whose contents are on their way.
#[derive(Default)]
pub(super) struct Contents {
    known: RefCell<HashMap<JobId, Rc<record::Contents>>>,
    asked: RefCell<HashSet<JobId>>,
}

impl Contents {
    /// True if the contents of a job are here.
    pub fn has(&self, job: &str) -> bool {
        self.known.borrow().contains_key(job)
    }

    /// The content of an item, if it is here.
    pub fn of_item(&self, job: &str, index: Index) -> Option<Content> {
        let known = self.known.borrow();
        known.get(job)?.0.get(index as usize).cloned()
    }

    /// Keeps the contents of a job.
    pub fn keep(&self, job: JobId, contents: record::Contents) {
        self.known.borrow_mut().insert(job, Rc::new(contents));
    }

    /// Drops the contents of jobs that are over, or that others run.
    pub fn retain(&self, wanted: impl Fn(&JobId) -> bool) {
        self.known.borrow_mut().retain(|job, _| wanted(job));
    }
}

/// Reads the contents of a job in the background, unless that is under way.
pub(super) fn fetch(node: &Rc<Node>, job: &Job) {
    let contents = &node.batch.contents;
    if !contents.asked.borrow_mut().insert(job.id.clone()) {
        return;
    }
    let node = Rc::clone(node);
    let id = job.id.clone();
    let source = job.contents;
    task::spawn_local(async move {
        match read(&node, source).await {
            Ok(read) => node.batch.contents.keep(id.clone(), read),
            Err(error) => {
                log::warn!(job:% = id, source:?, error:%; "contents of a job not read");
                time::sleep(RETRY).await;
            }
        }
        node.batch.contents.asked.borrow_mut().remove(&id);
    });
}

/// Contents that can't be had now.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// The store did not give them.
    #[error(transparent)]
    Store(#[from] store::Error),
    /// They can't be decoded.
    #[error(transparent)]
    Record(#[from] record::Error),
    /// The record at their place is not a submission that has them.
    #[error("the record is no submission with contents")]
    OtherRecord,
}

/// The contents of a job.
pub(super) async fn read(node: &Node, source: Source) -> Result<record::Contents, Error> {
    match source {
        Source::Stored(stored) => {
            let bytes = large::read(node, stored).await?;
            Ok(record::Contents::decode(&bytes)?)
        }
        Source::Submission(offset) => {
            let bytes = large::read_whole(node, JOBS, offset, INLINE_BYTES).await?;
            let record = Record::decode(&bytes)?;
            inline(&record).cloned().ok_or(Error::OtherRecord)
        }
    }
}

/// The contents that a record of jobs has itself.
pub(super) fn inline(record: &Record) -> Option<&record::Contents> {
    match &record.submission()?.contents {
        Attachment::Inline(contents) => Some(contents),
        Attachment::Stored(_) => None,
    }
}
