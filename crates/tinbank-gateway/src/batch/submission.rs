//! Takes in jobs, and the ends of jobs.

use std::time::{Duration, Instant, SystemTime};

use tinbank_customer::Caller;
use tinbank_jobs::{
    change::Verdict,
    fragment,
    record::{Attachment, Contents, JobId, Record, Stored, Submission},
    scope,
};
use tinbank_relay::route::Route;
use tokio::{sync::oneshot, time};

use super::{JOBS, contents::INLINE_BYTES, follower, large, results};
use crate::{
    border::{
        ingress::{Reply, Request},
        store::{Error, Offset},
    },
    identity,
    node::Node,
    relay::RETRY_AFTER,
};

/// How long one append may take before it is sent again. The fold drops what is written twice.
const APPEND_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a submission waits for its verdict. Another host may reach the store when this one does not, so the caller
/// needs time to come again. Source: several times what an append takes at a slow store, well below what callers wait.
const DECIDE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Part of a route's target for accepting a job that the read may take that tells whether the log is reached, one in so
/// many: several times what a read takes, and the rest is for the job itself.
const PROBE_PART: u32 = 5;
/// Part of the time that a caller has left after which it is told to come back while the store is away: one in so many.
/// Outages last seconds, and by the platform's protocol callers wait for no longer than this part.
const AWAY_RETRY_PART: u32 = 3;
/// Time that a caller has left where it does not say.
const UNKNOWN_TIME_LEFT: Duration = Duration::from_secs(3);
/// How long the tries to write the contents of a job may take. An answer that is lost never comes, so the first try is
/// short against the usual target for accepting a job; an answer of a slow store is waited for by the later ones.
const CONTENTS_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(600),
];
/// Pause before an append is sent again.
const RETRY: Duration = Duration::from_millis(80);
/// How long the end of a job is tried for.
const END_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a host may take to read the log to its end before it says that it can't tell.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(700);

/// What came of writing a record.
enum Written {
    /// The log has it, at this offset at the latest.
    At(Offset),
    /// The log surely doesn't have it and never will.
    No,
    /// The log may have it.
    Perhaps,
}

/// Takes in a job. The answer says that it is accepted only if the log says so.
pub(crate) async fn submit(
    node: &Node,
    route: &Route,
    caller: &Caller,
    call: &Request,
    body: &[u8],
    deadline: Instant,
) -> Reply {
    let customer = caller.name().cloned();
    let job = scope::job_id(customer.as_deref(), &call.id);
    if node.batch.table.borrow().job(&job).is_some() {
        log::info!(job:% = call.id; "job known, accepted again");
        return Reply::Accepted;
    }
    let items = match node.ingress.items(body) {
        Ok(items) => items,
        Err(malformed) => return Reply::Malformed(malformed),
    };
    if !is_log_reached(node, route).await {
        return refuse(call, "log of jobs not read to its end");
    }
    let number = identity::number();
    let listed = items.iter().map(|it| it.item.clone()).collect();
    let contents = Contents(items.into_iter().map(|it| it.content).collect());
    let Some(contents) = attach(node, contents, deadline).await else {
        return refuse(call, "contents not written");
    };
    let submission = Submission {
        job,
        call: number,
        host: call.host.clone(),
        route: route.name.clone(),
        quota: route.batch.quota,
        max_attempts: route.max_attempts,
        submitted_at: SystemTime::now(),
        retention: route.batch.retention,
        target: route.batch.target,
        items: listed,
        contents,
    };
    let record = Record::submitted(customer, submission);
    let (verdict, decided) = oneshot::channel();
    node.batch.verdicts.borrow_mut().insert(number, verdict);
    let until = deadline.min(Instant::now() + DECIDE_TIMEOUT);
    let reply = decide(node, call, &record, decided, until).await;
    node.batch.verdicts.borrow_mut().remove(&number);
    log::info!(job:% = call.id, route:% = route.name, reply:?; "submission answered");
    reply
}

/// True if the log of jobs is surely reached now. While its reads are answered, nothing is asked; otherwise one short
/// read tells, before anything is sent that can't be taken back.
async fn is_log_reached(node: &Node, route: &Route) -> bool {
    if !node.batch.is_caught_up() {
        return false;
    }
    let now = Instant::now();
    let until = now + route.target_latency / PROBE_PART;
    node.sharing.reaches_store(now) || follower::catch_up(node, until).await
}

