//! Stores a job: chunks while the body comes in, then the head, which is read back before the job is acknowledged.

use std::{
    collections::{HashSet, VecDeque},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use futures::{Stream, StreamExt as _, stream::FuturesOrdered};
use sha2::{Digest as _, Sha256};
use tinbank_base::{
    digest::Digest,
    frame::request::{Request, Response},
    id,
    outcome::{Code, Failure, Ran},
    platform::log,
    record::work::{self, Chunk, Head, Record},
};
use tinbank_ledger::placement::{self, ITEMS_PER_CHUNK, ITEMS_PER_SHARD};
use tinbank_log::writer::{self, Writer};
use tokio::{
    sync::Semaphore,
    task::{JoinError, JoinHandle},
    time,
};

use super::{Limits, Order, cut::Cutter, line::Parser};
use crate::asker::Asker;

/// Chunks of one job that are being appended at once; the caller's body waits for them.
const APPENDS_AT_ONCE: usize = 4;
/// Chunks held until it is known how many shards the job is worth.
const HELD_CHUNKS: usize = ITEMS_PER_SHARD as usize / ITEMS_PER_CHUNK;
/// Shards of a job that is larger than what is held, if the caller doesn't say how large.
const DEFAULT_SPREAD: u16 = 16;
/// Time to look up an earlier job with the same key. Without an answer the head decides.
const LOOK_UP: Duration = Duration::from_secs(2);
/// Time to read the head back.
const READ_BACK: Duration = Duration::from_secs(15);
/// Time that an append waits for room in the log writer's buffer.
const FULL_FOR: Duration = Duration::from_secs(5);
/// Pause before an append is tried again that found the buffer full.
const FULL_WAIT: Duration = Duration::from_millis(20);
/// When a caller that was refused for want of room should come back.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Takes in jobs.
#[derive(Debug)]
pub struct Intake {
    writer: Writer,
    asker: Asker,
    shards: id::Shard,
    limits: Limits,
    /// Room for jobs that are taken in at once.
    room: Semaphore,
    /// Jobs with a key that are being taken in here.
    under_way: Mutex<HashSet<id::Job>>,
}

/// A job that was taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Taken {
    /// Its head.
    pub head: Head,
    /// Whether this request made it; otherwise an earlier one with the same key did.
    pub new: bool,
}

impl Intake {
    /// An intake for `at_once` jobs at once.
    pub fn new(
        writer: Writer,
        asker: Asker,
        shards: id::Shard,
        limits: Limits,
        at_once: usize,
    ) -> Self {
        Self {
            writer,
            asker,
            shards,
            limits,
            room: Semaphore::new(at_once),
            under_way: Mutex::default(),
        }
    }

    /// Takes in a job.
    ///
    /// # Errors
    /// With `ran: no` nothing of the job is left that could ever run. With `ran: unknown` the head may stand in the log:
    /// the same request with the same idempotency key tells.
    pub async fn take<E>(
        &self,
        order: &Order,
        body: impl Stream<Item = Result<Bytes, E>> + Send,
    ) -> Result<Taken, Failure>
    where
        E: std::fmt::Display,
    {
        let _room = self.room.try_acquire().map_err(|_| {
            let message = "too many jobs are being taken in";
            Failure::not_run(Code::Overloaded, message).retry_at(SystemTime::now() + RETRY_AFTER)
        })?;
        let job = match &order.key {
            Some(key) => placement::job_id(&order.customer.name, key),
            None => rand::random(),
        };
        let _only = self.begin(job)?;
        let earlier = match &order.key {
            Some(_) => self.look_up(job).await,
            None => None,
        };
        let mut body = std::pin::pin!(body);
        if let Some(head) = earlier {
            let digest = order.digest(&digest_of(body.as_mut(), self.limits.body_bytes).await?);
            return same(head, digest);
        }
        let mut run = Run::new(self, order, job);
        while let Some(part) = body.next().await {
            run.part(&part.map_err(broken)?).await?;
        }
        let head = run.finish().await?;
        self.commit(head).await
    }

    /// Notes that the job is being taken in here.
    fn begin(&self, job: id::Job) -> Result<UnderWay<'_>, Failure> {
        let new = self.lock().insert(job);
        if new {
            return Ok(UnderWay { intake: self, job });
        }
        let message = "the first request with this idempotency key is still being taken in";
        Err(Failure::not_run(Code::InProgress, message).retry_at(SystemTime::now() + RETRY_AFTER))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashSet<id::Job>> {
        self.under_way
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn look_up(&self, job: id::Job) -> Option<Head> {
        let shard = placement::shard_of_job(job, self.shards);
        let until = Instant::now() + LOOK_UP;
        let answer = self.asker.ask(shard, Request::Job { job }, until).await;
        match answer.ok()?.pop()? {
            Response::Job(status) => status.map(|status| status.head),
            _ => None,
        }
    }

    /// Appends the head and reads back which head counts.
    async fn commit(&self, head: Head) -> Result<Taken, Failure> {
        let shard = placement::shard_of_job(head.job, self.shards);
        let record = Record::Head(head.clone());
        let appended = append(&self.writer, shard, record).await;
        let offset = appended.map_err(|error| head_failed(&head, &error))?;
        let request = Request::Committed {
            job: head.job,
            shard,
            offset,
        };
        let until = Instant::now() + READ_BACK;
        let answer = self.asker.ask(shard, request, until).await;
        let last = answer.map(|mut frames| frames.pop());
        match last {
            Ok(Some(Response::Committed(Some(counts)))) if counts.intake == head.intake => {
                Ok(Taken {
                    head: counts,
                    new: true,
                })
            }
            Ok(Some(Response::Committed(Some(counts)))) => same(counts, head.body),
            Ok(_) => Err(unknown(&head, "its head was not read back")),
            Err(failure) => Err(unknown(&head, &failure.message)),
        }
    }
}

/// The job stops being taken in here when this is dropped.
struct UnderWay<'a> {
    intake: &'a Intake,
    job: id::Job,
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.intake.lock().remove(&self.job);
    }
}

