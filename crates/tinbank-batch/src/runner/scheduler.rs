//! Shares capacity between flows by deficit round robin, and orders work within a flow by due time. Pure.
//!
//! A flow is one customer's work for one service. Each service has its own pool, so a customer's share applies within
//! each pool. See `docs/design/batch-sharing.md`.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    hash::Hash,
    time::SystemTime,
};

/// Deficit that a flow of weight 1 gains in each round.
pub const QUANTUM: u64 = 1;

/// Queues work by flow.
#[derive(Debug)]
pub struct Scheduler<K, T> {
    flows: HashMap<K, Flow<T>>,
    /// Flows with waiting work, in the order of their turns.
    ring: VecDeque<K>,
    /// Tie-breaker that keeps work with equal due times in order of arrival.
    sequence: u64,
    waiting: usize,
}

#[derive(Debug)]
struct Flow<T> {
    weight: u64,
    deficit: u64,
    /// Whether the flow has received its quantum in this turn.
    visited: bool,
    queue: BTreeMap<(SystemTime, u64), Entry<T>>,
}

#[derive(Debug)]
struct Entry<T> {
    cost: u64,
    value: T,
}

impl<K, T> Default for Scheduler<K, T> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            ring: VecDeque::new(),
            sequence: 0,
            waiting: 0,
        }
    }
}

impl<K: Clone + Eq + Hash, T> Scheduler<K, T> {
    /// Adds work that costs `cost` (at least 1) to a flow, whose weight is set to `weight` (at least 1).
    pub fn push(&mut self, key: K, weight: u32, due: SystemTime, cost: u32, value: T) {
        let flow = self.flows.entry(key.clone()).or_insert_with(|| Flow {
            weight: 1,
            deficit: 0,
            visited: false,
            queue: BTreeMap::new(),
        });
        flow.weight = u64::from(weight.max(1));
        if flow.queue.is_empty() {
            self.ring.push_back(key);
        }
        let entry = Entry {
            cost: u64::from(cost.max(1)),
            value,
        };
        flow.queue.insert((due, self.sequence), entry);
        self.sequence += 1;
        self.waiting += 1;
    }

    /// Takes the next work from the flows for which `open` returns true. The deficit of a skipped flow does not change.
    pub fn pop(&mut self, mut open: impl FnMut(&K) -> bool) -> Option<T> {
        let mut closed = 0;
        while closed < self.ring.len() {
            let key = self.ring.front()?.clone();
            if !open(&key) {
                self.ring.rotate_left(1);
                closed += 1;
                continue;
            }
            if let Some(value) = self.serve(&key) {
                return Some(value);
            }
            closed = 0;
            self.ring.rotate_left(1);
        }
        None
    }

    /// Drops all waiting work for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        for flow in self.flows.values_mut() {
            flow.queue.retain(|_, entry| keep(&entry.value));
        }
        self.flows.retain(|_, flow| !flow.queue.is_empty());
        let flows = &self.flows;
        self.ring.retain(|key| flows.contains_key(key));
        self.waiting = self.flows.values().map(|flow| flow.queue.len()).sum();
    }

    /// Returns the flows with waiting work, the number of entries waiting, and the earliest due time.
    pub fn flows(&self) -> impl Iterator<Item = (&K, usize, SystemTime)> {
        self.flows.iter().filter_map(|(key, flow)| {
            let ((due, _), _) = flow.queue.first_key_value()?;
            Some((key, flow.queue.len(), *due))
        })
    }

    /// Returns the number of waiting entries of a flow.
    pub fn waiting(&self, key: &K) -> usize {
        self.flows.get(key).map_or(0, |flow| flow.queue.len())
    }

    /// Returns the number of waiting entries.
    pub fn len(&self) -> usize {
        self.waiting
    }

    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Takes the first work of the flow at the front of the ring, if its deficit covers the cost; the flow stays at the
    /// front. `None` ends its turn.
    fn serve(&mut self, key: &K) -> Option<T> {
        let flow = self.flows.get_mut(key)?;
        if !flow.visited {
            flow.visited = true;
            flow.deficit += QUANTUM * flow.weight;
        }
        let first = flow.queue.first_entry()?;
        if first.get().cost > flow.deficit {
            flow.visited = false;
            return None;
        }
        let entry = first.remove();
        flow.deficit -= entry.cost;
        self.waiting -= 1;
        if flow.queue.is_empty() {
            self.flows.remove(key);
            self.ring.pop_front();
        }
        Some(entry.value)
    }
}
