//! A queue of updates to gossip, each sent a bounded number of times, the least sent first.

use std::collections::{BTreeMap, BTreeSet};

/// Times that each process sends an update, per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Minimum number of doublings, since a process that has just started knows few members.
const MIN_DOUBLINGS: u32 = 5;

/// Updates to gossip by key, with the number of sends left.
#[derive(Clone, Debug)]
pub(crate) struct Queue<K> {
    left: BTreeMap<K, u32>,
    /// The same, ordered by sends left; the last one has been sent least.
    order: BTreeSet<(u32, K)>,
    /// Maximum number of updates; beyond it the one with the fewest sends left is dropped.
    limit: usize,
}

impl<K: Ord + Copy> Queue<K> {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            left: BTreeMap::new(),
            order: BTreeSet::new(),
            limit,
        }
    }

    /// Adds an update, or resets its sends for the given number of members.
    pub(crate) fn push(&mut self, key: K, members: usize) {
        let doublings = usize::BITS - members.leading_zeros();
        let sends = SENDS_PER_DOUBLING * doublings.max(MIN_DOUBLINGS);
        self.set(key, sends);
        if self.left.len() > self.limit
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.left.remove(&oldest);
        }
    }

    /// Returns whether an update has sends left.
    pub(crate) fn contains(&self, key: K) -> bool {
        self.left.contains_key(&key)
    }

    /// Takes up to `count` updates for one frame.
    pub(crate) fn take(&mut self, count: usize) -> Vec<K> {
        let freshest: Vec<_> = self.order.iter().rev().take(count).copied().collect();
        for &(left, key) in &freshest {
            self.set(key, left - 1);
        }
        freshest.into_iter().map(|(_, key)| key).collect()
    }

    fn set(&mut self, key: K, sends: u32) {
        if let Some(before) = self.left.remove(&key) {
            self.order.remove(&(before, key));
        }
        if sends > 0 {
            self.left.insert(key, sends);
            self.order.insert((sends, key));
        }
    }
}
