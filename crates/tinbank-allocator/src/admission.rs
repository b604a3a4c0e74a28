//! How long an online request may wait for a slot while all are in use, and when its caller should retry.
//!
//! Applies while the load exceeds the upstreams' capacity for some seconds: bursts, lost upstreams, callers that all
//! retry after an outage. A request that is served late then takes the slot of one that could be on time. So late
//! requests get only the slots that no other request waits for, and a request that is unlikely to get a slot does not
//! wait.

use std::time::{Duration, Instant};

use crate::frame::Queue;

/// Typical timings of a route, as measured by the requesting host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteTimings {
    /// Time from sending a request to the first event of the response, without queueing inside the upstream.
    pub first_event: Option<Duration>,
    /// Time for which a request holds its slot.
    pub slot_time: Option<Duration>,
}

/// Before the first measurement, one in this many parts of the target is reserved for the first event.
const UNMEASURED_FIRST_EVENT_PART: u32 = 3;
/// Number of typical first-event times reserved once a request has its slot, since half of them take longer than typical.
const FIRST_EVENTS: u32 = 2;
/// Before the first measurement, a slot is assumed to be held for one in this many parts of the request's time.
const UNMEASURED_SLOT_TIME_PART: u32 = 4;
/// Number of steps over which retries are spread.
const RETRY_STEPS: u64 = 64;

/// When the caller of a request that several allocators have denied should retry, by the backlog of its customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog(Option<Duration>);

impl Backlog {
    /// Adds the time that one allocator states. Allocators work off the backlog side by side, so their rates add up.
    pub fn add(&mut self, time: Duration) {
        let Some(before) = self.0 else {
            self.0 = Some(time);
            return;
        };
        let both = before + time;
        if !both.is_zero() {
            let part = time.as_secs_f64() / both.as_secs_f64();
            self.0 = Some(before.mul_f64(part));
        }
    }

    /// Returns when the caller should retry; `None` if no allocator has stated a time.
    pub fn retry_after(self) -> Option<Duration> {
        self.0
    }
}

/// An online request that needs a slot.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// When the host received it.
    pub received: Instant,
    /// When its response must be complete.
    pub deadline: Instant,
    /// Time from the caller's first attempt to the first event of the response.
    pub target: Duration,
    /// The caller has tried before, so the response is late in any case.
    pub is_retry: bool,
}

impl Admission {
    /// Returns whether and how long the request may wait for a slot. A retry waits for about one turnover of the slots
    /// in use; if it got none of them, it is unlikely to get one of the next.
    pub fn queue(&self, timings: RouteTimings, now: Instant) -> Queue {
        let until = match self.is_retry {
            true => self.retry_wait_until(timings),
            false => self.on_time_until(timings),
        };
        let max_wait = until.saturating_duration_since(now);
        let max_wait_ms = max_wait.as_millis() as u32;
        match self.is_retry {
            _ if max_wait_ms == 0 => Queue::No,
            true => Queue::LowPriority(max_wait_ms),
            false => Queue::Within(max_wait_ms),
        }
    }

    /// Returns when a refused caller should retry: after one turnover of the slots in use, plus up to as much again by
    /// `draw`, so that callers refused at the same time do not retry at the same time.
    pub fn retry_after(&self, timings: RouteTimings, draw: u64) -> Duration {
        let turnover = self.turnover(timings);
        turnover + turnover * (draw % RETRY_STEPS) as u32 / RETRY_STEPS as u32
    }

    /// Returns until when a slot is early enough for the response to be on time.
    fn on_time_until(&self, timings: RouteTimings) -> Instant {
        let first_event = match timings.first_event {
            Some(measured) => measured * FIRST_EVENTS,
            None => self.target / UNMEASURED_FIRST_EVENT_PART,
        };
        let latest = self.received + self.target.saturating_sub(first_event);
        latest.min(self.deadline)
    }

    fn retry_wait_until(&self, timings: RouteTimings) -> Instant {
        let slot_time = timings.slot_time.unwrap_or_default();
        let latest = self
            .deadline
            .checked_sub(slot_time)
            .unwrap_or(self.received);
        latest.min(self.received + self.turnover(timings))
    }

    /// Returns the time in which each slot in use is likely to become free.
    fn turnover(&self, timings: RouteTimings) -> Duration {
        let time = self.deadline.saturating_duration_since(self.received);
        timings
            .slot_time
            .unwrap_or(time / UNMEASURED_SLOT_TIME_PART)
    }
}
