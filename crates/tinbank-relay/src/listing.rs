//! Upstreams as listed in the platform's store, tolerant of store outages.
//!
//! Upstreams renew their entries in the store, and an entry that is not renewed expires. During a store outage no entry can
//! be renewed, so the entries of healthy upstreams expire all at once and reappear about two seconds after the store does.
//! Entries that disappear in that period are therefore kept as missing until the upstreams have had time to renew them. Otherwise
//! each outage costs the requests of these seconds: two outages within 12 s made hosts refuse 348 of some 2,900 requests although
//! all upstreams ran.
//! An entry that is removed while the store answers without a gap means that the upstream is gone. Whether it does, hosts know
//! together, see [`crate::contact`].
//!
//! An upstream that restarts under the same name is a new instance; no state of the previous instance applies to it.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::{
    contact::{Period, StoreContact},
    upstream::Upstream,
};

/// Time for which the store has to answer without a failure before missing upstreams count as gone. The platform restores
/// the entries of running upstreams within about two seconds; the rest is for reading them.
pub const RENEWAL_TIME: Duration = Duration::from_millis(2_500);

/// Smallest extension of a cold period that counts as a change. Entries state the time left and are read with a delay, so the
/// computed end of the period varies.
const COLD_TOLERANCE: Duration = Duration::from_millis(1_500);

/// How long an upstream that was removed counts as gone. A mark answers grants of an allocator whose list is older; an allocator
/// that is told once does not grant the upstream again. Without expiry a wrong mark would last as long as the process.
pub const GONE_DURATION: Duration = Duration::from_secs(60);

/// Position in the list of the store, the same at all hosts.
pub type Position = u64;

/// Point up to which the list was read, from the store or from another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Position after the last record.
    pub position: Position,
    /// When it was applied.
    pub now: Instant,
}

/// Upstreams that a host keeps track of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// Those of all failure domains.
    #[default]
    All,
    /// Those of one failure domain.
    Domain(id::FailureDomain),
}

impl Scope {
    /// Returns whether upstreams of a failure domain are in scope.
    pub fn covers(&self, failure_domain: &str) -> bool {
        match self {
            Self::All => true,
            Self::Domain(domain) => domain == failure_domain,
        }
    }
}

/// How far the list that another host sent can be relied on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reliability {
    /// All upstreams in scope whose entries are missing since an outage.
    pub missing: Vec<id::Instance>,
    /// The period in which the store had answered without a gap when the list was read, which was at its end; `None` if the sender
    /// does not know. Upstreams that are absent from the list are missing and not gone if it is too short: a host that has just
    /// begun to read the store sends a short list while entries lapsed.
    pub contact: Option<Period>,
}

/// How a host knows that an upstream is leaving or gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The upstream itself said so to this host.
    Reply,
    /// The list at this position says so.
    List(Position),
}

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
    /// Why upstreams that are listed or missing are leaving.
    leaving: HashMap<id::Instance, Cause>,
    scope: Scope,
    store: StoreContact,
}

#[derive(Debug)]
enum State {
    Listed(Upstream),
    Missing(Upstream),
    /// Kept for [`GONE_DURATION`], since an allocator with an older list may grant it, and it may be listed again.
    Gone(Mark),
}

/// Why an upstream counts as gone, and until when.
#[derive(Debug)]
struct Mark {
    failure_domain: id::FailureDomain,
    cause: Cause,
    expires_at: Instant,
}

impl Mark {
    fn new(upstream: &Upstream, at: Reading) -> Self {
        Self {
            failure_domain: upstream.failure_domain.clone(),
            cause: Cause::List(at.position),
            expires_at: at.now + GONE_DURATION,
        }
    }
}

impl State {
    fn failure_domain(&self) -> &str {
        match self {
            Self::Listed(upstream) | Self::Missing(upstream) => &upstream.failure_domain,
            Self::Gone(mark) => &mark.failure_domain,
        }
    }
}

/// Returns whether two entries of an upstream have no difference that has to be reported.
fn is_equivalent(before: &Upstream, now: &Upstream) -> bool {
    let is_colder = match (before.cold_until, now.cold_until) {
        (Some(before), Some(now)) => now > before + COLD_TOLERANCE,
        (None, Some(_)) => true,
        (_, None) => false,
    };
    before.leaving == now.leaving && before.build == now.build && !is_colder
}

impl Listing {
    /// Records that the store answered a read of the list. Called before the result is applied.
    pub fn record_store_answer(&mut self, now: Instant) {
        self.store.record_answer(now);
    }

    /// Records that a read of the list got no answer.
    pub fn record_store_failure(&mut self) {
        self.store.record_failure();
    }

    /// Records a period in which the store answered other hosts without a gap.
    pub fn record_reported_contact(&mut self, period: Period) {
        self.store.record_report(period);
    }