/// The contents of a job for its submission. Nothing if they could not be written.
async fn attach(node: &Node, contents: Contents, deadline: Instant) -> Option<Attachment> {
    if contents.size() <= INLINE_BYTES {
        return Some(Attachment::Inline(contents));
    }
    let stored = write_contents(node, &contents, deadline).await;
    stored.map(Attachment::Stored)
}

/// Writes the contents of a job. Without them there is no record of the job, so nothing of it runs.
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
            // Nothing of the job runs yet, so a second copy of its contents is harmless.
            Err(Error::Unknown(why)) => log::info!(why:%; "contents of a job not acknowledged"),
            Err(error) => {
                log::info!(error:%; "contents of a job not written");
                return None;
            }
        }
    }
    None
}

async fn decide(
    node: &Node,
    call: &Request,
    record: &Record,
    mut decided: oneshot::Receiver<Verdict>,
    deadline: Instant,
) -> Reply {
    let written = tokio::select! {
        // The verdict may come first: then the answer to the append was lost, or is late.
        verdict = &mut decided => return verdict.map_or(Reply::Failed, judge),
        written = write(node, record, deadline) => written,
    };
    match written {
        Written::No => return refuse(call, "store not reached"),
        Written::Perhaps => return Reply::TimedOut,
        Written::At(offset) => node.batch.want(offset + 1),
    }
    match time::timeout_at(deadline.into(), decided).await {
        Ok(Ok(verdict)) => judge(verdict),
        _ => Reply::TimedOut,
    }
}

fn judge(verdict: Verdict) -> Reply {
    match verdict {
        Verdict::Accepted | Verdict::Known => Reply::Accepted,
        Verdict::OverQuota { .. } => Reply::OverQuota {
            retry_after: RETRY_AFTER,
        },
    }
}

/// What to tell the caller of a job that this host can not take in, because it does not reach the store.
pub(crate) fn refuse(call: &Request, why: &'static str) -> Reply {
    let retry_after = call.time_left.unwrap_or(UNKNOWN_TIME_LEFT) / AWAY_RETRY_PART;
    let retry_after_ms = retry_after.as_millis() as u64;
    log::info!(job:% = call.id, why, retry_after_ms; "job not taken in here, nothing of it runs");
    Reply::NotRun { retry_after }
}

/// Writes a record, again and again until the log has it or the time is up.
async fn write(node: &Node, record: &Record, deadline: Instant) -> Written {
    let bytes = match record.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:%; "record can't be encoded");
            return Written::No;
        }
    };
    let pieces = fragment::split(&bytes, node.settings.store.record_bytes);
    let mut perhaps = false;
    loop {
        let until = (Instant::now() + APPEND_TIMEOUT).min(deadline);
        match node.store.append(JOBS, &pieces, until).await {
            Ok(offset) => return Written::At(offset),
            Err(Error::NoEffect(why) | Error::Busy(why)) if !perhaps => {
                log::info!(why:%; "append had no effect");
                return Written::No;
            }
            Err(error) => {
                log::info!(error:%; "append not answered, sent again");
                perhaps = true;
            }
        }
        if Instant::now() + RETRY >= deadline {
            return Written::Perhaps;
        }
        time::sleep(RETRY).await;
    }
}

/// Ends a job: nothing of it runs from a moment later on.
pub(crate) async fn cancel(node: &Node, job: JobId) -> Reply {
    let deadline = Instant::now() + END_TIMEOUT;
    let ended = |node: &Node| {
        let table = node.batch.table.borrow();
        table.job(&job).map(|job| job.cancelled)
    };
    if ended(node).is_none() {
        let until = Instant::now() + CATCH_UP_TIMEOUT;
        if !follower::catch_up(node, until).await {
            return Reply::Unsure;
        }
    }
    match ended(node) {
        None => return results::absent(node, &job),
        Some(true) => return Reply::Ended,
        Some(false) => {}
    }
    match write(node, &Record::Cancelled(job.clone()), deadline).await {
        Written::At(offset) => {
            // This host answers for the end from now on, so it has to know it itself.
            match follower::reached(node, offset + 1, deadline).await {
                true => Reply::Ended,
                false => Reply::TimedOut,
            }
        }
        Written::No => Reply::Unsure,
        Written::Perhaps => Reply::TimedOut,
    }
}
