//! Loads chunks from the log for the runner, in order of fair share and due time.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use tinbank_base::{id, record::work};
use tinbank_configuration::{Snapshot, service::Service, snapshot};
use tinbank_ledger::{chunk::Place, shard::Sending};

use super::{control::Control, input::Input, read::read_chunk};
use crate::runner::{
    pool::Command,
    quota,
    task::{Flow, Key, PartialAnswer, Task},
};

/// Maximum active chunks of one flow.
const CHUNKS_PER_FLOW: usize = 4;
/// Maximum active items.
const MAX_ITEMS: usize = 8_192;
/// Size of the buffered completions, in bytes, above which no further chunk is loaded.
const MAX_OUTBOX_BYTES: usize = 8 << 20;
/// Timeout for loading a chunk.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before reloading a chunk that failed to load or had nothing to run.
pub(super) const RELOAD_DELAY: Duration = Duration::from_secs(1);

/// A chunk that may be loaded next.
struct Candidate {
    /// Number of active chunks of the flow.
    active: usize,
    due: SystemTime,
    shard: id::Shard,
    epoch: id::Epoch,
    job: id::Job,
    chunk: id::Chunk,
    place: Place,
    flow: Flow,
}

impl Control {
    /// Loads chunks until the limit of active items is reached.
    pub(super) fn load(&mut self, now: Instant) {
        let outbox: usize = self
            .shards
            .values()
            .map(|followed| followed.outbox.bytes())
            .sum();
        if outbox > MAX_OUTBOX_BYTES {
            return;
        }
        let configuration = self.deps.configuration.load_full();
        let mut active: usize = self
            .shards
            .values()
            .map(|followed| followed.active_items.len())
            .sum();
        while active < MAX_ITEMS {
            let Some(next) = self.next_chunk(&configuration) else {
                return;
            };
            active += 1;
            self.load_chunk(next, now);
        }
    }

    /// Returns the next chunk of the flow with the fewest active chunks; among equals, the one that is due first.
    fn next_chunk(&self, configuration: &Snapshot) -> Option<Candidate> {
        let mut active: HashMap<&Flow, usize> = HashMap::new();
        for flow in self
            .shards
            .values()
            .flat_map(|followed| followed.active_items.flows())
        {
            *active.entry(flow).or_default() += 1;
        }
        let mut best: Option<Candidate> = None;
        for (shard, followed) in &self.shards {
            let Some(epoch) = followed.epoch(self.deps.me).filter(|_| followed.running) else {
                continue;
            };
            for customer in followed.fold.customers() {
                let mut ready = followed.fold.ready(customer);
                let found = ready.find_map(|ready| {
                    let flow = Flow {
                        customer: customer.to_owned(),
                        service: ready.service.to_owned(),
                    };
                    let count = active.get(&flow).copied().unwrap_or_default();
                    let already_active =
                        followed.active_items.contains(ready.job, ready.chunk.chunk);
                    let known = service(configuration, &flow).is_some();
                    let open = !already_active && known && count < CHUNKS_PER_FLOW;
                    open.then(|| Candidate {
                        active: count,
                        due: ready.due,
                        shard: *shard,
                        epoch,
                        job: ready.job,
                        chunk: ready.chunk.chunk,
                        place: ready.chunk.place(),
                        flow,
                    })
                });
                let Some(found) = found else {
                    continue;
                };
                let better = best
                    .as_ref()
                    .is_none_or(|best| (found.active, found.due) < (best.active, best.due));
                if better {
                    best = Some(found);
                }
            }
        }
        best
    }

    fn load_chunk(&mut self, next: Candidate, now: Instant) {
        let Candidate {
            shard,
            epoch,
            job,
            chunk,
            place,
            flow,
            ..
        } = next;
        if let Some(followed) = self.shards.get_mut(&shard) {
            let until = now + LOAD_TIMEOUT + RELOAD_DELAY;
            followed.active_items.begin_load(job, chunk, flow, until);
        }
        let (log, done) = (self.deps.log.clone(), self.task_done.clone());
        self.deps.traffic.spawn(async move {
            let result = read_chunk(&*log, shard, place).await;
            let result = result.map(|chunk| chunk.items);
            // The control task ends only with the process.
            let _ = done.send(Input::Loaded {
                shard,
                epoch,
                job,
                chunk,
                result,
            });
        });
    }

