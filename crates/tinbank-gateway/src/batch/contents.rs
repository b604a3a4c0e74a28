//! The contents of the items that this process runs.

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use tinbank_jobs::{
    job::Job,
    record::{self, Content, Index, JobId, Stored},
};
use tokio::{task, time};

use super::large;
use crate::node::Node;

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
    pub fn has(&self, job: &JobId) -> bool {
        self.known.borrow().contains_key(job)
    }

    /// The content of an item, if it is here.
    pub fn of_item(&self, job: &JobId, index: Index) -> Option<Content> {
        let known = self.known.borrow();
        known.get(job)?.0.get(index as usize).cloned()
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
    let stored = job.contents;
    task::spawn_local(async move {
        match read(&node, stored).await {
            Some(read) => {
                let mut known = node.batch.contents.known.borrow_mut();
                known.insert(id.clone(), Rc::new(read));
            }
            None => time::sleep(RETRY).await,
        }
        node.batch.contents.asked.borrow_mut().remove(&id);
    });
}

/// The contents of a job. Nothing if they can't be read now.
pub(super) async fn read(node: &Node, stored: Stored) -> Option<record::Contents> {
    let bytes = match large::read(node, stored).await {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!(offset = stored.offset, error:%; "contents of a job not read");
            return None;
        }
    };
    match record::Contents::decode(&bytes) {
        Ok(contents) => Some(contents),
        Err(error) => {
            log::error!(offset = stored.offset, error:%; "contents of a job can't be decoded");
            None
        }
    }
}
