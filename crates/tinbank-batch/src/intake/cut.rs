//! Splits a job's items into chunks of bounded count and size. Items are batched because the log limits appends per
//! second, not bytes.

use tinbank_base::{
    id,
    record::work::{Chunk, Item},
};
use tinbank_ledger::placement;

/// Maximum number of items in a chunk.
pub const MAX_ITEMS: usize = placement::ITEMS_PER_CHUNK;
/// Size in bytes, over bodies and `custom_id`s, at which a chunk is closed.
pub const FULL_BYTES: usize = 128 << 10;

/// Collects items into chunks.
#[derive(Debug)]
pub struct Cutter {
    job: id::Job,
    intake: u64,
    chunk: id::Chunk,
    first: id::Item,
    items: Vec<Item>,
    bytes: usize,
}

impl Cutter {
    /// Creates a cutter for one intake of a job.
    pub fn new(job: id::Job, intake: u64) -> Self {
        Self {
            job,
            intake,
            chunk: 0,
            first: 0,
            items: Vec::new(),
            bytes: 0,
        }
    }

    /// Adds an item, and returns the chunk if the item fills it.
    pub fn push(&mut self, item: Item) -> Option<Chunk> {
        self.bytes += item.custom_id.len() + item.body.len();
        self.items.push(item);
        let full = self.items.len() == MAX_ITEMS || self.bytes >= FULL_BYTES;
        full.then(|| self.cut())
    }

    /// Returns the last chunk, if any items are left.
    pub fn finish(&mut self) -> Option<Chunk> {
        (!self.items.is_empty()).then(|| self.cut())
    }

    /// Returns the number of chunks cut so far.
    pub fn chunks(&self) -> id::Chunk {
        self.chunk
    }

    fn cut(&mut self) -> Chunk {
        let items = std::mem::take(&mut self.items);
        let chunk = Chunk {
            job: self.job,
            intake: self.intake,
            chunk: self.chunk,
            first: self.first,
            items,
        };
        self.chunk += 1;
        self.first += chunk.items.len() as id::Item;
        self.bytes = 0;
        chunk
    }
}
