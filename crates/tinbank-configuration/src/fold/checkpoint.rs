//! Checkpoints of the whole state, so that the stream's beginning may go.

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

/// Most bytes of texts in one part. A larger single object has a part of its own.
const PART_BYTES: usize = 128 << 10;

/// When a checkpoint is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Age of the oldest change without a checkpoint, or of the last checkpoint. Well under the log's retention.
    pub after: Duration,
    /// Number of changes without a checkpoint.
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

/// Cuts a state into the records of one checkpoint. Empty for a state that has read nothing.
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

/// Whether a peer made an entry in place of older ones. In the stream, a checkpoint always stands behind what it holds.
pub fn is_stand_in(entry: &Entry) -> bool {
    stand_in(entry).is_some()
}

/// The envelope of an entry that a peer made in place of older ones.
pub(super) fn stand_in(entry: &Entry) -> Option<Envelope<Record>> {
    let envelope = Envelope::<Record>::decode(&entry.payload).ok()?;
    let own = |record: &Record| matches!(record, Record::Checkpoint { through, .. } if *through == entry.offset);
    envelope.records.iter().any(own).then_some(envelope)
}

/// Tells apart the checkpoints whose parts are being collected: two hosts may write one of the same state at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Name {
    through: id::Offset,
    writer: Writer,
    parts: u32,
}

/// Collects the parts of checkpoints till one is complete.
#[derive(Clone, Debug, Default)]
pub(super) struct Collector {
    sets: BTreeMap<Name, BTreeMap<u32, Part>>,
}

#[derive(Clone, Debug)]
struct Part {
    objects: Vec<Kept>,
    recent: Vec<Recent>,
}

impl Collector {
    /// Takes in the parts in an envelope; returns the state of a checkpoint that is now complete.
    ///
    /// A checkpoint that claims to hold entry `limit` or a later one is none: its state would keep changes out.
    pub(super) fn take(&mut self, limit: id::Offset, envelope: Envelope<Record>) -> Option<State> {
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
            let name = Name {
                through,
                writer: envelope.writer,
                parts,
            };
            let set = self.sets.entry(name).or_default();
            set.entry(part).or_insert(Part { objects, recent });
            if set.len() == parts as usize {
                complete = Some(name);
            }
        }
        let name = complete?;
        let set = self.sets.remove(&name)?;
        let (mut kept, mut recent) = (Vec::new(), Vec::new());
        for part in set.into_values() {
            kept.extend(part.objects);
            recent.extend(part.recent);
        }
        Some(State::restore(name.through, kept, recent))
    }
}

/// How well the stream's checkpoints cover its changes, as a host that reads along sees it.
///
/// It decides only when to write the next checkpoint; no verdict depends on it.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    seen: BTreeMap<Name, Seen>,
    last: Option<Covered>,
    uncovered: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Seen {
    parts: BTreeSet<u32>,
    first: id::Offset,
    began: SystemTime,
}

#[derive(Clone, Copy, Debug)]
struct Covered {
    through: id::Offset,
    first: id::Offset,
    began: SystemTime,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    offset: id::Offset,
    at: SystemTime,
}

impl Coverage {
    /// Takes in an entry, in offset order.
    pub fn take(&mut self, entry: &Entry) {
        let Ok(envelope) = Envelope::<Record>::decode(&entry.payload) else {
            return;
        };
        let at = envelope.stamp.time();
        for record in &envelope.records {
            match record {
                Record::Put(_) => self.uncovered.push(Change {
                    offset: entry.offset,
                    at,
                }),
                Record::Checkpoint {
                    through,
                    part,
                    parts,
                    ..
                } if part < parts && *through < entry.offset => {
                    let name = Name {
                        through: *through,
                        writer: envelope.writer,
                        parts: *parts,
                    };
                    self.part(name, *part, entry.offset, at);
                }
                Record::Checkpoint { .. } => {}
            }
        }
    }

    /// Takes note of a state that came from a peer: nothing is known of the checkpoints in the stream before it.
    pub(super) fn jumped(&mut self, through: id::Offset, at: SystemTime) {
        self.uncovered.push(Change {
            offset: through,
            at,
        });
    }

    /// Whether the last checkpoint that was seen, if any, is gone from a stream that now begins at `first`.
    pub fn lost(&self, first: id::Offset) -> bool {
        first > 0 && self.last.is_none_or(|last| last.first < first)
    }

    /// Whether a checkpoint is due.
    pub fn due(&self, policy: Policy, now: SystemTime) -> bool {
        let old = |at: SystemTime| now.duration_since(at).is_ok_and(|age| age >= policy.after);
        let oldest = self.uncovered.first().map(|change| change.at);
        self.uncovered.len() >= policy.changes
            || oldest.is_some_and(old)
            || self.last.is_some_and(|last| old(last.began))
    }

    fn part(&mut self, name: Name, part: u32, offset: id::Offset, at: SystemTime) {
        let seen = self.seen.entry(name).or_insert_with(|| Seen {
            parts: BTreeSet::new(),
            first: offset,
            began: at,
        });
        seen.parts.insert(part);
        if seen.parts.len() < name.parts as usize {
            return;
        }
        let covered = Covered {
            through: name.through,
            first: seen.first,
            began: seen.began,
        };
        if self.last.is_some_and(|last| last.through > covered.through) {
            return;
        }
        self.last = Some(covered);
        self.uncovered
            .retain(|change| change.offset > covered.through);
        self.seen.retain(|name, _| name.through > covered.through);
    }
}
