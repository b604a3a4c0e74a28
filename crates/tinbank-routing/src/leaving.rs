//! Tracks which upstreams are leaving, from the host list, the upstreams' own answers and updates of peers.
//!
//! The host list lags, so a notice from the upstream or a peer overrides it. The notice ends when a list shows the
//! upstream live after one that did not, or after [`NOTICE_TTL`]. See `docs/design/routing.md`.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::{
    frame::{heartbeat::Leaving, request},
    id,
    platform::hosts::{List, State},
};

/// Time for which a notice overrides a list that shows the upstream as live.
pub const NOTICE_TTL: Duration = Duration::from_secs(60);

/// Time for which a notice is sent to peers.
pub const GOSSIP_PERIOD: Duration = Duration::from_secs(20);

/// A notice that an upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Notice {
    /// Version of the latest list that showed it live.
    list: u64,
    expires_at: Instant,
    gossip_until: Instant,
}

/// State of an upstream in the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ListState {
    live: bool,
    /// Version of the list in which it returned; 0 if it has been live since the first list.
    live_since: u64,
}

/// How long an upstream gets no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// It may get requests.
    None,
    /// Until the notice expires or a list overrides it.
    Until(Instant),
    /// Until a list shows it as live.
    UntilListed,
}

/// Tracks which upstreams are leaving.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    version: Option<u64>,
    listed: BTreeMap<id::Upstream, ListState>,
    notices: BTreeMap<id::Upstream, Notice>,
}

impl Tracker {
    /// Applies a host list. Ignores it and returns `false` if it is older than the current one.
    pub fn apply_list(&mut self, list: &List, now: Instant) -> bool {
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
            listed.insert(upstream.upstream, ListState { live, live_since });
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
        self.remove_expired(now);
        // Peers of a large fleet read the list less often, so a change in it is sent to them as well. Drains by
        // operators don't change the version: each process reads them from the configuration.
        if newer {
            for upstream in left {
                self.add_notice(upstream, seen_live_in, now);
            }
        }
        true
    }

    /// Records that the upstream itself reports to be leaving. Returns whether this is new.
    pub fn record_leaving(&mut self, upstream: id::Upstream, now: Instant) -> bool {
        let list = self.version.unwrap_or(0);
        self.add_notice(upstream, list, now)
    }

    /// Applies a peer's update. Returns whether it is new.
    ///
    /// An update from before the upstream's last return is ignored.
    pub fn apply_update(&mut self, update: Leaving, now: Instant) -> bool {
        if self.is_stale(update) {
            return false;
        }
        self.add_notice(update.upstream, update.list, now)
    }

    /// Applies what a peer answered of a notice in force there. It keeps the time at which it expires, and is not sent on: those
    /// that were up when it was new have it.
    pub fn apply_notice(&mut self, received: request::Notice, now: Instant) {
        let update = received.leaving;
        let is_known = self
            .notices
            .get(&update.upstream)
            .is_some_and(|known| now < known.expires_at && update.list <= known.list);
        if is_known || self.is_stale(update) {
            return;
        }
        let notice = Notice {
            list: update.list,
            expires_at: now + received.expires_in.min(NOTICE_TTL),
            gossip_until: now,
        };
        self.notices.insert(update.upstream, notice);
    }

    /// Returns the notices in force, ordered by upstream.
    pub fn notices(&self, now: Instant) -> impl Iterator<Item = request::Notice> {
        let in_force = self
            .notices
            .iter()
            .filter(move |(_, notice)| now < notice.expires_at);
        in_force.map(move |(upstream, notice)| {
            let leaving = Leaving {
                upstream: *upstream,
                list: notice.list,
            };
            request::Notice {
                leaving,
                expires_in: notice.expires_at - now,
            }
        })
    }

    /// Returns whether an upstream gets no new requests.
    pub fn is_leaving(&self, upstream: id::Upstream, now: Instant) -> bool {
        match self.exclusion(upstream) {
            Exclusion::None => false,
            Exclusion::Until(until) => now < until,
            Exclusion::UntilListed => true,
        }
    }

    /// Returns how long an upstream gets no new requests.
    pub fn exclusion(&self, upstream: id::Upstream) -> Exclusion {
        if self.listed.get(&upstream).is_none_or(|listed| !listed.live) {
            return Exclusion::UntilListed;
        }
        let notice = self.notices.get(&upstream);
        notice.map_or(Exclusion::None, |notice| {
            Exclusion::Until(notice.expires_at)
        })
    }

    /// Returns the updates to send to peers, ordered by upstream.
    pub fn updates(&self, now: Instant) -> SmallVec<[Leaving; 4]> {
        self.notices
            .iter()
            .filter(|(_, notice)| now < notice.gossip_until)
            .map(|(upstream, notice)| Leaving {
                upstream: *upstream,
                list: notice.list,
            })
            .collect()
    }

    /// Returns whether an update is from before the upstream's last return.
    fn is_stale(&self, update: Leaving) -> bool {
        let listed = self.listed.get(&update.upstream);
        listed.is_some_and(|listed| update.list < listed.live_since)
    }

    fn add_notice(&mut self, upstream: id::Upstream, list: u64, now: Instant) -> bool {
        let known = self.notices.get(&upstream).copied();
        if let Some(known) = known
            && now < known.expires_at
            && list <= known.list
        {
            return false;
        }
        let fresh = Notice {
            list,
            expires_at: now + NOTICE_TTL,
            gossip_until: now + GOSSIP_PERIOD,
        };
        self.notices.insert(upstream, fresh);
        known.is_none_or(|known| now >= known.expires_at)
    }

    /// Removes expired notices and those that a later list overrides.
    fn remove_expired(&mut self, now: Instant) {
        let listed = &self.listed;
        self.notices.retain(|upstream, notice| {
            let returned = listed
                .get(upstream)
                .is_some_and(|listed| listed.live && listed.live_since > notice.list);
            !returned && now < notice.expires_at
        });
    }
}
