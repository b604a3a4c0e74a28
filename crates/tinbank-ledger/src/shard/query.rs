//! What the driver asks of a shard's state.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tinbank_base::{
    frame::request::{Count, Status},
    id,
};

use super::{Dispatch, Key, Shard};
use crate::{
    chunk::Chunk,
    job::{Job, Work},
};

/// A chunk with items to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ready<'a> {
    /// Which job.
    pub job: id::Job,
    /// Which service runs it.
    pub service: &'a str,
    /// When it is due.
    pub due: SystemTime,
    /// The chunk: where its bodies stand, which items are pending.
    pub chunk: &'a Chunk,
}

/// Whether an item may be sent to an upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sending {
    /// It may.
    Yes,
    /// A dispatch record has to be appended and read back first.
    DispatchFirst,
    /// It may have been sent in an earlier term, and may not be sent again.
    MaybeSent,
    /// It has ended, or was cancelled, or is not known here.
    Ended,
}

impl Shard {
    /// A job whose head is in this shard.
    pub fn job(&self, job: id::Job) -> Option<&Job> {
        self.jobs.get(&job)
    }

    /// All jobs whose head is in this shard.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// State of a job whose head is in this shard, in the form in which other processes ask for it.
    pub fn status(&self, job: id::Job) -> Option<Status> {
        let job = self.jobs.get(&job)?;
        Some(Status {
            head: job.head.clone(),
            cancelled: job.cancelled,
            parts: job.parts.clone(),
        })
    }

    /// A job's chunks in this shard.
    pub fn work(&self, job: id::Job) -> Option<&Work> {
        self.works.get(&job)
    }

    /// All jobs with chunks in this shard.
    pub fn works(&self) -> impl Iterator<Item = (id::Job, &Work)> {
        self.works.iter().map(|(job, work)| (*job, work))
    }

    /// Jobs whose head is in this shard and that some shard has not finished.
    pub fn live_jobs(&self) -> impl Iterator<Item = &Job> {
        self.live_jobs.iter().filter_map(|job| self.jobs.get(job))
    }

    /// Jobs with chunks in this shard that are released, and whose end was not noted in the shard of their head.
    pub fn live_works(&self) -> impl Iterator<Item = id::Job> + '_ {
        self.live_works.iter().copied()
    }

    /// Counts of a job's items in this shard.
    pub fn count(&self, job: id::Job) -> Option<Count> {
        self.works.get(&job).map(Work::count)
    }

    /// Customers with items to run.
    pub fn customers(&self) -> impl Iterator<Item = &str> {
        self.ready.keys().map(String::as_str)
    }

    /// A customer's chunks with items to run, the job that is due first in front.
    pub fn ready(&self, customer: &str) -> impl Iterator<Item = Ready<'_>> {
        let jobs = self.ready.get(customer).into_iter().flatten();
        jobs.flat_map(|due| self.ready_of(due.job, due.micros))
    }

    /// Whether an item may be sent now by the holder of term `epoch`.
    pub fn sending(&self, job: id::Job, item: Item, epoch: id::Epoch) -> Sending {
        let work = self.works.get(&job).filter(|work| work.runnable());
        let chunk = work.and_then(|work| work.chunk(item.chunk));
        let item_number = item.item;
        if !chunk.is_some_and(|chunk| chunk.holds(item_number) && !chunk.ended(item_number)) {
            return Sending::Ended;
        }
        let key = Key {
            job,
            item: item_number,
        };
        match self.dispatches.get(&key) {
            Some(dispatch) if dispatch.epoch == epoch => Sending::Yes,
            Some(_) => Sending::MaybeSent,
            None if item.repeatable => Sending::Yes,
            None => Sending::DispatchFirst,
        }
    }

    /// Items that may have been sent and may not be repeated, of terms before `epoch`.
    pub fn spent(&self, epoch: id::Epoch) -> impl Iterator<Item = (&Key, &Dispatch)> {
        self.dispatches
            .iter()
            .filter(move |(_, dispatch)| dispatch.epoch < epoch)
    }

    /// Chunks of which a record stands before `before` and has to be carried forward: those that have items to run
    /// or results to read, and those that wait for their release.
    pub fn to_carry(&self, before: id::Offset) -> impl Iterator<Item = Carry<'_>> {
        self.works.iter().flat_map(move |(job, work)| {
            let running = work.chunks().iter().map(|chunk| (work.intake(), chunk));
            let waiting = work.waiting().iter();
            let waiting = waiting.map(|waiting| (waiting.intake, &waiting.chunk));
            running
                .chain(waiting)
                .filter(move |(_, chunk)| chunk.oldest() < before)
                .map(move |(intake, chunk)| Carry {
                    job: *job,
                    intake,
                    cancelled: work.cancelled,
                    chunk,
                })
        })
    }

    fn ready_of(&self, job: id::Job, due: u64) -> impl Iterator<Item = Ready<'_>> {
        let work = self.works.get(&job);
        let found = work.and_then(|work| work.release.as_ref().map(|release| (work, release)));
        found.into_iter().flat_map(move |(work, release)| {
            work.pending_chunks().map(move |chunk| Ready {
                job,
                service: &release.service,
                due: UNIX_EPOCH + Duration::from_micros(due),
                chunk,
            })
        })
    }
}

/// An item as the driver sees it after it has loaded its chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its chunk.
    pub chunk: id::Chunk,
    /// Its number in the job.
    pub item: id::Item,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// A chunk to carry forward; [`crate::result::carried`] makes the record.
#[derive(Clone, Copy, Debug)]
pub struct Carry<'a> {
    /// Which job.
    pub job: id::Job,
    /// Its intake.
    pub intake: u64,
    /// Whether the job was cancelled: bodies are not needed any more.
    pub cancelled: bool,
    /// The chunk.
    pub chunk: &'a Chunk,
}
