//! Chat completions in the OpenAI wire format.

use serde::{Deserialize, Serialize};
use tinbank_base::{id, outcome::Failure};

/// A chunk of a streamed completion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the request.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Name of the service.
    pub model: String,
    /// Always exactly one choice.
    pub choices: Vec<ChunkChoice>,
    /// Index of the token in the completion, from 0; in the last chunk, the number of tokens. An extension of the
    /// OpenAI format, by which a client detects missing and duplicate tokens.
    pub token_index: u32,
}

/// The choice of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// The text that this chunk adds.
    pub delta: Delta,
    /// Why generation ended, in the last chunk.
    pub finish_reason: Option<String>,
}

/// The increment of a chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// `assistant`, in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text of the token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// An error in the middle of a stream. No end marker follows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorEvent {
    /// The failure, as in a response that is not streamed.
    pub error: Failure,
}

/// A completion that is not streamed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Id of the request.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Name of the service.
    pub model: String,
    /// Always exactly one choice.
    pub choices: Vec<Choice>,
    /// Token counts.
    pub usage: Usage,
}

/// The choice of a [`Completion`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The generated message.
    pub message: Message,
    /// Why generation ended.
    pub finish_reason: String,
}

/// A generated message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Always `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Token counts of a [`Completion`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of generated tokens.
    pub completion_tokens: u32,
}

const ASSISTANT: &str = "assistant";

impl Chunk {
    /// Returns the chunk of one token.
    pub fn token(request: id::Request, service: &str, index: u32, text: String) -> Self {
        let role = (index == 0).then(|| ASSISTANT.to_owned());
        let delta = Delta {
            role,
            content: Some(text),
        };
        Self::new(request, service, index, delta, None)
    }

    /// Returns the last chunk, which precedes the end marker.
    pub fn finish(request: id::Request, service: &str, tokens: u32, reason: String) -> Self {
        Self::new(request, service, tokens, Delta::default(), Some(reason))
    }

    fn new(
        request: id::Request,
        service: &str,
        token_index: u32,
        delta: Delta,
        finish_reason: Option<String>,
    ) -> Self {
        Self {
            id: id::format_wide(request),
            object: "chat.completion.chunk".to_owned(),
            model: service.to_owned(),
            choices: vec![ChunkChoice {
                index: 0,
                delta,
                finish_reason,
            }],
            token_index,
        }
    }
}

impl Completion {
    /// Returns the completion of a request.
    pub fn new(
        request: id::Request,
        service: &str,
        content: String,
        tokens: u32,
        reason: String,
    ) -> Self {
        Self {
            id: id::format_wide(request),
            object: "chat.completion".to_owned(),
            model: service.to_owned(),
            choices: vec![Choice {
                index: 0,
                message: Message {
                    role: ASSISTANT.to_owned(),
                    content,
                },
                finish_reason: reason,
            }],
            usage: Usage {
                completion_tokens: tokens,
            },
        }
    }
}
