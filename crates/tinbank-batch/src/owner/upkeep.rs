//! Carries records forward before they exceed the log's retention: bodies of pending items, results that have to stay
//! readable, and the shard's state as a checkpoint. See `docs/design/ledger.md`.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use tinbank_base::{
    id,
    platform::log::{Log, Stream},
    record::{Envelope, work},
};
use tinbank_ledger::{checkpoint, chunk::Chunk, result, retention::OffsetTimes, shard::Carry};
use tinbank_log::writer::Writer;

use super::{
    control::Control,
    input::Input,
    read::{read_chunk, read_envelope},
};

/// Maximum chunks carried forward in one batch.
const MAX_CHUNKS: usize = 16;
/// Maximum size of one part of a checkpoint, in bytes.
const PART_BYTES: usize = 256 << 10;
/// Maximum size, in bytes, of results carried in one record together with their chunk's bodies.
const RESULT_BYTES: usize = 256 << 10;
/// Number of checks for old records within one retention period. Records older than half of the retention are carried.
const CHECKS_PER_RETENTION: u32 = 40;
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Progress of carrying a shard's old records forward.
#[derive(Debug)]
pub(super) struct Upkeep {
    /// Append times of the records read so far.
    pub(super) marks: OffsetTimes,
    /// Records before this offset will soon be deleted, and some of them are still needed.
    pub(super) due: Option<id::Offset>,
    /// Whether a batch is being appended.
    in_progress: bool,
    /// Fold offset at which the last batch has been read back.
    read_back_at: id::Offset,
}

impl Upkeep {
    pub(super) fn new(retention: Duration) -> Self {
        Self {
            marks: OffsetTimes::new(check_interval(retention)),
            due: None,
            in_progress: false,
            read_back_at: 0,
        }
    }
}

/// Returns the interval between checks for old records.
fn check_interval(retention: Duration) -> Duration {
    (retention / CHECKS_PER_RETENTION).max(MIN_CHECK_INTERVAL)
}

/// A chunk to carry forward, with the state of the fold when it was chosen.
struct ChunkToCarry {
    job: id::Job,
    intake: u64,
    cancelled: bool,
    chunk: Chunk,
}

/// One batch of records to append.
struct CarryBatch {
    shard: id::Shard,
    /// Last offset applied to the fold when the batch was chosen.
    through: id::Offset,
    carried: Vec<ChunkToCarry>,
    /// The checkpoint, once all chunks are carried.
    checkpoint: Vec<work::Record>,
}

impl Control {
    /// Marks the shards that hold old records which are still needed.
    pub(super) fn check_retention(&mut self, now: Instant) {
        if now < self.next_retention_check {
            return;
        }
        let retention = self.deps.retention;
        self.next_retention_check = now + check_interval(retention);
        let Some(old) = SystemTime::now().checked_sub(retention / 2) else {
            return;
        };
        for followed in self
            .shards
            .values_mut()
            .filter(|followed| followed.caught_up)
        {
            let before = followed.upkeep.marks.offset_before(old);
            if followed.fold.needs_maintenance(before) {
                // Due records stay due until carried, since the lease needed for that adds new records to the shard.
                followed.upkeep.due = followed.upkeep.due.max(Some(before));
            }
        }
    }

