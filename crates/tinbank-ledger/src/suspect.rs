//! Items suspected of crashing engines. Local to an owner and kept for one term only.

use std::collections::BTreeMap;

use crate::shard::Key;

/// Limits of engine crashes per item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Number of engine crashes with the item in flight after which it is only sent alone.
    pub alone_after: u16,
    /// Number of engine crashes after which the item ends as failed.
    pub give_up_after: u16,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            alone_after: 1,
            give_up_after: 3,
        }
    }
}

/// How to send an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// Send without restrictions.
    Normal,
    /// Send only to an engine without other batch items, so that no other item fails or becomes suspected.
    Alone,
    /// Do not send again: the item ends as failed.
    GiveUp,
}

/// Counts for each item how many engines crashed while it was in flight.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    policy: Policy,
    crashes: BTreeMap<Key, u16>,
}

impl Suspects {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            crashes: BTreeMap::new(),
        }
    }

    /// Records that an engine crashed with these items in flight.
    pub fn record_engine_crash(&mut self, in_flight: impl IntoIterator<Item = Key>) {
        for key in in_flight {
            let crashes = self.crashes.entry(key).or_default();
            *crashes = crashes.saturating_add(1);
        }
    }

    /// Removes an item that has ended or was cancelled.
    pub fn remove(&mut self, key: Key) {
        self.crashes.remove(&key);
    }

    /// Returns how to send an item.
    pub fn treatment(&self, key: Key) -> Treatment {
        let crashes = self.crashes.get(&key).copied().unwrap_or_default();
        if crashes >= self.policy.give_up_after {
            Treatment::GiveUp
        } else if crashes >= self.policy.alone_after {
            Treatment::Alone
        } else {
            Treatment::Normal
        }
    }
}
