//! Splits records that exceed the log's record size into fragments, and joins them again.
//!
//! All fragments of a record are written by one append, so they are adjacent.

use bytes::{BufMut, Bytes, BytesMut};

/// First byte of the last fragment of a record.
const LAST: u8 = 0;
/// First byte of any other fragment.
const MORE: u8 = 1;

/// Splits a record into fragments of at most `limit` bytes each.
pub fn split(record: &Bytes, limit: usize) -> Vec<Bytes> {
    let size = content_size(limit);
    let count = count(record.len(), limit);
    let fragments = (0..count).map(|index| {
        let from = index * size;
        let to = (from + size).min(record.len());
        let mut fragment = BytesMut::with_capacity(1 + to - from);
        fragment.put_u8(if index + 1 == count { LAST } else { MORE });
        fragment.put_slice(&record[from..to]);
        fragment.freeze()
    });
    fragments.collect()
}

/// Returns the number of fragments of at most `limit` bytes each for a record of `bytes` bytes.
pub fn count(bytes: usize, limit: usize) -> usize {
    bytes.div_ceil(content_size(limit)).max(1)
}

/// Returns how many bytes of a record fit in a fragment.
fn content_size(limit: usize) -> usize {
    limit.max(2) - 1
}

/// Joins the fragments of a partition, which are pushed in the order of their offsets.
#[derive(Debug, Default)]
pub struct Joiner {
    first: Option<u64>,
    buffer: BytesMut,
}

/// A record joined from its fragments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Joined {
    /// Offset of the first fragment.
    pub offset: u64,
    /// The record.
    pub bytes: Bytes,
}

impl Joiner {
    /// Adds a fragment, and returns the record if it is the last one.
    pub fn push(&mut self, offset: u64, fragment: &Bytes) -> Option<Joined> {
        let (&mark, rest) = fragment.split_first()?;
        if mark == LAST && self.first.is_none() {
            return Some(Joined {
                offset,
                bytes: fragment.slice(1..),
            });
        }
        self.first.get_or_insert(offset);
        self.buffer.put_slice(rest);
        if mark != LAST {
            return None;
        }
        let offset = self.first.take()?;
        let bytes = self.buffer.split().freeze();
        Some(Joined { offset, bytes })
    }

    /// Discards the fragments of an incomplete record.
    pub fn reset(&mut self) {
        self.first = None;
        self.buffer.clear();
    }
}
