//! Brings chunks from the log to the runner, by customers' turns and due times.

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
    task::{Flow, PartialAnswer, Key, Task},
};

/// Most chunks in hand of one customer and service.
const CHUNKS_PER_FLOW: usize = 4;
/// Most items in hand.
const MAX_ITEMS: usize = 8_192;
/// Bytes of completions that wait for the log from which on no further chunk is loaded.
const MAX_OUTBOX_BYTES: usize = 8 << 20;
/// Time that a chunk has to be loaded.
pub(super) const LOAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a chunk that could not be loaded, or had nothing to run, is left alone.
pub(super) const REST: Duration = Duration::from_secs(1);

/// A chunk that may be loaded next.
struct Candidate {
    /// Chunks of its flow that are in hand.
    in_hand: usize,
    due: SystemTime,
    shard: id::Shard,
    epoch: id::Epoch,
    job: id::Job,
    chunk: id::Chunk,
    place: Place,
    flow: Flow,
}

impl Control {
    /// Loads chunks as long as there is room for their items.
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
        let mut in_hand: usize = self
            .shards
            .values()
            .map(|followed| followed.hand.len())
            .sum();
        while in_hand < MAX_ITEMS {
            let Some(next) = self.next_chunk(&configuration) else {
                return;
            };
            in_hand += 1;
            self.load_chunk(next, now);
        }
    }

    /// The chunk of the customer that has the fewest in hand; of these, the one that is due first.
    fn next_chunk(&self, configuration: &Snapshot) -> Option<Candidate> {
        let mut in_hand: HashMap<&Flow, usize> = HashMap::new();
        for flow in self
            .shards
            .values()
            .flat_map(|followed| followed.hand.flows())
        {
            *in_hand.entry(flow).or_default() += 1;
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
                    let count = in_hand.get(&flow).copied().unwrap_or_default();
                    let held = followed.hand.holds(ready.job, ready.chunk.chunk);
                    let known = service(configuration, &flow).is_some();
                    let open = !held && known && count < CHUNKS_PER_FLOW;
                    open.then(|| Candidate {
                        in_hand: count,
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
                    .is_none_or(|best| (found.in_hand, found.due) < (best.in_hand, best.due));
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
            let until = now + LOAD_TIMEOUT + REST;
            followed.hand.begin(job, chunk, flow, until);
        }
        let (log, done) = (self.deps.log.clone(), self.done.clone());
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

    pub(super) fn loaded(
        &mut self,
        shard: id::Shard,
        epoch: id::Epoch,
        job: id::Job,
        chunk: id::Chunk,
        result: Result<Vec<work::Item>, String>,
    ) {
        let me = self.deps.me;
        let rest = Instant::now() + REST;
        self.dirty.insert(shard);
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        if followed.epoch(me) != Some(epoch) || !followed.hand.holds(job, chunk) {
            return;
        }
        if !followed.running {
            // The lease is about to be given back: nothing more is started.
            followed.hand.run(job, chunk, [], rest);
            return;
        }
        let items = match result {
            Ok(items) => items,
            Err(reason) => {
                log::warn!(shard, chunk, reason:%; "chunk not loaded");
                followed.hand.run(job, chunk, [], rest);
                return;
            }
        };
        let tasks = self.tasks(shard, epoch, job, chunk, items);
        let Some(followed) = self.shards.get_mut(&shard) else {
            return;
        };
        let numbers = tasks.iter().map(|task| task.key.item);
        followed.hand.run(job, chunk, numbers, rest);
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
        let run_mode = followed.hand.run_mode(job);
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
        let ours = |limit| quota::local_share(limit, place, hosts);
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
                    concurrency_limit: customer.limits.batch_at_once.map(ours),
                    service: service.clone(),
                    due: release.due,
                    prefix: tinbank_routing::prefix::of_body(&flow.service, &item.body),
                    body: item.body,
                    repeatable: item.repeatable,
                    attempts: 0,
                    failures: 0,
                    losses: 0,
                    tries: 0,
                    request: None,
                    partial_answer: PartialAnswer::default(),
                    run_mode: run_mode.clone(),
                })
            })
            .collect()
    }

    /// Our place among the live batch processes, and how many there are.
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

/// A flow's customer and service, as far as both are configured.
fn service<'a>(
    configuration: &'a Snapshot,
    flow: &Flow,
) -> Option<(&'a snapshot::Customer, &'a Arc<Service>)> {
    let customer = configuration.customers.get(&flow.customer)?;
    let service = customer.services.get(&flow.service)?;
    Some((customer, service))
}
