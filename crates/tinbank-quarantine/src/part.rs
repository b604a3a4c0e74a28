//! Evidence that a shared part of prompts crashes upstreams, whatever else the requests hold.
//!
//! The requests are no two alike, so none of them is suspected twice, but their part is. What tells it from the other parts that were
//! present is that crashes follow it into different continuations, and that no answer to it gets beyond its start. See
//! `docs/design/quarantine.md`, "A part of prompts".

use std::time::{Duration, Instant};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::Fingerprint;

/// Weight of the continuations after which upstreams have to crash before a part is quarantined.
pub(crate) const PROOF: u32 = 3;
/// Largest weight of one request that follows a part and crashed several upstreams. It may be the cause by itself.
const MAX_WEIGHT_OF_CONTENT: u32 = 2;
/// Crashes within this time count as one moment: it covers the time that all hosts take to learn of them, and upstreams to get beyond the
/// start of answers under way. Upstreams that crash at one moment, as with their failure domain, may have another cause.
pub(crate) const ONE_MOMENT: Duration = Duration::from_millis(200);
/// Number of upstreams and of continuations that are kept for each part. Proof needs fewer.
const MAX_KEPT: usize = 8;
/// What follows a part in a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Continuation {
    /// The next shared part.
    Part(Fingerprint),
    /// The rest of one request, known by the fingerprint of its whole content.
    Content(Fingerprint),
}

/// Crashes of upstreams that had just begun to answer requests with a part.
#[derive(Clone, Debug)]
pub(crate) struct Evidence {
    /// When the first of these crashes became known. Answers that began earlier prove nothing, since upstreams may crash on the part only
    /// since then.
    since: Instant,
    /// When the latest of them became known.
    last_at: Instant,
    /// Number of upstreams that crashed.
    pub crashes: u32,
    /// The latest of these upstreams.
    upstreams: SmallVec<[id::Instance; 4]>,
    /// What followed the part, and how many upstreams crashed then.
    continuations: SmallVec<[(Continuation, u32); 4]>,
}

impl Evidence {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            since: now,
            last_at: now,
            crashes: 0,
            upstreams: SmallVec::new(),
            continuations: SmallVec::new(),
        }
    }

    /// Adds the crash of an upstream. Returns false if it is known.
    pub(crate) fn add(
        &mut self,
        upstream: &id::Instance,
        continuation: Continuation,
        now: Instant,
    ) -> bool {
        if self.upstreams.contains(upstream) {
            return false;
        }
        self.last_at = now;
        if self.upstreams.len() == MAX_KEPT {
            self.upstreams.remove(0);
        }
        self.upstreams.push(upstream.clone());
        self.crashes += 1;
        let is_full = self.continuations.len() == MAX_KEPT;
        let mut known = self.continuations.iter_mut();
        match known.find(|(it, _)| *it == continuation) {
            Some((_, crashes)) => *crashes += 1,
            None if is_full => {}
            None => self.continuations.push((continuation, 1)),
        }
        true
    }

    /// Returns whether the part is the cause of the crashes, rather than a later part or a whole request that came with it each time, or
    /// something that ended several upstreams together. `recent_crashes` is the number of all upstreams that crashed at this moment.
    pub(crate) fn is_proof(&self, recent_crashes: usize) -> bool {
        let weights = self.continuations.iter().map(weight);
        if self.continuations.len() == 1 || weights.sum::<u32>() < PROOF {
            return false;
        }
        let is_one_moment = self.last_at < self.since + ONE_MOMENT;
        let explains_most = 4 * self.crashes as usize >= 3 * recent_crashes;
        !is_one_moment || explains_most
    }

    /// Returns whether an answer that began at a time shows that the part does not crash upstreams.
    pub(crate) fn is_refuted_by(&self, began_at: Instant) -> bool {
        began_at >= self.since
    }
}

fn weight((continuation, crashes): &(Continuation, u32)) -> u32 {
    match continuation {
        // A later part that crashed several upstreams explains them better than the parts before it.
        Continuation::Part(_) => 1,
        Continuation::Content(_) => (*crashes).min(MAX_WEIGHT_OF_CONTENT),
    }
}
