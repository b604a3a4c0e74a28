//! Which parts of prompts an upstream is likely to keep, estimated from the requests that were sent to it.

use std::time::Instant;

use crate::size::{Size, Tokens};

/// The parts that one upstream is likely to keep. A new instance of an upstream starts with none.
#[derive(Clone, Debug, Default)]
pub struct Cache {}

impl Cache {
    /// Returns how many tokens of a request's prompt the upstream is likely to keep.
    pub fn kept_tokens(&self, _size: &Size, _now: Instant) -> Tokens {
        0
    }

    /// Records that a request was sent to the upstream, which has `capacity` tokens for kept parts.
    pub fn record_sent(&mut self, _size: &Size, _capacity: Option<Tokens>, _now: Instant) {}
}
