//! Jobs, seen from the shard of their head ([`Job`]) and from each shard of their chunks ([`Work`]).

use serde::{Deserialize, Serialize};
use tinbank_base::{id, record::work};

use crate::chunk::Chunk;

/// A job in the shard of its head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The head that counts.
    pub head: work::Head,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// What the shards that have finished said.
    pub parts: Vec<work::Part>,
}

impl Job {
    /// Whether a shard has finished its part.
    pub fn has_part(&self, shard: id::Shard) -> bool {
        self.parts.iter().any(|part| part.shard == shard)
    }

    /// Whether all shards have finished their part.
    pub fn finished(&self) -> bool {
        self.head.shards.iter().all(|shard| self.has_part(*shard))
    }
}

/// A job's chunks in one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// What released the chunks; before it they don't run.
    pub release: Option<work::Release>,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether this shard's part was noted in the head's shard.
    pub told: bool,
    /// Log time of the last record about it, in microseconds since 1970.
    pub(crate) touched: u64,
    /// Whether it was found finished.
    pub(crate) ended: bool,
    /// Chunks of the released intake, by number.
    chunks: Vec<Chunk>,
    /// Chunks of intakes that are not released.
    waiting: Vec<Waiting>,
    /// All chunks before this index have ended.
    low: usize,
    items: id::Item,
    answered: id::Item,
    failed: id::Item,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Waiting {
    pub(crate) intake: u64,
    /// Log time of its record, in microseconds since 1970.
    at: u64,
    pub(crate) chunk: Chunk,
}

/// Counts of a job's items in one shard.
pub use tinbank_base::frame::request::Count;

impl Work {
    /// Whether all chunks are here and no item is to be run any more.
    pub fn finished(&self) -> bool {
        let Some(release) = &self.release else {
            return false;
        };
        let whole = self.chunks.len() as u64 >= u64::from(release.chunks);
        whole && (self.cancelled || self.open() == 0)
    }

    /// Whether items may be sent.
    pub fn runnable(&self) -> bool {
        self.release.is_some() && !self.cancelled && self.open() > 0
    }

    /// Counts of its items.
    pub fn count(&self) -> Count {
        let open = self.open();
        Count {
            pending: if self.cancelled { 0 } else { open },
            answered: self.answered,
            failed: self.failed,
            cancelled: if self.cancelled { open } else { 0 },
        }
    }

    /// The chunks that run, by number.
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// A chunk that runs.
    pub fn chunk(&self, chunk: id::Chunk) -> Option<&Chunk> {
        let index = self.find(chunk).ok()?;
        self.chunks.get(index)
    }

    /// Chunks with items to run, by number.
    pub fn pending_chunks(&self) -> impl Iterator<Item = &Chunk> {
        let from = if self.runnable() {
            self.low
        } else {
            self.chunks.len()
        };
        self.chunks[from..]
            .iter()
            .filter(|chunk| chunk.pending() > 0)
    }

    /// Takes in a chunk at log time `at`; the first copy counts. `true` if it may run.
    pub(crate) fn add(&mut self, intake: u64, chunk: Chunk, at: u64) -> bool {
        if self.runs(intake) {
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

    /// Lets the chunks of an intake run; the first release counts. Long after, when the head's shard has forgotten
    /// the job, it may be taken in again under the same key: that release takes the place of a finished one.
    pub(crate) fn release(&mut self, release: work::Release) -> bool {
        if let Some(known) = &self.release {
            let again = release.intake != known.intake && release.keep_until > known.keep_until;
            if !again || !self.finished() {
                return false;
            }
            *self = Self {
                waiting: std::mem::take(&mut self.waiting),
                touched: self.touched,
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

    /// Ends an item; `true` if this completion counts.
    pub(crate) fn end(
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
        if !self.chunks[index].end(completion.item, offset) {
            return false;
        }
        match completion.outcome {
            work::Outcome::Answer(_) => self.answered = self.answered.saturating_add(1),
            work::Outcome::Failed { .. } => self.failed = self.failed.saturating_add(1),
        }
        self.advance();
        true
    }

    /// The chunk that a carried copy speaks of.
    pub(crate) fn carried(&mut self, intake: u64, chunk: id::Chunk) -> Option<&mut Chunk> {
        if self.runs(intake) {
            let index = self.find(chunk).ok()?;
            return self.chunks.get_mut(index);
        }
        self.waiting
            .iter_mut()
            .find(|waiting| waiting.intake == intake && waiting.chunk.chunk == chunk)
            .map(|waiting| &mut waiting.chunk)
    }

    /// Forgets chunks that have waited for their release since before log time `since`.
    pub(crate) fn forget_waiting(&mut self, since: u64) {
        self.waiting.retain(|waiting| waiting.at >= since);
    }

    /// The intake that runs; 0 before the release.
    pub(crate) fn intake(&self) -> u64 {
        self.release.as_ref().map_or(0, |release| release.intake)
    }

    pub(crate) fn waiting(&self) -> &[Waiting] {
        &self.waiting
    }

    fn runs(&self, intake: u64) -> bool {
        self.release
            .as_ref()
            .is_some_and(|release| release.intake == intake)
    }

    fn open(&self) -> id::Item {
        // The count of items stops at its largest number.
        let ended = self.answered.saturating_add(self.failed);
        self.items.saturating_sub(ended)
    }

    /// Whether a decoded value is one that the fold could have made.
    pub(crate) fn sound(&self) -> bool {
        let sound = self.chunks.iter().all(Chunk::sound);
        let waiting = self.waiting.iter().all(|waiting| waiting.chunk.sound());
        let ascending = self.chunks.is_sorted_by(|a, b| a.chunk < b.chunk);
        let counted = self
            .chunks
            .iter()
            .fold(0, |sum: id::Item, chunk| sum.saturating_add(chunk.items()));
        let ended = self.answered.checked_add(self.failed);
        sound
            && waiting
            && ascending
            && self.low <= self.chunks.len()
            && counted == self.items
            && ended.is_some_and(|ended| ended <= self.items)
    }

    fn insert(&mut self, chunk: Chunk) -> bool {
        let Err(index) = self.find(chunk.chunk) else {
            return false;
        };
        self.items = self.items.saturating_add(chunk.items());
        self.low = self.low.min(index);
        self.chunks.insert(index, chunk);
        self.advance();
        true
    }

    fn advance(&mut self) {
        while self
            .chunks
            .get(self.low)
            .is_some_and(|chunk| chunk.pending() == 0)
        {
            self.low += 1;
        }
    }

    fn find(&self, chunk: id::Chunk) -> Result<usize, usize> {
        self.chunks
            .binary_search_by_key(&chunk, |known| known.chunk)
    }
}
