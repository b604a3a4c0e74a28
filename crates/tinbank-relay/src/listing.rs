//! Which upstreams are listed, and which of those that are missing may still be there.
//!
//! Upstreams renew their entries in the platform's store, and an entry that is not renewed lapses. While the store is away
//! no entry can be renewed, so upstreams that live and serve are taken off the list all at once, and are back some two
//! seconds after the store. To believe such a list costs every request of those seconds: on a day on which the store was
//! away twice within 12 s, 348 of some 2,900 requests were refused though all nine upstreams lived. An entry that is taken
//! off while the store answers all the time counts as gone at once.
//!
//! An upstream may start again under its name. It is another one then: it holds nothing that the one before had, so what was
//! believed of that one ends, and nothing of it counts for the new one.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::id;

use crate::upstream::Upstream;

/// For how long the store has to answer without a failure before what is missing is gone. Source: the platform promises
/// that entries of living upstreams are back after about two seconds; the rest is for reading them.
pub const RENEWAL_TIME: Duration = Duration::from_millis(2_500);

/// The longest time between two answers of a store that is not away. Source: a read that waits a second for news, its
/// answer, and the pause behind it.
pub const LONGEST_PAUSE: Duration = Duration::from_millis(2_200);

/// By how much later an upstream has to be cold than was believed before that counts as a change: each entry tells the time left,
/// and is read some time after it was written.
const COLD_PRECISION: Duration = Duration::from_millis(1_500);

/// What the listing believes anew, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstream is listed, or says another thing about its leaving.
    Listed(Upstream),
    /// Its entry is missing, and it counts as there until the store has answered for long enough.
    Missing(id::Instance),
    /// It is gone.
    Gone(id::Instance),
}

/// Changes of one read.
pub type Changes = SmallVec<[Change; 4]>;

/// The upstreams as far as they are known.
#[derive(Debug, Default)]
pub struct Listing {
    known: HashMap<id::Instance, State>,
    /// The start that is listed under a name, or was listed last.
    starts: HashMap<id::Instance, id::Instance>,
    contact: Contact,
}

#[derive(Debug)]
enum State {
    Listed(Upstream),
    Missing(Upstream),
    /// An upstream that was taken for gone may be listed again.
    Gone,
}

/// Since when the store answers.
#[derive(Debug, Default)]
struct Contact {
    answered_at: Option<Instant>,
    has_failed: bool,
    /// From then on a missing entry means that the upstream is gone.
    settled_from: Option<Instant>,
}

impl Contact {
    fn record_store_answer(&mut self, now: Instant) {
        let pause_ends = self.answered_at.map(|at| at + LONGEST_PAUSE);
        let was_away = self.has_failed || pause_ends.is_some_and(|end| now > end);
        if was_away {
            self.settled_from = Some(now + RENEWAL_TIME);
        }
        self.has_failed = false;
        self.answered_at = Some(now);
    }

    fn is_settled(&self, now: Instant) -> bool {
        !self.has_failed && self.settled_from.is_none_or(|from| now >= from)
    }
}

/// True if two entries of an upstream differ in nothing that anybody has to hear of.
fn says_the_same(before: &Upstream, now: &Upstream) -> bool {
    let is_colder = match (before.cold_until, now.cold_until) {
        (Some(before), Some(now)) => now > before + COLD_PRECISION,
        (None, Some(_)) => true,
        (_, None) => false,
    };
    before.leaving == now.leaving && !is_colder
}

impl Listing {
    /// The store has answered a read of the list. Called before what was read is taken in.
    pub fn record_store_answer(&mut self, now: Instant) {
        self.contact.record_store_answer(now);
    }

    /// A read of the list had no answer.
    pub fn record_store_failure(&mut self) {
        self.contact.has_failed = true;
    }

    /// An entry was written. Where it is of another start than before, the one before is gone.
    pub fn add(&mut self, upstream: Upstream) -> Changes {
        let mut changes = Changes::new();
        let instance = upstream.instance.clone();
        let before = self.starts.insert(upstream.name.clone(), instance.clone());
        if let Some(before) = before.filter(|it| *it != instance)
            && let Some(State::Listed(_) | State::Missing(_)) =
                self.known.insert(before.clone(), State::Gone)
        {
            changes.push(Change::Gone(before));
        }
        let before = self.known.insert(instance, State::Listed(upstream.clone()));
        let is_same =
            matches!(before, Some(State::Listed(before)) if says_the_same(&before, &upstream));
        if !is_same {
            changes.push(Change::Listed(upstream));
        }
        changes
    }

    /// The entry of a name was taken off the list.
    pub fn remove(&mut self, name: &id::Instance, now: Instant) -> Option<Change> {
        let instance = self.starts.get(name).unwrap_or(name);
        let state = self.known.remove(instance);
        let (state, change) = match state {
            Some(State::Listed(upstream)) if !self.contact.is_settled(now) => (
                State::Missing(upstream),
                Some(Change::Missing(instance.clone())),
            ),
            Some(State::Listed(_)) => (State::Gone, Some(Change::Gone(instance.clone()))),
            Some(missing @ State::Missing(_)) => (missing, None),
            Some(State::Gone) | None => (State::Gone, None),
        };
        self.known.insert(instance.clone(), state);
        change
    }

