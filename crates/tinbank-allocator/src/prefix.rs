//! Which parts of prompts an upstream is likely to keep, estimated from the requests that were sent to it.
//!
//! Upstreams do not report what they keep. An estimate that is wrong costs a part that is read again, never an error. See
//! `docs/design/prompt-placement.md`.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    lease::Outcome,
    pace::Sample,
    size::{Part, Prefix, Size, Tokens},
};

/// Maximum number of parts per upstream. The memory of an upstream holds about 450 parts of 225 tokens, so this rarely binds.
/// A hash table that never holds more than 896 entries does not grow beyond 2,048 places of 33 bytes, so that the caches of 25
/// upstreams take less than 1.7 MB; the difference is for the parts of one prompt, which are added before others are evicted.
pub const MAX_PARTS: usize = 880;
/// Prompt tokens that the slowest upstreams read per millisecond.
const READ_PER_MS: Tokens = 55;
/// Time from the grant of a slot until the upstream begins to read: both ways of the network and the first step.
const START_TIME: Duration = Duration::from_millis(10);
/// Tokens from which the time to the first event tells whether they were kept: reading them takes 12 ms or more, which is above
/// what the network and other requests add.
const MIN_EVIDENCE: Tokens = 2_000;

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
    /// Upper bound of the tokens of all parts, if the upstream showed that it keeps less than its memory suggests.
    limit: Option<u64>,
    /// Prompt tokens that the upstream reads per millisecond, measured on long prompts.
    read_per_ms: Option<Tokens>,
}

/// What an upstream was expected to do with the prompt of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expectation {
    /// Tokens of the whole prompt; 0 if it has no parts.
    pub prompt_tokens: Tokens,
    /// Tokens of the parts that it was expected to keep.
    pub kept_tokens: Tokens,
    /// The first part that it was expected to read.
    pub first_read: Option<Prefix>,
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
        sum(&size.parts[..self.count_kept(size, now)])
    }

    /// Records that a request was sent to the upstream, which has `capacity` tokens for kept parts.
    pub fn record_sent(
        &mut self,
        size: &Size,
        capacity: Option<Tokens>,
        now: Instant,
    ) -> Expectation {
        if size.parts.is_empty() {
            self.record_unshared(size.prompt_tokens, capacity, now);
            return Expectation::default();
        }
        let (kept, read) = size.parts.split_at(self.count_kept(size, now));
        let expectation = Expectation {
            prompt_tokens: size.prompt_tokens.max(sum(&size.parts)),
            kept_tokens: sum(kept),
            first_read: read.first().map(|part| part.prefix),
        };
        let unread = expectation.prompt_tokens - expectation.kept_tokens;
        let read_time = Duration::from_millis((unread / READ_PER_MS).into());
        let ready_at = now + START_TIME + read_time;
        // The first part is used last, since no other part is of use without it.
        for part in size.parts.iter().rev() {
            self.record_use(*part, ready_at);
        }
        self.evict(capacity);
        expectation
    }

    /// Records a prompt that is not placed by its parts. Its upstream keeps it nevertheless, in place of older ones.
    fn record_unshared(&mut self, tokens: Tokens, capacity: Option<Tokens>, now: Instant) {
        if tokens == 0 {
            return;
        }
        // An odd multiplier spreads the numbers over all prefixes. Meeting that of a part costs one wrong estimate.
        let prefix = self.uses.wrapping_mul(0x9e37_79b9);
        self.record_use(Part { prefix, tokens }, now);
        self.evict(capacity);
    }

    fn record_use(&mut self, part: Part, ready_at: Instant) {
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

    /// Corrects the estimate by how a request ended and by how long its first event took.
    pub fn record_end(&mut self, expected: &Expectation, outcome: Outcome, pace: Option<Sample>) {
        if let (Outcome::Refused, Some(unread)) = (outcome, expected.first_read) {
            self.remove(unread);
        }
        let first_event_ms = pace.map_or(0, |sample| sample.first_event_ms);
        if first_event_ms == 0 {
            return;
        }
        let unread = expected.prompt_tokens - expected.kept_tokens;
        if expected.kept_tokens >= MIN_EVIDENCE {
            let read_per_ms = self.read_per_ms.unwrap_or(0);
            let was_kept = read_per_ms.saturating_mul(first_event_ms) < expected.prompt_tokens;
            self.record_evidence(was_kept);
        } else if unread >= MIN_EVIDENCE {
            let measured = unread / first_event_ms;
            let before = self.read_per_ms.unwrap_or(measured);
            self.read_per_ms = Some(before - before / 4 + measured / 4);
        }
    }

    /// Lowers the limit if parts turned out not to be kept, and raises it slowly while they are. The parts themselves are kept
    /// now, since the request has read them.
    fn record_evidence(&mut self, was_kept: bool) {
        self.limit = match (was_kept, self.limit) {
            (true, limit) => limit.map(|limit| limit + limit / 64),
            (false, limit) => {
                let lowered = limit.unwrap_or(u64::MAX).min(self.tokens) * 7 / 8;
                Some(lowered.max(MIN_EVIDENCE.into()))
            }
        };
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no part is likely to be kept.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns how many parts of a prompt are kept, up to the first one that is not.
    fn count_kept(&self, size: &Size, now: Instant) -> usize {
        let is_kept = |prefix| self.parts.get(prefix).is_some_and(|it| it.ready_at <= now);
        let kept = size.parts.iter().take_while(|part| is_kept(&part.prefix));
        kept.count()
    }

    fn remove(&mut self, prefix: Prefix) -> Option<Kept> {
        let kept = self.parts.remove(&prefix)?;
        self.tokens -= u64::from(kept.tokens);
        Some(kept)
    }

    /// Removes the least recently used parts until the others fit.
    fn evict(&mut self, capacity: Option<Tokens>) {
        let capacity = capacity.map_or(u64::MAX, u64::from);
        let capacity = capacity.min(self.limit.unwrap_or(u64::MAX));
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

fn sum(parts: &[Part]) -> Tokens {
    let tokens = parts.iter().map(|part| part.tokens);
    tokens.fold(0, Tokens::saturating_add)
}
