//! Upstreams that process a fixed number of requests concurrently and queue the others in arrival order.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::caller::Number;

/// Slowdown factor of a slow upstream.
const SLOWDOWN: u32 = 4;

/// One upstream.
#[derive(Debug, Default)]
pub struct Upstream {
    slots: usize,
    running: Vec<Number>,
    queue: VecDeque<Number>,
    /// Factor by which requests take longer than usual.
    pub slowdown: u32,
}

/// A request that has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Started(pub Number);

impl Upstream {
    pub fn new(slots: usize, is_slow: bool) -> Self {
        Self {
            slots,
            slowdown: if is_slow { SLOWDOWN } else { 1 },
            ..Self::default()
        }
    }

    /// Accepts a request. Returns the one that starts, if any.
    pub fn accept(&mut self, request: Number) -> Option<Started> {
        self.queue.push_back(request);
        self.start_next()
    }

    /// Removes a request that has ended or was cancelled. Returns the one that starts in its place, if any.
    pub fn remove(&mut self, request: Number) -> Option<Started> {
        self.running.retain(|it| *it != request);
        self.queue.retain(|it| *it != request);
        self.start_next()
    }

    fn start_next(&mut self) -> Option<Started> {
        if self.running.len() >= self.slots {
            return None;
        }
        let next = self.queue.pop_front()?;
        self.running.push(next);
        Some(Started(next))
    }
}

/// Returns how many requests an ideal allocator could serve on time: one with global knowledge that grants all slots
/// from a single queue, in order, to requests that can still be on time and to no others.
pub fn ideal_on_time(
    arrivals: &[Instant],
    slots: usize,
    held: Duration,
    max_wait: Duration,
) -> usize {
    let Some(first) = arrivals.first() else {
        return 0;
    };
    let mut free_at = vec![*first; slots];
    let mut served = 0;
    for arrival in arrivals {
        let slot = free_at.iter_mut().min().expect("a slot");
        let starts_at = (*slot).max(*arrival);
        if starts_at <= *arrival + max_wait {
            *slot = starts_at + held;
            served += 1;
        }
    }
    served
}
