//! Accepts and cancels jobs.

use std::time::{Duration, Instant, SystemTime};

use tinbank_base::id;
use tinbank_customer::Caller;
use tinbank_jobs::{
    change::Verdict,
    fragment,
    record::{Attachment, Contents, JobId, Record, Stored, Submission},
    scope,
};
use tinbank_relay::{region::Allowed, route::Route};
use tokio::{sync::oneshot, time};

use super::{JOBS, contents::INLINE_BYTES, follower, large, results};
use crate::{
    border::{
        ingress::{Reply, Request},
        store::{Error, Offset},
    },
    identity, measure,
    node::Node,
    relay::RETRY_AFTER,
};

/// Timeout of an append, after which it is retried. Each attempt may append a copy of the record, also seconds later; the table gives
/// no copy of a submission another verdict than the first one, and a job can be cancelled once.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Limit on the time until a submission is decided. Well below what callers wait, so that they can retry at another
/// host, which may reach the store when this one does not. Several times what an append takes at a slow store.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A read that checks whether the log is reachable may take one part in this many of the route's target latency.
const PROBE_PART: u32 = 5;
/// While the store is unreachable, callers are asked to retry after one part in this many of their remaining time. The
/// platform's protocol allows no more.
const RETRY_AFTER_PART: u32 = 3;
/// Assumed remaining time of a caller that does not send it.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(3);
/// Timeouts of the attempts to write the contents of a job. The first one is short in case the answer was lost, the later
/// ones allow for a slow store.
const CONTENTS_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(600),
];
/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(80);
/// Limit on the time to cancel a job.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Limit on the time to catch up with the log before a call is answered as unsure.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(700);

/// The outcome of writing a record.
enum Written {
    /// The record is in the log, at this offset or before.
    At(Offset),
    /// The record is not in the log and never will be.
    No,
    /// The record may be in the log.
    Unknown,
}

/// Submits a job. The reply is `Accepted` only if the job is accepted at the position of its record in the log.
pub(crate) async fn submit(
    node: &Node,
    route: &Route,
    caller: &Caller,
    call: &Request,
    body: &[u8],
    allowed: &Allowed,
    deadline: Instant,
) -> Reply {
    let customer = caller.name().cloned();
    let job = scope::job_id(customer.as_deref(), &call.id);
    if node.batch.table.borrow().job(&job).is_some() {
        log::info!(job:% = call.id; "job already accepted");
        return Reply::Accepted;
    }
    if !node.settings.regions.permits_any(allowed) {
        measure::record_region_refusal();
        return refuse(call, "no failure domain is in its regions");
    }
    let items = match node.ingress.items(body) {
        Ok(items) => items,
        Err(malformed) => return Reply::Malformed(malformed),
    };
    if !is_log_reachable(node, route).await {
        return refuse(call, "log of jobs not read to its end");
    }
    let listed = items.iter().map(|it| it.item.clone()).collect();
    let contents = Contents(items.into_iter().map(|it| it.content).collect());
    let Some(contents) = attach(node, contents, allowed, deadline).await else {
        return refuse(call, "contents not written");
    };
    let submission = Submission {
        job,
        // Both are set with each append.
        call: 0,
        position: None,
        host: call.host.clone(),
        route: route.name.clone(),
        quota: quota(route, caller),
        max_attempts: route.max_attempts,
        submitted_at: SystemTime::now(),
        retention: route.batch.retention,
        target: route.batch.target,
        items: listed,
        contents,
    };
    let until = deadline.min(Instant::now() + VERDICT_TIMEOUT);
    let reply = append_submission(node, call, customer, submission, until).await;
    log::info!(job:% = call.id, route:% = route.name, reply:?; "submission answered");
    reply
}

/// Returns the limit on the tokens that the caller may have waiting on a route: the lower one of the route's and the
/// customer's.
fn quota(route: &Route, caller: &Caller) -> Option<u64> {
    let of_customer = caller.customer().and_then(|it| it.queued_tokens);
    [route.batch.quota, of_customer].into_iter().flatten().min()
}

/// Returns whether the job log is reachable, before anything irrevocable is written. Reads it only if the follower's reads
/// were not answered recently.
async fn is_log_reachable(node: &Node, route: &Route) -> bool {
    if !node.batch.is_caught_up() {
        return false;
    }
    let now = Instant::now();
    let until = now + route.target_latency / PROBE_PART;
    node.sharing.reaches_store(now) || follower::catch_up(node, until).await
}

/// Attaches the contents of a job to its submission. Returns `None` if they could not be written.
async fn attach(
    node: &Node,
    contents: Contents,
    allowed: &Allowed,
    deadline: Instant,
) -> Option<Attachment> {
    // Delegates of all regions read the submissions.
    if allowed.is_all() && contents.size() <= INLINE_BYTES {
        return Some(Attachment::Inline(contents));
    }
    let stored = write_contents(node, &contents, deadline).await;
    stored.map(Attachment::Stored)
}

