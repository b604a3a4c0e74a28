//! Large records, which are written once and read only by hosts that need them.

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

/// How long one read may take.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Bytes that a record takes beside its content, in the store's form and in ours.
const RECORD_BYTES: usize = 8;
/// Most bytes of texts that are kept for the next caller. Source: what finishes within the two seconds in which most
/// results are read, against hosts of 88 MB.
const CACHE_BYTES: usize = 256 << 10;

/// What was read or written last.
#[derive(Default)]
pub(super) struct Large {
    cache: RefCell<HashMap<Stored, Bytes>>,
    order: RefCell<VecDeque<Stored>>,
    bytes: Cell<usize>,
}

impl Large {
    /// Keeps something for the next reader; what was kept first goes.
    pub fn keep(&self, stored: Stored, bytes: Bytes) {
        let size = bytes.len();
        if self.cache.borrow_mut().insert(stored, bytes).is_some() {
            return;
        }
        self.order.borrow_mut().push_back(stored);
        self.bytes.set(self.bytes.get() + size);
        while self.bytes.get() > CACHE_BYTES {
            let Some(first) = self.order.borrow_mut().pop_front() else {
                return;
            };
            let dropped = self.cache.borrow_mut().remove(&first);
            let size = dropped.map_or(0, |bytes| bytes.len());
            self.bytes.set(self.bytes.get() - size);
        }
    }

    fn kept(&self, stored: &Stored) -> Option<Bytes> {
        self.cache.borrow().get(stored).cloned()
    }
}

/// The partition that this host writes to. Any would do; one for each host keeps appends few.
pub(super) fn own_place(node: &Node) -> TopicPartition {
    TopicPartition {
        topic: Topic::Contents,
        partition: super::partition(&node.settings.host, node.settings.store.partitions),
    }
}

/// Appends several large records at once. Where each of them stands.
pub(super) async fn write(
    node: &Node,
    all: &[Bytes],
    until: Instant,
) -> Result<Vec<Stored>, Error> {
    let place = own_place(node);
    let limit = node.settings.store.record_bytes;
    let split = all.iter().map(|bytes| fragment::split(bytes, limit));
    let split: Vec<Vec<Bytes>> = split.collect();
    let pieces: Vec<Bytes> = split.iter().flatten().cloned().collect();
    let mut offset = node.store.append(place, &pieces, until).await?;
    let stored = split.iter().zip(all).map(|(pieces, bytes)| {
        let stored = Stored {
            partition: place.partition,
            offset,
            records: pieces.len() as u32,
            bytes: bytes.len() as u32,
        };
        offset += pieces.len() as u64;
        stored
    });
    Ok(stored.collect())
}

/// Reads a large record.
pub(super) async fn read(node: &Node, stored: Stored) -> Result<Bytes, Error> {
    if stored.bytes == 0 {
        return Ok(Bytes::new());
    }
    if let Some(bytes) = node.batch.large.kept(&stored) {
        return Ok(bytes);
    }
    let place = TopicPartition {
        topic: Topic::Contents,
        partition: stored.partition,
    };
    let expected = stored.bytes as usize + stored.records as usize * RECORD_BYTES;
    let bytes = read_whole(node, place, stored.offset, expected).await?;
    node.batch.large.keep(stored, bytes.clone());
    Ok(bytes)
}

/// Reads the record that begins at an offset, of about `expected` bytes.
pub(super) async fn read_whole(
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
            let why = "a record that was written is not there";
            return Err(Error::Protocol(why.to_owned()));
        }
        for piece in &page.records {
            if let Some(whole) = joiner.push(next, piece) {
                // The page is larger than the record; what is kept must not hold all of it.
                return Ok(Bytes::copy_from_slice(&whole.bytes));
            }
            next += 1;
        }
    }
}
