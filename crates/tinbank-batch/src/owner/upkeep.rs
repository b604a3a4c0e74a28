//! Carries forward what retention would take: bodies of pending items, results that are to stay readable, and the
//! shard's state as a checkpoint. See `docs/design/ledger.md`.

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

/// Chunks that are carried forward in one go.
const CHUNKS_AT_ONCE: usize = 16;
/// Largest part of a checkpoint, in bytes.
const PART_BYTES: usize = 256 << 10;
/// Most bytes of results that go into one record with their chunk, whose bodies take a few hundred KiB at most.
const RESULT_BYTES: usize = 256 << 10;
/// In how many parts the retention is divided: what is older than half of it is carried, and it is looked for this often.
const LOOKS: u32 = 40;
/// Shortest time between two looks.
const LOOK_AT_MOST_EVERY: Duration = Duration::from_millis(200);

/// What a shard needs so that retention loses nothing.
#[derive(Debug)]
pub(super) struct Upkeep {
    /// When what was appended, as far as we have read it.
    pub(super) marks: OffsetTimes,
    /// Records before this offset will soon be gone, and something there is still needed.
    pub(super) due: Option<id::Offset>,
    /// Whether it is being carried forward.
    under_way: bool,
    /// What was carried is read back once the fold has come so far.
    until: id::Offset,
}

impl Upkeep {
    /// Nothing is due yet.
    pub(super) fn new(retention: Duration) -> Self {
        Self {
            marks: OffsetTimes::new(look_every(retention)),
            due: None,
            under_way: false,
            until: 0,
        }
    }
}

/// How often it is looked for what is getting old.
fn look_every(retention: Duration) -> Duration {
    (retention / LOOKS).max(LOOK_AT_MOST_EVERY)
}

/// A chunk to carry, as the fold stood.
struct Carried {
    job: id::Job,
    intake: u64,
    cancelled: bool,
    chunk: Chunk,
}

/// What is appended in one go.
struct Work {
    shard: id::Shard,
    /// Last offset of the fold that decided it.
    through: id::Offset,
    carried: Vec<Carried>,
    /// The state, once all chunks are carried.
    checkpoint: Vec<work::Record>,
}

impl Control {
    /// Looks which shards hold something that is getting old.
    pub(super) fn look_for_upkeep(&mut self, now: Instant) {
        if now < self.upkeep_at {
            return;
        }
        let retention = self.parts.retention;
        self.upkeep_at = now + look_every(retention);
        let Some(old) = SystemTime::now().checked_sub(retention / 2) else {
            return;
        };
        for followed in self.shards.values_mut().filter(|followed| followed.current) {
            let before = followed.upkeep.marks.offset_before(old);
            if followed.fold.needs_maintenance(before) {
                // What was once due stays so until it is done: the lease that it needs makes the shard look young again.
                followed.upkeep.due = followed.upkeep.due.max(Some(before));
            }
        }
    }

    /// Carries forward what is due, some chunks at a time, then the state.
    pub(super) fn do_upkeep(&mut self, shard: id::Shard) {
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        let (Some(before), false) = (followed.upkeep.due, followed.upkeep.under_way) else {
            return;
        };
        if followed.fold.next() < followed.upkeep.until {
            return;
        }
        let Some(through) = followed.fold.next().checked_sub(1) else {
            return;
        };
        let due = followed.fold.to_carry(before).take(CHUNKS_AT_ONCE);
        let carried: Vec<Carried> = due
            .map(|carry| Carried {
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
        followed.upkeep.under_way = true;
        let work = Work {
            shard,
            through,
            carried,
            checkpoint,
        };
        let (log, writer) = (self.parts.log.clone(), self.parts.writer.clone());
        let done = self.done.clone();
        self.parts.traffic.spawn(async move {
            let last = work.append(log, writer).await;
            if let Err(reason) = &last {
                log::warn!(event = "upkeep_failed", shard, reason:%; "old records were not carried forward yet");
            }
            let last = last.ok();
            // The control task ends only with the process.
            let _ = done.send(Input::Kept { shard, last });
        });
    }

    pub(super) fn kept(&mut self, shard: id::Shard, last: Option<id::Offset>) {
        self.dirty.insert(shard);
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        followed.upkeep.under_way = false;
        match last {
            Some(last) => followed.upkeep.until = last + 1,
            // The next look begins anew.
            None => followed.upkeep.due = None,
        }
    }
}

impl Work {
    /// Appends all in order, and gives the offset of the last.
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

    /// A chunk whose results are large is carried in several records, the one with its bodies last.
    async fn records(&self, log: &dyn Log, carried: &Carried) -> Result<Vec<work::Record>, String> {
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
        let bytes: usize = results.iter().map(answers).sum();
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

/// Bytes of the answers that an envelope holds; those of other chunks count as well, which only splits a little early.
fn answers(envelope: &Envelope<work::Record>) -> usize {
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
