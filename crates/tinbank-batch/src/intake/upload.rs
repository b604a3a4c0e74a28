//! Reads one job's body and appends its chunks to the log as they are received.

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

use super::{Limits, Submission, cut::Cutter, failure::chunk_failed, line::Parser, quota::Quota};

/// Maximum concurrent appends of one job. Further reads of the body wait for them.
const MAX_CONCURRENT_APPENDS: usize = 4;
/// Chunks buffered until the number of shards to spread the job over is decided.
const MAX_HELD_CHUNKS: usize = ITEMS_PER_SHARD as usize / ITEMS_PER_CHUNK;
/// Number of shards of a job that exceeds the buffered chunks and has no `Content-Length`.
const DEFAULT_SPREAD: u16 = 16;
/// How long an append waits for space in the log writer's buffer.
const BUFFER_FULL_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before retrying an append that found the buffer full.
const BUFFER_FULL_BACKOFF: Duration = Duration::from_millis(20);

/// One job's body being received.
pub(super) struct Upload<'a> {
    writer: &'a Writer,
    shards: id::Shard,
    quota: Option<Quota>,
    submission: &'a Submission,
    job: id::Job,
    intake_id: u64,
    parser: Parser,
    cutter: Cutter,
    hasher: Sha256,
    bytes: u64,
    items: Vec<work::Item>,
    count: id::Item,
    /// Chunks buffered until `spread` is known.
    held: VecDeque<Chunk>,
    /// Number of shards that the job is spread over.
    spread: Option<u16>,
    appends: FuturesOrdered<JoinHandle<Result<id::Offset, writer::Error>>>,
}

impl<'a> Upload<'a> {
    pub(super) fn new(
        writer: &'a Writer,
        shards: id::Shard,
        limits: Limits,
        quota: Option<Quota>,
        submission: &'a Submission,
        job: id::Job,
    ) -> Self {
        let intake_id = rand::random();
        Self {
            writer,
            shards,
            quota,
            submission,
            job,
            intake_id,
            parser: Parser::new(limits, submission.repeatable),
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

    pub(super) async fn push(&mut self, part: &[u8]) -> Result<(), Failure> {
        self.hasher.update(part);
        self.bytes += part.len() as u64;
        self.parser.push(part, &mut self.items)?;
        for item in std::mem::take(&mut self.items) {
            self.count += 1;
            self.quota.map_or(Ok(()), |quota| quota.check(self.count))?;
            if let Some(chunk) = self.cutter.push(item) {
                self.push_chunk(chunk).await?;
            }
        }
        Ok(())
    }

    pub(super) async fn finish(mut self) -> Result<Head, Failure> {
        let items = self.parser.finish(&mut self.items)?;
        for item in std::mem::take(&mut self.items) {
            if let Some(chunk) = self.cutter.push(item) {
                self.push_chunk(chunk).await?;
            }
        }
        if let Some(chunk) = self.cutter.finish() {
            self.held.push_back(chunk);
        }
        let shards = self.shards;
        let spread = *self
            .spread
            .get_or_insert_with(|| placement::shards_for(items, shards));
        self.append_held(spread).await?;
        while let Some(result) = self.appends.next().await {
            check_append(result)?;
        }
        let body = self.hasher.finalize().into();
        Ok(Head {
            job: self.job,
            intake: self.intake_id,
            customer: self.submission.customer.name.clone(),
            service: self.submission.service.clone(),
            body: self.submission.digest(&body),
            items,
            chunks: self.cutter.chunks(),
            shards: placement::shards_of_chunks(self.job, self.cutter.chunks(), spread, shards),
            received: self.submission.received,
            due: self.submission.due,
            keep_until: self.submission.received + self.submission.customer.keep_results,
        })
    }

    async fn push_chunk(&mut self, chunk: Chunk) -> Result<(), Failure> {
        self.held.push_back(chunk);
        if self.spread.is_none() && self.held.len() > MAX_HELD_CHUNKS {
            self.spread = Some(self.estimate_spread());
        }
        match self.spread {
            Some(spread) => self.append_held(spread).await,
            None => Ok(()),
        }
    }

    /// Estimates the number of shards for the job from the size of its first items.
    fn estimate_spread(&self) -> u16 {
        let shards = self.shards;
        let Some(length) = self.submission.length else {
            return shards.min(DEFAULT_SPREAD);
        };
        let items = length.saturating_mul(u64::from(self.count)) / self.bytes.max(1);
        let items = id::Item::try_from(items).unwrap_or(id::Item::MAX);
        placement::shards_for(items, shards)
    }

    async fn append_held(&mut self, spread: u16) -> Result<(), Failure> {
        while let Some(chunk) = self.held.pop_front() {
            if self.appends.len() == MAX_CONCURRENT_APPENDS
                && let Some(result) = self.appends.next().await
            {
                check_append(result)?;
            }
            let shards = self.shards;
            let shard = placement::shard_of_chunk(self.job, chunk.chunk, spread, shards);
            let writer = self.writer.clone();
            // Spawned so that the append proceeds while the next part of the body is awaited.
            let append =
                tokio::spawn(async move { append(&writer, shard, Record::Chunk(chunk)).await });
            self.appends.push_back(append);
        }
        Ok(())
    }
}

/// Appends one record, retrying for a limited time while the writer's buffer is full.
pub(super) async fn append(
    writer: &Writer,
    shard: id::Shard,
    record: Record,
) -> Result<id::Offset, writer::Error> {
    let stream = log::Stream::Work(shard);
    let until = Instant::now() + BUFFER_FULL_TIMEOUT;
    loop {
        let result = writer.append(stream, vec![record.clone()]).await;
        match result {
            Err(writer::Error::Full { .. }) if Instant::now() < until => {
                time::sleep(BUFFER_FULL_BACKOFF).await;
            }
            result => return result,
        }
    }
}

fn check_append(
    result: Result<Result<id::Offset, writer::Error>, JoinError>,
) -> Result<(), Failure> {
    match result {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(chunk_failed(&error)),
        Err(error) => Err(Failure::not_run(Code::Internal, error.to_string())),
    }
}
