//! `POST /v1/chat/completions`.

use std::sync::Arc;

use dropshot::{Body, RequestContext, UntypedBody, endpoint};
use futures::{Stream, StreamExt as _, stream};
use http::Response;
use tinbank_base::{id, outcome::Failure, platform::upstream::Part};
use tinbank_server::{
    failure::{self, Reply},
    stream::{Form, response},
};
use tokio::sync::mpsc;

use super::{Shared, admit, answer, check_ready, record_refused, request_id};
use crate::{
    clock,
    request::{Caller, Request, chat::ChatRequest},
    run::{self, chat::Chat},
};

/// Answers a chat completion, whole or as server-sent events that end in `[DONE]`.
///
/// `model` names the service; or the header `Tinbank-Stream` names one of the customer's online streams. See
/// `docs/design/online.md`.
#[endpoint {
    method = POST,
    path = "/v1/chat/completions",
    tags = ["callers"],
}]
pub async fn chat_completions(
    rqctx: RequestContext<Shared>,
    body: UntypedBody,
) -> Result<Response<Body>, Reply> {
    let ctx = rqctx.context();
    let id = request_id(&rqctx)?;
    let chat_request = match read(&rqctx, id, body.as_bytes()) {
        Ok(chat_request) => chat_request,
        Err(failure) => {
            record_refused(ctx, id, &failure);
            return failure::answer(Err(answer::with_retry(failure)));
        }
    };
    let answered = serve(ctx, chat_request).await;
    failure::answer(answered.map_err(answer::with_retry))
}

fn read(
    rqctx: &RequestContext<Shared>,
    id: id::Request,
    body: &[u8],
) -> Result<ChatRequest, Failure> {
    let ctx = rqctx.context();
    check_ready(ctx)?;
    let headers = rqctx.request.headers();
    let caller = Caller::read(headers, &ctx.snapshot(), clock::now())?;
    ChatRequest::read(id, &caller, body)
}

async fn serve(ctx: &Shared, chat_request: ChatRequest) -> Result<Response<Body>, Failure> {
    let request = Arc::new(chat_request.request);
    let telemetry = admit(ctx, &request)?;
    match request.claim_key() {
        Some(key) => {
            let (sender, receiver) = mpsc::unbounded_channel();
            let claimed = run::claimed::chat(ctx.clone(), request.clone(), telemetry, key, sender);
            ctx.tasks.spawn_on(claimed, &ctx.traffic);
            let parts = stream::unfold(receiver, |mut receiver| async {
                let part = receiver.recv().await?;
                Some((part, receiver))
            });
            respond(&request, chat_request.stream, parts).await
        }
        None => {
            let chat = Chat::new(ctx.clone(), request.clone(), telemetry);
            let parts = stream::unfold(chat, |mut chat| async {
                let part = chat.next().await?;
                Some((part, chat))
            });
            respond(&request, chat_request.stream, parts).await
        }
    }
}

/// Responds once the first part is available, so that an earlier failure gets its own HTTP status.
async fn respond(
    request: &Request,
    streamed: bool,
    parts: impl Stream<Item = Result<Part, Failure>> + Send + 'static,
) -> Result<Response<Body>, Failure> {
    if !streamed {
        let whole = answer::collect(request, parts).await?;
        return Ok(answer::json(whole));
    }
    let mut parts = Box::pin(parts);
    let first = parts.next().await.transpose()?;
    let parts = stream::iter(first.map(Ok)).chain(parts);
    Ok(response(Form::Sse, answer::events(request, parts)))
}
