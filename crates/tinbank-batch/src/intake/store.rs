//! Stores a job: appends chunks while the body is received, then the head, which is read back before the job is
//! acknowledged.

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
    Limits, Submission,
    failure::{RETRY_AFTER, body_interrupted, commit_unknown, head_failed},
    quota::{Quota, Quotas, Reservation},
    resend::{digest_body, match_existing},
    upload::{Upload, append},
};
use crate::owner_client::OwnerClient;

/// Timeout for looking up an earlier job with the same key. Without an answer, reading the head back detects the duplicate.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for counting a customer's pending items.
const COUNT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading the head back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(15);

/// Accepts jobs and stores them in the log.
#[derive(Debug)]
pub struct Intake {
    writer: Writer,
    owner_client: OwnerClient,
    shards: id::Shard,
    limits: Limits,
    /// Limits the number of jobs accepted concurrently.
    permits: Semaphore,
    /// Jobs that this process is accepting now.
    in_progress: Mutex<HashSet<id::Job>>,
    quotas: Quotas,
}

/// A job that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The committed head.
    pub head: Head,
    /// Whether this request created the job; otherwise an earlier request with the same key did.
    pub new: bool,
}

impl Intake {
    /// Creates an intake that accepts up to `max_concurrent` jobs concurrently.
    pub fn new(
        writer: Writer,
        owner_client: OwnerClient,
        shards: id::Shard,
        limits: Limits,
        max_concurrent: usize,
    ) -> Self {
        Self {
            writer,
            owner_client,
            shards,
            limits,
            permits: Semaphore::new(max_concurrent),
            in_progress: Mutex::default(),
            quotas: Quotas::default(),
        }
    }

    /// Accepts a job.
    ///
    /// # Errors
    /// With `ran: no`, nothing of the job will ever run. With `ran: unknown`, the head may be in the log; resending the
    /// request with the same idempotency key resolves it.
    pub async fn accept<E>(
        &self,
        submission: &Submission,
        body: impl Stream<Item = Result<Bytes, E>> + Send,
    ) -> Result<Accepted, Failure>
    where
        E: std::fmt::Display,
    {
        let _permit = self.permits.try_acquire().map_err(|_| {
            let message = "too many jobs are being taken in";
            Failure::not_run(Code::Overloaded, message).retry_at(SystemTime::now() + RETRY_AFTER)
        })?;
        let job = match &submission.key {
            Some(key) => placement::job_id(&submission.customer.name, key),
            None => rand::random(),
        };
        let _in_progress = self.mark_in_progress(job)?;
        let earlier = match &submission.key {
            Some(_) => self.find_existing(job).await,
            None => None,
        };
        let mut body = std::pin::pin!(body);
        if let Some(head) = earlier {
            let digest =
                submission.digest(&digest_body(body.as_mut(), self.limits.body_bytes).await?);
            return match_existing(head, digest);
        }
        let quota = self.quota(submission).await;
        if let Some(quota) = quota {
            quota.check(1)?;
        }
        let mut upload = Upload::new(
            &self.writer,
            self.shards,
            self.limits,
            quota,
            submission,
            job,
        );
        while let Some(part) = body.next().await {
            upload.push(&part.map_err(body_interrupted)?).await?;
        }
        let head = upload.finish().await?;
        let _reserved = self.reserve(submission, head.items).await?;
        self.commit(head).await
    }

    /// Returns the customer's quota of pending items, if it has a limit.
    async fn quota(&self, submission: &Submission) -> Option<Quota> {
        let limit = submission.customer.limits.pending_items?;
        let customer = &submission.customer.name;
        let pending = self.pending(customer).await;
        Some(self.quotas.quota_for(customer, limit, pending))
    }

    /// Reserves the job's items while it is committed, checking the limit again since other jobs may have been accepted
    /// during the upload.
    async fn reserve(
        &self,
        submission: &Submission,
        items: id::Item,
    ) -> Result<Option<Reservation<'_>>, Failure> {
        let Some(limit) = submission.customer.limits.pending_items else {
            return Ok(None);
        };
        let customer = &submission.customer.name;
        let pending = self.pending(customer).await;
        let reserved = self.quotas.reserve(customer, limit, pending, items)?;
        Ok(Some(reserved))
    }

    async fn pending(&self, customer: &str) -> u64 {
        self.owner_client
            .pending(customer, Instant::now() + COUNT_TIMEOUT)
            .await
    }

    /// Marks the job as being accepted by this process, or fails if it already is.
    fn mark_in_progress(&self, job: id::Job) -> Result<InProgress<'_>, Failure> {
        let new = self.lock().insert(job);
        if new {
            return Ok(InProgress { intake: self, job });
        }
        let message = "the first request with this idempotency key is still being taken in";
        Err(Failure::not_run(Code::InProgress, message).retry_at(SystemTime::now() + RETRY_AFTER))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashSet<id::Job>> {
        self.in_progress
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn find_existing(&self, job: id::Job) -> Option<Head> {
        let shard = placement::shard_of_job(job, self.shards);
        let until = Instant::now() + LOOKUP_TIMEOUT;
        let answer = self
            .owner_client
            .ask(shard, Request::Job { job }, until)
            .await;
        match answer.ok()?.pop()? {
            Response::Job(status) => status.map(|status| status.head),
            _ => None,
        }
    }

    /// Appends the head and reads back which head was committed.
    async fn commit(&self, head: Head) -> Result<Accepted, Failure> {
        let shard = placement::shard_of_job(head.job, self.shards);
        let record = Record::Head(head.clone());
        let appended = append(&self.writer, shard, record).await;
        let offset = appended.map_err(|error| head_failed(&head, &error))?;
        let request = Request::Committed {
            job: head.job,
            shard,
            offset,
        };
        let until = Instant::now() + READ_BACK_TIMEOUT;
        let answer = self.owner_client.ask(shard, request, until).await;
        let last = answer.map(|mut frames| frames.pop());
        match last {
            Ok(Some(Response::Committed(Some(counts)))) if counts.intake == head.intake => {
                Ok(Accepted {
                    head: counts,
                    new: true,
                })
            }
            Ok(Some(Response::Committed(Some(counts)))) => match_existing(counts, head.body),
            Ok(_) => Err(commit_unknown(&head, "its head was not read back")),
            Err(failure) => Err(commit_unknown(&head, &failure.message)),
        }
    }
}

/// Marks a job as being accepted by this process until dropped.
struct InProgress<'a> {
    intake: &'a Intake,
    job: id::Job,
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.intake.lock().remove(&self.job);
    }
}
