//! Removes expired state by log time, so that all readers remove it at the same offset.

use tinbank_base::{clock, id, record::Writer};

use super::Shard;
use crate::job::{Job, Work};

/// Interval of log time between two searches for expired state, in microseconds.
const EXPIRY_INTERVAL_MICROS: u64 = 60_000_000;
/// Log time after which chunks without a release are removed.
const UNRELEASED_TTL_MICROS: u64 = 24 * 3_600_000_000;

impl Shard {
    /// Returns whether an owner must write a checkpoint or carry chunks forward before retention deletes the records
    /// before offset `before`.
    pub fn needs_maintenance(&self, before: id::Offset) -> bool {
        self.needs_checkpoint(before) || self.to_carry(before).next().is_some()
    }

    /// Returns whether an owner must write a checkpoint: without one, the state would be lost with the records before
    /// offset `before`.
    pub fn needs_checkpoint(&self, before: id::Offset) -> bool {
        match self.checkpoint {
            Some(checkpoint) => {
                checkpoint.offset < before || checkpoint.through.saturating_add(1) < before
            }
            None => before > 0,
        }
    }

    pub(super) fn advance_time(&mut self, writer: Writer, micros: u64) {
        self.time.observe(writer.process, micros);
        let now = self.time.micros();
        if self.last_expiry.saturating_add(EXPIRY_INTERVAL_MICROS) > now {
            return;
        }
        self.last_expiry = now;
        self.claims.remove_expired(now);
        self.jobs.retain(|_, job| !job_has_expired(job, now));
        let since = now.saturating_sub(UNRELEASED_TTL_MICROS);
        self.works.retain(|_, work| {
            work.remove_stale_waiting(since);
            !work_has_expired(work, since, now)
        });
    }
}

fn job_has_expired(job: &Job, now: u64) -> bool {
    clock::micros(job.head.keep_until) < now && job.finished()
}

fn work_has_expired(work: &Work, since: u64, now: u64) -> bool {
    match &work.release {
        Some(release) => clock::micros(release.keep_until) < now && work.reported,
        None => work.updated_at < since,
    }
}
