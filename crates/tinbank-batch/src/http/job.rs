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
    context::{Context, unexpected, until},
    view::{Counts, Job, JobState},
};

/// How often it is looked whether a cancelled job has stopped.
const STOPPED_LOOK: Duration = Duration::from_millis(50);

/// Which job.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct JobPath {
    /// The id that its acceptance gave.
    pub(super) id: String,
}

/// State and counts of a job.
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

/// Stops a job: completions after it don't count, and what runs is cancelled at the upstream.
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
    answer(stop(rqctx.context(), headers, &id).await)
}

async fn show(context: &Context, headers: &HeaderMap, id: &str) -> Result<Response<Body>, Reply> {
    let status = context.job(headers, id).await?;
    let counts = counts(context, &status).await?;
    json(
        StatusCode::OK,
        &Job::of(&status.head, JobState::of(&status), Some(counts)),
    )
}

async fn stop(context: &Context, headers: &HeaderMap, id: &str) -> Result<Response<Body>, Reply> {
    let status = context.job(headers, id).await?;
    let job = status.head.job;
    let shard = placement::shard_of_job(job, context.shards);
    let frames = context
        .owner_client
        .ask(shard, Request::Cancel { job }, until())
        .await;
    // One that had ended before stays as it is; its state says so.
    let cancelled = match frames?.pop() {
        Some(request::Response::Cancelled(cancelled)) => cancelled,
        Some(other) => return Err(unexpected(&other).into()),
        None => return Err(Failure::unknown(Code::Internal, "empty answer").into()),
    };
    let mut status = stopped(context, headers, id, cancelled).await?;
    status.cancelled |= cancelled;
    let state = JobState::of(&status);
    let code = match state {
        JobState::Cancelling => StatusCode::ACCEPTED,
        _ => StatusCode::OK,
    };
    let counts = counts(context, &status).await?;
    json(code, &Job::of(&status.head, state, Some(counts)))
}

/// Waits until every shard has said that the job stopped there: a shard whose owner was lost reads the cancel only once
/// it has a new one, and until then items may still start and count. Gives up in time for the answer.
///
/// Whoever tells the status may not have read the cancel yet, though another has.
async fn stopped(
    context: &Context,
    headers: &HeaderMap,
    id: &str,
    cancelled: bool,
) -> Result<Status, Failure> {
    let until = until();
    loop {
        let status = context.job(headers, id).await?;
        let current = status.cancelled || !cancelled;
        let stopped = JobState::of(&status) != JobState::Cancelling;
        if (current && stopped) || Instant::now() >= until {
            return Ok(status);
        }
        time::sleep(STOPPED_LOOK).await;
    }
}

/// Counts of the whole job: shards that have finished said so in the head's shard, the others are asked.
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
        other => Err(unexpected(&other)),
    }
}
