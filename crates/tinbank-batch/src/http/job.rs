//! `GET /v1/batches/{id}` and `POST /v1/batches/{id}/cancel`.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use dropshot::{Body, Path, RequestContext, endpoint};
use futures::future::try_join_all;
use http::{HeaderMap, Response, StatusCode};
use schemars::JsonSchema;
use serde::Deserialize;
use tinbank_base::{
    frame::request::{self, Count, Request, Status},
    id,
    outcome::{Code, Failure},
};
use tinbank_ledger::placement;
use tinbank_server::{
    failure::{Reply, answer},
    operator::json,
};
use tokio::time;

use super::{
    context::{Context, deadline, unexpected_response},
    view::{Counts, Job, JobState},
};

/// Interval of checks whether a cancelled job has stopped.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Path parameters of a job.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct JobPath {
    /// The job ID returned when the job was accepted.
    pub(super) id: String,
}

/// Returns the state and counts of a job.
#[endpoint {
    method = GET,
    path = "/v1/batches/{id}",
}]
pub(super) async fn get_batch(
    rqctx: RequestContext<Arc<Context>>,
    path: Path<JobPath>,
) -> Result<Response<Body>, Reply> {
    let id = path.into_inner().id;
    let headers = rqctx.request.headers();
    answer(show(rqctx.context(), headers, &id).await)
}

/// Cancels a job: later completions are ignored, and running items are cancelled at the upstream.
///
/// Answers 200 once the job has stopped in all its shards, and 202 with the state `cancelling` if that takes longer.
#[endpoint {
    method = POST,
    path = "/v1/batches/{id}/cancel",
}]
pub(super) async fn cancel_batch(
    rqctx: RequestContext<Arc<Context>>,
    path: Path<JobPath>,
) -> Result<Response<Body>, Reply> {
    let id = path.into_inner().id;
    let headers = rqctx.request.headers();
    answer(cancel(rqctx.context(), headers, &id).await)
}

async fn show(context: &Context, headers: &HeaderMap, id: &str) -> Result<Response<Body>, Reply> {
    let status = context.job(headers, id).await?;
    let counts = counts(context, &status).await?;
    json(
        StatusCode::OK,
        &Job::of(&status.head, JobState::of(&status), Some(counts)),
    )
}

async fn cancel(context: &Context, headers: &HeaderMap, id: &str) -> Result<Response<Body>, Reply> {
    let status = context.job(headers, id).await?;
    let job = status.head.job;
    let shard = placement::shard_of_job(job, context.shards);
    let frames = context
        .owner_client
        .ask(shard, Request::Cancel { job }, deadline())
        .await;
    // A job that had already ended is not changed; its state shows this.
    let cancelled = match frames?.pop() {
        Some(request::Response::Cancelled(cancelled)) => cancelled,
        Some(other) => return Err(unexpected_response(&other).into()),
        None => return Err(Failure::unknown(Code::Internal, "empty answer").into()),
    };
    let mut status = wait_until_stopped(context, headers, id, cancelled).await?;
    status.cancelled |= cancelled;
    let state = JobState::of(&status);
    let code = match state {
        JobState::Cancelling => StatusCode::ACCEPTED,
        _ => StatusCode::OK,
    };
    let counts = counts(context, &status).await?;
    json(code, &Job::of(&status.head, state, Some(counts)))
}

/// Waits until every shard reports that the job has stopped, or the deadline passes. A shard that lost its owner reads the
/// cancel only once it has a new one; until then its items may still start and complete.
///
/// The process that returns the status may lag and not have read the cancel yet.
async fn wait_until_stopped(
    context: &Context,
    headers: &HeaderMap,
    id: &str,
    cancelled: bool,
) -> Result<Status, Failure> {
    let deadline = deadline();
    loop {
        let status = context.job(headers, id).await?;
        let current = status.cancelled || !cancelled;
        let stopped = JobState::of(&status) != JobState::Cancelling;
        if (current && stopped) || Instant::now() >= deadline {
            return Ok(status);
        }
        time::sleep(CANCEL_POLL_INTERVAL).await;
    }
}

/// Returns the counts of the whole job. Finished shards have recorded theirs in the head's shard; the others are asked.
async fn counts(context: &Context, status: &Status) -> Result<Counts, Failure> {
    let head = &status.head;
    let finished = status.parts.iter().map(|part| Count {
        pending: 0,
        answered: part.answered,
        failed: part.failed,
        cancelled: part.cancelled,
    });
    let done = |shard: &id::Shard| status.parts.iter().any(|part| part.shard == *shard);
    let open = head.shards.iter().copied().filter(|shard| !done(shard));
    let asked = open.map(|shard| count(context, head.job, shard));
    let open = try_join_all(asked).await?;
    Ok(Counts::sum(head.items, finished.chain(open)))
}

async fn count(context: &Context, job: id::Job, shard: id::Shard) -> Result<Count, Failure> {
    let request = Request::Results {
        job,
        shard,
        from: id::Chunk::MAX,
        custom_id: None,
    };
    match context.ask(shard, request).await? {
        request::Response::Counted(count) => Ok(count),
        other => Err(unexpected_response(&other)),
    }
}
