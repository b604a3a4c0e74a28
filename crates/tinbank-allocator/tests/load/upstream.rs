//! Upstreams that run so many requests at once and let all others wait in the order in which they came.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::caller::Number;

/// How many times as long a slow upstream takes.
const SLOWNESS: u32 = 4;

/// One upstream.
#[derive(Debug, Default)]
pub struct Upstream {
    slots: usize,
    running: Vec<Number>,
    queue: VecDeque<Number>,
    /// How many times longer than usual it takes.
    pub slowness: u32,
}

/// A request that has got a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Begun(pub Number);

impl Upstream {
    pub fn new(slots: usize, is_slow: bool) -> Self {
        Self {
            slots,
            slowness: if is_slow { SLOWNESS } else { 1 },
            ..Self::default()
        }
    }

    /// Takes a request, and says which one begins.
    pub fn take(&mut self, request: Number) -> Option<Begun> {
        self.queue.push_back(request);
        self.begin()
    }

    /// A request has ended or was cancelled. Says which one begins in its place.
    pub fn end(&mut self, request: Number) -> Option<Begun> {
        self.running.retain(|it| *it != request);
        self.queue.retain(|it| *it != request);
        self.begin()
    }

    fn begin(&mut self) -> Option<Begun> {
        if self.running.len() >= self.slots {
            return None;
        }
        let next = self.queue.pop_front()?;
        self.running.push(next);
        Some(Begun(next))
    }
}

/// How many requests an allocator could serve in time that knew of all at once and dealt all slots from one queue: new ones
/// in order, as long as they can be in time, and none else.
pub fn bound(arrivals: &[Instant], slots: usize, held: Duration, patience: Duration) -> usize {
    let Some(first) = arrivals.first() else {
        return 0;
    };
    let mut free_at = vec![*first; slots];
    let mut served = 0;
    for arrival in arrivals {
        let slot = free_at.iter_mut().min().expect("a slot");
        let begins_at = (*slot).max(*arrival);
        if begins_at <= *arrival + patience {
            *slot = begins_at + held;
            served += 1;
        }
    }
    served
}
