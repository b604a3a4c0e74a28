//! Collects the parts of an engine's stream into one whole answer, in the form that LLM clients know.

use bytes::Bytes;
use serde::Serialize;
use tinbank_base::{
    id,
    platform::upstream::{Kind, Part},
};

use super::task::Kept;

/// A whole chat completion.
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

/// Takes in one part; gives the whole answer with its end marker.
///
/// # Errors
/// A token out of order, or an end marker that counts other tokens than were received: the answer is not whole.
pub fn take(
    kept: &mut Kept,
    part: Part,
    request: id::Request,
    service: &str,
) -> Result<Option<Bytes>, Kind> {
    match part {
        Part::Token { index, text } => {
            if index != kept.tokens {
                let expected = kept.tokens;
                let message = format!("token {index} came, token {expected} was expected");
                return Err(Kind::Crossed(message));
            }
            kept.tokens += 1;
            kept.text.push_str(&text);
            Ok(None)
        }
        Part::End { reason, tokens } => {
            if tokens != kept.tokens {
                let got = kept.tokens;
                return Err(Kind::Cut(format!("{got} of {tokens} tokens came")));
            }
            Ok(Some(whole(kept, &reason, request, service)))
        }
    }
}

fn whole(kept: &Kept, reason: &str, request: id::Request, service: &str) -> Bytes {
    let message = Message {
        role: "assistant",
        content: &kept.text,
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
            completion_tokens: kept.tokens,
        },
    };
    serde_json::to_vec(&completion)
        .expect("texts and numbers can be written as JSON")
        .into()
}