/// One body being read.
struct Run<'a> {
    intake: &'a Intake,
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
    fn new(intake: &'a Intake, order: &'a Order, job: id::Job) -> Self {
        let intake_id = rand::random();
        Self {
            intake,
            order,
            job,
            intake_id,
            parser: Parser::new(intake.limits, order.repeatable),
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

    async fn part(&mut self, part: &[u8]) -> Result<(), Failure> {
        self.hasher.update(part);
        self.bytes += part.len() as u64;
        self.parser.push(part, &mut self.items)?;
        for item in std::mem::take(&mut self.items) {
            self.count += 1;
            if let Some(chunk) = self.cutter.push(item) {
                self.chunk(chunk).await?;
            }
        }
        Ok(())
    }

    async fn finish(mut self) -> Result<Head, Failure> {
        let items = self.parser.finish(&mut self.items)?;
        for item in std::mem::take(&mut self.items) {
            if let Some(chunk) = self.cutter.push(item) {
                self.chunk(chunk).await?;
            }
        }
        if let Some(chunk) = self.cutter.finish() {
            self.held.push_back(chunk);
        }
        let shards = self.intake.shards;
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
        let shards = self.intake.shards;
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
            let shards = self.intake.shards;
            let shard = placement::shard_of_chunk(self.job, chunk.chunk, spread, shards);
            let writer = self.intake.writer.clone();
            // A task of its own goes on while the next part of the body is awaited.
            let append =
                tokio::spawn(async move { append(&writer, shard, Record::Chunk(chunk)).await });
            self.appends.push_back(append);
        }
        Ok(())
    }
}

/// Appends one record, waiting a while for room in the writer's buffer.
async fn append(
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

/// Reads a body only to compare it.
async fn digest_of<E: std::fmt::Display>(
    mut body: impl Stream<Item = Result<Bytes, E>> + Unpin,
    limit: u64,
) -> Result<Digest, Failure> {
    let mut hasher = Sha256::new();
    let mut bytes = 0;
    while let Some(part) = body.next().await {
        let part = part.map_err(broken)?;
        bytes += part.len() as u64;
        if bytes > limit {
            let message = format!("a job takes at most {limit} bytes");
            return Err(Failure::not_run(Code::TooLarge, message));
        }
        hasher.update(&part);
    }
    Ok(hasher.finalize().into())
}

/// An earlier job with the same key: the same one if the body is the same.
fn same(head: Head, digest: Digest) -> Result<Taken, Failure> {
    if head.body == digest {
        return Ok(Taken { head, new: false });
    }
    let message = "the idempotency key was used for another job";
    let help = "use a new key for a new job; a resend has to repeat service, due time and body";
    Err(Failure::not_run(Code::KeyReused, message).help(help))
}

fn broken(error: impl std::fmt::Display) -> Failure {
    Failure::not_run(Code::BadRequest, format!("the body broke off: {error}"))
}

fn stored(result: Result<Result<id::Offset, writer::Error>, JoinError>) -> Result<(), Failure> {
    match result {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(error)) => Err(chunk_failed(&error)),
        Err(error) => Err(Failure::not_run(Code::Internal, error.to_string())),
    }
}

/// Whatever became of a chunk's append, no head names it.
fn chunk_failed(error: &writer::Error) -> Failure {
    Failure::not_run(
        Code::LogUnavailable,
        format!("the job was not stored: {error}"),
    )
    .retry_at(SystemTime::now() + RETRY_AFTER)
}

fn head_failed(head: &Head, error: &writer::Error) -> Failure {
    if error.may_stand() {
        return unknown(head, &error.to_string());
    }
    chunk_failed(error)
}

fn unknown(head: &Head, reason: &str) -> Failure {
    let id = id::format_wide(head.job);
    let message = format!("it is not known whether job {id} was accepted: {reason}");
    Failure {
        ran: Ran::Unknown,
        ..Failure::not_run(Code::LogUnavailable, message)
    }
    .help("send it again with the same Idempotency-Key, or ask for the job by its id")
    .retry_at(SystemTime::now() + RETRY_AFTER)
}
