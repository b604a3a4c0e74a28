//! Upstreams as listed in the platform's store, tolerant of store outages.
//!
//! Upstreams renew their entries in the store, and an entry that is not renewed expires. During a store outage no entry can
//! be renewed, so the entries of healthy upstreams expire all at once and reappear about two seconds after the store does.
//! Entries that disappear in that period are therefore kept as missing until the upstreams have had time to renew them.
//! An entry that is removed while the store answers without a gap means that the upstream is gone.
//!
//! An upstream that restarts under the same name is a new instance; no state of the previous instance applies to it.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::upstream::Upstream;

/// Time for which the store has to answer without a failure before missing upstreams count as gone. The platform restores
/// the entries of running upstreams within about two seconds; the rest is for reading them.
pub const RENEWAL_TIME: Duration = Duration::from_millis(2_500);

/// Longest time between two answers of a reachable store: a read that waits for changes, its answer and the pause before the
/// next read.
pub const MAX_ANSWER_GAP: Duration = Duration::from_millis(2_200);

/// Smallest extension of a cold period that counts as a change. Entries state the time left and are read with a delay, so the
/// computed end of the period varies.
const COLD_TOLERANCE: Duration = Duration::from_millis(1_500);

/// A change to the state of an upstream, for logs and followers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream is new, or its entry changed.
    Listed(Upstream),
    /// Its entry is missing after a store outage; it still counts as present.
    Missing(id::Instance),
    Gone(id::Instance),
}

/// Changes caused by one read.
pub type Changes = SmallVec<[Change; 4]>;

/// The known upstreams.
#[derive(Debug, Default)]
pub struct Listing {
    states: HashMap<id::Instance, State>,
    /// The latest instance listed under each name.
    instances: HashMap<id::Instance, id::Instance>,
    store: StoreContact,
}

#[derive(Debug)]
enum State {
    Listed(Upstream),
    Missing(Upstream),
    /// Kept in the map, since the instance may be listed again.
    Gone,
}

/// Availability of the store, by its answers to reads of the list.
#[derive(Debug, Default)]
struct StoreContact {
    last_answer_at: Option<Instant>,
    has_failed: bool,
    /// From then on, a missing entry means that the upstream is gone.
    reliable_from: Option<Instant>,
}

impl StoreContact {
    /// Records an answer. The first one counts as an answer after an outage: a host that begins to read the store does not know
    /// whether entries lapsed before, and most hosts begin because their delegates fell silent in an outage.
    fn record_answer(&mut self, now: Instant) {
        let gap_end = self.last_answer_at.map(|at| at + MAX_ANSWER_GAP);
        let was_unavailable = self.has_failed || gap_end.is_none_or(|end| now > end);
        if was_unavailable {
            self.reliable_from = Some(now + RENEWAL_TIME);
        }
        self.has_failed = false;
        self.last_answer_at = Some(now);
    }

    fn is_reliable(&self, now: Instant) -> bool {
        !self.has_failed && self.reliable_from.is_none_or(|from| now >= from)
    }
}

/// Returns whether two entries of an upstream have no difference that has to be reported.
fn is_equivalent(before: &Upstream, now: &Upstream) -> bool {
    let is_colder = match (before.cold_until, now.cold_until) {
        (Some(before), Some(now)) => now > before + COLD_TOLERANCE,
        (None, Some(_)) => true,
        (_, None) => false,
    };
    before.leaving == now.leaving && !is_colder
}

impl Listing {
    /// Records that the store answered a read of the list. Called before the result is applied.
    pub fn record_store_answer(&mut self, now: Instant) {
        self.store.record_answer(now);
    }

    /// Records that a read of the list got no answer.
    pub fn record_store_failure(&mut self) {
        self.store.has_failed = true;
    }

    /// Applies a written entry. A previous instance of the same name is gone.
    pub fn add(&mut self, upstream: Upstream) -> Changes {
        let mut changes = Changes::new();
        let instance = upstream.instance.clone();
        let before = self
            .instances
            .insert(upstream.name.clone(), instance.clone());
        if let Some(before) = before.filter(|it| *it != instance)
            && let Some(State::Listed(_) | State::Missing(_)) =
                self.states.insert(before.clone(), State::Gone)
        {
            changes.push(Change::Gone(before));
        }
        let before = self
            .states
            .insert(instance, State::Listed(upstream.clone()));
        let is_same =
            matches!(before, Some(State::Listed(before)) if is_equivalent(&before, &upstream));
        if !is_same {
            changes.push(Change::Listed(upstream));
        }
        changes
    }

    /// Applies the removal of a name's entry.
    pub fn remove(&mut self, name: &id::Instance, now: Instant) -> Option<Change> {
        let instance = self.instances.get(name).unwrap_or(name);
        let state = self.states.remove(instance);
        let (state, change) = match state {
            Some(State::Listed(upstream)) if !self.store.is_reliable(now) => (
                State::Missing(upstream),
                Some(Change::Missing(instance.clone())),
            ),
            Some(State::Listed(_)) => (State::Gone, Some(Change::Gone(instance.clone()))),
            Some(missing @ State::Missing(_)) => (missing, None),
            Some(State::Gone) | None => (State::Gone, None),
        };
        self.states.insert(instance.clone(), state);
        change
    }

