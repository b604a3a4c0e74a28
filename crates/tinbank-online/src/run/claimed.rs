//! Runs requests that are claimed first.
//!
//! They run in tasks of their own: when the caller goes away the work still goes on, so that a resend finds its answer.

use std::sync::Arc;

use bytes::Bytes;
use tinbank_base::{
    outcome::{Code, Failure},
    platform::upstream::Part,
};
use tokio::sync::mpsc::UnboundedSender;

use super::{
    Journal,
    chat::Chat,
    claim::{self, Start},
    plain,
};
use crate::{context::Context, openai::Completion, request::Request};

/// Claims and runs a chat completion, and passes its parts on. What is sent is bounded by the service's longest answer.
pub(crate) async fn chat(
    ctx: Arc<Context>,
    request: Arc<Request>,
    mut journal: Journal,
    key: String,
    parts: UnboundedSender<Result<Part, Failure>>,
) {
    let claim = match claim::begin(&ctx, &request, &key).await {
        Ok(Start::Run(claim)) => claim,
        Ok(Start::Stored(answer)) => {
            for part in replay(&answer) {
                pass(&parts, part);
            }
            return journal.replayed();
        }
        Err(failure) => {
            journal.failed(&failure);
            return pass(&parts, Err(failure));
        }
    };
    let mut chat = Chat::new(ctx, request.clone(), journal);
    let mut content = String::new();
    while let Some(part) = chat.next().await {
        match &part {
            Ok(Part::Token { text, .. }) => content.push_str(text),
            Ok(Part::End { reason, tokens }) => {
                let content = std::mem::take(&mut content);
                claim.settle(completion(&request, content, *tokens, reason));
                return pass(&parts, part);
            }
            Err(failure) => {
                claim.settle(Err(failure.clone()));
                return pass(&parts, part);
            }
        }
        pass(&parts, part);
    }
}

/// Claims and runs a call of a plain service.
pub(crate) async fn call(
    ctx: Arc<Context>,
    request: Request,
    mut journal: Journal,
    key: String,
) -> Result<Bytes, Failure> {
    match claim::begin(&ctx, &request, &key).await {
        Ok(Start::Run(claim)) => {
            let answer = plain::run(ctx, &request, journal).await;
            claim.settle(answer.clone());
            answer
        }
        Ok(Start::Stored(answer)) => {
            journal.replayed();
            Ok(answer)
        }
        Err(failure) => {
            journal.failed(&failure);
            Err(failure)
        }
    }
}

/// The caller may be gone; the work goes on all the same.
fn pass(parts: &UnboundedSender<Result<Part, Failure>>, part: Result<Part, Failure>) {
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

/// A stored answer as parts: its whole text, then its end.
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
