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

use super::{Shared, accept, answer, check_ready, note_refused, request_id};
use crate::{
    clock,
    request::{Caller, Request, chat::Chat as Wanted},
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
    let wanted = match read(&rqctx, id, body.as_bytes()) {
        Ok(wanted) => wanted,
        Err(failure) => {
            note_refused(ctx, id, &failure);
            return failure::answer(Err(answer::with_retry(failure)));
        }
    };
    let answered = serve(ctx, wanted).await;
    failure::answer(answered.map_err(answer::with_retry))
}

fn read(rqctx: &RequestContext<Shared>, id: id::Request, body: &[u8]) -> Result<Wanted, Failure> {
    let ctx = rqctx.context();
    check_ready(ctx)?;
    let headers = rqctx.request.headers();
    let caller = Caller::read(headers, &ctx.snapshot(), clock::now())?;
    Wanted::read(id, &caller, body)
}

async fn serve(ctx: &Shared, wanted: Wanted) -> Result<Response<Body>, Failure> {
    let request = Arc::new(wanted.request);
    let journal = accept(ctx, &request)?;
    match request.claim_key() {
        Some(key) => {
            let (sender, receiver) = mpsc::unbounded_channel();
            let claimed = run::claimed::chat(ctx.clone(), request.clone(), journal, key, sender);
            ctx.tasks.spawn_on(claimed, &ctx.traffic);
            let parts = stream::unfold(receiver, |mut receiver| async {
                let part = receiver.recv().await?;
                Some((part, receiver))
            });
            respond(&request, wanted.stream, parts).await
        }
        None => {
            let chat = Chat::new(ctx.clone(), request.clone(), journal);
            let parts = stream::unfold(chat, |mut chat| async {
                let part = chat.next().await?;
                Some((part, chat))
            });
            respond(&request, wanted.stream, parts).await
        }
    }
}

/// Answers once there is a first part: a failure before it has an HTTP status of its own.
async fn respond(
    request: &Request,
    streamed: bool,
    parts: impl Stream<Item = Result<Part, Failure>> + Send + 'static,
) -> Result<Response<Body>, Failure> {
    if !streamed {
        let whole = answer::whole(request, parts).await?;
        return Ok(answer::json(whole));
    }
    let mut parts = Box::pin(parts);
    let first = parts.next().await.transpose()?;
    let parts = stream::iter(first.map(Ok)).chain(parts);
    Ok(response(Form::Sse, answer::events(request, parts)))
}
