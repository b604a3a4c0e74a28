//! Assignment of limits to their keepers, by rendezvous hashing over the serving hosts.

use std::{collections::BTreeSet, hash::Hasher as _, time::Instant};

use siphasher::sip::SipHasher13;
use tinbank_base::id;

use super::{claim::MAX_GRANT_TTL, scope};

/// The serving hosts, and recent earlier sets of them.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    hosts: BTreeSet<id::Host>,
    /// Earlier sets whose keepers' grants may still be valid, and when each was replaced.
    previous: Vec<(Instant, BTreeSet<id::Host>)>,
}

impl Ring {
    /// Sets the serving hosts. Returns whether they changed.
    pub fn set(&mut self, hosts: BTreeSet<id::Host>, now: Instant) -> bool {
        self.previous
            .retain(|(replaced, _)| *replaced + MAX_GRANT_TTL > now);
        if self.hosts == hosts {
            return false;
        }
        let before = std::mem::replace(&mut self.hosts, hosts);
        self.previous.push((now, before));
        true
    }

    pub fn hosts(&self) -> &BTreeSet<id::Host> {
        &self.hosts
    }

    /// Returns the keeper of a limit.
    pub fn keeper(&self, limit: id::Limit) -> Option<id::Host> {
        first(&self.hosts, limit)
    }

    /// Returns the time from which no other keeper's grants of a limit are valid, or `None` if `keeper` has been its
    /// only recent keeper.
    pub fn exclusive_from(&self, limit: id::Limit, keeper: id::Host) -> Option<Instant> {
        let others = self.previous.iter().rev();
        let mut others = others.filter(|(_, hosts)| first(hosts, limit) != Some(keeper));
        others.next().map(|(replaced, _)| *replaced + MAX_GRANT_TTL)
    }
}

fn first(hosts: &BTreeSet<id::Host>, limit: id::Limit) -> Option<id::Host> {
    hosts
        .iter()
        .copied()
        .max_by_key(|host| (weight(*host, limit), *host))
}

fn weight(host: id::Host, limit: id::Limit) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(scope::key(limit));
    hasher.write_u32(host);
    hasher.finish()
}
