//! Reference implementation of the fold: one pass over a shard's records, without indexes or expiry.

use std::collections::{BTreeMap, BTreeSet};

use tinbank_base::{
    id,
    record::{Envelope, Writer, work},
};

#[derive(Clone, Debug, Default)]
pub struct Model {
    seen: BTreeSet<(Writer, u64)>,
    pub heads: BTreeMap<id::Job, work::Head>,
    released: BTreeMap<id::Job, u64>,
    chunks: BTreeMap<(id::Job, u64, id::Chunk), work::Chunk>,
    pub cancelled: BTreeSet<id::Job>,
    pub ended: BTreeMap<(id::Job, id::Item), work::Outcome>,
    pub parts: BTreeMap<(id::Job, id::Shard), work::Part>,
}

impl Model {
    pub fn from_log<'a>(log: impl IntoIterator<Item = &'a Envelope<work::Record>>) -> Self {
        let mut model = Self::default();
        for envelope in log {
            model.apply(envelope);
        }
        model
    }

    fn apply(&mut self, envelope: &Envelope<work::Record>) {
        if !self.seen.insert((envelope.writer, envelope.sequence)) {
            return;
        }
        for record in &envelope.records {
            self.apply_record(record);
        }
    }

    /// Items of the released chunks, sorted by number.
    pub fn items(&self, job: id::Job) -> Vec<work::Item> {
        let Some(intake) = self.released.get(&job) else {
            return Vec::new();
        };
        let mut chunks: Vec<_> = self
            .chunks
            .values()
            .filter(|chunk| chunk.job == job && chunk.intake == *intake)
            .collect();
        chunks.sort_by_key(|chunk| chunk.first);
        chunks
            .into_iter()
            .flat_map(|chunk| chunk.items.clone())
            .collect()
    }

    fn apply_record(&mut self, record: &work::Record) {
        match record {
            work::Record::Chunk(chunk) => {
                let key = (chunk.job, chunk.intake, chunk.chunk);
                self.chunks.entry(key).or_insert_with(|| chunk.clone());
            }
            work::Record::Head(head) => {
                self.heads.entry(head.job).or_insert_with(|| head.clone());
            }
            work::Record::Release(release) => {
                self.released.entry(release.job).or_insert(release.intake);
            }
            work::Record::Cancel { job } => {
                self.cancelled.insert(*job);
            }
            work::Record::Completed(completed) => {
                for completion in &completed.completions {
                    self.complete(completed, completion);
                }
            }
            work::Record::Part(part) => {
                let key = (part.job, part.shard);
                self.parts.entry(key).or_insert_with(|| part.clone());
            }
            _ => {}
        }
    }

    fn complete(&mut self, completed: &work::Completed, completion: &work::Completion) {
        let Some(intake) = self.released.get(&completed.job) else {
            return;
        };
        let known = self
            .chunks
            .get(&(completed.job, *intake, completed.chunk))
            .is_some_and(|chunk| {
                let items = chunk.first..chunk.first + chunk.items.len() as id::Item;
                items.contains(&completion.item)
            });
        if known && !self.cancelled.contains(&completed.job) {
            let key = (completed.job, completion.item);
            let outcome = completion.outcome.clone();
            self.ended.entry(key).or_insert(outcome);
        }
    }
}
