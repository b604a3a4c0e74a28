//! The fold of the stream, with recovery when its beginning was trimmed.

use tinbank_base::{
    id,
    platform::log::Entry,
    record::{Envelope, config::Record},
};

use super::{
    checkpoint::{self, Collector, Coverage},
    state::State,
    verdict::Judged,
};

/// A [`State`] that advances by entries, by checkpoints in the stream, or by entries from peers. It never goes back to an
/// earlier offset.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    state: State,
    coverage: Coverage,
    gap: Option<Gap>,
}

/// Buffers the entries after a gap until a checkpoint that covers the gap is complete.
#[derive(Clone, Debug)]
struct Gap {
    first: id::Offset,
    entries: Vec<Entry>,
    collector: Collector,
}

impl Fold {
    /// Returns the current state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns which changes are covered by checkpoints.
    pub fn coverage(&self) -> &Coverage {
        &self.coverage
    }

    /// Returns whether entries are missing between the state and the entries that have been read.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Records that the stream now begins at `first`.
    pub fn on_trimmed(&mut self, first: id::Offset) {
        if first > self.state.next() {
            self.gap = Some(Gap {
                first,
                entries: Vec::new(),
                collector: Collector::default(),
            });
        }
    }

    /// Applies an entry read from the log. Entries have to be applied in offset order.
    pub fn apply(&mut self, entry: &Entry) -> Vec<Judged> {
        let Some(gap) = &mut self.gap else {
            return self.apply_next(entry);
        };
        gap.entries.push(entry.clone());
        let Ok(envelope) = Envelope::<Record>::decode(&entry.payload) else {
            return Vec::new();
        };
        match gap.collector.add(entry.offset, envelope) {
            Some(restored) => self.advance_to(restored),
            None => Vec::new(),
        }
    }

    /// Applies entries received from a peer: entries of the stream, or synthetic checkpoints that replace older entries.
    /// Ignores entries that do not advance the state or would leave a gap.
    pub fn apply_from_peer(&mut self, entries: &[Entry]) -> Vec<Judged> {
        let mut judged = Vec::new();
        let mut collector = Collector::default();
        for entry in entries {
            match checkpoint::synthetic_envelope(entry) {
                Some(envelope) => {
                    let created_at = envelope.stamp.time();
                    let limit = entry.offset.saturating_add(1);
                    let restored = collector.add(limit, envelope);
                    if let Some(restored) = restored {
                        self.coverage
                            .record_restored_state(entry.offset, created_at);
                        judged.extend(self.advance_to(restored));
                    }
                }
                None => judged.extend(self.apply_next(entry)),
            }
        }
        self.close_gap(&mut judged);
        judged
    }

    /// Returns synthetic entries that bring a host from an empty state to this one: a checkpoint that covers the entries'
    /// own offset.
    pub fn synthetic_checkpoint(&self, encode: impl Fn(Record) -> bytes::Bytes) -> Vec<Entry> {
        let Some(offset) = self.state.next().checked_sub(1) else {
            return Vec::new();
        };
        checkpoint::parts(&self.state)
            .into_iter()
            .map(|part| Entry {
                offset,
                payload: encode(part),
            })
            .collect()
    }

    fn apply_next(&mut self, entry: &Entry) -> Vec<Judged> {
        if entry.offset != self.state.next() {
            return Vec::new();
        }
        self.coverage.record(entry);
        self.state.apply(entry)
    }

    fn advance_to(&mut self, restored: State) -> Vec<Judged> {
        let mut judged = Vec::new();
        if restored.next() > self.state.next() {
            self.state = restored;
        }
        self.close_gap(&mut judged);
        judged
    }

    /// Applies the buffered entries once the state reaches the end of the gap.
    fn close_gap(&mut self, judged: &mut Vec<Judged>) {
        let is_covered = |gap: &mut Gap| self.state.next() >= gap.first;
        let Some(gap) = self.gap.take_if(is_covered) else {
            return;
        };
        for entry in &gap.entries {
            judged.extend(self.apply_next(entry));
        }
    }
}
