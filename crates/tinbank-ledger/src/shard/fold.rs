//! What each record means at its offset.

use tinbank_base::{
    clock, id,
    record::{Envelope, Writer, work},
};

use super::{Checkpointed, Collecting, Dispatch, Due, Key, Shard};
use crate::{
    change::{Change, Changes},
    chunk::{Chunk, Place},
    job::{Job, Work},
    placement,
};

impl Shard {
    /// Folds the envelope at `offset`. An offset that was folded before, and a second copy of an append, change nothing.
    pub fn apply(&mut self, offset: id::Offset, envelope: &Envelope<work::Record>) -> Changes {
        let mut changes = Changes::new();
        if offset < self.next {
            return changes;
        }
        self.next = offset + 1;
        if !self.dedupe.admit(envelope.writer, envelope.sequence) {
            return changes;
        }
        self.tick(envelope.writer, envelope.stamp.micros);
        for (index, record) in envelope.records.iter().enumerate() {
            let place = Place {
                offset,
                record: u16::try_from(index).unwrap_or(u16::MAX),
            };
            self.record(place, envelope.writer, record, &mut changes);
        }
        self.lease.heard(envelope.writer, offset);
        changes
    }

    /// Passes over a record that can't be decoded, so that it does not stop the stream.
    pub fn skip(&mut self, offset: id::Offset) {
        if offset >= self.next {
            self.next = offset + 1;
            self.skipped += 1;
        }
    }

