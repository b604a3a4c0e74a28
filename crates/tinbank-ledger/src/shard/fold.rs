//! Applies envelopes and their records to the state.

use tinbank_base::{
    id,
    record::{Envelope, Writer, work},
};

use super::{Checkpointed, Collecting, Shard};
use crate::{
    change::{Change, Changes},
    chunk::Place,
};

impl Shard {
    /// Applies the envelope at `offset`. Offsets that were already applied and duplicate appends are ignored.
    pub fn apply(&mut self, offset: id::Offset, envelope: &Envelope<work::Record>) -> Changes {
        let mut changes = Changes::new();
        if offset < self.next {
            return changes;
        }
        self.next = offset.saturating_add(1);
        if !self.dedupe.admit(envelope.writer, envelope.sequence) {
            return changes;
        }
        self.advance_time(envelope.writer, envelope.stamp.micros);
        for (index, record) in envelope.records.iter().enumerate() {
            let place = Place {
                offset,
                record: u16::try_from(index).unwrap_or(u16::MAX),
            };
            self.apply_record(place, envelope.writer, record, &mut changes);
        }
        self.lease.record_envelope(envelope.writer, offset);
        changes
    }

    /// Skips an envelope that can't be decoded, so that it does not block the stream.
    pub fn skip(&mut self, offset: id::Offset) {
        if offset >= self.next {
            self.next = offset.saturating_add(1);
            self.skipped = self.skipped.saturating_add(1);
        }
    }

    fn apply_record(
        &mut self,
        place: Place,
        writer: Writer,
        record: &work::Record,
        changes: &mut Changes,
    ) {
        match record {
            work::Record::Lease(lease) => {
                let change = self.lease.apply(place.offset, writer, *lease);
                changes.extend(change.map(Change::Lease));
            }
            work::Record::Chunk(chunk) => self.apply_chunk(place, chunk, changes),
            work::Record::Head(head) => self.apply_head(head, changes),
            work::Record::Release(release) => self.apply_release(release, changes),
            work::Record::Cancel { job } => self.apply_cancel(*job, changes),
            work::Record::Dispatch(dispatch) => self.apply_dispatch(writer, dispatch, changes),
            work::Record::Completed(completed) => {
                self.apply_completed(place.offset, completed, changes)
            }
            work::Record::Part(part) => self.apply_part(part, changes),
            work::Record::Claim(claim) => {
                if self.claims.apply_claim(claim) {
                    changes.push(Change::Claimed(claim.key));
                }
            }
            work::Record::Settled(settled) => {
                if self.claims.apply_settled(settled) {
                    changes.push(Change::Settled(settled.key));
                }
            }
            work::Record::Checkpoint(part) => self.apply_checkpoint(place.offset, writer, part),
            work::Record::Carried(carried) => self.apply_carried(place, carried, changes),
            work::Record::Moved(moved) => self.apply_moved(place, moved, changes),
        }
    }

    /// Records a checkpoint once all its parts were read in order from one writer.
    ///
    /// A part that claims to cover its own or later offsets is ignored: it would keep valid checkpoints from being
    /// written.
    pub(super) fn apply_checkpoint(
        &mut self,
        offset: id::Offset,
        writer: Writer,
        part: &work::Checkpoint,
    ) {
        if part.through >= offset {
            return;
        }
        if part.part == 0 {
            self.collecting = Some(Collecting {
                writer,
                through: part.through,
                parts: part.parts,
                next: 0,
                offset,
            });
        }
        let Some(collecting) = &mut self.collecting else {
            return;
        };
        let fits = collecting.writer == writer
            && collecting.through == part.through
            && collecting.parts == part.parts
            && collecting.next == part.part;
        if !fits {
            return;
        }
        collecting.next += 1;
        if collecting.next < collecting.parts {
            return;
        }
        let newer = self
            .checkpoint
            .is_none_or(|known| known.through < collecting.through);
        if newer {
            self.checkpoint = Some(Checkpointed {
                through: collecting.through,
                offset: collecting.offset,
            });
        }
        self.collecting = None;
    }
}
