//! What a shard remembers of a chunk: where its bodies stand, and which of its items have ended.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tinbank_base::{id, record::work};

/// Largest number of items of a chunk that the fold takes.
pub const MAX_ITEMS: usize = u16::MAX as usize;

/// A place in the shard's stream: an envelope, and a record in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Offset of the envelope.
    pub offset: id::Offset,
    /// Index of the record in it.
    pub record: u16,
}

/// A chunk whose bodies stay in the log. It takes 32 bytes, and a bit an item more from the first completion on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    offset: id::Offset,
    record: u16,
    items: u16,
    pending: u16,
    /// Which chunk of its job.
    pub chunk: id::Chunk,
    /// Number of its first item in the job.
    pub first: id::Item,
    progress: Option<Box<Progress>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Progress {
    ended: Box<[u64]>,
    results: SmallVec<[id::Offset; 2]>,
}

impl Chunk {
    /// The summary of a chunk that stands at a place; `None` if its numbers can't be ours.
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

    /// Where its bodies stand.
    pub fn place(&self) -> Place {
        Place {
            offset: self.offset,
            record: self.record,
        }
    }

    /// How many items it has.
    pub fn items(&self) -> id::Item {
        id::Item::from(self.items)
    }

    /// How many of its items have not ended.
    pub fn pending(&self) -> id::Item {
        id::Item::from(self.pending)
    }

    /// Whether an item is one of its own.
    pub fn holds(&self, item: id::Item) -> bool {
        item >= self.first && item - self.first < self.items()
    }

    /// Whether an item has ended.
    pub fn ended(&self, item: id::Item) -> bool {
        let Some(progress) = self.progress.as_ref().filter(|_| self.holds(item)) else {
            return false;
        };
        let (word, bit) = position(item - self.first);
        progress.ended[word] & bit != 0
    }

    /// The items that have not ended, ascending.
    pub fn pending_items(&self) -> impl Iterator<Item = id::Item> + '_ {
        (self.first..self.first + self.items()).filter(|item| !self.ended(*item))
    }

    /// Offsets of the envelopes that hold completions that count, in the order in which they have to be read.
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

    /// Whether a decoded value is one that [`Chunk::new`] and [`Chunk::end`] could have made.
    pub(crate) fn sound(&self) -> bool {
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

    /// Ends an item; `true` the first time.
    pub(crate) fn end(&mut self, item: id::Item, offset: id::Offset) -> bool {
        if !self.holds(item) || self.ended(item) {
            return false;
        }
        let progress = self.progress.get_or_insert_with(|| {
            Box::new(Progress {
                ended: vec![0; words(self.items)].into_boxed_slice(),
                results: SmallVec::new(),
            })
        });
        let (word, bit) = position(item - self.first);
        progress.ended[word] |= bit;
        if progress.results.last() != Some(&offset) {
            progress.results.push(offset);
        }
        self.pending -= 1;
        true
    }

    /// Moves the bodies, and the results up to `through`, to where they were carried; `false` if that is out of date.
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

    /// Moves the results of one envelope to another; `false` if none are read from there.
    pub(crate) fn move_results(&mut self, from: id::Offset, to: id::Offset) -> bool {
        let results = self.progress.iter_mut();
        let mut results = results.flat_map(|progress| &mut progress.results);
        let Some(place) = results.find(|result| **result == from) else {
            return false;
        };
        *place = to;
        true
    }
}

/// Words of a bit for each item.
fn words(items: u16) -> usize {
    usize::from(items).div_ceil(u64::BITS as usize)
}

fn position(index: id::Item) -> (usize, u64) {
    let word = index / u64::BITS;
    (word as usize, 1 << (index % u64::BITS))
}
