//! Reads one body and appends its chunks while it comes in.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use futures::{StreamExt as _, stream::FuturesOrdered};
use sha2::{Digest as _, Sha256};
use tinbank_base::{
    id,
    outcome::{Code, Failure},
    platform::log,
    record::work::{self, Chunk, Head, Record},
};
use tinbank_ledger::placement::{self, ITEMS_PER_CHUNK, ITEMS_PER_SHARD};
use tinbank_log::writer::{self, Writer};
use tokio::{
    task::{JoinError, JoinHandle},
    time,
};

use super::{Limits, Order, cut::Cutter, failure::chunk_failed, line::Parser, quota::Quota};

/// Chunks of one job that are being appended at once; the caller's body waits for them.
const APPENDS_AT_ONCE: usize = 4;
/// Chunks held until it is known how many shards the job is worth.
const HELD_CHUNKS: usize = ITEMS_PER_SHARD as usize / ITEMS_PER_CHUNK;
/// Shards of a job that is larger than what is held, if the caller doesn't say how large.
const DEFAULT_SPREAD: u16 = 16;
/// Time that an append waits for room in the log writer's buffer.
const FULL_FOR: Duration = Duration::from_secs(5);
/// Pause before an append is tried again that found the buffer full.
const FULL_WAIT: Duration = Duration::from_millis(20);

/// One body being read.
pub(super) struct Run<'a> {
    writer: &'a Writer,
    shards: id::Shard,
    quota: Option<Quota>,
    order: &'a Order,
    job: id::Job,
    intake_id: u64,
    parser: Parser,
    cutter: Cutter,
    hasher: Sha256,
    bytes: u64,
    items: Vec<work::Item>,
    count: id::Item,
    /// Chunks that wait until the spread is known.
    held: VecDeque<Chunk>,
    spread: Option<u16>,
    appends: FuturesOrdered<JoinHandle<Result<id::Offset, writer::Error>>>,
}

impl<'a> Run<'a> {
    pub(super) fn new(
        writer: &'a Writer,
        shards: id::Shard,
        limits: Limits,
        quota: Option<Quota>,
        order: &'a Order,
        job: id::Job,
    ) -> Self {
        let intake_id = rand::random();
        Self {
            writer,
            shards,
            quota,
            order,
            job,
            intake_id,
            parser: Parser::new(limits, order.repeatable),
            cutter: Cutter::new(job, intake_id),
            hasher: Sha256::new(),
            bytes: 0,
            items: Vec::new(),
            count: 0,
            held: VecDeque::new(),
            spread: None,
            appends: FuturesOrdered::new(),
        }
    }

    pub(super) async fn part(&mut self, part: &[u8]) -> Result<(), Failure> {
        self.hasher.update(part);
        self.bytes += part.len() as u64;
        self.parser.push(part, &mut self.items)?;
        for item in std::mem::take(&mut self.items) {
            self.count += 1;
            self.quota.map_or(Ok(()), |quota| quota.check(self.count))?;
            if let Some(chunk) = self.cutter.push(item) {
                self.chunk(chunk).await?;
            }
        }
        Ok(())
    }

    pub(super) async fn finish(mut self) -> Result<Head, Failure> {
        let items = self.parser.finish(&mut self.items)?;
        for item in std::mem::take(&mut self.items) {
            if let Some(chunk) = self.cutter.push(item) {
                self.chunk(chunk).await?;
            }
        }
        if let Some(chunk) = self.cutter.finish() {
            self.held.push_back(chunk);
        }
        let shards = self.shards;
        let spread = *self
            .spread
            .get_or_insert_with(|| placement::shards_for(items, shards));
        self.store(spread).await?;
        while let Some(result) = self.appends.next().await {
            stored(result)?;
        }
        let body = self.hasher.finalize().into();
        Ok(Head {
            job: self.job,
            intake: self.intake_id,
            customer: self.order.customer.name.clone(),
            service: self.order.service.clone(),
            body: self.order.digest(&body),
            items,
            chunks: self.cutter.chunks(),
            shards: placement::shards_of_chunks(self.job, self.cutter.chunks(), spread, shards),
            received: self.order.received,
            due: self.order.due,
            keep_until: self.order.received + self.order.customer.keep_results,
        })
    }

    async fn chunk(&mut self, chunk: Chunk) -> Result<(), Failure> {
        self.held.push_back(chunk);
        if self.spread.is_none() && self.held.len() > HELD_CHUNKS {
            self.spread = Some(self.estimate());
        }
        match self.spread {
            Some(spread) => self.store(spread).await,
            None => Ok(()),
        }
    }

    /// How many shards the job seems to be worth, by the size of its first items.
    fn estimate(&self) -> u16 {
        let shards = self.shards;
        let Some(length) = self.order.length else {
            return shards.min(DEFAULT_SPREAD);
        };
        let items = length.saturating_mul(u64::from(self.count)) / self.bytes.max(1);
        let items = id::Item::try_from(items).unwrap_or(id::Item::MAX);
        placement::shards_for(items, shards)
    }

    async fn store(&mut self, spread: u16) -> Result<(), Failure> {
        while let Some(chunk) = self.held.pop_front() {
            if self.appends.len() == APPENDS_AT_ONCE
                && let Some(result) = self.appends.next().await
            {
                stored(result)?;
            }
            let shards = self.shards;
            let shard = placement::shard_of_chunk(self.job, chunk.chunk, spread, shards);
            let writer = self.writer.clone();
            // A task of its own goes on while the next part of the body is awaited.
            let append =
                tokio::spawn(async move { append(&writer, shard, Record::Chunk(chunk)).await });
            self.appends.push_back(append);
        }
        Ok(())
    }
}

/// Appends one record, waiting a while for room in the writer's buffer.
pub(super) async fn append(
    writer: &Writer,
    shard: id::Shard,
    record: Record,
) -> Result<id::Offset, writer::Error> {
    let stream = log::Stream::Work(shard);
    let until = Instant::now() + FULL_FOR;
    loop {
        let result = writer.append(stream, vec![record.clone()]).await;
        match result {
            Err(writer::Error::Full { .. }) if Instant::now() < until => {
                time::sleep(FULL_WAIT).await;
            }
            result => return result,
        }
    }
}

fn stored(result: Result<Result<id::Offset, writer::Error>, JoinError>) -> Result<(), Failure> {
    match result {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(chunk_failed(&error)),
        Err(error) => Err(Failure::not_run(Code::Internal, error.to_string())),
    }
}
