//! Sends a request where parts of its prompt are kept.
//!
//! Reading a shared part again delays its request and all others of the upstream. An upstream that keeps a part that many
//! requests share would get all of them, so affinity ends at a bound of the load. See `docs/design/prompt-placement.md`.

use std::{
    cmp::Reverse,
    hash::{Hash, Hasher},
    time::Instant,
};

use siphasher::sip::SipHasher13;

use super::{Candidate, Cost, Offer, Placement};
use crate::{
    frame::SlotRequest,
    memory,
    pace::Pace,
    size::{Prefix, Size},
};

/// Load up to which an upstream is preferred, in percent of the mean load of the service's upstreams in the failure domain.
/// At 125 a tenth more of the shared tokens is read again; from 200 on the slowest first events are later.
const LOAD_BOUND_PERCENT: usize = 150;

/// Prefers upstreams that keep more of a prompt, and leaves the rest to another placement. Requests that do not fit into the
/// memory of an upstream are not sent to it.
#[derive(Debug)]
pub struct Affinity {
    inner: Box<dyn Placement>,
    /// How far the cost of a preferred upstream may be above that of the cheapest one.
    max_excess: Option<Cost>,
}

impl Affinity {
    /// Wraps a placement. Where its cost is a time, `max_excess` bounds by how much affinity may delay a request.
    pub fn new(inner: Box<dyn Placement>, max_excess: Option<Cost>) -> Self {
        Self { inner, max_excess }
    }
}

impl Placement for Affinity {
    fn cost(&self, request: &SlotRequest, candidate: &Candidate<'_>, now: Instant) -> Option<Cost> {
        let in_use = candidate.memory_in_use;
        if !memory::fits(&request.size, in_use, candidate.memory_tokens) {
            return None;
        }
        self.inner.cost(request, candidate, now)
    }

    fn concurrency(
        &self,
        max_gap_ms: Option<u32>,
        candidate: &Candidate<'_>,
        now: Instant,
    ) -> usize {
        self.inner.concurrency(max_gap_ms, candidate, now)
    }

    fn refresh(&mut self, paces: &mut dyn Iterator<Item = &Pace>, now: Instant) {
        self.inner.refresh(paces, now);
    }

    fn choose(&self, request: &SlotRequest, offers: &[Offer<'_>], now: Instant) -> Option<usize> {
        let cheapest = super::cheapest(self, request, offers, now)?;
        let Some(first) = first_shared_part(&request.size) else {
            return Some(cheapest);
        };
        let cost = |offer: &Offer<'_>| self.cost(request, &offer.candidate, now);
        let cheapest_cost = cost(&offers[cheapest])?;
        let max_cost = self
            .max_excess
            .map_or(Cost::MAX, |excess| cheapest_cost.saturating_add(excess));
        let bound = LoadBound::new(offers);
        let eligible = offers.iter().enumerate().filter_map(|(index, offer)| {
            let candidate = &offer.candidate;
            let is_free = candidate.load < self.concurrency(request.max_gap_ms, candidate, now);
            let cost = cost(offer).filter(|cost| *cost <= max_cost)?;
            (is_free && bound.allows(candidate)).then_some((index, offer, cost))
        });
        let preferred = eligible.min_by_key(|(_, offer, cost)| {
            let kept = offer.candidate.kept_tokens;
            // The first upstreams to read a part are the same few, so that it is not read at all of them.
            let rank = if kept == 0 { rank(first, offer) } else { 0 };
            (Reverse(kept), rank, *cost)
        });
        Some(preferred.map_or(cheapest, |(index, _, _)| index))
    }
}

/// Returns the first part of a prompt that other requests may share. The last part belongs to the request or its session.
fn first_shared_part(size: &Size) -> Option<Prefix> {
    match size.parts.as_slice() {
        [first, _, ..] => Some(first.prefix),
        _ => None,
    }
}

/// Returns the position of an upstream among those that read a part first, by rendezvous hashing.
fn rank(part: Prefix, offer: &Offer<'_>) -> u64 {
    let mut hasher = SipHasher13::new();
    (part, offer.instance).hash(&mut hasher);
    hasher.finish()
}

/// Load up to which upstreams are preferred. Bounding it by the mean keeps one popular part from making its requests late
/// while other upstreams have free slots.
struct LoadBound {
    load: usize,
    slots: usize,
}

impl LoadBound {
    /// Returns the bound for one more request.
    fn new(offers: &[Offer<'_>]) -> Self {
        Self {
            load: 1 + offers.iter().map(|it| it.candidate.load).sum::<usize>(),
            slots: offers.iter().map(|it| it.candidate.slots).sum(),
        }
    }

    fn allows(&self, candidate: &Candidate<'_>) -> bool {
        let share = self.load * candidate.slots * LOAD_BOUND_PERCENT;
        let max_load = share.div_ceil(self.slots.max(1) * 100);
        candidate.load < max_load
    }
}
