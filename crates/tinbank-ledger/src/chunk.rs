//! In-memory summary of a chunk: the log position of its bodies, and which of its items have ended.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tinbank_base::{id, record::work};

/// Largest number of items in a chunk. The fold ignores larger chunks.
pub const MAX_ITEMS: usize = u16::MAX as usize;

/// Position of a record in the shard's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Offset of the envelope that contains the record.
    pub offset: id::Offset,
    /// Index of the record in the envelope.
    pub record: u16,
}

/// A chunk whose bodies stay in the log.
///
/// Kept small, since a shard holds many: the completion bitmap is allocated with the first completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    offset: id::Offset,
    record: u16,
    items: u16,
    pending: u16,
    /// Chunk number in the job.
    pub chunk: id::Chunk,
    /// Number in the job of its first item.
    pub first: id::Item,
    progress: Option<Box<Progress>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Progress {
    ended: Box<[u64]>,
    results: SmallVec<[id::Offset; 2]>,
}

impl Chunk {
    /// Returns the summary of the chunk record at `place`, or `None` if its item count or numbers are out of range.
    pub fn new(place: Place, chunk: &work::Chunk) -> Option<Self> {
        let items = u16::try_from(chunk.items.len()).ok()?;
        chunk.first.checked_add(id::Item::from(items))?;
        Some(Self {
            offset: place.offset,
            record: place.record,
            items,
            pending: items,
            chunk: chunk.chunk,
            first: chunk.first,
            progress: None,
        })
    }

    /// Position of the record that holds its bodies.
    pub fn place(&self) -> Place {
        Place {
            offset: self.offset,
            record: self.record,
        }
    }

    /// Number of its items.
    pub fn items(&self) -> id::Item {
        id::Item::from(self.items)
    }

    /// Number of its items that have not ended.
    pub fn pending(&self) -> id::Item {
        id::Item::from(self.pending)
    }

    /// Returns whether an item belongs to this chunk.
    pub fn holds(&self, item: id::Item) -> bool {
        item >= self.first && item - self.first < self.items()
    }

    /// Returns whether an item has ended.
    pub fn ended(&self, item: id::Item) -> bool {
        let Some(progress) = self.progress.as_ref().filter(|_| self.holds(item)) else {
            return false;
        };
        let (word, bit) = bit_position(item - self.first);
        progress.ended[word] & bit != 0
    }

    /// Items that have not ended, ascending.
    pub fn pending_items(&self) -> impl Iterator<Item = id::Item> + '_ {
        (self.first..self.first + self.items()).filter(|item| !self.ended(*item))
    }

    /// Offsets of the envelopes that hold the first completion of any item, in the order in which they must be read.
    pub fn results(&self) -> &[id::Offset] {
        self.progress
            .as_ref()
            .map_or(&[], |progress| &progress.results)
    }

    /// Offset of the oldest envelope that is needed to run its items or to read its results.
    pub fn oldest(&self) -> id::Offset {
        let results = self.results().iter().copied().min();
        results.map_or(self.offset, |result| result.min(self.offset))
    }

    /// Returns whether a decoded value is one that [`Chunk::new`] and [`Chunk::end_item`] can produce.
    pub(crate) fn is_consistent(&self) -> bool {
        let fits = self.progress.as_ref().is_none_or(|progress| {
            let bits = progress.ended.len() * u64::BITS as usize;
            let last = progress.ended.last();
            let unused = bits.saturating_sub(usize::from(self.items));
            progress.ended.len() == words(self.items)
                && last.is_none_or(|last| last.leading_zeros() as usize >= unused)
        });
        if !fits || self.first.checked_add(self.items()).is_none() {
            return false;
        }
        self.pending_items().count() == usize::from(self.pending)
    }

    /// Marks an item as ended by the completion at `offset`. Returns whether it had not ended before.
    pub(crate) fn end_item(&mut self, item: id::Item, offset: id::Offset) -> bool {
        if !self.holds(item) || self.ended(item) {
            return false;
        }
        let progress = self.progress.get_or_insert_with(|| {
            Box::new(Progress {
                ended: vec![0; words(self.items)].into_boxed_slice(),
                results: SmallVec::new(),
            })
        });
        let (word, bit) = bit_position(item - self.first);
        progress.ended[word] |= bit;
        if progress.results.last() != Some(&offset) {
            progress.results.push(offset);
        }
        self.pending -= 1;
        true
    }

    /// Moves the bodies, and the results up to offset `through`, to the carried copy at `place`. Returns `false` if
    /// the copy is out of date.
    pub(crate) fn carry(&mut self, place: Place, through: id::Offset) -> bool {
        if self.offset > through || through >= place.offset {
            return false;
        }
        self.offset = place.offset;
        self.record = place.record;
        if let Some(progress) = &mut self.progress {
            let had = progress.results.len();
            progress.results.retain(|result| *result > through);
            if progress.results.len() < had {
                progress.results.insert(0, place.offset);
            }
        }
        true
    }

    /// Replaces the results envelope at `from` with the one at `to`. Returns `false` if no results are read from
    /// `from`.
    pub(crate) fn move_results(&mut self, from: id::Offset, to: id::Offset) -> bool {
        let results = self.progress.iter_mut();
        let mut results = results.flat_map(|progress| &mut progress.results);
        let Some(offset) = results.find(|result| **result == from) else {
            return false;
        };
        *offset = to;
        true
    }
}

/// Number of 64-bit words of a bitmap of `items` bits.
fn words(items: u16) -> usize {
    usize::from(items).div_ceil(u64::BITS as usize)
}

fn bit_position(index: id::Item) -> (usize, u64) {
    let word = index / u64::BITS;
    (word as usize, 1 << (index % u64::BITS))
}
