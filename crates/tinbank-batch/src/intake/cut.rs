//! Cuts a job's items into chunks of bounded count and size, since the log takes appends, not bytes, by the budget.

use tinbank_base::{
    id,
    record::work::{Chunk, Item},
};
use tinbank_ledger::placement;

/// Most items of a chunk.
pub const MAX_ITEMS: usize = placement::ITEMS_PER_CHUNK;
/// Size, in bytes of bodies and names, from which a chunk is full.
pub const FULL_BYTES: usize = 128 << 10;

/// Collects items until a chunk is full.
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
    /// A cutter for one intake of a job.
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

    /// Takes an item and gives a chunk when that one fills it.
    pub fn push(&mut self, item: Item) -> Option<Chunk> {
        self.bytes += item.custom_id.len() + item.body.len();
        self.items.push(item);
        let full = self.items.len() == MAX_ITEMS || self.bytes >= FULL_BYTES;
        full.then(|| self.cut())
    }

    /// Gives the last chunk, if any items are left.
    pub fn finish(&mut self) -> Option<Chunk> {
        (!self.items.is_empty()).then(|| self.cut())
    }

    /// How many chunks were cut so far.
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
