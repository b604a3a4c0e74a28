//! One job as the log tells it.

use std::time::{Duration, SystemTime};

use crate::record::{Index, Item, JobId, Outcome, Submission};

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name of the job.
    pub id: JobId,
    /// Offset of its submission in the log.
    pub submission: u64,
    /// Host name that it was submitted under.
    pub host: String,
    /// Route whose quota it counts against.
    pub route: String,
    /// Failures after which an item is given up.
    pub max_attempts: u32,
    /// When it was submitted.
    pub submitted_at: SystemTime,
    /// When its results are due.
    pub due_at: SystemTime,
    /// From when on an item may be given up.
    pub expires_at: SystemTime,
    /// The caller has ended it.
    pub ended: bool,
    entries: Vec<Entry>,
    listed: Vec<Index>,
}

/// An item and what came of it.
#[derive(Clone, Debug)]
struct Entry {
    item: Item,
    result: Option<Outcome>,
}

/// One result at its position.
#[derive(Clone, Copy, Debug)]
pub struct Listed<'a> {
    /// Name of the item.
    pub item: &'a str,
    /// What came of it.
    pub result: &'a Outcome,
}

impl Job {
    pub(crate) fn new(submission: u64, it: Submission) -> Self {
        let entries = it.items.into_iter();
        Self {
            id: it.job,
            submission,
            host: it.host,
            route: it.route,
            max_attempts: it.max_attempts,
            submitted_at: it.submitted_at,
            due_at: it.submitted_at + it.target,
            expires_at: it.submitted_at + it.retention,
            ended: false,
            entries: entries.map(|item| Entry { item, result: None }).collect(),
            listed: Vec::new(),
        }
    }

    /// Number of items.
    pub fn total(&self) -> usize {
        self.entries.len()
    }

    /// Number of results.
    pub fn listed(&self) -> usize {
        self.listed.len()
    }

    /// True while an item may still run.
    pub fn is_open(&self) -> bool {
        !self.ended && self.listed.len() < self.entries.len()
    }

    /// Results from a position on, in the order of the log.
    pub fn results(&self, from: usize) -> impl Iterator<Item = Listed<'_>> {
        self.listed.iter().skip(from).filter_map(|index| {
            let entry = self.entries.get(*index as usize)?;
            Some(Listed {
                item: &entry.item.id,
                result: entry.result.as_ref()?,
            })
        })
    }

    /// Items without a result, in the caller's order.
    pub fn pending(&self) -> impl Iterator<Item = (Index, &Item)> {
        (0..)
            .zip(&self.entries)
            .filter(|(_, entry)| entry.result.is_none())
            .map(|(index, entry)| (index, &entry.item))
    }

    /// An item that has no result yet and may still run.
    pub fn runnable(&self, index: Index) -> Option<&Item> {
        let entry = self.entries.get(index as usize)?;
        (!self.ended && entry.result.is_none()).then_some(&entry.item)
    }

    /// An item of a job that was not ended, by its name, as long as it has no result.
    pub fn waiting(&self, item: &str) -> Option<&Item> {
        let entry = self.entries.iter().find(|entry| entry.item.id == item)?;
        (!self.ended && entry.result.is_none()).then_some(&entry.item)
    }

    /// True if the item has a result.
    pub fn is_finished(&self, index: Index) -> bool {
        self.entries
            .get(index as usize)
            .is_none_or(|entry| entry.result.is_some())
    }

    /// Tokens of the items that may still run.
    pub fn waiting_tokens(&self) -> u64 {
        if self.ended {
            return 0;
        }
        self.pending().map(|(_, item)| item.tokens).sum()
    }

    /// True if nobody may ask for the job any more.
    pub(crate) fn is_past(&self, kept: Duration, now: SystemTime) -> bool {
        !self.is_open() && self.submitted_at + kept < now
    }

    /// Takes in a result. True if it is the item's first one.
    pub(crate) fn finish(&mut self, index: Index, result: Outcome) -> bool {
        if self.ended {
            return false;
        }
        let Some(entry) = self.entries.get_mut(index as usize) else {
            return false;
        };
        if entry.result.is_some() {
            return false;
        }
        entry.result = Some(result);
        entry.item.body = Default::default();
        entry.item.headers = Vec::new();
        self.listed.push(index);
        true
    }

    pub(crate) fn end(&mut self) {
        self.ended = true;
        for entry in &mut self.entries {
            entry.item.body = Default::default();
            entry.item.headers = Vec::new();
        }
    }
}
