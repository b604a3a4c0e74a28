//! Which items of a shard are in hand: given to the runner, or ended and not yet read back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use tinbank_base::id;
use tokio::sync::watch;

use crate::runner::task::{Flow, RunMode};

type Place = (id::Job, id::Chunk);

/// The items of one shard in hand during one term.
#[derive(Debug, Default)]
pub(super) struct Hand {
    chunks: BTreeMap<Place, Held>,
    jobs: BTreeMap<id::Job, watch::Sender<RunMode>>,
    /// What jobs that come in hand are told.
    mode: RunMode,
}

#[derive(Debug)]
struct Held {
    flow: Flow,
    /// With the runner.
    running: BTreeSet<id::Item>,
    /// Ended; their completions are not read back yet.
    ended: BTreeSet<id::Item>,
    /// Until when it stays in hand even without items: it is being loaded, or has just been found to have none to run.
    until: Option<Instant>,
}

impl Held {
    fn is_done(&self, now: Instant) -> bool {
        let resting = self.until.is_some_and(|until| now < until);
        self.running.is_empty() && self.ended.is_empty() && !resting
    }
}

impl Hand {
    /// Takes a chunk in hand, to be loaded by `until`.
    pub(super) fn begin(&mut self, job: id::Job, chunk: id::Chunk, flow: Flow, until: Instant) {
        let held = Held {
            flow,
            running: BTreeSet::new(),
            ended: BTreeSet::new(),
            until: Some(until),
        };
        self.chunks.insert((job, chunk), held);
    }

    /// The chunk was loaded and these items go to the runner. Without items, or if loading failed, it stays in hand
    /// until `rest`, so that it isn't loaded over and over.
    pub(super) fn run(
        &mut self,
        job: id::Job,
        chunk: id::Chunk,
        items: impl IntoIterator<Item = id::Item>,
        rest: Instant,
    ) {
        let Some(held) = self.chunks.get_mut(&(job, chunk)) else {
            return;
        };
        held.running.extend(items);
        held.until = held.running.is_empty().then_some(rest);
    }

    /// An item ended; `false` if it isn't in hand.
    pub(super) fn end(&mut self, job: id::Job, chunk: id::Chunk, item: id::Item) -> bool {
        let Some(held) = self.chunks.get_mut(&(job, chunk)) else {
            return false;
        };
        let running = held.running.remove(&item);
        if running {
            held.ended.insert(item);
        }
        running
    }

    /// The runner gave an item back. It stays off the runner until `rest`.
    pub(super) fn give_back(
        &mut self,
        job: id::Job,
        chunk: id::Chunk,
        item: id::Item,
        rest: Instant,
    ) {
        if let Some(held) = self.chunks.get_mut(&(job, chunk))
            && held.running.remove(&item)
        {
            held.until = Some(rest);
        }
    }

    /// Completions of these items were read back, whoever wrote them.
    pub(super) fn read_back(&mut self, job: id::Job, chunk: id::Chunk, items: &[id::Item]) {
        if let Some(held) = self.chunks.get_mut(&(job, chunk)) {
            for item in items {
                held.ended.remove(item);
            }
        }
    }

    /// Lets go of a job at once.
    pub(super) fn drop_job(&mut self, job: id::Job) {
        if let Some(stop) = self.jobs.remove(&job) {
            stop.send_replace(RunMode::Abort);
        }
        self.chunks.retain(|(of, _), _| *of != job);
    }

    /// Lets go of everything at once.
    pub(super) fn drop_all(&mut self) {
        self.set(RunMode::Abort);
        self.jobs.clear();
        self.chunks.clear();
    }

    /// Says whether items go on being run; `true` if that is new.
    pub(super) fn set(&mut self, stop: RunMode) -> bool {
        self.mode = stop;
        let mut changed = false;
        for job in self.jobs.values() {
            changed |= job.send_replace(stop) != stop;
        }
        changed
    }

    /// What tells the runner whether to go on with a job.
    pub(super) fn stop(&mut self, job: id::Job) -> watch::Receiver<RunMode> {
        let sender = self
            .jobs
            .entry(job)
            .or_insert_with(|| watch::channel(self.mode).0);
        sender.subscribe()
    }

    /// Forgets chunks of which nothing is left in hand.
    pub(super) fn tidy(&mut self, now: Instant) {
        self.chunks.retain(|_, held| !held.is_done(now));
        let chunks = &self.chunks;
        self.jobs.retain(|job, _| {
            let mut of_job = chunks.range((*job, id::Chunk::MIN)..=(*job, id::Chunk::MAX));
            of_job.next().is_some()
        });
    }

    pub(super) fn holds(&self, job: id::Job, chunk: id::Chunk) -> bool {
        self.chunks.contains_key(&(job, chunk))
    }

    /// Flows of the chunks in hand, one for each chunk.
    pub(super) fn flows(&self) -> impl Iterator<Item = &Flow> {
        self.chunks.values().map(|held| &held.flow)
    }

    /// Items in hand; chunks being loaded count as one.
    pub(super) fn len(&self) -> usize {
        let items = |held: &Held| held.running.len() + held.ended.len();
        self.chunks.values().map(|held| items(held).max(1)).sum()
    }

    /// Items that are with the runner.
    pub(super) fn running(&self) -> usize {
        self.chunks.values().map(|held| held.running.len()).sum()
    }

    /// Items that are with the runner or not yet read back.
    pub(super) fn in_flight(&self) -> usize {
        let items = |held: &Held| held.running.len() + held.ended.len();
        self.chunks.values().map(items).sum()
    }
}

#[cfg(test)]
mod tests;
