//! Recent envelopes and changes, used to detect duplicates.

use std::collections::{BTreeSet, VecDeque};

use tinbank_base::{
    id,
    record::{Writer, config::Recent},
};

/// Number of offsets for which a change is remembered. It bounds the size of checkpoints and has to be the same on
/// every host. A duplicate follows within minutes, and a day has 680 changes at the target.
pub const WINDOW_OFFSETS: u64 = 1_024;

/// Envelopes of the last [`WINDOW_OFFSETS`] offsets.
///
/// Checkpoints contain it, so that a host that starts from a checkpoint detects the same duplicates as one that read
/// the whole stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Window {
    recent: VecDeque<Recent>,
    changes: BTreeSet<u128>,
}

impl Window {
    /// Removes the envelopes that are outside the window of `offset`.
    pub(super) fn advance(&mut self, offset: id::Offset) {
        while let Some(oldest) = self.recent.front()
            && oldest.offset.saturating_add(WINDOW_OFFSETS) <= offset
        {
            for change in &oldest.changes {
                self.changes.remove(change);
            }
            self.recent.pop_front();
        }
    }

    /// Returns whether an envelope is a duplicate, or its writer abandoned it before a later one.
    pub(super) fn is_duplicate(&self, writer: Writer, sequence: u64) -> bool {
        let of_writer = self
            .recent
            .iter()
            .rev()
            .find(|recent| recent.writer == writer);
        of_writer.is_some_and(|last| sequence <= last.sequence)
    }

    /// Returns whether a change has been judged.
    pub(super) fn contains_change(&self, change: u128) -> bool {
        self.changes.contains(&change)
    }

    /// Records an envelope that is not a duplicate. Its changes are added by [`Window::record_change`].
    pub(super) fn record_envelope(&mut self, offset: id::Offset, writer: Writer, sequence: u64) {
        self.recent.push_back(Recent {
            offset,
            writer,
            sequence,
            changes: Default::default(),
        });
    }

    /// Records a change of the newest envelope.
    pub(super) fn record_change(&mut self, change: u128) {
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
