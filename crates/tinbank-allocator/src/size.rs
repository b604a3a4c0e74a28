//! Size of a request: the tokens that an upstream reads and produces for it.
//!
//! Requests of one service differ in size by two orders of magnitude, so a slot is a poor unit of work and of memory.
//! See `docs/hard-load.md`.

use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

/// Identifies a part of a prompt together with the model and all parts before it. An upstream can reuse a part only if it
/// keeps those as well, so equal values mean that the whole prefix can be reused.
pub type Prefix = u32;

/// Number of tokens.
pub type Tokens = u32;

/// Work of producing one output token, relative to reading one prompt token. Prompt tokens are read in parallel, and output
/// tokens one after the other.
const OUTPUT_WORK: u64 = 10;

/// A part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Identifies the prefix that ends with this part.
    pub prefix: Prefix,
    /// Tokens of this part alone.
    pub tokens: Tokens,
}

/// The parts of a prompt, in order. The last one belongs to the request itself or to its session.
pub type Parts = SmallVec<[Part; 4]>;

/// Size of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// The parts of the prompt; empty if the request has no affinity to upstreams that keep them.
    pub parts: Parts,
    /// Tokens of the whole prompt.
    pub prompt_tokens: Tokens,
    /// Output tokens to expect.
    pub expected_output: Tokens,
    /// Upper bound of the output tokens.
    pub max_output: Tokens,
}

impl Size {
    /// Returns the expected work, in prompt tokens. A request of unknown size counts as one token, so that requests are
    /// counted where sizes are not known.
    pub fn work(&self) -> u64 {
        let output = u64::from(self.expected_output) * OUTPUT_WORK;
        (u64::from(self.prompt_tokens) + output).max(1)
    }

    /// Returns an upper bound of the tokens of memory that the request takes at its upstream.
    pub fn memory(&self) -> Tokens {
        self.prompt_tokens.saturating_add(self.max_output)
    }
}

/// Computes the prefixes of a prompt's parts.
#[derive(Clone, Debug)]
pub struct PrefixHasher(SipHasher13);

impl PrefixHasher {
    /// Starts a prompt for a model. What one model has read is of no use to another.
    pub fn new(model: &str) -> Self {
        let mut hasher = SipHasher13::new();
        model.hash(&mut hasher);
        Self(hasher)
    }

    /// Adds the next part and returns the prefix that ends with it.
    pub fn add(&mut self, part: &str) -> Prefix {
        part.hash(&mut self.0);
        let hash = self.0.finish();
        (hash ^ (hash >> u32::BITS)) as Prefix
    }
}
