//! Whether a backlog of items can be finished in time.
//!
//! While it can, running items in the order of their due times makes all of them on time, and any other order may make some late.
//! Once it can't, slots are scarce, and the order decides whose items are late.

use std::time::{Duration, SystemTime};

/// Excess of the work over what fits, in percent, from which on slots count as scarce. The number of items that a host runs varies
/// with the online requests.
const TOLERANCE_PERCENT: u32 = 25;

/// An item that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Item {
    due_at: SystemTime,
    /// How long it still has to run.
    remaining: Duration,
}

/// Items that have not ended.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    items: Vec<Item>,
}

impl Backlog {
    /// Adds an item that still has to run for `remaining`.
    pub fn add(&mut self, due_at: SystemTime, remaining: Duration) {
        self.items.push(Item { due_at, remaining });
    }

    /// Returns whether all items that can still be on time are, if `concurrency` items run at a time in the order of their due
    /// times.
    pub fn fits(mut self, concurrency: usize, now: SystemTime) -> bool {
        self.items.sort_unstable();
        let concurrency = concurrency.max(1) as u32;
        let mut work = Duration::ZERO;
        for item in self.items {
            let left = item.due_at.duration_since(now).unwrap_or_default();
            if item.remaining > left {
                continue;
            }
            work += item.remaining;
            if work * 100 > left * concurrency * (100 + TOLERANCE_PERCENT) {
                return false;
            }
        }
        true
    }
}
