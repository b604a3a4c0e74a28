//! Stores a job: chunks while the body comes in, then the head, which is read back before the job is acknowledged.

use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use bytes::Bytes;
use futures::{Stream, StreamExt as _};
use tinbank_base::{
    frame::request::{Request, Response},
    id,
    outcome::{Code, Failure},
    record::work::{Head, Record},
};
use tinbank_ledger::placement;
use tinbank_log::writer::Writer;
use tokio::sync::Semaphore;

use super::{
    Limits, Order,
    failure::{RETRY_AFTER, broken, head_failed, unknown},
    quota::{Quota, Quotas, Reservation},
    resend::{digest_of, same},
    run::{Run, append},
};
use crate::asker::Asker;

/// Time to look up an earlier job with the same key. Without an answer the head decides.
const LOOK_UP: Duration = Duration::from_secs(2);
/// Time to count a customer's pending items.
const COUNT: Duration = Duration::from_secs(2);
/// Time to read the head back.
const READ_BACK: Duration = Duration::from_secs(15);

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
    quotas: Quotas,
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
            quotas: Quotas::default(),
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
        let quota = self.quota(order).await;
        if let Some(quota) = quota {
            quota.check(1)?;
        }
        let mut run = Run::new(&self.writer, self.shards, self.limits, quota, order, job);
        while let Some(part) = body.next().await {
            run.part(&part.map_err(broken)?).await?;
        }
        let head = run.finish().await?;
        let _reserved = self.reserve(order, head.items).await?;
        self.commit(head).await
    }

    /// What the customer may still have, if that is limited.
    async fn quota(&self, order: &Order) -> Option<Quota> {
        let limit = order.customer.limits.pending_items?;
        let customer = &order.customer.name;
        let pending = self.pending(customer).await;
        Some(self.quotas.of(customer, limit, pending))
    }

    /// Counts the job's items while it is committed; other jobs may have come since its first line.
    async fn reserve(
        &self,
        order: &Order,
        items: id::Item,
    ) -> Result<Option<Reservation<'_>>, Failure> {
        let Some(limit) = order.customer.limits.pending_items else {
            return Ok(None);
        };
        let customer = &order.customer.name;
        let pending = self.pending(customer).await;
        let reserved = self.quotas.reserve(customer, limit, pending, items)?;
        Ok(Some(reserved))
    }

    async fn pending(&self, customer: &str) -> u64 {
        self.asker.pending(customer, Instant::now() + COUNT).await
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
