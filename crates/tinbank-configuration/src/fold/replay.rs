//! The fold of a host that may have started after the stream's beginning was gone.

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

/// A [`State`] that can be caught up with by entries, by a checkpoint in the stream, or by what a peer sends. It never
/// goes back.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    state: State,
    coverage: Coverage,
    gap: Option<Gap>,
}

/// Entries read behind a gap, while the checkpoint that bridges it is collected.
#[derive(Clone, Debug)]
struct Gap {
    first: id::Offset,
    entries: Vec<Entry>,
    collector: Collector,
}

impl Fold {
    /// The state in force.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// How well checkpoints cover the stream.
    pub fn coverage(&self) -> &Coverage {
        &self.coverage
    }

    /// Whether entries are missing between the state and what has been read of the stream.
    pub fn incomplete(&self) -> bool {
        self.gap.is_some()
    }

    /// Takes note that the stream now begins at `first`.
    pub fn on_trimmed(&mut self, first: id::Offset) {
        if first > self.state.next() {
            self.gap = Some(Gap {
                first,
                entries: Vec::new(),
                collector: Collector::default(),
            });
        }
    }

    /// Takes in an entry read from the log, in offset order.
    pub fn apply(&mut self, entry: &Entry) -> Vec<Judged> {
        let Some(gap) = &mut self.gap else {
            return self.apply_next(entry);
        };
        gap.entries.push(entry.clone());
        let Ok(envelope) = Envelope::<Record>::decode(&entry.payload) else {
            return Vec::new();
        };
        match gap.collector.take(entry.offset, envelope) {
            Some(restored) => self.adopt(restored),
            None => Vec::new(),
        }
    }

    /// Takes in what a peer sent: entries of the stream, or a checkpoint as of its own offset in place of the older
    /// ones. What does not lead forward without a gap is ignored.
    pub fn offer(&mut self, entries: &[Entry]) -> Vec<Judged> {
        let mut judged = Vec::new();
        let mut collector = Collector::default();
        for entry in entries {
            match checkpoint::stand_in(entry) {
                Some(envelope) => {
                    let made = envelope.stamp.time();
                    let limit = entry.offset.saturating_add(1);
                    let restored = collector.take(limit, envelope);
                    if let Some(restored) = restored {
                        self.coverage.jumped(entry.offset, made);
                        judged.extend(self.adopt(restored));
                    }
                }
                None => judged.extend(self.apply_next(entry)),
            }
        }
        self.close_gap(&mut judged);
        judged
    }

    /// Entries that bring a host from nothing to this state: a checkpoint as of its own offset.
    pub fn stand_ins(&self, make: impl Fn(Record) -> bytes::Bytes) -> Vec<Entry> {
        let Some(offset) = self.state.next().checked_sub(1) else {
            return Vec::new();
        };
        checkpoint::parts(&self.state)
            .into_iter()
            .map(|part| Entry {
                offset,
                payload: make(part),
            })
            .collect()
    }

    fn apply_next(&mut self, entry: &Entry) -> Vec<Judged> {
        if entry.offset != self.state.next() {
            return Vec::new();
        }
        self.coverage.take(entry);
        self.state.apply(entry)
    }

    fn adopt(&mut self, restored: State) -> Vec<Judged> {
        let mut judged = Vec::new();
        if restored.next() > self.state.next() {
            self.state = restored;
        }
        self.close_gap(&mut judged);
        judged
    }

    /// Goes on with the entries behind the gap, once the state reaches up to them.
    fn close_gap(&mut self, judged: &mut Vec<Judged>) {
        let reached = |gap: &mut Gap| self.state.next() >= gap.first;
        let Some(gap) = self.gap.take_if(reached) else {
            return;
        };
        for entry in &gap.entries {
            judged.extend(self.apply_next(entry));
        }
    }
}
