//! Splits records that are larger than the log takes, and puts them together again.
//!
//! The pieces of one record stand next to each other, because one append writes them all or none.

use bytes::{BufMut, Bytes, BytesMut};

/// Marks the last piece of a record.
const LAST: u8 = 0;
/// Marks a piece behind which the next one follows.
const MORE: u8 = 1;

/// The pieces of a record, each of at most `limit` bytes.
pub fn split(record: &Bytes, limit: usize) -> Vec<Bytes> {
    let size = limit.max(2) - 1;
    let count = record.len().div_ceil(size).max(1);
    let pieces = (0..count).map(|index| {
        let from = index * size;
        let to = (from + size).min(record.len());
        let mut piece = BytesMut::with_capacity(1 + to - from);
        piece.put_u8(if index + 1 == count { LAST } else { MORE });
        piece.put_slice(&record[from..to]);
        piece.freeze()
    });
    pieces.collect()
}

/// Puts the pieces of one partition together, in the order of their offsets.
#[derive(Debug, Default)]
pub struct Joiner {
    first: Option<u64>,
    buffer: BytesMut,
}

/// A whole record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    /// Offset of its first piece.
    pub offset: u64,
    /// Its bytes.
    pub bytes: Bytes,
}

impl Joiner {
    /// Takes in the piece at an offset. The record, if this was its last piece.
    pub fn push(&mut self, offset: u64, piece: &Bytes) -> Option<Whole> {
        let (&mark, rest) = piece.split_first()?;
        if mark == LAST && self.first.is_none() {
            return Some(Whole {
                offset,
                bytes: piece.slice(1..),
            });
        }
        self.first.get_or_insert(offset);
        self.buffer.put_slice(rest);
        if mark != LAST {
            return None;
        }
        let offset = self.first.take()?;
        let bytes = self.buffer.split().freeze();
        Some(Whole { offset, bytes })
    }

    /// Forgets the pieces of a record whose rest is gone.
    pub fn reset(&mut self) {
        self.first = None;
        self.buffer.clear();
    }
}
