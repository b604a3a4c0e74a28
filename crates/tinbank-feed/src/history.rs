//! Change history of a list, so that a host that knows the list up to a position receives only what changed since.
//!
//! Sending the whole list at each change costs followers times entries times changes, which is more than the link of a delegate
//! carries in a large fleet. See `docs/design/fleet-size.md`.

use std::{
    collections::{BTreeSet, VecDeque},
    fmt::Debug,
};

use crate::message::{Delta, Position};

/// The latest changes of a list, oldest first.
#[derive(Clone, Debug)]
pub struct History<K> {
    /// All changes after this position are kept. None until the list was read in full.
    complete_from: Option<Position>,
    changes: VecDeque<Change<K>>,
}

#[derive(Clone, Debug)]
struct Change<K> {
    /// Hosts that know the list up to here know the change.
    position: Position,
    key: K,
}

/// A list, limited to the scope of one host.
pub trait List<T, K> {
    /// Returns the entries in scope.
    fn all(&self) -> Vec<T>;
    /// Looks up the entry of a key.
    fn find(&self, key: &K) -> Lookup<T>;
}

/// Result of looking up a key on behalf of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup<T> {
    /// The entry is in the host's scope.
    InScope(T),
    /// There is an entry, outside the host's scope.
    OutOfScope,
    /// There is no entry.
    Missing,
}

impl<K> Default for History<K> {
    fn default() -> Self {
        Self {
            complete_from: None,
            changes: VecDeque::new(),
        }
    }
}

impl<K: Clone + Debug + Ord> History<K> {
    /// Drops all changes, after the whole list was read at a position.
    pub fn reset(&mut self, position: Position) {
        self.complete_from = Some(position);
        self.changes.clear();
    }

    /// Records that the entry of a key was changed or removed at a position.
    pub fn record(&mut self, position: Position, key: K) {
        self.changes.push_back(Change { position, key });
    }

    /// Drops the oldest changes beyond `max_changes`. Hosts that lack them receive the whole list.
    pub fn truncate(&mut self, max_changes: usize) {
        while self.changes.len() > max_changes {
            let dropped = self.changes.pop_front();
            self.complete_from = dropped.map(|it| it.position).max(self.complete_from);
        }
    }

    /// Returns what a host that knows the list up to `known` lacks of the list at `position`: the changed entries in its scope, or
    /// the whole list if the host knows nothing or its position is no longer covered. None if the host knows more.
    pub fn delta<T>(
        &self,
        known: Option<Position>,
        position: Position,
        list: &impl List<T, K>,
    ) -> Option<Delta<T, K>> {
        if known.is_some_and(|known| known > position) {
            return None;
        }
        let Some(changed) = known.and_then(|known| self.changed_since(known)) else {
            return Some(Delta {
                position,
                is_whole: true,
                entries: list.all(),
                gone: Vec::new(),
            });
        };
        let mut delta = Delta {
            position,
            is_whole: false,
            entries: Vec::new(),
            gone: Vec::new(),
        };
        for key in changed {
            match list.find(&key) {
                Lookup::InScope(entry) => delta.entries.push(entry),
                Lookup::OutOfScope => {}
                Lookup::Missing => delta.gone.push(key),
            }
        }
        Some(delta)
    }

    /// Returns the distinct keys that changed after a position, or None if the history does not reach back to it.
    pub fn changed_since(&self, known: Position) -> Option<BTreeSet<K>> {
        if self.complete_from.is_none_or(|from| known < from) {
            return None;
        }
        let newest_first = self.changes.iter().rev();
        let missing = newest_first.take_while(|it| it.position > known);
        Some(missing.map(|it| it.key.clone()).collect())
    }
}
