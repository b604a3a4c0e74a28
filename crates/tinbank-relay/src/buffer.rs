//! Bounds what a host keeps for callers that read slowly.
//!
//! An upstream whose response is not read keeps it in its own memory and crashes when that is exhausted, so responses are read
//! from upstreams at their own speed and kept here. See `docs/design/slow-readers.md`.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use smallvec::SmallVec;

/// Identifies a response within the process.
pub type ResponseId = u64;

/// One response may take one part in this many of the bound, so that a few long responses don't take all of it.
const RESPONSE_PART: usize = 64;
/// How long a response may stay at its own bound before it is cut: until then its upstream is made to wait, and upstreams
/// abort responses that are not read for some seconds.
const FULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a response is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It has been at its own bound for too long, and its upstream would have to keep the rest.
    ResponseFull,
    /// The host keeps too much for all callers together, and this one has not read for the longest time.
    HostFull,
}

impl Reason {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ResponseFull => "response_full",
            Self::HostFull => "host_full",
        }
    }
}

/// A response to cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    pub response: ResponseId,
    pub reason: Reason,
    /// Bytes that were kept for it.
    pub bytes: usize,
}

/// What is kept for one response.
#[derive(Clone, Copy, Debug)]
struct Kept {
    bytes: usize,
    /// When its caller last took a part of it.
    taken_at: Instant,
    /// Since when it has been at its bound.
    full_since: Option<Instant>,
    /// Whether its upstream has sent all of it.
    has_ended: bool,
}

/// The bytes that are kept for callers.
#[derive(Debug)]
pub struct Budget {
    max_bytes: usize,
    total: usize,
    responses: HashMap<ResponseId, Kept>,
}

impl Budget {
    /// Creates a budget of `max_bytes` for all responses together.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            total: 0,
            responses: HashMap::new(),
        }
    }

    /// Returns the bytes kept for all responses.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns whether more is kept than the host may keep.
    pub fn is_exceeded(&self) -> bool {
        self.total > self.max_bytes
    }

    /// Returns whether more of a response may be read from its upstream.
    pub fn may_read(&self, response: ResponseId) -> bool {
        let kept = self.responses.get(&response);
        kept.is_none_or(|kept| kept.bytes < self.max_response_bytes())
    }

    /// Records how many bytes are kept for a response that its caller does not read.
    pub fn record_kept(&mut self, response: ResponseId, bytes: usize, now: Instant) {
        let max_bytes = self.max_response_bytes();
        let kept = self.responses.entry(response).or_insert(Kept {
            bytes: 0,
            taken_at: now,
            full_since: None,
            has_ended: false,
        });
        self.total = self.total - kept.bytes + bytes;
        kept.bytes = bytes;
        kept.full_since = match bytes >= max_bytes && !kept.has_ended {
            true => kept.full_since.or(Some(now)),
            false => None,
        };
    }

    /// Records that the upstream has sent all of a response, so that no upstream waits for its caller.
    pub fn record_ended(&mut self, response: ResponseId) {
        if let Some(kept) = self.responses.get_mut(&response) {
            kept.has_ended = true;
            kept.full_since = None;
        }
    }

    /// Records that the caller took a part of a response, of which `bytes` are still kept.
    pub fn record_taken(&mut self, response: ResponseId, bytes: usize, now: Instant) {
        if bytes == 0 {
            return self.remove(response);
        }
        self.record_kept(response, bytes, now);
        if let Some(kept) = self.responses.get_mut(&response) {
            kept.taken_at = now;
        }
    }

    /// Removes a response that has ended.
    pub fn remove(&mut self, response: ResponseId) {
        let kept = self.responses.remove(&response);
        self.total -= kept.map_or(0, |kept| kept.bytes);
    }

    /// Removes and returns the responses to cut: first those that make an upstream wait for too long, then, while too much is
    /// kept, those whose callers have not read for the longest time. These are the least likely to read again.
    pub fn take_cuts(&mut self, now: Instant) -> SmallVec<[Cut; 4]> {
        let mut cuts = SmallVec::new();
        let is_stuck = |kept: &Kept| kept.full_since.is_some_and(|at| now >= at + FULL_TIMEOUT);
        let stuck = self.responses.iter().filter(|(_, kept)| is_stuck(kept));
        let stuck: SmallVec<[ResponseId; 4]> = stuck.map(|(response, _)| *response).collect();
        for response in stuck {
            cuts.extend(self.cut(response, Reason::ResponseFull));
        }
        while self.is_exceeded() {
            let oldest = self.responses.iter().min_by_key(|(_, kept)| kept.taken_at);
            let Some(response) = oldest.map(|(response, _)| *response) else {
                break;
            };
            cuts.extend(self.cut(response, Reason::HostFull));
        }
        cuts
    }

    fn cut(&mut self, response: ResponseId, reason: Reason) -> Option<Cut> {
        let bytes = self.responses.get(&response)?.bytes;
        self.remove(response);
        Some(Cut {
            response,
            reason,
            bytes,
        })
    }

    fn max_response_bytes(&self) -> usize {
        (self.max_bytes / RESPONSE_PART).max(1)
    }
}
