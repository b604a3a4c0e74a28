//! Applies records about whole jobs: heads, chunks, releases, cancels and parts.

use tinbank_base::{clock, id, record::work};

use super::{Due, Shard};
use crate::{
    change::{Change, Changes},
    chunk::{Chunk, Place},
    job::{Job, Work},
    placement,
};

impl Shard {
    pub(super) fn apply_chunk(&mut self, place: Place, chunk: &work::Chunk, changes: &mut Changes) {
        let Some(summary) = Chunk::new(place, chunk) else {
            return;
        };
        let time = self.time();
        let work = self.works.entry(chunk.job).or_default();
        work.updated_at = time;
        if work.add(chunk.intake, summary, time) {
            self.index_ready(chunk.job);
            self.check_finished(chunk.job, changes);
        }
    }

    pub(super) fn apply_head(&mut self, head: &work::Head, changes: &mut Changes) {
        if self.jobs.contains_key(&head.job) || clock::micros(head.keep_until) < self.time() {
            return;
        }
        let job = Job {
            head: head.clone(),
            cancelled: false,
            parts: Vec::new(),
        };
        let finished = job.finished();
        self.jobs.insert(head.job, job);
        changes.push(Change::Committed(head.job));
        if finished {
            changes.push(Change::Ended(head.job));
        } else {
            self.live_jobs.insert(head.job);
        }
    }

    pub(super) fn apply_release(&mut self, release: &work::Release, changes: &mut Changes) {
        if clock::micros(release.keep_until) < self.time() {
            return;
        }
        let time = self.time();
        let work = self.works.entry(release.job).or_default();
        work.updated_at = time;
        if !work.release(release.clone()) {
            return;
        }
        self.live_works.insert(release.job);
        self.index_ready(release.job);
        changes.push(Change::Released(release.job));
        self.check_finished(release.job, changes);
    }

    pub(super) fn apply_cancel(&mut self, job: id::Job, changes: &mut Changes) {
        let holds_head = placement::shard_of_job(job, self.shards) == self.shard;
        let mut cancelled = false;
        match self.jobs.get_mut(&job) {
            Some(known) if known.cancelled || known.finished() => {}
            Some(known) => {
                known.cancelled = true;
                cancelled = true;
            }
            // The job was not accepted.
            None if holds_head => return,
            None => {}
        }
        cancelled |= self.cancel_work(job, holds_head);
        if cancelled {
            changes.push(Change::Cancelled(job));
            self.check_finished(job, changes);
        }
    }

    /// Cancels a job's items in this shard. In shards that do not hold the job's head, a cancel may precede the
    /// release.
    fn cancel_work(&mut self, job: id::Job, holds_head: bool) -> bool {
        if holds_head && !self.works.contains_key(&job) {
            return false;
        }
        let time = self.time();
        let work = self.works.entry(job).or_default();
        work.updated_at = time;
        if work.cancelled || work.finished() {
            return false;
        }
        work.cancelled = true;
        self.unindex_ready(job);
        self.dispatches.retain(|key, _| key.job != job);
        true
    }

    pub(super) fn apply_part(&mut self, part: &work::Part, changes: &mut Changes) {
        if part.shard == self.shard
            && let Some(work) = self.works.get_mut(&part.job)
            && work.intake() == part.intake
            && work.finished()
        {
            work.reported = true;
            self.live_works.remove(&part.job);
        }
        let Some(job) = self.jobs.get_mut(&part.job) else {
            return;
        };
        let expected = job.head.intake == part.intake && job.head.shards.contains(&part.shard);
        if !expected || job.has_part(part.shard) {
            return;
        }
        job.parts.push(part.clone());
        changes.push(Change::Part {
            job: part.job,
            shard: part.shard,
        });
        if job.finished() {
            self.live_jobs.remove(&part.job);
            changes.push(Change::Ended(part.job));
        }
    }

    pub(super) fn check_finished(&mut self, job: id::Job, changes: &mut Changes) {
        let Some(work) = self.works.get_mut(&job) else {
            return;
        };
        if work.ended || !work.finished() {
            return;
        }
        work.ended = true;
        self.unindex_ready(job);
        changes.push(Change::Finished(job));
    }

    fn index_ready(&mut self, job: id::Job) {
        let Some(work) = self.works.get(&job).filter(|work| work.runnable()) else {
            return;
        };
        if let Some(release) = &work.release {
            let due = due(release);
            match self.ready.get_mut(&release.customer) {
                Some(jobs) => {
                    jobs.insert(due);
                }
                None => {
                    self.ready.insert(release.customer.clone(), [due].into());
                }
            }
        }
    }

    fn unindex_ready(&mut self, job: id::Job) {
        let work = self.works.get(&job);
        let Some(release) = work.and_then(|work: &Work| work.release.as_ref()) else {
            return;
        };
        if let Some(jobs) = self.ready.get_mut(&release.customer) {
            jobs.remove(&due(release));
            if jobs.is_empty() {
                self.ready.remove(&release.customer);
            }
        }
    }
}

fn due(release: &work::Release) -> Due {
    Due {
        micros: clock::micros(release.due),
        job: release.job,
    }
}
