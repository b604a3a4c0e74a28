//! The active items of a shard: running, or ended but with a completion that has not been read back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use tinbank_base::id;
use tokio::sync::watch;

use crate::runner::task::{Flow, RunMode};

type ChunkId = (id::Job, id::Chunk);

/// The active items of one shard during one term.
#[derive(Debug, Default)]
pub(super) struct ActiveItems {
    chunks: BTreeMap<ChunkId, ActiveChunk>,
    jobs: BTreeMap<id::Job, watch::Sender<RunMode>>,
    /// Initial run mode of jobs that become active.
    run_mode: RunMode,
}

#[derive(Debug)]
struct ActiveChunk {
    flow: Flow,
    /// Items with the runner.
    running: BTreeSet<id::Item>,
    /// Ended items whose completions have not been read back.
    ended: BTreeSet<id::Item>,
    /// Time until which the chunk stays active without items: it is being loaded, or had nothing to run.
    until: Option<Instant>,
}

impl ActiveChunk {
    fn is_done(&self, now: Instant) -> bool {
        let waiting = self.until.is_some_and(|until| now < until);
        self.running.is_empty() && self.ended.is_empty() && !waiting
    }
}

impl ActiveItems {
    /// Marks a chunk as being loaded, with a deadline of `until`.
    pub(super) fn begin_load(
        &mut self,
        job: id::Job,
        chunk: id::Chunk,
        flow: Flow,
        until: Instant,
    ) {
        let active_chunk = ActiveChunk {
            flow,
            running: BTreeSet::new(),
            ended: BTreeSet::new(),
            until: Some(until),
        };
        self.chunks.insert((job, chunk), active_chunk);
    }

    /// Records that the chunk was loaded and these items go to the runner. Without items, or if loading failed, it stays
    /// active until `reload_at`, so that it is not reloaded at once.
    pub(super) fn on_loaded(
        &mut self,
        job: id::Job,
        chunk: id::Chunk,
        items: impl IntoIterator<Item = id::Item>,
        reload_at: Instant,
    ) {
        let Some(active_chunk) = self.chunks.get_mut(&(job, chunk)) else {
            return;
        };
        active_chunk.running.extend(items);
        active_chunk.until = active_chunk.running.is_empty().then_some(reload_at);
    }

    /// Records that an item ended. Returns whether it was running.
    pub(super) fn on_ended(&mut self, job: id::Job, chunk: id::Chunk, item: id::Item) -> bool {
        let Some(active_chunk) = self.chunks.get_mut(&(job, chunk)) else {
            return false;
        };
        let running = active_chunk.running.remove(&item);
        if running {
            active_chunk.ended.insert(item);
        }
        running
    }

    /// Records that the runner returned an item. Its chunk is not reloaded before `reload_at`.
    pub(super) fn on_returned(
        &mut self,
        job: id::Job,
        chunk: id::Chunk,
        item: id::Item,
        reload_at: Instant,
    ) {
        if let Some(active_chunk) = self.chunks.get_mut(&(job, chunk))
            && active_chunk.running.remove(&item)
        {
            active_chunk.until = Some(reload_at);
        }
    }

    /// Records that completions of these items were read back, whichever process wrote them.
    pub(super) fn on_read_back(&mut self, job: id::Job, chunk: id::Chunk, items: &[id::Item]) {
        if let Some(active_chunk) = self.chunks.get_mut(&(job, chunk)) {
            for item in items {
                active_chunk.ended.remove(item);
            }
        }
    }

    /// Aborts a job and drops its items.
    pub(super) fn drop_job(&mut self, job: id::Job) {
        if let Some(run_mode) = self.jobs.remove(&job) {
            run_mode.send_replace(RunMode::Abort);
        }
        self.chunks.retain(|(of, _), _| *of != job);
    }

    /// Aborts all jobs and drops all items.
    pub(super) fn drop_all(&mut self) {
        self.set_run_mode(RunMode::Abort);
        self.jobs.clear();
        self.chunks.clear();
    }

    /// Sets the run mode of all jobs. Returns whether it changed for any job.
    pub(super) fn set_run_mode(&mut self, run_mode: RunMode) -> bool {
        self.run_mode = run_mode;
        let mut changed = false;
        for job in self.jobs.values() {
            changed |= job.send_replace(run_mode) != run_mode;
        }
        changed
    }

    /// Subscribes to the run mode of a job.
    pub(super) fn run_mode(&mut self, job: id::Job) -> watch::Receiver<RunMode> {
        let sender = self
            .jobs
            .entry(job)
            .or_insert_with(|| watch::channel(self.run_mode).0);
        sender.subscribe()
    }

    /// Removes chunks without active items, and jobs without chunks.
    pub(super) fn remove_finished(&mut self, now: Instant) {
        self.chunks
            .retain(|_, active_chunk| !active_chunk.is_done(now));
        let chunks = &self.chunks;
        self.jobs.retain(|job, _| {
            let mut of_job = chunks.range((*job, id::Chunk::MIN)..=(*job, id::Chunk::MAX));
            of_job.next().is_some()
        });
    }

    pub(super) fn contains(&self, job: id::Job, chunk: id::Chunk) -> bool {
        self.chunks.contains_key(&(job, chunk))
    }

    /// Returns the flow of each active chunk.
    pub(super) fn flows(&self) -> impl Iterator<Item = &Flow> {
        self.chunks.values().map(|active_chunk| &active_chunk.flow)
    }

    /// Returns the number of active items. A chunk being loaded counts as one.
    pub(super) fn len(&self) -> usize {
        let items =
            |active_chunk: &ActiveChunk| active_chunk.running.len() + active_chunk.ended.len();
        self.chunks
            .values()
            .map(|active_chunk| items(active_chunk).max(1))
            .sum()
    }

    /// Returns the number of items with the runner.
    pub(super) fn running(&self) -> usize {
        self.chunks
            .values()
            .map(|active_chunk| active_chunk.running.len())
            .sum()
    }

    /// Returns the number of items that are with the runner or not yet read back.
    pub(super) fn in_flight(&self) -> usize {
        let items =
            |active_chunk: &ActiveChunk| active_chunk.running.len() + active_chunk.ended.len();
        self.chunks.values().map(items).sum()
    }
}

#[cfg(test)]
mod tests;
