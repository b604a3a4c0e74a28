//! Queries of a shard's state by the driver.

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
    pub job: id::Job,
    /// Service that runs the job.
    pub service: &'a str,
    /// Deadline of the job.
    pub due: SystemTime,
    pub chunk: &'a Chunk,
}

/// Whether an item may be sent to an upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sending {
    /// The item may be sent.
    Yes,
    /// A dispatch record must be appended and read back first.
    DispatchFirst,
    /// The item may have been sent in an earlier term and must not be sent again.
    MaybeSent,
    /// The item has ended, was cancelled, or is unknown.
    Ended,
}

impl Shard {
    /// Returns a job whose head is in this shard.
    pub fn job(&self, job: id::Job) -> Option<&Job> {
        self.jobs.get(&job)
    }

    /// All jobs whose head is in this shard.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the state of a job whose head is in this shard, as sent in responses to other processes.
    pub fn status(&self, job: id::Job) -> Option<Status> {
        let job = self.jobs.get(&job)?;
        Some(Status {
            head: job.head.clone(),
            cancelled: job.cancelled,
            parts: job.parts.clone(),
        })
    }

    /// Returns the state of a job's chunks in this shard.
    pub fn work(&self, job: id::Job) -> Option<&Work> {
        self.works.get(&job)
    }

    /// All jobs with chunks in this shard.
    pub fn works(&self) -> impl Iterator<Item = (id::Job, &Work)> {
        self.works.iter().map(|(job, work)| (*job, work))
    }

    /// Jobs whose head is in this shard and that are not finished in all shards.
    pub fn live_jobs(&self) -> impl Iterator<Item = &Job> {
        self.live_jobs.iter().filter_map(|job| self.jobs.get(job))
    }

    /// Released jobs with chunks in this shard whose part was not yet reported to the shard of their head.
    pub fn live_works(&self) -> impl Iterator<Item = id::Job> + '_ {
        self.live_works.iter().copied()
    }

    /// Returns counts of a job's items in this shard.
    pub fn count(&self, job: id::Job) -> Option<Count> {
        self.works.get(&job).map(Work::count)
    }

    /// Customers with items to run.
    pub fn customers(&self) -> impl Iterator<Item = &str> {
        self.ready.keys().map(String::as_str)
    }

    /// Returns a customer's chunks with items to run, ordered by the deadline of their jobs.
    pub fn ready(&self, customer: &str) -> impl Iterator<Item = Ready<'_>> {
        let jobs = self.ready.get(customer).into_iter().flatten();
        jobs.flat_map(|due| self.ready_of(due.job, due.micros))
    }

    /// Returns whether the holder of term `epoch` may send an item now.
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

    /// Returns items that may have been sent in terms before `epoch` and must not be sent again.
    pub fn maybe_sent(&self, epoch: id::Epoch) -> impl Iterator<Item = (&Key, &Dispatch)> {
        self.dispatches
            .iter()
            .filter(move |(_, dispatch)| dispatch.epoch < epoch)
    }

    /// Returns the chunks whose bodies or results are in a record before offset `before` and that must be carried
    /// forward. Includes chunks that wait for their release.
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
        let released = work.and_then(|work| work.release.as_ref().map(|release| (work, release)));
        released.into_iter().flat_map(move |(work, release)| {
            work.pending_chunks().map(move |chunk| Ready {
                job,
                service: &release.service,
                due: UNIX_EPOCH + Duration::from_micros(due),
                chunk,
            })
        })
    }
}

/// An item of a chunk that the driver has loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// Chunk of the item.
    pub chunk: id::Chunk,
    /// Item number in the job.
    pub item: id::Item,
    /// Whether the item may run more than once.
    pub repeatable: bool,
}

/// A chunk to carry forward. [`crate::result::carried`] builds the record.
#[derive(Clone, Copy, Debug)]
pub struct Carry<'a> {
    pub job: id::Job,
    /// Intake of the chunk.
    pub intake: u64,
    /// Whether the job was cancelled, so that the bodies are not needed any more.
    pub cancelled: bool,
    pub chunk: &'a Chunk,
}
