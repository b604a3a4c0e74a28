//! Checkpoints of the whole state, which allow older entries of the stream to be trimmed.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, SystemTime},
};

use tinbank_base::{
    id,
    platform::log::Entry,
    record::{
        Envelope, Writer,
        config::{Kept, Recent, Record},
    },
};

use super::state::State;

/// Maximum number of text bytes per part. A larger object gets a part of its own.
const PART_BYTES: usize = 128 << 10;

/// When to write a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Maximum age of the last checkpoint and of the oldest change after it. Has to be well below the log's retention.
    pub after: Duration,
    /// Maximum number of changes after the last checkpoint.
    pub changes: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            after: Duration::from_secs(6 * 3_600),
            changes: 2_000,
        }
    }
}

/// Splits a state into the records of a checkpoint. Returns none for a state that has read nothing.
pub fn parts(state: &State) -> Vec<Record> {
    let Some(through) = state.next().checked_sub(1) else {
        return Vec::new();
    };
    let mut groups: Vec<Vec<Kept>> = vec![Vec::new()];
    let mut bytes = 0;
    for kept in state.kept() {
        let size = kept.body.as_ref().map_or(0, String::len);
        if bytes + size > PART_BYTES && bytes > 0 {
            groups.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(group) = groups.last_mut() {
            group.push(kept);
        }
    }
    let parts = groups.len() as u32;
    let mut recent: Vec<Recent> = state.recent().cloned().collect();
    (0..parts)
        .zip(groups)
        .map(|(part, objects)| Record::Checkpoint {
            through,
            part,
            parts,
            objects,
            recent: std::mem::take(&mut recent),
        })
        .collect()
}

/// Returns whether the entry is a synthetic one, created by a peer to replace older entries.
///
/// Its checkpoint covers the entry's own offset, whereas a checkpoint in the stream covers only earlier ones.
pub fn is_synthetic(entry: &Entry) -> bool {
    synthetic_envelope(entry).is_some()
}

/// Returns the envelope of a synthetic entry, and `None` for other entries.
pub(super) fn synthetic_envelope(entry: &Entry) -> Option<Envelope<Record>> {
    let envelope = Envelope::<Record>::decode(&entry.payload).ok()?;
    let own = |record: &Record| matches!(record, Record::Checkpoint { through, .. } if *through == entry.offset);
    envelope.records.iter().any(own).then_some(envelope)
}

/// Identifies a checkpoint. Two hosts may write a checkpoint of the same state concurrently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CheckpointId {
    through: id::Offset,
    writer: Writer,
    parts: u32,
}

/// Collects the parts of checkpoints until one is complete.
#[derive(Clone, Debug, Default)]
pub(super) struct Collector {
    partial: BTreeMap<CheckpointId, BTreeMap<u32, Part>>,
}

#[derive(Clone, Debug)]
struct Part {
    objects: Vec<Kept>,
    recent: Vec<Recent>,
}

impl Collector {
    /// Adds the parts in an envelope. Returns the state of a checkpoint that is now complete.
    ///
    /// Rejects a checkpoint that claims to cover `limit` or later offsets: changes up to there would be ignored.
    pub(super) fn add(&mut self, limit: id::Offset, envelope: Envelope<Record>) -> Option<State> {
        let mut complete = None;
        for record in envelope.records {
            let Record::Checkpoint {
                through,
                part,
                parts,
                objects,
                recent,
            } = record
            else {
                continue;
            };
            let late = objects.iter().any(|kept| kept.revision > through)
                || recent.iter().any(|recent| recent.offset > through);
            if part >= parts || through >= limit || late {
                metrics::counter!("tinbank_configuration_checkpoints_refused_total").increment(1);
                continue;
            }
            let checkpoint = CheckpointId {
                through,
                writer: envelope.writer,
                parts,
            };
            let set = self.partial.entry(checkpoint).or_default();
            set.entry(part).or_insert(Part { objects, recent });
            if set.len() == parts as usize {
                complete = Some(checkpoint);
            }
        }
        let checkpoint = complete?;
        let set = self.partial.remove(&checkpoint)?;
        let (mut kept, mut recent) = (Vec::new(), Vec::new());
        for part in set.into_values() {
            kept.extend(part.objects);
            recent.extend(part.recent);
        }
        Some(State::restore(checkpoint.through, kept, recent))
    }
}

