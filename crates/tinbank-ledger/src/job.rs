//! State of jobs: in the shard of their head ([`Job`]), and in each shard of their chunks ([`Work`]).

use serde::{Deserialize, Serialize};
use tinbank_base::{id, record::work};

use crate::chunk::Chunk;

/// State of a job in the shard of its head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The accepted head: the first one appended.
    pub head: work::Head,
    pub cancelled: bool,
    /// Reports of the shards that have finished their part.
    pub parts: Vec<work::Part>,
}

impl Job {
    /// Returns whether a shard has finished its part.
    pub fn has_part(&self, shard: id::Shard) -> bool {
        self.parts.iter().any(|part| part.shard == shard)
    }

    /// Returns whether all shards have finished their part.
    pub fn finished(&self) -> bool {
        self.head.shards.iter().all(|shard| self.has_part(*shard))
    }
}

/// State of a job's chunks in one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The release record. Chunks don't run without it.
    pub release: Option<work::Release>,
    pub cancelled: bool,
    /// Whether this shard's part was reported to the shard of the job's head.
    pub reported: bool,
    /// Log time of the last chunk, release or cancel record, in microseconds since 1970.
    pub(crate) updated_at: u64,
    /// Whether [`crate::Change::Finished`] was emitted.
    pub(crate) ended: bool,
    /// Chunks of the released intake, sorted by number.
    chunks: Vec<Chunk>,
    /// Chunks of intakes that were not released.
    waiting: Vec<Waiting>,
    /// Index of the first chunk with pending items.
    first_pending: usize,
    items: id::Item,
    answered: id::Item,
    failed: id::Item,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Waiting {
    pub(crate) intake: u64,
    /// Log time of the chunk record, in microseconds since 1970.
    at: u64,
    pub(crate) chunk: Chunk,
}

/// Counts of a job's items in one shard.
pub use tinbank_base::frame::request::Count;

impl Work {
    /// Returns whether all chunks were read and no item remains to run.
    pub fn finished(&self) -> bool {
        let Some(release) = &self.release else {
            return false;
        };
        let complete = self.chunks.len() as u64 >= u64::from(release.chunks);
        complete && (self.cancelled || self.open_items() == 0)
    }

    /// Returns whether items may be sent.
    pub fn runnable(&self) -> bool {
        self.release.is_some() && !self.cancelled && self.open_items() > 0
    }

    /// Counts of its items.
    pub fn count(&self) -> Count {
        let open = self.open_items();
        Count {
            pending: if self.cancelled { 0 } else { open },
            answered: self.answered,
            failed: self.failed,
            cancelled: if self.cancelled { open } else { 0 },
        }
    }

    /// Chunks of the released intake, sorted by number.
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// Returns a chunk of the released intake.
    pub fn chunk(&self, chunk: id::Chunk) -> Option<&Chunk> {
        let index = self.find(chunk).ok()?;
        self.chunks.get(index)
    }

    /// Chunks with items to run, sorted by number.
    pub fn pending_chunks(&self) -> impl Iterator<Item = &Chunk> {
        let from = if self.runnable() {
            self.first_pending
        } else {
            self.chunks.len()
        };
        self.chunks[from..]
            .iter()
            .filter(|chunk| chunk.pending() > 0)
    }

    /// Adds a chunk read at log time `at`; later copies are ignored. Returns whether it may run.
    pub(crate) fn add(&mut self, intake: u64, chunk: Chunk, at: u64) -> bool {
        if self.is_released(intake) {
            return self.insert(chunk);
        }
        let known = self
            .waiting
            .iter()
            .any(|other| other.intake == intake && other.chunk.chunk == chunk.chunk);
        if !known {
            self.waiting.push(Waiting { intake, at, chunk });
        }
        false
    }

