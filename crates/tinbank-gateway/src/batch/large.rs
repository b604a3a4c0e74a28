//! Large records, which only the hosts that need them read.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tinbank_jobs::{
    fragment::{self, Joiner},
    record::Stored,
};

use crate::{
    border::store::{Error, Offset, Range, Topic, TopicPartition},
    node::Node,
};

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Bytes of framing per stored record, by the store and by fragments.
const RECORD_OVERHEAD: usize = 8;
/// Size limit of the cache. Most results are read within two seconds of their completion, and the smallest hosts have
/// 88 MB.
const CACHE_BYTES: usize = 256 << 10;

/// Cache of the records that were read or written last, with first-in-first-out eviction.
#[derive(Default)]
pub(super) struct Cache {
    records: RefCell<HashMap<Stored, Bytes>>,
    order: RefCell<VecDeque<Stored>>,
    bytes: Cell<usize>,
}

impl Cache {
    /// Adds a record, and evicts the oldest ones beyond the size limit.
    pub fn insert(&self, stored: Stored, bytes: Bytes) {
        let size = bytes.len();
        if self.records.borrow_mut().insert(stored, bytes).is_some() {
            return;
        }
        self.order.borrow_mut().push_back(stored);
        self.bytes.set(self.bytes.get() + size);
        while self.bytes.get() > CACHE_BYTES {
            let Some(first) = self.order.borrow_mut().pop_front() else {
                return;
            };
            let evicted = self.records.borrow_mut().remove(&first);
            let size = evicted.map_or(0, |bytes| bytes.len());
            self.bytes.set(self.bytes.get() - size);
        }
    }

    fn get(&self, stored: &Stored) -> Option<Bytes> {
        self.records.borrow().get(stored).cloned()
    }
}

/// Returns the partition that this host writes to. Each host uses a single one, so that records can share an append.
pub(super) fn own_place(node: &Node) -> TopicPartition {
    TopicPartition {
        topic: Topic::Contents,
        partition: super::partition(&node.settings.host, node.settings.store.partitions),
    }
}

/// Writes large records with one append, and returns their locations.
pub(super) async fn write(
    node: &Node,
    all: &[Bytes],
    until: Instant,
) -> Result<Vec<Stored>, Error> {
    let place = own_place(node);
    let limit = node.settings.store.record_bytes;
    let split = all.iter().map(|bytes| fragment::split(bytes, limit));
    let split: Vec<Vec<Bytes>> = split.collect();
    let fragments: Vec<Bytes> = split.iter().flatten().cloned().collect();
    let mut offset = node.store.append(place, &fragments, until).await?;
    let stored = split.iter().zip(all).map(|(fragments, bytes)| {
        let stored = Stored {
            partition: place.partition,
            offset,
            records: fragments.len() as u32,
            bytes: bytes.len() as u32,
        };
        offset += fragments.len() as u64;
        stored
    });
    Ok(stored.collect())
}

/// Reads a large record, from the cache if it is there.
pub(super) async fn read(node: &Node, stored: Stored) -> Result<Bytes, Error> {
    if stored.bytes == 0 {
        return Ok(Bytes::new());
    }
    if let Some(bytes) = node.batch.large_records.get(&stored) {
        return Ok(bytes);
    }
    let place = TopicPartition {
        topic: Topic::Contents,
        partition: stored.partition,
    };
    let expected = stored.bytes as usize + stored.records as usize * RECORD_OVERHEAD;
    let bytes = read_record(node, place, stored.offset, expected).await?;
    node.batch.large_records.insert(stored, bytes.clone());
    Ok(bytes)
}

/// Reads the record that begins at an offset and has about `expected` bytes with its framing.
pub(super) async fn read_record(
    node: &Node,
    place: TopicPartition,
    offset: Offset,
    expected: usize,
) -> Result<Bytes, Error> {
    let until = Instant::now() + READ_TIMEOUT;
    let mut joiner = Joiner::default();
    let mut next = offset;
    loop {
        let range = Range {
            from: next,
            bytes: expected,
            wait_ms: 0,
        };
        let page = node.store.read(place, range, until).await?;
        if page.records.is_empty() {
            let why = "log ends before the end of a record";
            return Err(Error::Protocol(why.to_owned()));
        }
        for fragment in &page.records {
            if let Some(joined) = joiner.push(next, fragment) {
                // Copied so that a cached record does not keep the whole page alive.
                return Ok(Bytes::copy_from_slice(&joined.bytes));
            }
            next += 1;
        }
    }
}