    /// Returns which upstreams are tracked.
    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    /// Sets which upstreams are tracked, and drops all that is known about others, also that they are gone: this host receives
    /// no more updates about them and would not learn that they are listed again.
    pub fn set_scope(&mut self, scope: Scope) {
        self.scope = scope;
        let scope = &self.scope;
        self.states
            .retain(|_, state| scope.covers(state.failure_domain()));
        self.drop_unknown();
    }

    /// Drops what refers to upstreams of which nothing is known any more.
    fn drop_unknown(&mut self) {
        let states = &self.states;
        self.instances
            .retain(|_, instance| states.contains_key(instance));
        self.leaving
            .retain(|instance, _| states.contains_key(instance));
    }

    /// Applies a written entry. A previous instance of the same name is gone.
    pub fn add(&mut self, upstream: Upstream, at: Reading) -> Changes {
        let mut changes = Changes::new();
        if !self.scope.covers(&upstream.failure_domain) {
            return changes;
        }
        let instance = upstream.instance.clone();
        let before = self
            .instances
            .insert(upstream.name.clone(), instance.clone());
        if let Some(before) = before.filter(|it| *it != instance) {
            changes.extend(self.mark_gone(before, at));
        }
        match upstream.leaving {
            true => {
                let cause = self.leaving.entry(instance.clone());
                cause.or_insert(Cause::List(at.position));
            }
            false => drop(self.leaving.remove(&instance)),
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

    /// Applies the removal of a name's entry. Nothing is recorded about a name that is unknown or out of scope.
    pub fn remove(&mut self, name: &id::Instance, at: Reading) -> Option<Change> {
        let instance = self.instances.get(name)?.clone();
        if self.store.is_list_reliable() {
            return self.mark_gone(instance, at);
        }
        self.mark_missing(&instance)
    }

    /// Records that an upstream is gone. Returns the change, unless that is known.
    fn mark_gone(&mut self, instance: id::Instance, at: Reading) -> Option<Change> {
        let state = self.states.get_mut(&instance)?;
        let (State::Listed(upstream) | State::Missing(upstream)) = state else {
            return None;
        };
        *state = State::Gone(Mark::new(upstream, at));
        Some(Change::Gone(instance))
    }

    /// Records that the entry of an upstream is missing. Returns the change, unless that is known or the upstream is gone.
    fn mark_missing(&mut self, instance: &id::Instance) -> Option<Change> {
        let state = self.states.get_mut(instance)?;
        let State::Listed(upstream) = state else {
            return None;
        };
        *state = State::Missing(upstream.clone());
        Some(Change::Missing(instance.clone()))
    }

    /// Applies the full list of upstreams that another host sent. Upstreams that are not in it are gone if the list can be
    /// relied on by what both hosts know of the store, otherwise missing.
    pub fn apply_snapshot(
        &mut self,
        upstreams: Vec<Upstream>,
        reliability: Reliability,
        at: Reading,
    ) -> Changes {
        let named: HashSet<&id::Instance> = upstreams.iter().map(|it| &it.instance).collect();
        let known = self.states.keys();
        let unnamed: Vec<_> = known.filter(|it| !named.contains(*it)).cloned().collect();
        drop(named);
        self.store.record_received_list(reliability.contact);
        if self.store.is_list_reliable() {
            return self.apply_update(upstreams, unnamed, reliability, at);
        }
        let mut changes: Changes = unnamed
            .iter()
            .filter_map(|it| self.mark_missing(it))
            .collect();
        changes.extend(self.apply_update(upstreams, Vec::new(), reliability, at));
        changes
    }

    /// Applies the changes that another host sent. An upstream that is leaving by this host's own knowledge stays so, and one that
    /// is gone stays gone if the sender has it as missing.
    pub fn apply_update(
        &mut self,
        upstreams: Vec<Upstream>,
        gone: Vec<id::Instance>,
        reliability: Reliability,
        at: Reading,
    ) -> Changes {
        self.store.record_received_list(reliability.contact);
        let gone = gone.into_iter();
        let mut changes: Changes = gone.filter_map(|it| self.mark_gone(it, at)).collect();
        for mut upstream in upstreams {
            let instance = &upstream.instance;
            if self.is_gone(instance) && reliability.missing.contains(instance) {
                continue;
            }
            upstream.leaving |= self.was_leaving(&upstream.instance);
            changes.extend(self.add(upstream, at));
        }
        let missing = reliability.missing.iter();
        changes.extend(missing.filter_map(|it| self.mark_missing(it)));
        if self.store.is_list_reliable() {
            let missing = self.missing().map(|it| it.instance.clone());
            let unnamed: Vec<_> = missing
                .filter(|it| !reliability.missing.contains(it))
                .collect();
            changes.extend(unnamed.into_iter().filter_map(|it| self.mark_gone(it, at)));
        }
        self.drop_expired(at.now);
        changes
    }

    fn is_gone(&self, instance: &id::Instance) -> bool {
        matches!(self.states.get(instance), Some(State::Gone(_)))
    }

    /// Drops the marks of upstreams that are gone for longer than [`GONE_DURATION`].
    fn drop_expired(&mut self, now: Instant) {
        let before = self.states.len();
        self.states
            .retain(|_, state| !matches!(state, State::Gone(mark) if now >= mark.expires_at));
        if self.states.len() != before {
            self.drop_unknown();
        }
    }

    fn was_leaving(&self, instance: &id::Instance) -> bool {
        matches!(
            self.states.get(instance),
            Some(State::Listed(upstream) | State::Missing(upstream)) if upstream.leaving
        )
    }

    /// Applies a read of the whole list; entries that are not in it were removed.
    pub fn replace(&mut self, upstreams: Vec<Upstream>, at: Reading) -> Changes {
        let named: HashSet<&id::Instance> = upstreams.iter().map(|it| &it.name).collect();
        let names = self.instances.keys();
        let unnamed: Vec<_> = names.filter(|it| !named.contains(*it)).cloned().collect();
        drop(named);
        let mut changes: Changes = unnamed
            .iter()
            .filter_map(|name| self.remove(name, at))
            .collect();
        changes.extend(upstreams.into_iter().flat_map(|it| self.add(it, at)));
        changes
    }

    /// Marks missing upstreams as gone once the store has answered for [`RENEWAL_TIME`], this host or others.
    pub fn expire_missing(&mut self, at: Reading) -> Changes {
        self.drop_expired(at.now);
        if !self.store.is_list_reliable() {
            return Changes::new();
        }
        let mut changes = Changes::new();
        for (instance, state) in &mut self.states {
            if let State::Missing(upstream) = state {
                *state = State::Gone(Mark::new(upstream, at));
                changes.push(Change::Gone(instance.clone()));
            }
        }
        changes
    }

    /// Returns when missing upstreams become gone if the store keeps answering, or `None` if none are missing.
    pub fn missing_expire_at(&self) -> Option<Instant> {
        let mut states = self.states.values();
        let is_missing = states.any(|state| matches!(state, State::Missing(_)));
        self.store.reliable_from().filter(|_| is_missing)
    }

    /// Records that the upstream itself reported that it is leaving or gone.
    pub fn mark_leaving(&mut self, instance: &id::Instance) {
        if let Some(State::Listed(upstream) | State::Missing(upstream)) =
            self.states.get_mut(instance)
        {
            upstream.leaving = true;
            self.leaving.insert(instance.clone(), Cause::Reply);
        }
    }

    /// Returns whether the upstream is known to be leaving or gone. One that was never listed may be new.
    pub fn is_leaving(&self, instance: &id::Instance, now: Instant) -> bool {
        self.cause_of_leaving(instance, now).is_some()
    }

    /// Returns how this host knows that the upstream is leaving or gone, if it is.
    pub fn cause_of_leaving(&self, instance: &id::Instance, now: Instant) -> Option<Cause> {
        match self.states.get(instance)? {
            State::Listed(_) | State::Missing(_) => self.leaving.get(instance).copied(),
            State::Gone(mark) => (now < mark.expires_at).then_some(mark.cause),
        }
    }

    /// Returns an upstream unless it is gone or unknown.
    pub fn get(&self, instance: &id::Instance) -> Option<&Upstream> {
        match self.states.get(instance)? {
            State::Listed(upstream) | State::Missing(upstream) => Some(upstream),
            State::Gone(_) => None,
        }
    }

    /// Returns the upstreams whose entries are missing since an outage.
    pub fn missing(&self) -> impl Iterator<Item = &Upstream> {
        self.states.values().filter_map(|state| match state {
            State::Missing(upstream) => Some(upstream),
            State::Listed(_) | State::Gone(_) => None,
        })
    }

    /// Returns the period in which the store answered without a gap before the list was read, which was at its end; `None` if that
    /// is not known.
    pub fn contact(&self) -> Option<Period> {
        self.store.before_list()
    }

    /// Returns whether the store answered the last read of this host.
    pub fn is_store_answering(&self) -> bool {
        self.store.is_answered()
    }

    /// Returns whether upstreams that are absent from the list count as gone.
    pub fn is_reliable(&self) -> bool {
        self.store.is_list_reliable()
    }

    /// Returns from when on upstreams that are absent from the list count as gone, or `None` if they do.
    pub fn unreliable_until(&self, now: Instant) -> Option<Instant> {
        self.store.unreliable_until(now)
    }

    /// Returns all upstreams that are not gone, including those that are leaving.
    pub fn present(&self) -> impl Iterator<Item = &Upstream> {
        self.states.values().filter_map(|state| match state {
            State::Listed(upstream) | State::Missing(upstream) => Some(upstream),
            State::Gone(_) => None,
        })
    }

    /// Returns the upstreams that accept requests.
    pub fn serving(&self) -> impl Iterator<Item = &Upstream> {
        self.present().filter(|upstream| !upstream.leaving)
    }
}
