//! What is forgotten, by the log's own time, so that all readers forget at the same offset.

use tinbank_base::{clock, id, record::Writer};

use super::Shard;
use crate::job::{Job, Work};

/// How often the fold looks for what to forget, in microseconds of log time.
const EVERY: u64 = 60_000_000;
/// Chunks without a release are forgotten after a day of log time.
const GARBAGE_AFTER: u64 = 24 * 3_600_000_000;

impl Shard {
    /// Whether an owner is needed to write a checkpoint or to carry chunks forward before the records before `before` go.
    pub fn needs_maintenance(&self, before: id::Offset) -> bool {
        self.needs_checkpoint(before) || self.to_carry(before).next().is_some()
    }

    /// Whether the state would be lost with the records before `before`: an owner has to write a checkpoint.
    pub fn needs_checkpoint(&self, before: id::Offset) -> bool {
        match self.checkpoint {
            Some(checkpoint) => {
                checkpoint.offset < before || checkpoint.through.saturating_add(1) < before
            }
            None => before > 0,
        }
    }

    pub(super) fn tick(&mut self, writer: Writer, micros: u64) {
        self.time.observe(writer.process, micros);
        let now = self.time.micros();
        if self.forgotten.saturating_add(EVERY) > now {
            return;
        }
        self.forgotten = now;
        self.claims.forget(now);
        self.jobs.retain(|_, job| !job_is_over(job, now));
        let since = now.saturating_sub(GARBAGE_AFTER);
        self.works.retain(|_, work| {
            work.forget_waiting(since);
            !work_is_over(work, since, now)
        });
    }
}

fn job_is_over(job: &Job, now: u64) -> bool {
    clock::micros(job.head.keep_until) < now && job.finished()
}

fn work_is_over(work: &Work, since: u64, now: u64) -> bool {
    match &work.release {
        Some(release) => clock::micros(release.keep_until) < now && work.told,
        None => work.touched < since,
    }
}
