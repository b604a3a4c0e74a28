//! How long an online request may wait for a slot while all are in use, and when its caller is told to come back.
//!
//! It answers a load that is more than the upstreams can carry, for seconds: bursts, upstreams that are lost, callers that
//! all come back after an outage. There each request that is served late takes the slot of one that could be in time, so
//! late ones get only what nobody else waits for, and nobody waits who is not likely to get a slot.

use std::time::{Duration, Instant};

use crate::frame::Queue;

/// What is usual on a route, as measured by the host that asks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteTimings {
    /// Time from sending a request to the first event of its answer, if it does not wait inside the upstream.
    pub first_event: Option<Duration>,
    /// Time for which a request holds its slot.
    pub slot_time: Option<Duration>,
}

/// Part of the target that is left for the first event while nothing was measured, one part in so many.
const UNMEASURED_PART: u32 = 3;
/// First events that fit in what is left of the target once a request has its slot: half of them take longer than usual.
const FIRST_EVENTS: u32 = 2;
/// Part of its time for which a late request waits at most while nothing was measured, one part in so many.
const UNMEASURED_HOLD_PART: u32 = 4;
/// Steps in which the times at which callers come back are spread.
const SPREAD: u64 = 64;

/// An online request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// When the host had it.
    pub received: Instant,
    /// When its answer has to be whole.
    pub deadline: Instant,
    /// Time within which its answer is to begin, counted from the caller's first try.
    pub target: Duration,
    /// Its caller has come before, so that its answer is late in any case.
    pub is_retry: bool,
}

impl Admission {
    /// Whether the request may wait for a slot. A late one waits until each slot that is in use now is likely to have come
    /// free once: if it had none of them, others will have the next ones too.
    pub fn queue(&self, usual: RouteTimings, now: Instant) -> Queue {
        let until = match self.is_retry {
            true => self.hold_until(usual),
            false => self.in_time_until(usual),
        };
        let patience = until.saturating_duration_since(now);
        let patience_ms = patience.as_millis() as u32;
        match self.is_retry {
            _ if patience_ms == 0 => Queue::No,
            true => Queue::LowPriority(patience_ms),
            false => Queue::Within(patience_ms),
        }
    }

    /// When the caller is told to come back after a refusal: when the slots that are in use have come free, and as late again
    /// by chance, so that those who were refused together do not come back together.
    pub fn retry_after(&self, usual: RouteTimings, draw: u64) -> Duration {
        let turnover = self.turnover(usual);
        turnover + turnover * (draw % SPREAD) as u32 / SPREAD as u32
    }

    /// Until when a slot is early enough for an answer in time.
    fn in_time_until(&self, usual: RouteTimings) -> Instant {
        let first_event = match usual.first_event {
            Some(measured) => measured * FIRST_EVENTS,
            None => self.target / UNMEASURED_PART,
        };
        let latest = self.received + self.target.saturating_sub(first_event);
        latest.min(self.deadline)
    }

    fn hold_until(&self, usual: RouteTimings) -> Instant {
        let held = usual.slot_time.unwrap_or_default();
        let latest = self.deadline.checked_sub(held).unwrap_or(self.received);
        latest.min(self.received + self.turnover(usual))
    }

    /// The time in which each slot in use is likely to come free.
    fn turnover(&self, usual: RouteTimings) -> Duration {
        let time = self.deadline.saturating_duration_since(self.received);
        usual.slot_time.unwrap_or(time / UNMEASURED_HOLD_PART)
    }
}
