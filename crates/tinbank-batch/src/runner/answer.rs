//! Assembles the parts of an engine's stream into an OpenAI-style chat completion.

use bytes::Bytes;
use serde::Serialize;
use tinbank_base::{
    id,
    platform::upstream::{Kind, Part},
};

use super::task::PartialAnswer;

/// A chat completion.
#[derive(Debug, Serialize)]
struct Completion<'a> {
    id: String,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'a str,
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}

/// Adds one part, and returns the completion when the part is the end marker.
///
/// # Errors
/// Returns an error for a token out of order, or an end marker whose token count differs from the tokens received.
pub fn push_part(
    partial_answer: &mut PartialAnswer,
    part: Part,
    request: id::Request,
    service: &str,
) -> Result<Option<Bytes>, Kind> {
    match part {
        Part::Token { index, text } => {
            if index != partial_answer.tokens {
                let expected = partial_answer.tokens;
                let message = format!("token {index} came, token {expected} was expected");
                return Err(Kind::Crossed(message));
            }
            partial_answer.tokens += 1;
            partial_answer.text.push_str(&text);
            Ok(None)
        }
        Part::End { reason, tokens } => {
            if tokens != partial_answer.tokens {
                let got = partial_answer.tokens;
                return Err(Kind::Cut(format!("{got} of {tokens} tokens came")));
            }
            Ok(Some(build_completion(
                partial_answer,
                &reason,
                request,
                service,
            )))
        }
    }
}

fn build_completion(
    partial_answer: &PartialAnswer,
    reason: &str,
    request: id::Request,
    service: &str,
) -> Bytes {
    let message = Message {
        role: "assistant",
        content: &partial_answer.text,
    };
    let choice = Choice {
        index: 0,
        message,
        finish_reason: reason,
    };
    let completion = Completion {
        id: format!("chatcmpl-{}", id::format_wide(request)),
        object: "chat.completion",
        model: service,
        choices: [choice],
        usage: Usage {
            completion_tokens: partial_answer.tokens,
        },
    };
    serde_json::to_vec(&completion)
        .expect("texts and numbers can be written as JSON")
        .into()
}
