//! `POST /v1/batches`: takes in a job.

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
use crate::intake::{Submission, Accepted, submission::SubmitOptions};

/// Largest body of a job, in bytes; the intake's own limit is the same.
const MAX_BODY_BYTES: usize = 4 << 30;

/// What is wanted of a job.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct Submit {
    /// Name of the service that runs the items.
    pub service: String,
    /// When the job is due, as in RFC 3339.
    pub due: Option<String>,
}

/// Takes in a job: one item a line, each with `custom_id`, `body` and, optionally, `repeatable`.
///
/// The answer comes when the job lasts: 201 for a new one, 200 for one that the same idempotency key made before.
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
    answer(take(context, headers, &query.into_inner(), body).await)
}

async fn take(
    context: &Context,
    headers: &HeaderMap,
    submit: &Submit,
    body: StreamingBody,
) -> Result<Response<Body>, Reply> {
    // A stopping process goes on taking jobs in until the balancer has noticed; others run them.
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
    let accepted = context.intake.take(&submission, body.into_stream()).await;
    note(context, &submission, &accepted);
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

fn note(context: &Context, submission: &Submission, accepted: &Result<Accepted, Failure>) {
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
