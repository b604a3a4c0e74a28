//! State of one job.

use std::time::{Duration, SystemTime};

use smallvec::SmallVec;
use tinbank_base::id;
use tinbank_origin::Origin;

use crate::record::{
    Attachment, Failure, Index, Item, JobId, Outcome, Piece, Reason, RunId, RunStart, Stored,
    Submission,
};

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Internal name of the job.
    pub id: JobId,
    /// Offset of its submission in the log.
    pub submission: u64,
    /// Host name of the submit call.
    pub host: String,
    /// Customer that submitted it, if any.
    pub customer: Option<id::Customer>,
    /// Route whose quota it counts against.
    pub route: String,
    /// Failed runs after which an item is abandoned.
    pub max_attempts: u32,
    /// When it was submitted.
    pub submitted_at: SystemTime,
    /// When its results are due.
    pub due_at: SystemTime,
    /// When its unfinished items expire.
    pub expires_at: SystemTime,
    /// Whether the caller has cancelled it.
    pub cancelled: bool,
    /// Where the contents of its items are stored.
    pub contents: Source,
    entries: Vec<Entry>,
    /// Items with a result, in the order of the log.
    finished: Vec<Index>,
}

/// Where the contents of a job's items are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// In the job's submission, at this offset of the log.
    Submission(u64),
    /// In a large record.
    Stored(Stored),
}

/// State of an item.
#[derive(Clone, Debug)]
struct Entry {
    item: Item,
    progress: Progress,
    text: Vec<Stored>,
    /// Whether the log has the start of any run, so that a text is continued only by a run whose start was applied.
    needs_start: bool,
    failed_runs: SmallVec<[RunId; 2]>,
    result: Option<ItemResult>,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemResult {
    /// The item is completed. The pieces of its text, in order; each event's data ends with a line feed.
    Completed(Vec<Stored>),
    /// The item was abandoned.
    Abandoned(Reason),
}

/// Position up to which an item's text is in the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Last event of the text; 0 if there is none.
    pub last_event: u64,
    /// The run that produced it; 0 if there is none.
    pub run: RunId,
    /// Service and build of the upstream that produced it, if they are known.
    pub origin: Option<Origin>,
}

impl Progress {
    /// The progress of an item of which the log has no text.
    pub const NONE: Self = Self {
        last_event: 0,
        run: 0,
        origin: None,
    };
}

/// The effect of a piece or a result on its item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// It was applied.
    Applied,
    /// It was a duplicate, or the item may no longer change.
    Dropped,
    /// Its run does not continue the item's text.
    Conflict,
}