    pub(super) fn on_loaded(
        &mut self,
        shard: id::Shard,
        epoch: id::Epoch,
        job: id::Job,
        chunk: id::Chunk,
        result: Result<Vec<work::Item>, String>,
    ) {
        let me = self.deps.me;
        let reload_at = Instant::now() + RELOAD_DELAY;
        self.dirty.insert(shard);
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        if followed.epoch(me) != Some(epoch) || !followed.active_items.contains(job, chunk) {
            return;
        }
        if !followed.running {
            // The lease is about to be released, so no more items are started.
            followed.active_items.on_loaded(job, chunk, [], reload_at);
            return;
        }
        let items = match result {
            Ok(items) => items,
            Err(reason) => {
                log::warn!(shard, chunk, reason:%; "chunk not loaded");
                followed.active_items.on_loaded(job, chunk, [], reload_at);
                return;
            }
        };
        let tasks = self.tasks(shard, epoch, job, chunk, items);
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        let numbers = tasks.iter().map(|task| task.key.item);
        followed
            .active_items
            .on_loaded(job, chunk, numbers, reload_at);
        if !tasks.is_empty() {
            // The runner ends only with the process.
            let _ = self.deps.pool.send(Command::Add(tasks));
        }
    }

    fn tasks(
        &mut self,
        shard: id::Shard,
        epoch: id::Epoch,
        job: id::Job,
        chunk: id::Chunk,
        items: Vec<work::Item>,
    ) -> Vec<Task> {
        let configuration = self.deps.configuration.load_full();
        let (place, hosts) = self.place();
        let Some(followed) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        let run_mode = followed.active_items.run_mode(job);
        let work = followed.fold.work(job);
        let release = work.and_then(|work| work.release.as_ref());
        let summary = work.and_then(|work| work.chunk(chunk));
        let (Some(release), Some(summary)) = (release, summary) else {
            return Vec::new();
        };
        let flow = Flow {
            customer: release.customer.clone(),
            service: release.service.clone(),
        };
        let Some((customer, service)) = service(&configuration, &flow) else {
            return Vec::new();
        };
        let local_limit = |limit| quota::local_share(limit, place, hosts);
        let numbered = (summary.first..).zip(items);
        numbered
            .filter_map(|(number, item)| {
                let key = Key {
                    shard,
                    epoch,
                    job,
                    chunk,
                    item: number,
                };
                let sending = followed.sending(key, item.repeatable);
                let runs = matches!(sending, Sending::Yes | Sending::DispatchFirst);
                runs.then(|| Task {
                    key,
                    flow: flow.clone(),
                    weight: customer.share,
                    concurrency_limit: customer.limits.batch_at_once.map(local_limit),
                    service: service.clone(),
                    due: release.due,
                    prefix: tinbank_routing::prefix::of_body(&flow.service, &item.body),
                    body: item.body,
                    repeatable: item.repeatable,
                    attempts: 0,
                    failures: 0,
                    losses: 0,
                    retries: 0,
                    request: None,
                    partial_answer: PartialAnswer::default(),
                    run_mode: run_mode.clone(),
                })
            })
            .collect()
    }

    /// Returns the place of this process among the live batch processes, and their number.
    fn place(&self) -> (u32, u32) {
        let ready = self.members.ready(id::Role::Batch);
        let mut processes: Vec<id::Process> = ready.map(|member| member.writer.process).collect();
        processes.sort_unstable();
        let place = processes.binary_search(&self.deps.me.process);
        (
            place.unwrap_or_else(|place| place) as u32,
            processes.len() as u32,
        )
    }
}

/// Returns a flow's customer and service, if both are configured.
fn service<'a>(
    configuration: &'a Snapshot,
    flow: &Flow,
) -> Option<(&'a snapshot::Customer, &'a Arc<Service>)> {
    let customer = configuration.customers.get(&flow.customer)?;
    let service = customer.services.get(&flow.service)?;
    Some((customer, service))
}
