//! `POST /v1/services/{service}/call`.

use bytes::Bytes;
use dropshot::{Body, Path, RequestContext, UntypedBody, endpoint};
use http::Response;
use schemars::JsonSchema;
use serde::Deserialize;
use tinbank_base::{
    id,
    outcome::{Code, Failure},
};
use tinbank_server::failure::{self, Reply};

use super::{Shared, admit, answer, check_ready, record_refused, request_id};
use crate::{
    clock,
    request::{Caller, Request, plain},
    run::{self, RequestTelemetry},
};

/// Path parameters of a call.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct CallPath {
    /// Name of the service.
    pub service: String,
}

/// Calls a plain service and passes its answer on.
///
/// A request marked `Tinbank-Repeatable: false` is sent at most once. See `docs/design/online.md`.
#[endpoint {
    method = POST,
    path = "/v1/services/{service}/call",
    tags = ["callers"],
}]
pub async fn call_service(
    rqctx: RequestContext<Shared>,
    path: Path<CallPath>,
    body: UntypedBody,
) -> Result<Response<Body>, Reply> {
    let ctx = rqctx.context();
    let id = request_id(&rqctx)?;
    let name = path.into_inner().service;
    let body = Bytes::copy_from_slice(body.as_bytes());
    let request = match read(&rqctx, id, &name, body) {
        Ok(request) => request,
        Err(failure) => {
            record_refused(ctx, id, &failure);
            return failure::answer(Err(answer::with_retry(failure)));
        }
    };
    let answered = serve(ctx, request).await.map(answer::json);
    failure::answer(answered.map_err(answer::with_retry))
}

fn read(
    rqctx: &RequestContext<Shared>,
    id: id::Request,
    name: &str,
    body: Bytes,
) -> Result<Request, Failure> {
    let ctx = rqctx.context();
    check_ready(ctx)?;
    let headers = rqctx.request.headers();
    let caller = Caller::read(headers, &ctx.snapshot(), clock::now())?;
    plain::read(id, &caller, name, body)
}

async fn serve(ctx: &Shared, request: Request) -> Result<Bytes, Failure> {
    let telemetry = admit(ctx, &request)?;
    match request.claim_key() {
        None => run::plain::run(ctx.clone(), &request, telemetry).await,
        Some(key) => claimed(ctx, request, telemetry, key).await,
    }
}

/// Runs the call in its own task, which continues when the caller disconnects.
async fn claimed(
    ctx: &Shared,
    request: Request,
    telemetry: RequestTelemetry,
    key: String,
) -> Result<Bytes, Failure> {
    let call = run::claimed::call(ctx.clone(), request, telemetry, key);
    let task = ctx.tasks.spawn_on(call, &ctx.traffic);
    task.await.unwrap_or_else(|error| {
        let message = format!("the task of the request ended early: {error}");
        Err(Failure::unknown(Code::Internal, message))
    })
}
