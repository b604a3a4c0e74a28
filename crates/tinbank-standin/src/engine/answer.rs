//! Answers that follow from the prompt alone, so that whole answers can be checked and resumed at
//! any engine.

use serde::Deserialize;
use serde_json::Value;
use tinbank_base::digest;

/// Words that answers are made of.
const WORDS: [&str; 32] = [
    "pressure", "holds", "at", "the", "valve", "and", "anchor", "shows", "wear", "near", "main",
    "net", "drops", "after", "noon", "check", "by", "hand", "no", "leak", "seen", "crew", "needs",
    "two", "ropes", "report", "again", "steady", "trace", "on", "slope", "soon",
];

/// What the engine reads of a chat completion's body.
#[derive(Clone, Debug, Deserialize)]
pub struct Prompt {
    /// The messages; they decide the answer.
    pub messages: Vec<Message>,
    /// Longest answer.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Go on after so many tokens.
    #[serde(default)]
    pub resume_from: u32,
    /// The caller's name for the request, for the account.
    #[serde(default)]
    pub reference: Option<String>,
    /// For tests: what goes wrong with this request, at any engine.
    #[serde(default)]
    pub standin: Option<Marker>,
}

/// One message of the prompt.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said: text, or parts.
    pub content: Value,
}

/// A body with a marker can't be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Marker {
    /// It is refused with status 400.
    Reject,
    /// It fails with status 500 after it began.
    Fail,
    /// It kills the engine when its first token is made.
    Kill,
}

/// The whole answer to a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Text {
    /// Digest of the prompt.
    pub prompt: u64,
    /// Number of tokens.
    pub tokens: u32,
    /// Whether the answer is cut at the longest length.
    pub cut: bool,
}

impl Prompt {
    /// Reads a body.
    ///
    /// # Errors
    /// Tells what is wrong with it, for a 400.
    pub fn read(body: &[u8]) -> Result<Self, String> {
        let prompt: Self = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        match prompt.messages.is_empty() {
            true => Err("`messages` is empty".to_owned()),
            false => Ok(prompt),
        }
    }

    /// The words of the prompt, which stand for its tokens.
    pub fn words(&self) -> Vec<String> {
        let mut words = Vec::new();
        for message in &self.messages {
            words.push(format!("<{}>", message.role));
            match &message.content {
                Value::String(text) => words.extend(text.split_whitespace().map(str::to_owned)),
                other => words.push(other.to_string()),
            }
        }
        words
    }

    /// The answer, if at most `longest` tokens are wanted where the body names no number.
    pub fn answer(&self, longest: u32) -> Text {
        let words = self.words();
        let fields: Vec<_> = words.iter().map(|word| word.as_bytes()).collect();
        let prompt = digest::prefix(&digest::of_fields(&fields)) as u64;
        let limit = self.max_tokens.unwrap_or(longest);
        let length = length(prompt);
        Text {
            prompt,
            tokens: length.min(limit),
            cut: length > limit,
        }
    }
}

impl Text {
    /// The token at a place.
    pub fn token(&self, index: u32) -> String {
        let word = WORDS[(mix(self.prompt ^ u64::from(index)) % WORDS.len() as u64) as usize];
        match index {
            0 => word.to_owned(),
            _ => format!(" {word}"),
        }
    }

    /// All tokens in one.
    pub fn whole(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }

    /// Why the engine stops at the end.
    pub fn finish_reason(&self) -> &'static str {
        if self.cut { "length" } else { "stop" }
    }
}

/// Number of tokens that the answer would have without a limit.
fn length(prompt: u64) -> u32 {
    const SHORTEST: u64 = 24;
    const SPREAD: u64 = 120;
    (SHORTEST + mix(prompt) % SPREAD) as u32
}

/// Finalizer of SplitMix64: spreads neighbouring numbers.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
