//! The HTTP API for callers.

mod answer;
pub mod call;
pub mod chat;

use std::sync::Arc;

use dropshot::{ApiDescription, ApiDescriptionRegisterError, RequestContext};
use tinbank_base::{
    event::{Kind, Subject},
    id,
    outcome::{Code, Failure},
};
use tinbank_server::{caller, operator, readiness::State};

use crate::{clock, context::Context, gate::Permit, request::Request, run::RequestTelemetry};

/// The context passed to every handler.
pub type Shared = Arc<Context>;

/// Describes the API, with the endpoints for operators.
///
/// # Errors
/// Two endpoints have the same path, which is a bug.
pub fn describe() -> Result<ApiDescription<Shared>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(chat::chat_completions)?;
    api.register(call::call_service)?;
    operator::register(&mut api)?;
    Ok(api)
}

/// Parses the id that dropshot gave the request, which the response has in `X-Request-Id`.
fn request_id(rqctx: &RequestContext<Shared>) -> Result<id::Request, Failure> {
    caller::parse_request_id(&rqctx.request_id).ok_or_else(|| {
        let message = format!("the request id {:?} can't be read", rqctx.request_id);
        Failure::not_run(Code::Internal, message)
    })
}

/// Refuses requests until the first configuration is loaded, without which no caller is known. A stopping process still
/// serves.
fn check_ready(ctx: &Context) -> Result<(), Failure> {
    match ctx.ready.state() {
        State::Starting => Err(Failure::not_run(
            Code::NotReady,
            "the process has no configuration yet",
        )),
        State::Ready | State::Leaving => Ok(()),
    }
}

/// Admits a valid request if the customer's limits and the load allow it.
fn admit(ctx: &Shared, request: &Request) -> Result<RequestTelemetry, Failure> {
    match Permit::acquire(ctx, request, clock::now()) {
        Ok(permit) => Ok(RequestTelemetry::accept(ctx.clone(), request, permit)),
        Err(failure) => {
            record_refused(ctx, request.id, &failure);
            Err(failure)
        }
    }
}

/// Records that a request was refused before anything was sent to an upstream.
fn record_refused(ctx: &Context, request: id::Request, failure: &Failure) {
    let subject = Subject {
        request: Some(request),
        ..Subject::default()
    };
    let (code, ran) = (failure.code, failure.ran);
    ctx.recorder.note(subject, Kind::Refused { code, ran });
    metrics::counter!("tinbank_online_requests_total", "outcome" => "refused").increment(1);
    log::info!(
        event = "request_refused",
        request = id::format_wide(request).as_str(),
        code:? = failure.code,
        reason = failure.message.as_str();
        "request refused"
    );
}