    /// Carries due chunks forward, one batch at a time, and then the checkpoint.
    pub(super) fn carry_forward(&mut self, shard: id::Shard) {
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        let (Some(before), false) = (followed.upkeep.due, followed.upkeep.in_progress) else {
            return;
        };
        if followed.fold.next() < followed.upkeep.read_back_at {
            return;
        }
        let Some(through) = followed.fold.next().checked_sub(1) else {
            return;
        };
        let due = followed.fold.to_carry(before).take(MAX_CHUNKS);
        let carried: Vec<ChunkToCarry> = due
            .map(|carry| ChunkToCarry {
                job: carry.job,
                intake: carry.intake,
                cancelled: carry.cancelled,
                chunk: carry.chunk.clone(),
            })
            .collect();
        let checkpoint = match carried.is_empty() && followed.fold.needs_checkpoint(before) {
            true => checkpoint::records(&followed.fold, PART_BYTES),
            false => Vec::new(),
        };
        if carried.is_empty() && checkpoint.is_empty() {
            followed.upkeep.due = None;
            return;
        }
        followed.upkeep.in_progress = true;
        let batch = CarryBatch {
            shard,
            through,
            carried,
            checkpoint,
        };
        let (log, writer) = (self.deps.log.clone(), self.deps.writer.clone());
        let done = self.task_done.clone();
        self.deps.traffic.spawn(async move {
            let last = batch.append(log, writer).await;
            if let Err(reason) = &last {
                log::warn!(event = "upkeep_failed", shard, reason:%; "failed to carry old records forward; retrying at the next check");
            }
            let last = last.ok();
            // The control task ends only with the process.
            let _ = done.send(Input::Carried { shard, last });
        });
    }

    pub(super) fn on_carried(&mut self, shard: id::Shard, last: Option<id::Offset>) {
        self.dirty.insert(shard);
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        followed.upkeep.in_progress = false;
        match last {
            Some(last) => followed.upkeep.read_back_at = last + 1,
            // The next check marks the shard again.
            None => followed.upkeep.due = None,
        }
    }
}

impl CarryBatch {
    /// Appends all records in order, and returns the offset of the last.
    async fn append(self, log: Arc<dyn Log>, writer: Writer) -> Result<id::Offset, String> {
        let stream = Stream::Work(self.shard);
        let mut last = self.through;
        for carried in &self.carried {
            for record in self.records(&*log, carried).await? {
                last = append(&writer, stream, record).await?;
            }
        }
        for part in self.checkpoint {
            last = append(&writer, stream, part).await?;
        }
        Ok(last)
    }

    /// Builds the records that carry a chunk. A chunk with large results takes several, the one with its bodies last.
    async fn records(
        &self,
        log: &dyn Log,
        carried: &ChunkToCarry,
    ) -> Result<Vec<work::Record>, String> {
        let chunk = &carried.chunk;
        let body = read_chunk(log, self.shard, chunk.place()).await?;
        let mut results = Vec::with_capacity(chunk.results().len());
        for offset in chunk.results() {
            results.push(read_envelope(log, self.shard, *offset).await?);
        }
        let carry = Carry {
            job: carried.job,
            intake: carried.intake,
            cancelled: carried.cancelled,
            chunk,
        };
        let bytes: usize = results.iter().map(answer_bytes).sum();
        if bytes <= RESULT_BYTES {
            return Ok(vec![result::carried(&carry, &body, &results, self.through)]);
        }
        let moved = chunk.results().iter().zip(&results);
        let moved = moved.map(|(from, result)| result::moved(&carry, *from, result));
        let bodies = result::carried(&carry, &body, [], self.through);
        Ok(moved.chain([bodies]).collect())
    }
}

async fn append(
    writer: &Writer,
    stream: Stream,
    record: work::Record,
) -> Result<id::Offset, String> {
    let appended = writer.append(stream, vec![record]).await;
    appended.map_err(|error| error.to_string())
}

/// Returns the size of the answers in an envelope, in bytes. Includes answers of other chunks, which only splits records
/// slightly earlier.
fn answer_bytes(envelope: &Envelope<work::Record>) -> usize {
    let completions = envelope.records.iter().flat_map(|record| match record {
        work::Record::Completed(completed) => completed.completions.as_slice(),
        work::Record::Moved(moved) => moved.completed.completions.as_slice(),
        work::Record::Carried(carried) => carried.completions.as_slice(),
        _ => &[],
    });
    completions
        .map(|completion| match &completion.outcome {
            work::Outcome::Answer(answer) => answer.len(),
            work::Outcome::Failed { message, .. } => message.len(),
        })
        .sum()
}
