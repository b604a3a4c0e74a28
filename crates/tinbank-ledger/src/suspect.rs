//! Items that are suspected of killing engines. Soft: an owner's own memory of a term.

use std::collections::BTreeMap;

use crate::shard::Key;

/// Bounds of suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Deaths of engines with the item in flight after which it is only sent alone.
    pub alone_after: u16,
    /// Deaths after which it ends as failed.
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
    /// Like any other.
    Normal,
    /// With no other batch item in the engine, so that no neighbour is hurt or suspected.
    Alone,
    /// Not any more: it ends as failed.
    GiveUp,
}

/// Counts how often items were in flight when their engine died.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    policy: Policy,
    deaths: BTreeMap<Key, u16>,
}

impl Suspects {
    /// Nobody is suspected.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            deaths: BTreeMap::new(),
        }
    }

    /// An engine died with these items in flight.
    pub fn engine_died(&mut self, in_flight: impl IntoIterator<Item = Key>) {
        for key in in_flight {
            let deaths = self.deaths.entry(key).or_default();
            *deaths = deaths.saturating_add(1);
        }
    }

    /// An item has ended, or was cancelled.
    pub fn ended(&mut self, key: Key) {
        self.deaths.remove(&key);
    }

    /// How to send an item.
    pub fn treatment(&self, key: Key) -> Treatment {
        let deaths = self.deaths.get(&key).copied().unwrap_or_default();
        if deaths >= self.policy.give_up_after {
            Treatment::GiveUp
        } else if deaths >= self.policy.alone_after {
            Treatment::Alone
        } else {
            Treatment::Normal
        }
    }
}
