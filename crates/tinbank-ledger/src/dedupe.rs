//! Drops second copies of an append whose answer was lost.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tinbank_base::{id, record::Writer};

/// Writers remembered; beyond it the one whose last record is the oldest is forgotten.
const MAX_WRITERS: usize = 4_096;
/// Gaps remembered for each writer; beyond it the oldest gap counts as seen.
const MAX_RANGES: usize = 64;

/// The append numbers seen from each writer.
///
/// Numbers may come out of order, since an append that timed out can take effect late, so the numbers
/// are kept as ranges and not just as the largest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dedupe {
    writers: BTreeMap<Writer, Seen>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Seen {
    /// Ascending, with gaps between them.
    ranges: SmallVec<[Range; 1]>,
    last: id::Offset,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Range {
    first: u64,
    last: u64,
}

impl Dedupe {
    /// Notes an append; `true` the first time.
    pub fn first(&mut self, writer: Writer, sequence: u64, offset: id::Offset) -> bool {
        if let Some(seen) = self.writers.get_mut(&writer) {
            seen.last = offset;
            return seen.insert(sequence);
        }
        self.make_room();
        let range = Range {
            first: sequence,
            last: sequence,
        };
        let seen = Seen {
            ranges: SmallVec::from_buf([range]),
            last: offset,
        };
        self.writers.insert(writer, seen);
        true
    }

    fn make_room(&mut self) {
        if self.writers.len() < MAX_WRITERS {
            return;
        }
        let oldest = self.writers.iter().min_by_key(|(_, seen)| seen.last);
        if let Some(writer) = oldest.map(|(writer, _)| *writer) {
            self.writers.remove(&writer);
        }
    }
}

impl Seen {
    fn insert(&mut self, sequence: u64) -> bool {
        let after = self.ranges.partition_point(|range| range.first <= sequence);
        let joins_next = self
            .ranges
            .get(after)
            .is_some_and(|next| next.first == sequence + 1);
        if let Some(before) = after.checked_sub(1) {
            let range = self.ranges[before];
            if sequence <= range.last {
                return false;
            }
            if sequence == range.last + 1 {
                self.ranges[before].last = sequence;
                if joins_next {
                    self.ranges[before].last = self.ranges[after].last;
                    self.ranges.remove(after);
                }
                return true;
            }
        }
        if joins_next {
            self.ranges[after].first = sequence;
            return true;
        }
        self.ranges.insert(
            after,
            Range {
                first: sequence,
                last: sequence,
            },
        );
        self.bound();
        true
    }

    fn bound(&mut self) {
        if self.ranges.len() > MAX_RANGES {
            let oldest = self.ranges.remove(0);
            self.ranges[0].first = oldest.first;
        }
    }
}