    /// Applies the full list of upstreams that another host sent. Upstreams that are not in it are gone: the sender has
    /// already waited for expired entries to be renewed.
    pub fn apply_snapshot(&mut self, upstreams: Vec<Upstream>) -> Changes {
        let named: HashSet<id::Instance> = upstreams.iter().map(|it| it.instance.clone()).collect();
        let known = self.states.keys();
        let unnamed: Vec<_> = known.filter(|it| !named.contains(*it)).cloned().collect();
        self.apply_update(upstreams, unnamed)
    }

    /// Applies the changes that another host sent. An upstream that is leaving by this host's own knowledge stays so.
    pub fn apply_update(&mut self, upstreams: Vec<Upstream>, gone: Vec<id::Instance>) -> Changes {
        let mut changes = Changes::new();
        for instance in gone {
            let before = self.states.insert(instance.clone(), State::Gone);
            if !matches!(before, Some(State::Gone)) {
                changes.push(Change::Gone(instance));
            }
        }
        let merged = upstreams.into_iter().map(|mut upstream| {
            upstream.leaving |= self.was_leaving(&upstream.instance);
            upstream
        });
        let merged: Vec<Upstream> = merged.collect();
        changes.extend(merged.into_iter().flat_map(|it| self.add(it)));
        changes
    }

    /// Drops the upstreams of other failure domains, about which this host receives no more updates.
    pub fn retain_failure_domain(&mut self, failure_domain: &str) {
        self.states.retain(|_, state| match state {
            State::Listed(upstream) | State::Missing(upstream) => {
                upstream.failure_domain == failure_domain
            }
            State::Gone => true,
        });
    }

    fn was_leaving(&self, instance: &id::Instance) -> bool {
        matches!(
            self.states.get(instance),
            Some(State::Listed(upstream) | State::Missing(upstream)) if upstream.leaving
        )
    }

    /// Applies a read of the whole list; entries that are not in it were removed.
    pub fn replace(&mut self, upstreams: Vec<Upstream>, now: Instant) -> Changes {
        let named: HashSet<&id::Instance> = upstreams.iter().map(|it| &it.name).collect();
        let names = self.instances.keys();
        let unnamed: Vec<_> = names.filter(|it| !named.contains(*it)).cloned().collect();
        drop(named);
        let mut changes: Changes = unnamed
            .iter()
            .filter_map(|name| self.remove(name, now))
            .collect();
        changes.extend(upstreams.into_iter().flat_map(|it| self.add(it)));
        changes
    }

    /// Marks missing upstreams as gone once the store has answered for [`RENEWAL_TIME`].
    pub fn expire_missing(&mut self, now: Instant) -> Changes {
        if !self.store.is_reliable(now) {
            return Changes::new();
        }
        let mut changes = Changes::new();
        for (instance, state) in &mut self.states {
            if matches!(state, State::Missing(_)) {
                *state = State::Gone;
                changes.push(Change::Gone(instance.clone()));
            }
        }
        changes
    }

    /// Returns when missing upstreams become gone if the store keeps answering, or `None` if none are missing.
    pub fn missing_expire_at(&self) -> Option<Instant> {
        let mut states = self.states.values();
        let is_missing = states.any(|state| matches!(state, State::Missing(_)));
        self.store.reliable_from.filter(|_| is_missing)
    }

    /// Records that the upstream itself reported that it is leaving or gone.
    pub fn mark_leaving(&mut self, instance: &id::Instance) {
        if let Some(State::Listed(upstream) | State::Missing(upstream)) =
            self.states.get_mut(instance)
        {
            upstream.leaving = true;
        }
    }

    /// Returns whether the upstream is known to be leaving or gone. One that was never listed may be new.
    pub fn is_leaving(&self, instance: &id::Instance) -> bool {
        match self.states.get(instance) {
            Some(State::Listed(upstream) | State::Missing(upstream)) => upstream.leaving,
            Some(State::Gone) => true,
            None => false,
        }
    }

    /// Returns an upstream unless it is gone or unknown.
    pub fn get(&self, instance: &id::Instance) -> Option<&Upstream> {
        match self.states.get(instance)? {
            State::Listed(upstream) | State::Missing(upstream) => Some(upstream),
            State::Gone => None,
        }
    }

    /// Returns all upstreams that are not gone, including those that are leaving.
    pub fn present(&self) -> impl Iterator<Item = &Upstream> {
        self.states.values().filter_map(|state| match state {
            State::Listed(upstream) | State::Missing(upstream) => Some(upstream),
            State::Gone => None,
        })
    }

    /// Returns the upstreams that accept requests.
    pub fn serving(&self) -> impl Iterator<Item = &Upstream> {
        self.present().filter(|upstream| !upstream.leaving)
    }
}
