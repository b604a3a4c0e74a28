//! Which items no slot is requested for, because one that needs no more was denied.
//!
//! An item without a slot must not hold up others that could run. Which these are depends on what it lacks: see
//! [`tinbank_allocator::cause`].

#[cfg(test)]
mod tests;

use std::time::Instant;

use smallvec::SmallVec;
use tinbank_allocator::size::Tokens;
use tinbank_base::id;
use tinbank_relay::region::Allowed;

/// Maximum number of denials that last. Items have few kinds of needs; one whose denial is not kept costs a slot request.
const MAX_LASTING: usize = 32;

/// What an upstream must have for an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Needs {
    pub service: id::Service,
    /// Build that the upstream must have; `None` if any will do.
    pub build: Option<id::Build>,
    /// Upstreams that the item must not be sent to, because it has failed there.
    pub exclude: SmallVec<[id::Instance; 4]>,
    /// Regions in which it may run.
    pub allowed: Allowed,
    /// Memory to reserve for it, in tokens; 0 if its size is not known.
    pub memory: Tokens,
}

impl Needs {
    /// Returns whether an item with other needs needs at least this much.
    fn are_implied_by(&self, other: &Self) -> bool {
        self.service == other.service
            && (self.build.is_none() || self.build == other.build)
            && self.exclude.iter().all(|it| other.exclude.contains(it))
            && other.allowed.is_within(&self.allowed)
            && other.memory >= self.memory
    }
}

/// Whether a denial says that an item would be denied as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Coverage {
    /// No denial does.
    None,
    /// Its service has no free slot. A slot is requested again once all other services have been tried.
    Full,
    /// It lacks something else, for which no slot is requested before this time.
    Until(Instant),
}

/// The denials of a host.
#[derive(Debug, Default)]
pub(super) struct Denials {
    /// Services without a free slot, of the round of requests that is under way.
    full: SmallVec<[(id::Service, Allowed); 2]>,
    lasting: Vec<(Needs, Instant)>,
}

impl Denials {
    /// Records that an item was denied because no slot is free.
    pub fn record_full(&mut self, needs: &Needs) {
        let entry = (needs.service.clone(), needs.allowed.clone());
        self.full.push(entry);
    }

    /// Records that an item was denied for its needs, and that no slot is requested for such items before a time.
    pub fn record_lasting(&mut self, needs: Needs, until: Instant, now: Instant) {
        self.lasting
            .retain(|(other, until)| now < *until && !needs.are_implied_by(other));
        if self.lasting.len() < MAX_LASTING {
            self.lasting.push((needs, until));
        }
    }

    /// Begins another round, in which slots of all services are requested again.
    pub fn end_round(&mut self) {
        self.full.clear();
    }

    /// Returns whether a denial covers an item.
    pub fn coverage(&self, needs: &Needs, now: Instant) -> Coverage {
        let lasting = self.lasting.iter();
        let covering = lasting.filter(|(it, until)| now < *until && it.are_implied_by(needs));
        if let Some(until) = covering.map(|(_, until)| *until).max() {
            return Coverage::Until(until);
        }
        let mut full = self.full.iter();
        let is_full = |(service, allowed): &(id::Service, Allowed)| {
            *service == needs.service && needs.allowed.is_within(allowed)
        };
        match full.any(is_full) {
            true => Coverage::Full,
            false => Coverage::None,
        }
    }
}
