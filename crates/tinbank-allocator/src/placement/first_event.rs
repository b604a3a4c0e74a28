//! Sends a request where its first event is expected soonest, see `docs/design/pace.md`.

use std::time::Instant;

use super::{Candidate, Cost, LATE, Placement};
use crate::frame::SlotRequest;

/// Cost of each request that an upstream processes, in times between two events. The expected first event alone rises so little
/// with the load that the fastest upstreams would get all requests until their slots are in use.
const LOAD_COST: f64 = 1.0;
/// Ratio of the longest pause between two events to the mean time between them. Prompts that are read between two events lengthen
/// a pause by a tenth to a third.
const LONGEST_PAUSE: f64 = 1.3;
/// Cost of a pause beyond the route's limit: above any expected first event, so that such an upstream is chosen only if there is
/// no other.
const PAUSE_PENALTY: f64 = LATE as f64;
/// Cost of a slow upstream for a batch item. Slow upstreams get what can wait, but only if no other upstream has a free slot.
const BATCH_PENALTY: f64 = 2.0 * LATE as f64;

/// Sends a request to the upstream where its first event is expected soonest, at a pace within the route's longest pause.
#[derive(Debug, Default)]
pub struct FirstEvent;

impl Placement for FirstEvent {
    fn cost(&self, request: &SlotRequest, candidate: &Candidate<'_>, now: Instant) -> Option<Cost> {
        let load = candidate.load + 1;
        let unread = request.size.prompt_tokens;
        let unread = unread.saturating_sub(candidate.kept_tokens);
        let pace = candidate.pace;
        let mut cost = pace.first_event_us(load, unread, now);
        cost += LOAD_COST * pace.interval_us(1, now) * candidate.load as f64;
        let pause_us = pace.interval_us(load, now) * LONGEST_PAUSE;
        let max_gap_us = request.max_gap_ms.map(|ms| f64::from(ms) * 1_000.0);
        if max_gap_us.is_some_and(|max| pause_us > max) {
            cost += PAUSE_PENALTY;
        }
        if request.class.is_batch() && pace.is_slow(now) {
            cost += BATCH_PENALTY;
        }
        Some(cost as Cost)
    }

    /// Returns the largest number of requests at which the pauses are expected to be within the limit. Fewer would serve nobody
    /// earlier, since steps take nearly as long with one request as with many. At least one request finds out when a slow
    /// upstream is well again.
    fn concurrency(
        &self,
        max_gap_ms: Option<u32>,
        candidate: &Candidate<'_>,
        now: Instant,
    ) -> usize {
        let pace = candidate.pace;
        let slots = candidate.slots.max(1);
        let Some(max_gap_ms) = max_gap_ms.filter(|_| pace.is_slow(now)) else {
            return slots;
        };
        let max_gap_us = f64::from(max_gap_ms) * 1_000.0;
        let fits = |load: &usize| pace.measured_interval_us(*load) * LONGEST_PAUSE <= max_gap_us;
        (2..=slots).rev().find(fits).unwrap_or(1)
    }
}
