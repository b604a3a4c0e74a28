//! One job as the log tells it.

use std::time::{Duration, SystemTime};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::record::{
    Attachment, Index, Item, JobId, Outcome, Piece, Reason, RunId, Stored, Submission,
};

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name of the job.
    pub id: JobId,
    /// Offset of its submission in the log.
    pub submission: u64,
    /// Host name that it was submitted under.
    pub host: String,
    /// Customer that submitted it, if it is a customer's.
    pub customer: Option<id::Customer>,
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
    /// Where the contents of its items stand.
    pub contents: Source,
    entries: Vec<Entry>,
    listed: Vec<Index>,
}

/// Where the contents of a job's items are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// In the job's submission, at this offset of the log.
    Submission(u64),
    /// In a large record.
    Stored(Stored),
}

/// An item and what came of it.
#[derive(Clone, Debug)]
struct Entry {
    item: Item,
    progress: Progress,
    text: Vec<Stored>,
    failed_runs: SmallVec<[RunId; 2]>,
    result: Option<Final>,
}

/// The result of an item, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final {
    /// Where the data of all events stands, in order, each with a line feed behind it.
    Completed(Vec<Stored>),
    /// The item is given up, for the reason given.
    Abandoned(Reason),
}

/// How far an item's text has got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Last event of the text; 0 before the first.
    pub last: u64,
    /// The run that it is from; 0 before the first.
    pub run: RunId,
}

/// What became of a piece or a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// It counts.
    Taken,
    /// It counted before, or comes too late.
    Known,
    /// Its run does not go on where the text stands.
    Refused,
}

/// One result at its position.
#[derive(Clone, Copy, Debug)]
pub struct Listed<'a> {
    /// Name of the item.
    pub item: &'a str,
    /// What came of it.
    pub result: &'a Final,
}

impl Job {
    pub(crate) fn new(submission: u64, customer: Option<id::Customer>, it: Submission) -> Self {
        let entries = it.items.into_iter();
        Self {
            id: it.job,
            submission,
            host: it.host,
            customer,
            route: it.route,
            max_attempts: it.max_attempts,
            submitted_at: it.submitted_at,
            due_at: it.submitted_at + it.target,
            expires_at: it.submitted_at + it.retention,
            ended: false,
            contents: match it.contents {
                Attachment::Inline(_) => Source::Submission(submission),
                Attachment::Stored(stored) => Source::Stored(stored),
            },
            entries: entries.map(Entry::new).collect(),
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

    /// How far an item's text has got in the log.
    pub fn progress(&self, index: Index) -> Progress {
        let entry = self.entries.get(index as usize);
        entry.map(|entry| entry.progress).unwrap_or_default()
    }

    /// An item that has no result yet and may still run.
    pub fn runnable(&self, index: Index) -> Option<&Item> {
        let entry = self.entries.get(index as usize)?;
        (!self.ended && entry.result.is_none()).then_some(&entry.item)
    }

    /// The index of an item of a job that was not ended, by its name, as long as it has no result.
    pub fn waiting(&self, item: &str) -> Option<Index> {
        let mut pending = self.pending();
        let (index, _) = pending.find(|(_, pending)| pending.id == item)?;
        (!self.ended).then_some(index)
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

    /// Takes in a further piece of an item's text.
    pub(crate) fn advance(&mut self, index: Index, piece: Piece) -> Step {
        match self.pending_entry(index) {
            Some(entry) => entry.add(piece),
            None => Step::Known,
        }
    }

    /// Runs of an item that failed at an upstream.
    pub fn failures(&self, index: Index) -> u32 {
        let entry = self.entries.get(index as usize);
        entry.map_or(0, |entry| entry.failed_runs.len() as u32)
    }

    /// Takes in a run that failed. True unless it was known.
    pub(crate) fn fail(&mut self, index: Index, run: RunId) -> bool {
        let Some(entry) = self.pending_entry(index) else {
            return false;
        };
        let is_new = !entry.failed_runs.contains(&run);
        if is_new {
            entry.failed_runs.push(run);
        }
        is_new
    }

    /// Takes in a result. The first one counts.
    pub(crate) fn finish(&mut self, index: Index, result: Outcome) -> Step {
        let Some(entry) = self.pending_entry(index) else {
            return Step::Known;
        };
        let result = match result {
            Outcome::Abandoned(reason) => Final::Abandoned(reason),
            Outcome::Completed(piece) => {
                if entry.add(piece) == Step::Refused {
                    return Step::Refused;
                }
                Final::Completed(std::mem::take(&mut entry.text))
            }
        };
        entry.result = Some(result);
        entry.text = Vec::new();
        self.listed.push(index);
        Step::Taken
    }

    fn pending_entry(&mut self, index: Index) -> Option<&mut Entry> {
        if self.ended {
            return None;
        }
        let entry = self.entries.get_mut(index as usize)?;
        entry.result.is_none().then_some(entry)
    }

    pub(crate) fn end(&mut self) {
        self.ended = true;
    }
}

impl Entry {
    fn new(item: Item) -> Self {
        Self {
            item,
            progress: Progress::default(),
            text: Vec::new(),
            failed_runs: SmallVec::new(),
            result: None,
        }
    }

    fn add(&mut self, piece: Piece) -> Step {
        let Progress { last, run } = self.progress;
        if piece.run == run && piece.last <= last && piece.after < piece.last {
            return Step::Known;
        }
        let goes_on = piece.run == run || piece.started_after == last;
        if piece.after != last || !goes_on {
            return Step::Refused;
        }
        self.text.push(piece.text);
        self.progress = Progress {
            last: piece.last,
            run: piece.run,
        };
        Step::Taken
    }
}
