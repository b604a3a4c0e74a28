//! Recent entries, kept for peers that are slightly behind.

use std::collections::VecDeque;

use tinbank_base::{id, platform::log::Entry};

/// Contiguous entries of the stream, the newest last, bounded in bytes.
#[derive(Debug)]
pub(super) struct History {
    entries: VecDeque<Entry>,
    bytes: usize,
    limit: usize,
}

impl History {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            bytes: 0,
            limit,
        }
    }

    /// Adds an entry. Discards the older entries if it does not directly follow them.
    pub(super) fn push(&mut self, entry: &Entry) {
        let is_contiguous = self
            .entries
            .back()
            .is_none_or(|newest| newest.offset + 1 == entry.offset);
        if !is_contiguous {
            self.entries.clear();
            self.bytes = 0;
        }
        self.bytes += entry.payload.len();
        self.entries.push_back(entry.clone());
        while self.bytes > self.limit
            && let Some(oldest) = self.entries.pop_front()
        {
            self.bytes -= oldest.payload.len();
        }
    }

    /// Returns the entries from `from` up to but excluding `next`, if all of them are available.
    pub(super) fn range(&self, from: id::Offset, next: id::Offset) -> Option<Vec<Entry>> {
        let first = self.entries.front()?.offset;
        let last = self.entries.back()?.offset;
        if from < first || last + 1 != next {
            return None;
        }
        let skip = (from - first) as usize;
        Some(self.entries.iter().skip(skip).cloned().collect())
    }
}
