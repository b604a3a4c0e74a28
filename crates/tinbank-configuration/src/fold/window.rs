//! Recent envelopes, by which copies are known.

use std::collections::{BTreeSet, VecDeque};

use tinbank_base::{
    id,
    record::{Writer, config::Recent},
};

/// For how many offsets a change is remembered. A copy comes within minutes of its original, and a day has 680 changes
/// at the target; the bound keeps checkpoints small and is the same on every host.
pub const WINDOW: u64 = 1_024;

/// Envelopes of the last [`WINDOW`] offsets.
///
/// It is part of the state that a checkpoint keeps: a host that started from one must know the same copies as a host
/// that read the stream from its beginning.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Window {
    recent: VecDeque<Recent>,
    changes: BTreeSet<u128>,
}

impl Window {
    /// Forgets what lies too far before an offset.
    pub(super) fn advance(&mut self, offset: id::Offset) {
        while let Some(oldest) = self.recent.front()
            && oldest.offset.saturating_add(WINDOW) <= offset
        {
            for change in &oldest.changes {
                self.changes.remove(change);
            }
            self.recent.pop_front();
        }
    }

    /// Whether an envelope is a copy, or was given up by its writer before a later one.
    pub(super) fn is_copy(&self, writer: Writer, sequence: u64) -> bool {
        let of_writer = self
            .recent
            .iter()
            .rev()
            .find(|recent| recent.writer == writer);
        of_writer.is_some_and(|last| sequence <= last.sequence)
    }

    /// Whether a change has been judged.
    pub(super) fn has(&self, change: u128) -> bool {
        self.changes.contains(&change)
    }

    /// Takes note of an envelope that is not a copy; its changes are added by [`Window::add`].
    pub(super) fn open(&mut self, offset: id::Offset, writer: Writer, sequence: u64) {
        self.recent.push_back(Recent {
            offset,
            writer,
            sequence,
            changes: Default::default(),
        });
    }

    /// Takes note of a change in the newest envelope.
    pub(super) fn add(&mut self, change: u128) {
        if let Some(recent) = self.recent.back_mut() {
            recent.changes.push(change);
            self.changes.insert(change);
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Recent> {
        self.recent.iter()
    }
}

impl FromIterator<Recent> for Window {
    fn from_iter<I: IntoIterator<Item = Recent>>(recent: I) -> Self {
        let mut recent: VecDeque<Recent> = recent.into_iter().collect();
        recent
            .make_contiguous()
            .sort_by_key(|recent| (recent.offset, recent.sequence));
        let changes = recent
            .iter()
            .flat_map(|recent| recent.changes.iter().copied())
            .collect();
        Self { recent, changes }
    }
}
