//! Which host keeps a limit's grants, by rendezvous hash over the hosts that serve. Pure.

use std::{collections::BTreeSet, hash::Hasher as _, time::Instant};

use siphasher::sip::SipHasher13;
use tinbank_base::id;

use super::{claim::MAX_GRANT_TTL, scope};

/// The hosts that serve, now and lately.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    hosts: BTreeSet<id::Host>,
    /// Earlier sets, and when each was replaced. Grants of their keepers may still hold.
    past: Vec<(Instant, BTreeSet<id::Host>)>,
}

impl Ring {
    /// Takes in which hosts serve. Returns whether that is news.
    pub fn set(&mut self, hosts: BTreeSet<id::Host>, now: Instant) -> bool {
        self.past
            .retain(|(replaced, _)| *replaced + MAX_GRANT_TTL > now);
        if self.hosts == hosts {
            return false;
        }
        let before = std::mem::replace(&mut self.hosts, hosts);
        self.past.push((now, before));
        true
    }

    /// The hosts that serve.
    pub fn hosts(&self) -> &BTreeSet<id::Host> {
        &self.hosts
    }

    /// The keeper of a limit.
    pub fn keeper(&self, limit: id::Limit) -> Option<id::Host> {
        first(&self.hosts, limit)
    }

    /// When a keeper can be sure that no other keeper's grants of a limit hold any more; `None` if there was no other
    /// one lately.
    pub fn sole_from(&self, limit: id::Limit, keeper: id::Host) -> Option<Instant> {
        let others = self.past.iter().rev();
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