    /// Another host has told which upstreams there are, by its own reads of the list. What it does not name is gone: it has
    /// waited for entries that lapsed.
    pub fn apply_snapshot(&mut self, upstreams: Vec<Upstream>) -> Changes {
        let named: HashSet<id::Instance> = upstreams.iter().map(|it| it.instance.clone()).collect();
        let known = self.known.keys();
        let unnamed: Vec<_> = known.filter(|it| !named.contains(*it)).cloned().collect();
        self.apply_update(upstreams, unnamed)
    }

    /// Another host has told which upstreams changed and which are gone. An upstream that was heard to leave here does not
    /// come back by what the other knows.
    pub fn apply_update(&mut self, upstreams: Vec<Upstream>, gone: Vec<id::Instance>) -> Changes {
        let mut changes = Changes::new();
        for instance in gone {
            let before = self.known.insert(instance.clone(), State::Gone);
            if !matches!(before, Some(State::Gone)) {
                changes.push(Change::Gone(instance));
            }
        }
        let told = upstreams.into_iter().map(|mut upstream| {
            upstream.leaving |= self.was_leaving(&upstream.instance);
            upstream
        });
        let told: Vec<Upstream> = told.collect();
        changes.extend(told.into_iter().flat_map(|it| self.add(it)));
        changes
    }

    /// Forgets the upstreams of other failure domains, of which nothing is heard from now on.
    pub fn retain_failure_domain(&mut self, failure_domain: &str) {
        self.known.retain(|_, state| match state {
            State::Listed(upstream) | State::Missing(upstream) => {
                upstream.failure_domain == failure_domain
            }
            State::Gone => true,
        });
    }

    fn was_leaving(&self, instance: &id::Instance) -> bool {
        matches!(
            self.known.get(instance),
            Some(State::Listed(upstream) | State::Missing(upstream)) if upstream.leaving
        )
    }

    /// The whole list was read: what it does not name was taken off.
    pub fn replace(&mut self, upstreams: Vec<Upstream>, now: Instant) -> Changes {
        let named: HashSet<&id::Instance> = upstreams.iter().map(|it| &it.name).collect();
        let names = self.starts.keys();
        let unnamed: Vec<_> = names.filter(|it| !named.contains(*it)).cloned().collect();
        drop(named);
        let mut changes: Changes = unnamed
            .iter()
            .filter_map(|name| self.remove(name, now))
            .collect();
        changes.extend(upstreams.into_iter().flat_map(|it| self.add(it)));
        changes
    }

    /// Gives up what is missing once the store has answered for long enough.
    pub fn expire_missing(&mut self, now: Instant) -> Changes {
        if !self.contact.is_settled(now) {
            return Changes::new();
        }
        let mut changes = Changes::new();
        for (instance, state) in &mut self.known {
            if matches!(state, State::Missing(_)) {
                *state = State::Gone;
                changes.push(Change::Gone(instance.clone()));
            }
        }
        changes
    }

    /// When what is missing is to be given up, if the store answers until then.
    pub fn missing_expire_at(&self) -> Option<Instant> {
        let mut states = self.known.values();
        let is_missing = states.any(|state| matches!(state, State::Missing(_)));
        self.contact.settled_from.filter(|_| is_missing)
    }

    /// An upstream said itself that it is leaving or gone.
    pub fn mark_leaving(&mut self, instance: &id::Instance) {
        if let Some(State::Listed(upstream) | State::Missing(upstream)) =
            self.known.get_mut(instance)
        {
            upstream.leaving = true;
        }
    }

    /// True if the upstream is known to leave, or to be gone. One that was never listed may be new.
    pub fn is_leaving(&self, instance: &id::Instance) -> bool {
        match self.known.get(instance) {
            Some(State::Listed(upstream) | State::Missing(upstream)) => upstream.leaving,
            Some(State::Gone) => true,
            None => false,
        }
    }

    /// An upstream, if it is there.
    pub fn get(&self, instance: &id::Instance) -> Option<&Upstream> {
        match self.known.get(instance)? {
            State::Listed(upstream) | State::Missing(upstream) => Some(upstream),
            State::Gone => None,
        }
    }

    /// All upstreams that are there, also those that leave.
    pub fn present(&self) -> impl Iterator<Item = &Upstream> {
        self.known.values().filter_map(|state| match state {
            State::Listed(upstream) | State::Missing(upstream) => Some(upstream),
            State::Gone => None,
        })
    }

    /// The upstreams that take requests.
    pub fn serving(&self) -> impl Iterator<Item = &Upstream> {
        self.present().filter(|upstream| !upstream.leaving)
    }
}
