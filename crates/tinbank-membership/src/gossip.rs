//! News that is being passed on: each piece a bounded number of times, the freshest first.

use std::collections::{BTreeMap, BTreeSet};

/// Times that a piece of news is sent, per doubling of the members. Every process that learns it sends it as often.
const SENDS_PER_DOUBLING: u32 = 3;
/// Doublings counted at least: a process that has just started knows few of the members that there are.
const MIN_DOUBLINGS: u32 = 5;

/// Pieces of news by what they are about, with the sends that are left.
#[derive(Clone, Debug)]
pub(crate) struct Queue<K> {
    left: BTreeMap<K, u32>,
    /// The same, by sends left; the last one is the freshest.
    order: BTreeSet<(u32, K)>,
    /// Bound on pieces; the one sent most often gives way.
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

    /// Starts to pass a piece on, or starts again.
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

    /// Whether a piece is still being passed on.
    pub(crate) fn contains(&self, key: K) -> bool {
        self.left.contains_key(&key)
    }

    /// Takes up to `count` pieces for one frame.
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