    fn record(
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
            work::Record::Chunk(chunk) => self.chunk(place, chunk, changes),
            work::Record::Head(head) => self.head(head, changes),
            work::Record::Release(release) => self.release(release, changes),
            work::Record::Cancel { job } => self.cancel(*job, changes),
            work::Record::Dispatch(dispatch) => self.dispatch(writer, dispatch, changes),
            work::Record::Completed(completed) => self.completed(place.offset, completed, changes),
            work::Record::Part(part) => self.part(part, changes),
            work::Record::Claim(claim) => {
                if self.claims.claim(claim) {
                    changes.push(Change::Claimed(claim.key));
                }
            }
            work::Record::Settled(settled) => {
                if self.claims.settle(settled) {
                    changes.push(Change::Settled(settled.key));
                }
            }
            work::Record::Checkpoint(part) => self.checkpoint_part(place.offset, writer, part),
            work::Record::Carried(carried) => self.carried(place, carried, changes),
        }
    }

    fn chunk(&mut self, place: Place, chunk: &work::Chunk, changes: &mut Changes) {
        let Some(summary) = Chunk::new(place, chunk) else {
            return;
        };
        let time = self.time();
        let work = self.works.entry(chunk.job).or_default();
        work.touched = time;
        if work.add(chunk.intake, summary, time) {
            self.index(chunk.job);
            self.check_finished(chunk.job, changes);
        }
    }

    fn head(&mut self, head: &work::Head, changes: &mut Changes) {
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

    fn release(&mut self, release: &work::Release, changes: &mut Changes) {
        if clock::micros(release.keep_until) < self.time() {
            return;
        }
        let time = self.time();
        let work = self.works.entry(release.job).or_default();
        work.touched = time;
        if !work.release(release.clone()) {
            return;
        }
        self.live_works.insert(release.job);
        self.index(release.job);
        changes.push(Change::Released(release.job));
        self.check_finished(release.job, changes);
    }

    fn cancel(&mut self, job: id::Job, changes: &mut Changes) {
        let ours = placement::shard_of_job(job, self.shards) == self.shard;
        let mut cancelled = false;
        match self.jobs.get_mut(&job) {
            Some(known) if known.cancelled || known.finished() => {}
            Some(known) => {
                known.cancelled = true;
                cancelled = true;
            }
            // Nothing was accepted, so there is nothing to cancel.
            None if ours => return,
            None => {}
        }
        cancelled |= self.cancel_work(job, ours);
        if cancelled {
            changes.push(Change::Cancelled(job));
            self.check_finished(job, changes);
        }
    }

    /// Cancels a job's items here. In another shard than the head's a cancel may come before the release.
    fn cancel_work(&mut self, job: id::Job, ours: bool) -> bool {
        if ours && !self.works.contains_key(&job) {
            return false;
        }
        let time = self.time();
        let work = self.works.entry(job).or_default();
        work.touched = time;
        if work.cancelled || work.finished() {
            return false;
        }
        work.cancelled = true;
        self.unindex(job);
        self.dispatches.retain(|key, _| key.job != job);
        true
    }

    /// Only the holder of the lease may dispatch, and an item only once: whoever reads its dispatch back here knows
    /// that nobody else has sent it or ever will.
    fn dispatch(&mut self, writer: Writer, dispatch: &work::Dispatch, changes: &mut Changes) {
        if self.lease.term(writer) != Some(dispatch.epoch) {
            return;
        }
        let work = self.works.get(&dispatch.job).filter(|work| work.runnable());
        let Some(chunk) = work.and_then(|work| work.chunk(dispatch.chunk)) else {
            return;
        };
        let mut items = smallvec::SmallVec::new();
        for item in &dispatch.items {
            let key = Key {
                job: dispatch.job,
                item: *item,
            };
            let pending = chunk.holds(*item) && !chunk.ended(*item);
            if !pending || self.dispatches.contains_key(&key) {
                continue;
            }
            let open = Dispatch {
                chunk: dispatch.chunk,
                epoch: dispatch.epoch,
            };
            self.dispatches.insert(key, open);
            items.push(*item);
        }
        if !items.is_empty() {
            changes.push(Change::Dispatched {
                job: dispatch.job,
                items,
            });
        }
    }

    fn completed(
        &mut self,
        offset: id::Offset,
        completed: &work::Completed,
        changes: &mut Changes,
    ) {
        let job = completed.job;
        let Some(work) = self.works.get_mut(&job) else {
            return;
        };
        let mut items = smallvec::SmallVec::new();
        for completion in &completed.completions {
            if !work.end(completed.chunk, completion, offset) {
                continue;
            }
            items.push(completion.item);
            if !self.dispatches.is_empty() {
                let item = completion.item;
                self.dispatches.remove(&Key { job, item });
            }
        }
        if items.is_empty() {
            return;
        }
        changes.push(Change::Completed {
            job,
            chunk: completed.chunk,
            items,
        });
        self.check_finished(job, changes);
    }

    fn part(&mut self, part: &work::Part, changes: &mut Changes) {
        if part.shard == self.shard
            && let Some(work) = self.works.get_mut(&part.job)
            && work.intake() == part.intake
            && work.finished()
        {
            work.told = true;
            self.live_works.remove(&part.job);
        }
        let Some(job) = self.jobs.get_mut(&part.job) else {
            return;
        };
        let ours = job.head.intake == part.intake && job.head.shards.contains(&part.shard);
        if !ours || job.has_part(part.shard) {
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

    fn carried(&mut self, place: Place, carried: &work::Carried, changes: &mut Changes) {
        let (job, number) = (carried.chunk.job, carried.chunk.chunk);
        let work = self.works.get_mut(&job);
        let chunk = work.and_then(|work| work.carried(carried.chunk.intake, number));
        if chunk.is_some_and(|chunk| chunk.carry(place, carried.through)) {
            changes.push(Change::Carried { job, chunk: number });
        }
    }

    /// Notes complete checkpoints: parts in order, from one writer.
    fn checkpoint_part(&mut self, offset: id::Offset, writer: Writer, part: &work::Checkpoint) {
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

    fn check_finished(&mut self, job: id::Job, changes: &mut Changes) {
        let Some(work) = self.works.get_mut(&job) else {
            return;
        };
        if work.ended || !work.finished() {
            return;
        }
        work.ended = true;
        self.unindex(job);
        changes.push(Change::Finished(job));
    }

    fn index(&mut self, job: id::Job) {
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

    fn unindex(&mut self, job: id::Job) {
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