/// Writes the contents of a job, before its submission refers to them.
async fn write_contents(node: &Node, contents: &Contents, deadline: Instant) -> Option<Stored> {
    let bytes = match contents.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:%; "contents of a job can't be encoded");
            return None;
        }
    };
    for timeout in CONTENTS_TIMEOUTS {
        let until = (Instant::now() + timeout).min(deadline);
        match large::write(node, std::slice::from_ref(&bytes), until).await {
            Ok(stored) => return stored.first().copied(),
            // An unused copy of the contents is harmless.
            Err(Error::Unknown(why) | Error::Disconnected(why)) => {
                log::info!(why:%; "contents of a job not acknowledged")
            }
            Err(error) => {
                log::info!(error:%; "contents of a job not written");
                return None;
            }
        }
    }
    None
}

/// Appends a submission and returns the reply by its verdict. One that is outdated, because this host had not applied an earlier refusal
/// of the job, is appended anew from the position that is known by then.
async fn append_submission(
    node: &Node,
    call: &Request,
    customer: Option<id::Customer>,
    submission: Submission,
    deadline: Instant,
) -> Reply {
    loop {
        let number = identity::random_id();
        let attempt = Submission {
            call: number,
            position: Some(node.batch.next_offset.get()),
            ..submission.clone()
        };
        let record = Record::submitted(customer.clone(), attempt);
        let (sender, receiver) = oneshot::channel();
        node.batch.verdicts.borrow_mut().insert(number, sender);
        let decided = write_and_decide(node, call, &record, receiver, deadline).await;
        node.batch.verdicts.borrow_mut().remove(&number);
        match decided {
            Err(reply) => return reply,
            Ok(Verdict::Accepted | Verdict::Known) => return Reply::Accepted,
            Ok(Verdict::OverQuota { .. }) => {
                return Reply::OverQuota {
                    retry_after: RETRY_AFTER,
                };
            }
            Ok(Verdict::Outdated) if Instant::now() >= deadline => {
                return refuse(call, "log of jobs read too late");
            }
            Ok(Verdict::Outdated) => {
                log::info!(job:% = call.id; "submission began before a refusal of its job, appended anew");
            }
        }
    }
}

/// Appends a submission and waits for its verdict. Returns the reply if there is none.
async fn write_and_decide(
    node: &Node,
    call: &Request,
    record: &Record,
    mut receiver: oneshot::Receiver<Verdict>,
    deadline: Instant,
) -> Result<Verdict, Reply> {
    let written = tokio::select! {
        // The verdict comes first if the answer to the append is lost or late.
        verdict = &mut receiver => return verdict.map_err(|_| Reply::Failed),
        written = write(node, record, deadline) => written,
    };
    match written {
        Written::No => return Err(refuse(call, "store not reached")),
        Written::Unknown => return Err(Reply::TimedOut),
        Written::At(offset) => node.batch.mark_awaited(offset + 1),
    }
    match time::timeout_at(deadline.into(), receiver).await {
        Ok(Ok(verdict)) => Ok(verdict),
        _ => Err(Reply::TimedOut),
    }
}

/// Returns the reply for a job that this host can't accept because it does not reach the store.
pub(crate) fn refuse(call: &Request, why: &'static str) -> Reply {
    let retry_after = call.time_left.unwrap_or(DEFAULT_TIME_LEFT) / RETRY_AFTER_PART;
    let retry_after_ms = retry_after.as_millis() as u64;
    log::info!(job:% = call.id, why, retry_after_ms; "job not taken in here, nothing of it runs");
    Reply::NotRun { retry_after }
}

/// Writes a record, with retries until it is in the log or the deadline passes.
async fn write(node: &Node, record: &Record, deadline: Instant) -> Written {
    let bytes = match record.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:%; "record can't be encoded");
            return Written::No;
        }
    };
    let fragments = fragment::split(&bytes, node.settings.store.record_bytes);
    let mut may_be_written = false;
    loop {
        let until = (Instant::now() + APPEND_TIMEOUT).min(deadline);
        match node.store.append(JOBS, &fragments, until).await {
            Ok(offset) => return Written::At(offset),
            Err(Error::NoEffect(why) | Error::Busy(why)) if !may_be_written => {
                log::info!(why:%; "append had no effect");
                return Written::No;
            }
            Err(error) => {
                log::info!(error:%; "append not acknowledged, retrying");
                may_be_written = true;
            }
        }
        if Instant::now() + RETRY_DELAY >= deadline {
            return Written::Unknown;
        }
        time::sleep(RETRY_DELAY).await;
    }
}

/// Cancels a job. Its items stop as soon as the hosts that run them have read the record.
pub(crate) async fn cancel(node: &Node, job: JobId) -> Reply {
    let deadline = Instant::now() + CANCEL_TIMEOUT;
    let is_cancelled = |node: &Node| {
        let table = node.batch.table.borrow();
        table.job(&job).map(|job| job.cancelled)
    };
    if is_cancelled(node).is_none() {
        let until = Instant::now() + CATCH_UP_TIMEOUT;
        if !follower::catch_up(node, until).await {
            return Reply::Unsure;
        }
    }
    match is_cancelled(node) {
        None => return results::absent(node, &job),
        Some(true) => return Reply::Ended,
        Some(false) => {}
    }
    match write(node, &Record::Cancelled(job.clone()), deadline).await {
        Written::At(offset) => {
            // Later calls at this host must see that the job is cancelled.
            match follower::wait_until_applied(node, offset + 1, deadline).await {
                true => Reply::Ended,
                false => Reply::TimedOut,
            }
        }
        Written::No => Reply::Unsure,
        Written::Unknown => Reply::TimedOut,
    }
}