    /// Releases the chunks of an intake. Returns whether the release took effect; only the first one does.
    ///
    /// Exception: a job may be submitted again under the same key after the shard of its head has expired it. Such a
    /// release, which has a later `keep_until`, replaces a finished one.
    pub(crate) fn release(&mut self, release: work::Release) -> bool {
        if let Some(known) = &self.release {
            let resubmitted =
                release.intake != known.intake && release.keep_until > known.keep_until;
            if !resubmitted || !self.finished() {
                return false;
            }
            *self = Self {
                waiting: std::mem::take(&mut self.waiting),
                updated_at: self.updated_at,
                ..Self::default()
            };
        }
        let intake = release.intake;
        self.release = Some(release);
        for waiting in std::mem::take(&mut self.waiting) {
            if waiting.intake == intake {
                self.insert(waiting.chunk);
            }
        }
        self.chunks.shrink_to_fit();
        true
    }

    /// Ends an item. Returns whether this completion took effect.
    pub(crate) fn end_item(
        &mut self,
        chunk: id::Chunk,
        completion: &work::Completion,
        offset: id::Offset,
    ) -> bool {
        if self.cancelled {
            return false;
        }
        let Ok(index) = self.find(chunk) else {
            return false;
        };
        if !self.chunks[index].end_item(completion.item, offset) {
            return false;
        }
        match completion.outcome {
            work::Outcome::Answer(_) => self.answered = self.answered.saturating_add(1),
            work::Outcome::Failed { .. } => self.failed = self.failed.saturating_add(1),
        }
        self.advance_first_pending();
        true
    }

    /// Returns the chunk that a carried or moved record refers to.
    pub(crate) fn chunk_of_intake(&mut self, intake: u64, chunk: id::Chunk) -> Option<&mut Chunk> {
        if self.is_released(intake) {
            let index = self.find(chunk).ok()?;
            return self.chunks.get_mut(index);
        }
        self.waiting
            .iter_mut()
            .find(|waiting| waiting.intake == intake && waiting.chunk.chunk == chunk)
            .map(|waiting| &mut waiting.chunk)
    }

    /// Removes chunks that have waited for their release since before log time `since`.
    pub(crate) fn remove_stale_waiting(&mut self, since: u64) {
        self.waiting.retain(|waiting| waiting.at >= since);
    }

    /// The released intake, or 0 before the release.
    pub(crate) fn intake(&self) -> u64 {
        self.release.as_ref().map_or(0, |release| release.intake)
    }

    pub(crate) fn waiting(&self) -> &[Waiting] {
        &self.waiting
    }

    fn is_released(&self, intake: u64) -> bool {
        self.release
            .as_ref()
            .is_some_and(|release| release.intake == intake)
    }

    fn open_items(&self) -> id::Item {
        // All counts saturate, so `ended` may exceed `items`.
        let ended = self.answered.saturating_add(self.failed);
        self.items.saturating_sub(ended)
    }

    /// Returns whether a decoded value is one that the fold can produce.
    pub(crate) fn is_consistent(&self) -> bool {
        let chunks = self.chunks.iter().all(Chunk::is_consistent);
        let waiting = self
            .waiting
            .iter()
            .all(|waiting| waiting.chunk.is_consistent());
        let ascending = self.chunks.is_sorted_by(|a, b| a.chunk < b.chunk);
        let counted = self
            .chunks
            .iter()
            .fold(0, |sum: id::Item, chunk| sum.saturating_add(chunk.items()));
        let ended = self.answered.checked_add(self.failed);
        chunks
            && waiting
            && ascending
            && self.first_pending <= self.chunks.len()
            && counted == self.items
            && ended.is_some_and(|ended| ended <= self.items)
    }

    fn insert(&mut self, chunk: Chunk) -> bool {
        let Err(index) = self.find(chunk.chunk) else {
            return false;
        };
        self.items = self.items.saturating_add(chunk.items());
        self.first_pending = self.first_pending.min(index);
        self.chunks.insert(index, chunk);
        self.advance_first_pending();
        true
    }

    fn advance_first_pending(&mut self) {
        while self
            .chunks
            .get(self.first_pending)
            .is_some_and(|chunk| chunk.pending() == 0)
        {
            self.first_pending += 1;
        }
    }

    fn find(&self, chunk: id::Chunk) -> Result<usize, usize> {
        self.chunks
            .binary_search_by_key(&chunk, |known| known.chunk)
    }
}
