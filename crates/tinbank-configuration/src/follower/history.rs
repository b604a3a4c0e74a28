//! Recent entries, kept for peers that are a little behind.

use std::collections::VecDeque;

use tinbank_base::{id, platform::log::Entry};

/// Entries of the stream without gaps, the newest last, bounded in bytes.
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

    /// Takes in an entry. One that does not follow the newest begins the history anew.
    pub(super) fn push(&mut self, entry: &Entry) {
        let follows = self
            .entries
            .back()
            .is_none_or(|newest| newest.offset + 1 == entry.offset);
        if !follows {
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

    /// The entries from `from` up to before `next`, if all of them are here.
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
