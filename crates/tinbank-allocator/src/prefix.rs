//! Which parts of prompts an upstream is likely to keep, estimated from the requests that were sent to it.
//!
//! Upstreams do not report what they keep. An estimate that is wrong costs a part that is read again, never an error. See
//! `docs/design/prompt-placement.md`.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::size::{Prefix, Size, Tokens};

/// Maximum number of parts per upstream. The memory of an upstream holds about 450 parts of 225 tokens, so this rarely binds.
/// A hash table that never holds more than 896 entries does not grow beyond 2,048 places of 33 bytes, so that the caches of 25
/// upstreams take less than 1.7 MB; the difference is for the parts of one prompt, which are added before others are evicted.
pub const MAX_PARTS: usize = 880;
/// Prompt tokens that the slowest upstreams read per millisecond.
const READ_PER_MS: Tokens = 55;
/// Time from the grant of a slot until the upstream begins to read: both ways of the network and the first step.
const START_TIME: Duration = Duration::from_millis(10);

/// The parts that one upstream is likely to keep. A new instance of an upstream starts with none.
///
/// The parts that belong to one request only are included: they take memory of the upstream until they are the least recently
/// used, and a session may come back to its own.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: HashMap<Prefix, Kept>,
    /// Tokens of all parts.
    tokens: u64,
    /// Number of uses recorded so far, which orders the parts by their last use.
    uses: u32,
}

/// A part that is kept, or about to be.
#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: Tokens,
    last_use: u32,
    /// When the first request with this part has read it. Requests that begin before read it themselves.
    ready_at: Instant,
}

impl Cache {
    /// Returns how many tokens of a request's prompt the upstream is likely to keep.
    pub fn kept_tokens(&self, size: &Size, now: Instant) -> Tokens {
        let kept = size.parts.iter().map_while(|part| {
            let kept = self.parts.get(&part.prefix)?;
            (kept.ready_at <= now).then_some(part.tokens)
        });
        kept.fold(0, Tokens::saturating_add)
    }

    /// Records that a request was sent to the upstream, which has `capacity` tokens for kept parts.
    pub fn record_sent(&mut self, size: &Size, capacity: Option<Tokens>, now: Instant) {
        if size.parts.is_empty() {
            return;
        }
        let unread = size
            .prompt_tokens
            .max(part_tokens(size))
            .saturating_sub(self.kept_tokens(size, now));
        let read_time = Duration::from_millis((unread / READ_PER_MS).into());
        let ready_at = now + START_TIME + read_time;
        // The first part is used last, since no other part is of use without it.
        for part in size.parts.iter().rev() {
            self.uses = self.uses.wrapping_add(1);
            let before = self.remove(part.prefix);
            let kept = Kept {
                tokens: part.tokens,
                last_use: self.uses,
                ready_at: before.map_or(ready_at, |it| it.ready_at.min(ready_at)),
            };
            self.parts.insert(part.prefix, kept);
            self.tokens += u64::from(part.tokens);
        }
        self.evict(capacity);
    }

    /// Removes a part that the upstream turned out not to keep.
    pub fn forget(&mut self, prefix: Prefix) {
        self.remove(prefix);
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is likely to be kept.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    fn remove(&mut self, prefix: Prefix) -> Option<Kept> {
        let kept = self.parts.remove(&prefix)?;
        self.tokens -= u64::from(kept.tokens);
        Some(kept)
    }

    /// Removes the least recently used parts until the others fit.
    fn evict(&mut self, capacity: Option<Tokens>) {
        let capacity = capacity.map_or(u64::MAX, u64::from);
        while self.tokens > capacity || self.parts.len() > MAX_PARTS {
            // Ages stay in order when the counter of uses overflows.
            let age = |kept: &Kept| self.uses.wrapping_sub(kept.last_use);
            let oldest = self.parts.iter().max_by_key(|(_, kept)| age(kept));
            let Some((oldest, _)) = oldest else {
                return;
            };
            let oldest = *oldest;
            self.remove(oldest);
        }
    }
}

fn part_tokens(size: &Size) -> Tokens {
    let tokens = size.parts.iter().map(|part| part.tokens);
    tokens.fold(0, Tokens::saturating_add)
}
