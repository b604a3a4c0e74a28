//! `POST /v1/batches`: accepts a job.

use std::{sync::Arc, time::SystemTime};

use dropshot::{Body, Query, RequestContext, StreamingBody, endpoint};
use http::{HeaderMap, Response, StatusCode, header};
use schemars::JsonSchema;
use serde::Deserialize;
use tinbank_base::{
    event::{Kind, Subject},
    outcome::{Code, Failure, Ran},
};
use tinbank_server::{
    caller,
    failure::{Reply, answer},
    operator::json,
    readiness::State,
};

use super::{
    context::Context,
    view::{Counts, Job, JobState},
};
use crate::intake::{Accepted, Submission, submission::SubmitOptions};

/// Maximum size of a job's body in bytes, equal to the intake's limit.
const MAX_BODY_BYTES: usize = 4 << 30;

/// Query parameters of a submitted job.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct Submit {
    /// Name of the service that runs the items.
    pub service: String,
    /// When the job is due, as an RFC 3339 timestamp.
    pub due: Option<String>,
}

/// Submits a job: one item per line, each with `custom_id`, `body` and, optionally, `repeatable`.
///
/// Responds once the job is durable: 201 for a new job, 200 for one created earlier with the same idempotency key.
#[endpoint {
    method = POST,
    path = "/v1/batches",
    request_body_max_bytes = MAX_BODY_BYTES,
}]
pub(super) async fn submit_batch(
    rqctx: RequestContext<Arc<Context>>,
    query: Query<Submit>,
    body: StreamingBody,
) -> Result<Response<Body>, Reply> {
    let context = rqctx.context();
    let headers = rqctx.request.headers();
    answer(submit_job(context, headers, &query.into_inner(), body).await)
}

async fn submit_job(
    context: &Context,
    headers: &HeaderMap,
    submit: &Submit,
    body: StreamingBody,
) -> Result<Response<Body>, Reply> {
    // A stopping process accepts jobs until the load balancer has noticed; other processes run them.
    if context.flag.state() == State::Starting {
        let message = "the process is starting";
        return Err(Failure::not_run(Code::NotReady, message).into());
    }
    let customer = context.customer(headers)?;
    let options = SubmitOptions {
        service: &submit.service,
        due: submit.due.as_deref(),
        stream: caller::stream(headers)?,
        repeatable: caller::repeatable(headers)?,
        key: caller::idempotency_key(headers)?,
        length: length(headers),
    };
    let submission = Submission::check(customer, &options, SystemTime::now())?;
    let accepted = context.intake.accept(&submission, body.into_stream()).await;
    record_submission(context, &submission, &accepted);
    let Accepted { head, new } = accepted?;
    let status = match new {
        true => StatusCode::CREATED,
        false => StatusCode::OK,
    };
    let counts = new.then(|| Counts::pending(head.items));
    json(status, &Job::of(&head, JobState::Running, counts))
}

fn length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn record_submission(
    context: &Context,
    submission: &Submission,
    accepted: &Result<Accepted, Failure>,
) {
    let job = accepted.as_ref().ok().map(|accepted| accepted.head.job);
    let subject = Subject {
        job,
        ..Subject::default()
    };
    let kind = match accepted {
        Ok(_) => Kind::Accepted {
            customer: submission.customer.name.clone(),
            service: submission.service.clone(),
        },
        Err(failure) => Kind::Refused {
            code: failure.code,
            ran: failure.ran,
        },
    };
    context.recorder.note(subject, kind);
    let ran = match accepted {
        Ok(_) => "accepted",
        Err(failure) if failure.ran == Ran::No => "not_run",
        Err(_) => "unknown",
    };
    metrics::counter!("tinbank_batch_jobs_total", "outcome" => ran).increment(1);
}