/// A result with the name of its item.
#[derive(Clone, Copy, Debug)]
pub struct Listed<'a> {
    /// Name of the item.
    pub item: &'a str,
    /// Its result.
    pub result: &'a ItemResult,
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
            cancelled: false,
            contents: match it.contents {
                Attachment::Inline(_) => Source::Submission(submission),
                Attachment::Stored(stored) => Source::Stored(stored),
            },
            entries: entries.map(Entry::new).collect(),
            finished: Vec::new(),
        }
    }

    /// Returns the number of items.
    pub fn item_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of results.
    pub fn result_count(&self) -> usize {
        self.finished.len()
    }

    /// Returns whether an item may still run.
    pub fn is_open(&self) -> bool {
        !self.cancelled && self.finished.len() < self.entries.len()
    }

    /// Returns the results from a position on, in the order of the log.
    pub fn results(&self, from: usize) -> impl Iterator<Item = Listed<'_>> {
        self.finished.iter().skip(from).filter_map(|index| {
            let entry = self.entries.get(*index as usize)?;
            Some(Listed {
                item: &entry.item.id,
                result: entry.result.as_ref()?,
            })
        })
    }

    /// Returns all items, in the order in which they were submitted.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.entries.iter().map(|entry| &entry.item)
    }

    /// Returns the items without a result, in the order in which they were submitted.
    pub fn pending(&self) -> impl Iterator<Item = (Index, &Item)> {
        (0..)
            .zip(&self.entries)
            .filter(|(_, entry)| entry.result.is_none())
            .map(|(index, entry)| (index, &entry.item))
    }

    /// Returns up to which event an item's text is in the log.
    pub fn progress(&self, index: Index) -> &Progress {
        let entry = self.entries.get(index as usize);
        entry.map_or(&Progress::NONE, |entry| &entry.progress)
    }

    /// Returns an item if it may still run.
    pub fn runnable(&self, index: Index) -> Option<&Item> {
        let entry = self.entries.get(index as usize)?;
        (!self.cancelled && entry.result.is_none()).then_some(&entry.item)
    }

    /// Returns the index of the item of this name if it may still run.
    pub fn runnable_index(&self, item: &str) -> Option<Index> {
        let mut pending = self.pending();
        let (index, _) = pending.find(|(_, pending)| pending.id == item)?;
        (!self.cancelled).then_some(index)
    }

    /// Returns whether the item has a result.
    pub fn is_finished(&self, index: Index) -> bool {
        self.entries
            .get(index as usize)
            .is_none_or(|entry| entry.result.is_some())
    }

    /// Returns the tokens of the items that may still run.
    pub fn waiting_tokens(&self) -> u64 {
        if self.cancelled {
            return 0;
        }
        self.pending().map(|(_, item)| item.tokens).sum()
    }

    /// Returns whether the job is over and was submitted longer ago than `retention`.
    pub(crate) fn can_be_pruned(&self, retention: Duration, now: SystemTime) -> bool {
        !self.is_open() && self.submitted_at + retention < now
    }

    /// Appends a piece to an item's text.
    pub(crate) fn append(&mut self, index: Index, piece: Piece) -> Effect {
        match self.pending_entry(index) {
            Some(entry) => entry.append(piece),
            None => Effect::Dropped,
        }
    }

    /// Records that a run of an item is about to produce text.
    pub(crate) fn start_run(&mut self, start: RunStart) -> Effect {
        match self.pending_entry(start.index) {
            Some(entry) => entry.start_run(start),
            None => Effect::Dropped,
        }
    }

    /// Returns the number of runs of an item that failed at an upstream.
    pub fn failure_count(&self, index: Index) -> u32 {
        let entry = self.entries.get(index as usize);
        entry.map_or(0, |entry| entry.failed_runs.len() as u32)
    }

    /// Returns whether the log has a failed run, or never will because an earlier job of this name had it.
    pub fn has_failure(&self, failure: &Failure) -> bool {
        let entry = self.entries.get(failure.index as usize);
        failure.submission != self.submission
            || entry.is_none_or(|entry| entry.failed_runs.contains(&failure.run))
    }

    /// Records a failed run of an item, and returns whether it was counted, that is, not a duplicate.
    pub(crate) fn record_failure(&mut self, index: Index, run: RunId) -> bool {
        let Some(entry) = self.pending_entry(index) else {
            return false;
        };
        let is_new = !entry.failed_runs.contains(&run);
        if is_new {
            entry.failed_runs.push(run);
        }
        is_new
    }

    /// Records the result of an item, unless it has one.
    pub(crate) fn finish(&mut self, index: Index, result: Outcome) -> Effect {
        let Some(entry) = self.pending_entry(index) else {
            return Effect::Dropped;
        };
        let result = match result {
            Outcome::Abandoned(reason) => ItemResult::Abandoned(reason),
            Outcome::Completed(piece) => {
                if entry.append(piece) == Effect::Conflict {
                    return Effect::Conflict;
                }
                ItemResult::Completed(std::mem::take(&mut entry.text))
            }
        };
        entry.result = Some(result);
        entry.text = Vec::new();
        self.finished.push(index);
        Effect::Applied
    }

    fn pending_entry(&mut self, index: Index) -> Option<&mut Entry> {
        if self.cancelled {
            return None;
        }
        let entry = self.entries.get_mut(index as usize)?;
        entry.result.is_none().then_some(entry)
    }

    pub(crate) fn cancel(&mut self) {
        self.cancelled = true;
    }
}

impl Entry {
    fn new(item: Item) -> Self {
        Self {
            item,
            progress: Progress::default(),
            text: Vec::new(),
            needs_start: false,
            failed_runs: SmallVec::new(),
            result: None,
        }
    }

    fn append(&mut self, piece: Piece) -> Effect {
        let Progress {
            last_event, run, ..
        } = self.progress;
        if piece.run == run && piece.last <= last_event && piece.after < piece.last {
            return Effect::Dropped;
        }
        let is_same_run = piece.run == run;
        let takes_any_run = !self.needs_start || last_event == 0;
        let continues = is_same_run || takes_any_run && piece.started_after == last_event;
        if piece.after != last_event || !continues {
            return Effect::Conflict;
        }
        self.text.push(piece.text);
        let origin = self.progress.origin.take();
        self.progress = Progress {
            last_event: piece.last,
            run: piece.run,
            origin: origin.filter(|_| is_same_run),
        };
        Effect::Applied
    }

    fn start_run(&mut self, start: RunStart) -> Effect {
        self.needs_start = true;
        let known = &self.progress;
        if start.run == known.run {
            return Effect::Dropped;
        }
        let follows = (start.previous_run, start.previous_event) == (known.run, known.last_event);
        let is_same_build = known.last_event == 0 || known.origin.as_ref() == Some(&start.origin);
        if !follows || start.resumes && !is_same_build {
            return Effect::Conflict;
        }
        let last_event = match start.resumes {
            true => known.last_event,
            false => 0,
        };
        if last_event == 0 {
            self.text.clear();
        }
        self.progress = Progress {
            last_event,
            run: start.run,
            origin: Some(start.origin),
        };
        Effect::Applied
    }
}
