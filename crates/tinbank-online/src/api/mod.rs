//! The callers' interface over HTTP.

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

use crate::{clock, context::Context, gate::Permit, request::Request, run::Journal};

/// What the handlers get.
pub type Shared = Arc<Context>;

/// The whole interface.
///
/// # Errors
/// Two endpoints have the same path; a fault of ours.
pub fn describe() -> Result<ApiDescription<Shared>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(chat::chat_completions)?;
    api.register(call::call_service)?;
    operator::register(&mut api)?;
    Ok(api)
}

/// The id that dropshot gave the request, which is in the answer's `X-Request-Id` as well.
fn request_id(rqctx: &RequestContext<Shared>) -> Result<id::Request, Failure> {
    caller::parse_request_id(&rqctx.request_id).ok_or_else(|| {
        let message = format!("the request id {:?} can't be read", rqctx.request_id);
        Failure::not_run(Code::Internal, message)
    })
}

/// A process without a configuration can't know any caller. One that is stopping still serves what reaches it.
fn check_ready(ctx: &Context) -> Result<(), Failure> {
    match ctx.ready.state() {
        State::Starting => Err(Failure::not_run(
            Code::NotReady,
            "the process has no configuration yet",
        )),
        State::Ready | State::Leaving => Ok(()),
    }
}

/// Lets a good request in, if the customer's limits and the load allow it.
fn accept(ctx: &Shared, request: &Request) -> Result<Journal, Failure> {
    match Permit::get(ctx, request, clock::now()) {
        Ok(permit) => Ok(Journal::accept(ctx.clone(), request, permit)),
        Err(failure) => {
            note_refused(ctx, request.id, &failure);
            Err(failure)
        }
    }
}

/// Notes that a request was refused before anything was sent.
fn note_refused(ctx: &Context, request: id::Request, failure: &Failure) {
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
