//! Runs requests that have to be claimed, in their own tasks: they finish even if the caller disconnects, so that a
//! retry gets the stored answer.

use std::sync::Arc;

use bytes::Bytes;
use tinbank_base::{
    outcome::{Code, Failure},
    platform::upstream::Part,
};
use tokio::sync::mpsc::UnboundedSender;

use super::{
    RequestTelemetry,
    chat::Chat,
    claim::{self, ClaimOutcome},
    plain,
};
use crate::{context::Context, openai::Completion, request::Request};

/// Claims and runs a chat completion, and sends its parts to the channel, whose length is bounded by the service's
/// `max_tokens`.
pub(crate) async fn chat(
    ctx: Arc<Context>,
    request: Arc<Request>,
    mut telemetry: RequestTelemetry,
    key: String,
    parts: UnboundedSender<Result<Part, Failure>>,
) {
    let claim = match claim::acquire(&ctx, &request, &key).await {
        Ok(ClaimOutcome::Won(claim)) => claim,
        Ok(ClaimOutcome::Stored(answer)) => {
            for part in replay(&answer) {
                forward(&parts, part);
            }
            return telemetry.replayed();
        }
        Err(failure) => {
            telemetry.failed(&failure);
            return forward(&parts, Err(failure));
        }
    };
    let mut chat = Chat::new(ctx, request.clone(), telemetry);
    let mut content = String::new();
    while let Some(part) = chat.next().await {
        match &part {
            Ok(Part::Token { text, .. }) => content.push_str(text),
            Ok(Part::End { reason, tokens }) => {
                let content = std::mem::take(&mut content);
                claim.settle(completion(&request, content, *tokens, reason));
                return forward(&parts, part);
            }
            Err(failure) => {
                claim.settle(Err(failure.clone()));
                return forward(&parts, part);
            }
        }
        forward(&parts, part);
    }
}

/// Claims and runs a call of a plain service.
pub(crate) async fn call(
    ctx: Arc<Context>,
    request: Request,
    mut telemetry: RequestTelemetry,
    key: String,
) -> Result<Bytes, Failure> {
    match claim::acquire(&ctx, &request, &key).await {
        Ok(ClaimOutcome::Won(claim)) => {
            let answer = plain::run(ctx, &request, telemetry).await;
            claim.settle(answer.clone());
            answer
        }
        Ok(ClaimOutcome::Stored(answer)) => {
            telemetry.replayed();
            Ok(answer)
        }
        Err(failure) => {
            telemetry.failed(&failure);
            Err(failure)
        }
    }
}

/// Sends a part to the caller, who may have disconnected.
fn forward(parts: &UnboundedSender<Result<Part, Failure>>, part: Result<Part, Failure>) {
    let _ = parts.send(part);
}

fn completion(
    request: &Request,
    content: String,
    tokens: u32,
    reason: &str,
) -> Result<Bytes, Failure> {
    let reason = reason.to_owned();
    let completion = Completion::new(request.id, &request.name, content, tokens, reason);
    let bytes = serde_json::to_vec(&completion)
        .map_err(|error| Failure::unknown(Code::Internal, error.to_string()))?;
    Ok(bytes.into())
}

/// Splits a stored answer into parts: all its text, then its end.
fn replay(answer: &Bytes) -> Vec<Result<Part, Failure>> {
    let stored = serde_json::from_slice::<Completion>(answer).ok();
    let Some((stored, choice)) = stored.and_then(|mut stored| {
        let choice = stored.choices.pop()?;
        Some((stored, choice))
    }) else {
        return vec![Err(Failure::unknown(
            Code::Internal,
            "the stored answer can't be read",
        ))];
    };
    vec![
        Ok(Part::Token {
            index: 0,
            text: choice.message.content,
        }),
        Ok(Part::End {
            reason: choice.finish_reason,
            tokens: stored.usage.completion_tokens,
        }),
    ]
}
