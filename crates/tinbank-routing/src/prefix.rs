//! Hash of a prompt's prefix, so that prompts which share it are sent to the engine that has it in its cache.
//!
//! The prefix is the first message: the system prompt, which many requests share, or else the first turn, which stays
//! the same over one chat. See `docs/design/routing.md`.

use std::hash::Hasher as _;

use serde::Deserialize;
use serde_json::value::RawValue;
use siphasher::sip::SipHasher13;

/// Number of bytes of the first message that are hashed.
pub const MAX_BYTES: usize = 1_024;

#[derive(Deserialize)]
struct Chat<'a> {
    #[serde(borrow)]
    messages: Vec<Message<'a>>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    content: &'a RawValue,
}

/// Returns the hash of a service and the prefix of a chat completion's JSON body. Other bodies are hashed by their
/// first bytes.
pub fn of_body(service: &str, body: &[u8]) -> u64 {
    let chat = serde_json::from_slice::<Chat<'_>>(body).ok();
    let first = chat.as_ref().and_then(|chat| chat.messages.first());
    match first {
        Some(message) => of(service, message.content.get().as_bytes()),
        None => of(service, body),
    }
}

/// Returns the hash of a service and the first [`MAX_BYTES`] of a text.
pub fn of(service: &str, text: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(service.as_bytes());
    hasher.write_u8(0xff);
    hasher.write(&text[..text.len().min(MAX_BYTES)]);
    hasher.finish()
}
