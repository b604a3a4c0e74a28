//! The choice of the upstream at which a request starts.

mod first_event;

use std::{fmt, time::Instant};

pub use self::first_event::FirstEvent;

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
    /// Upper bound of the memory that the requests it processes take, in tokens.
    pub memory_in_use: Tokens,
    /// Memory for requests and kept prompts, in tokens; `None` if the configuration does not say.
    pub memory_tokens: Option<Tokens>,
}

/// Decides at which upstream a request starts.
pub trait Placement: fmt::Debug {
    /// Returns the cost of sending a request to an upstream, or `None` if it can't process the request beside what it
    /// processes now.
    fn cost(&self, request: &SlotRequest, candidate: &Candidate<'_>, now: Instant) -> Option<Cost>;

    /// Returns how many requests an upstream is given at once, at most its slots.
    fn concurrency(&self, candidate: &Candidate<'_>, now: Instant) -> usize;

    /// Takes the paces of all upstreams into account, which tells a slow upstream from a slow service. Called before the
    /// costs of a request are compared.
    fn refresh(&mut self, _paces: &mut dyn Iterator<Item = &Pace>, _now: Instant) {}
}

/// Sends a request to the upstream that processes the fewest.
#[derive(Debug, Default)]
pub struct LeastLoaded;

impl Placement for LeastLoaded {
    fn cost(&self, _: &SlotRequest, candidate: &Candidate<'_>, _: Instant) -> Option<Cost> {
        Some(candidate.load as Cost)
    }

    fn concurrency(&self, candidate: &Candidate<'_>, _: Instant) -> usize {
        candidate.slots
    }
}
