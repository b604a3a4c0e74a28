//! The wire forms of chat completions, as language-model clients know them.

use serde::{Deserialize, Serialize};
use tinbank_base::{id, outcome::Failure};

/// A chunk of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request id.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// The service.
    pub model: String,
    /// One choice.
    pub choices: Vec<ChunkChoice>,
    /// Place of the token in the answer, from 0; for the finish, how many tokens there are. An addition of ours, by
    /// which a client can check that nothing is missing or doubled.
    pub token_index: u32,
}

/// The choice of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// What is added.
    pub delta: Delta,
    /// Why the answer ended, in the last chunk.
    pub finish_reason: Option<String>,
}

/// What a chunk adds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// `assistant`, in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// An error in the midst of a stream. No end marker follows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorEvent {
    /// What happened.
    pub error: Failure,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The request id.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// The service.
    pub model: String,
    /// One choice.
    pub choices: Vec<Choice>,
    /// Counts.
    pub usage: Usage,
}

/// The choice of a whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The answer.
    pub message: Message,
    /// Why it ended.
    pub finish_reason: String,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// Counts of a whole answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the answer.
    pub completion_tokens: u32,
}

const ASSISTANT: &str = "assistant";

impl Chunk {
    /// The chunk of one token.
    pub fn token(request: id::Request, service: &str, index: u32, text: String) -> Self {
        let role = (index == 0).then(|| ASSISTANT.to_owned());
        let delta = Delta {
            role,
            content: Some(text),
        };
        Self::new(request, service, index, delta, None)
    }

    /// The last chunk, before the end marker.
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
    /// A whole answer.
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
