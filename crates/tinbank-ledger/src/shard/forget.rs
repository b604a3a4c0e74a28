//! What is forgotten, by the log's own time, so that all readers forget at the same offset.

use tinbank_base::{clock, id};

use super::{Mark, Shard};
use crate::job::{Job, Work};

/// How often the fold looks for what to forget, in microseconds of log time.
const EVERY: u64 = 60_000_000;
/// Chunks without a release are forgotten after a day of log time.
const GARBAGE_AFTER: u64 = 24 * 3_600_000_000;
/// Distance of the marks that join log time and offset, in microseconds.
const MARK_EVERY: u64 = 60_000_000;
/// Marks kept.
const MAX_MARKS: usize = 2_048;

impl Shard {
    /// Offset before which all records are older than `micros` (since 1970), as far as the fold remembers.
    pub fn offset_before(&self, micros: u64) -> id::Offset {
        let older = self.marks.partition_point(|mark| mark.micros <= micros);
        match older.checked_sub(1) {
            Some(index) if older == self.marks.len() && self.time <= micros => {
                self.next.max(self.marks[index].offset)
            }
            Some(index) => self.marks[index].offset,
            None => 0,
        }
    }

    /// Whether the state would be lost with the records before `before`: an owner has to write a checkpoint.
    pub fn needs_checkpoint(&self, before: id::Offset) -> bool {
        match self.checkpoint {
            Some(checkpoint) => checkpoint.offset < before || checkpoint.through + 1 < before,
            None => before > 0,
        }
    }

    pub(super) fn tick(&mut self, micros: u64, offset: id::Offset) {
        self.time = self.time.max(micros);
        let due = self
            .marks
            .back()
            .is_none_or(|mark| mark.micros + MARK_EVERY <= self.time);
        if due {
            self.mark(offset);
        }
        if self.forgotten + EVERY <= self.time {
            self.forgotten = self.time;
            self.forget();
        }
    }

    fn mark(&mut self, offset: id::Offset) {
        if self.marks.len() == MAX_MARKS {
            self.marks.pop_front();
        }
        self.marks.push_back(Mark {
            micros: self.time,
            offset,
        });
    }

    fn forget(&mut self) {
        let time = self.time;
        self.claims.forget(time);
        self.jobs.retain(|_, job| !job_is_over(job, time));
        self.works.retain(|_, work| !work_is_over(work, time));
    }
}

fn job_is_over(job: &Job, time: u64) -> bool {
    clock::micros(job.head.keep_until) < time && job.finished()
}

fn work_is_over(work: &Work, time: u64) -> bool {
    match &work.release {
        Some(release) => clock::micros(release.keep_until) < time && work.told,
        None => work.touched + GARBAGE_AFTER < time,
    }
}
