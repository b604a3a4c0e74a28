//! Which upstreams are leaving, merged from the lagging host list, the upstreams' own answers and peers' words.
//!
//! The list lags, so a sign from the upstream or a peer goes before it: an upstream that was told to leave comes back
//! only when a list shows it live *again*, that is after one which did not, or when the sign is older than
//! [`HOLD`]. See `docs/design/routing.md`.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::{
    frame::heartbeat::Leaving,
    id,
    platform::hosts::{List, State},
};

/// How long a sign holds against a list that goes on showing the upstream as live.
pub const HOLD: Duration = Duration::from_secs(60);

/// How long a sign is passed on to peers.
pub const GOSSIP: Duration = Duration::from_secs(20);

/// A sign that an upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sign {
    list: u64,
    held_until: Instant,
    passed_on_until: Instant,
}

/// What the accepted list says of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Listed {
    live: bool,
    /// Version of the list in which we saw it come back; 0 when it was live from the first list on.
    live_since: u64,
}

/// How long an upstream must get no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Until {
    /// It may get work.
    Never,
    /// A sign holds until then, if no list says otherwise.
    Time(Instant),
    /// Until a list shows it live.
    Listed,
}

/// Follows which upstreams are leaving.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    version: Option<u64>,
    listed: BTreeMap<id::Upstream, Listed>,
    signs: BTreeMap<id::Upstream, Sign>,
}

impl Tracker {
    /// Takes in a list. Returns `false`, and changes nothing, when it is older than the one in force.
    pub fn list(&mut self, list: &List, now: Instant) -> bool {
        if self.version.is_some_and(|version| list.version < version) {
            return false;
        }
        let first = self.version.is_none();
        let mut listed = BTreeMap::new();
        for upstream in &list.upstreams {
            let live = upstream.state == State::Live;
            let before = self.listed.get(&upstream.upstream);
            let was_live = before.is_some_and(|before| before.live);
            let returned = live && !was_live && !first;
            let live_since = match before {
                _ if returned => list.version,
                Some(before) => before.live_since,
                None => 0,
            };
            listed.insert(upstream.upstream, Listed { live, live_since });
        }
        let seen_live_in = self.version.unwrap_or(0);
        let newer = list.version > seen_live_in;
        let left: SmallVec<[id::Upstream; 4]> = self
            .listed
            .iter()
            .filter(|(_, before)| before.live)
            .filter(|(upstream, _)| listed.get(*upstream).is_none_or(|now| !now.live))
            .map(|(upstream, _)| *upstream)
            .collect();
        self.version = Some(list.version);
        self.listed = listed;
        self.forget(now);
        // In a large fleet peers read the list less often, so what it says first is passed on as well. What operators
        // drain does not change its version: each process reads it from the configuration, and its return too.
        if newer {
            for upstream in left {
                self.add(upstream, seen_live_in, now);
            }
        }
        true
    }

    /// Takes in the upstream's own word. Returns whether it is news.
    pub fn sign(&mut self, upstream: id::Upstream, now: Instant) -> bool {
        let list = self.version.unwrap_or(0);
        self.add(upstream, list, now)
    }

    /// Takes in a peer's word. Returns whether it is news.
    ///
    /// A word from before the upstream's last return is stale and ignored.
    pub fn hear(&mut self, word: Leaving, now: Instant) -> bool {
        let stale = self
            .listed
            .get(&word.upstream)
            .is_some_and(|listed| word.list < listed.live_since);
        if stale {
            return false;
        }
        self.add(word.upstream, word.list, now)
    }

    /// Whether an upstream must get no new work.
    pub fn is_leaving(&self, upstream: id::Upstream, now: Instant) -> bool {
        match self.until(upstream) {
            Until::Never => false,
            Until::Time(until) => now < until,
            Until::Listed => true,
        }
    }

    /// How long an upstream must get no new work, as far as is known now.
    pub fn until(&self, upstream: id::Upstream) -> Until {
        if self.listed.get(&upstream).is_none_or(|listed| !listed.live) {
            return Until::Listed;
        }
        let sign = self.signs.get(&upstream);
        sign.map_or(Until::Never, |sign| Until::Time(sign.held_until))
    }

    /// The signs to pass on to peers, by number of the upstream.
    pub fn news(&self, now: Instant) -> SmallVec<[Leaving; 4]> {
        self.signs
            .iter()
            .filter(|(_, sign)| now < sign.passed_on_until)
            .map(|(upstream, sign)| Leaving {
                upstream: *upstream,
                list: sign.list,
            })
            .collect()
    }

    fn add(&mut self, upstream: id::Upstream, list: u64, now: Instant) -> bool {
        let known = self.signs.get(&upstream).copied();
        if let Some(known) = known
            && now < known.held_until
            && list <= known.list
        {
            return false;
        }
        let fresh = Sign {
            list,
            held_until: now + HOLD,
            passed_on_until: now + GOSSIP,
        };
        self.signs.insert(upstream, fresh);
        known.is_none_or(|known| now >= known.held_until)
    }

    /// Drops signs that a later list has overtaken or that are too old.
    fn forget(&mut self, now: Instant) {
        let listed = &self.listed;
        self.signs.retain(|upstream, sign| {
            let returned = listed
                .get(upstream)
                .is_some_and(|listed| listed.live && listed.live_since > sign.list);
            !returned && now < sign.held_until
        });
    }
}
