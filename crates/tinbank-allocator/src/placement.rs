//! The choice of the upstream at which a request starts.

mod affinity;
mod first_event;

use std::{fmt, time::Instant};

use tinbank_base::id;

pub use self::{affinity::Affinity, first_event::FirstEvent};
use crate::{frame::SlotRequest, pace::Pace, size::Tokens};

/// Cost of sending a request to an upstream; the lowest wins.
pub type Cost = u64;

/// Cost from which a request is expected to be late at an upstream. [`LeastLoaded`] knows of no such upstream.
pub const LATE: Cost = 10_000_000;

/// An upstream that accepts a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Requests that it is known to process.
    pub load: usize,
    /// How many requests it processes concurrently.
    pub slots: usize,
    /// How fast it processes requests.
    pub pace: &'a Pace,
    /// Tokens of the request's prompt that it is likely to keep from earlier requests.
    pub kept_tokens: Tokens,
    /// Memory that is reserved for the requests it processes, in tokens, see [`memory::reservation`].
    ///
    /// [`memory::reservation`]: crate::memory::reservation
    pub memory_in_use: Tokens,
    /// Memory for requests and kept prompts, in tokens; `None` if the configuration does not say.
    pub memory_tokens: Option<Tokens>,
}

/// A candidate and the upstream that it describes.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// Name of the upstream.
    pub instance: &'a id::Instance,
    /// What the choice depends on.
    pub candidate: Candidate<'a>,
}

/// What placements came to over some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Prompt tokens of granted requests that their upstreams were expected to keep.
    pub kept_tokens: u64,
    /// Prompt tokens of granted requests that their upstreams were expected to read.
    pub read_tokens: u64,
    /// Slot requests that were denied because no upstream has enough memory.
    pub oversized: u64,
}

/// Decides at which upstream a request starts.
pub trait Placement: fmt::Debug {
    /// Returns the cost of sending a request to an upstream, or `None` if it can't process the request beside what it
    /// processes now.
    fn cost(&self, request: &SlotRequest, candidate: &Candidate<'_>, now: Instant) -> Option<Cost>;

    /// Returns how many requests an upstream is given at once, at most its slots, if no pause between their events may be longer
    /// than `max_gap_ms`.
    fn concurrency(
        &self,
        max_gap_ms: Option<u32>,
        candidate: &Candidate<'_>,
        now: Instant,
    ) -> usize;

    /// Returns the position of the upstream at which a request starts, or `None` if no upstream can process it beside what it
    /// processes now. Among equals the first one is chosen.
    fn choose(&self, request: &SlotRequest, offers: &[Offer<'_>], now: Instant) -> Option<usize> {
        cheapest(self, request, offers, now)
    }

    /// Takes the paces of all upstreams into account, which tells a slow upstream from a slow service. Called before the
    /// costs of a request are compared.
    fn refresh(&mut self, _paces: &mut dyn Iterator<Item = &Pace>, _now: Instant) {}
}

/// Returns the position of the upstream with the lowest cost; one that processes as many requests as it is given at once
/// comes behind all others.
fn cheapest(
    placement: &(impl Placement + ?Sized),
    request: &SlotRequest,
    offers: &[Offer<'_>],
    now: Instant,
) -> Option<usize> {
    let costs = offers.iter().enumerate().filter_map(|(index, offer)| {
        let candidate = &offer.candidate;
        let is_full = placement.concurrency(request.max_gap_ms, candidate, now) <= candidate.load;
        let cost = placement.cost(request, candidate, now)?;
        Some((index, (is_full, cost)))
    });
    let cheapest = costs.min_by_key(|(_, cost)| *cost);
    cheapest.map(|(index, _)| index)
}

/// Sends a request to the upstream that processes the fewest.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl Placement for LeastLoaded {
    fn cost(&self, _: &SlotRequest, candidate: &Candidate<'_>, _: Instant) -> Option<Cost> {
        Some(candidate.load as Cost)
    }

    fn concurrency(&self, _: Option<u32>, candidate: &Candidate<'_>, _: Instant) -> usize {
        candidate.slots
    }
}