/// Tracks which changes of the stream are covered by checkpoints.
///
/// Only used to decide when to write the next checkpoint; verdicts do not depend on it.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    partial: BTreeMap<CheckpointId, PartialCheckpoint>,
    last: Option<CompleteCheckpoint>,
    uncovered: Vec<UncoveredChange>,
}

#[derive(Clone, Debug)]
struct PartialCheckpoint {
    parts: BTreeSet<u32>,
    first: id::Offset,
    started_at: SystemTime,
}

#[derive(Clone, Copy, Debug)]
struct CompleteCheckpoint {
    through: id::Offset,
    first: id::Offset,
    started_at: SystemTime,
}

#[derive(Clone, Copy, Debug)]
struct UncoveredChange {
    offset: id::Offset,
    at: SystemTime,
}

impl Coverage {
    /// Records an entry. Entries have to be recorded in offset order.
    pub fn record(&mut self, entry: &Entry) {
        let Ok(envelope) = Envelope::<Record>::decode(&entry.payload) else {
            return;
        };
        let at = envelope.stamp.time();
        for record in &envelope.records {
            match record {
                Record::Put(_) => self.uncovered.push(UncoveredChange {
                    offset: entry.offset,
                    at,
                }),
                Record::Checkpoint {
                    through,
                    part,
                    parts,
                    ..
                } if part < parts && *through < entry.offset => {
                    let checkpoint = CheckpointId {
                        through: *through,
                        writer: envelope.writer,
                        parts: *parts,
                    };
                    self.record_part(checkpoint, *part, entry.offset, at);
                }
                Record::Checkpoint { .. } => {}
            }
        }
    }

    /// Records that a state was received from a peer. The checkpoints in the stream before it are unknown.
    pub(super) fn record_restored_state(&mut self, through: id::Offset, at: SystemTime) {
        self.uncovered.push(UncoveredChange {
            offset: through,
            at,
        });
    }

    /// Returns whether a stream that begins at `first` no longer contains a known checkpoint.
    pub fn is_checkpoint_trimmed(&self, first: id::Offset) -> bool {
        first > 0 && self.last.is_none_or(|last| last.first < first)
    }

    /// Returns whether a checkpoint is due.
    pub fn is_checkpoint_due(&self, policy: Policy, now: SystemTime) -> bool {
        let old = |at: SystemTime| now.duration_since(at).is_ok_and(|age| age >= policy.after);
        let oldest = self.uncovered.first().map(|change| change.at);
        self.uncovered.len() >= policy.changes
            || oldest.is_some_and(old)
            || self.last.is_some_and(|last| old(last.started_at))
    }

    fn record_part(
        &mut self,
        checkpoint: CheckpointId,
        part: u32,
        offset: id::Offset,
        at: SystemTime,
    ) {
        let partial = self
            .partial
            .entry(checkpoint)
            .or_insert_with(|| PartialCheckpoint {
                parts: BTreeSet::new(),
                first: offset,
                started_at: at,
            });
        partial.parts.insert(part);
        if partial.parts.len() < checkpoint.parts as usize {
            return;
        }
        let complete = CompleteCheckpoint {
            through: checkpoint.through,
            first: partial.first,
            started_at: partial.started_at,
        };
        if self
            .last
            .is_some_and(|last| last.through > complete.through)
        {
            return;
        }
        self.last = Some(complete);
        self.uncovered
            .retain(|change| change.offset > complete.through);
        self.partial
            .retain(|checkpoint, _| checkpoint.through > complete.through);
    }
}
