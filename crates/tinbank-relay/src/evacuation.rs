//! Failure domains that the operator has evacuated: their upstreams get no new requests.

use std::collections::BTreeSet;

use smallvec::SmallVec;
use tinbank_base::id;

/// A change of the evacuated failure domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The upstreams of the failure domain get no new requests.
    Evacuated(id::FailureDomain),
    /// The upstreams of the failure domain accept requests again.
    Reinstated(id::FailureDomain),
}

/// Changes caused by one read.
pub type Changes = SmallVec<[Change; 2]>;

/// The evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations(BTreeSet<id::FailureDomain>);

impl Evacuations {
    /// Applies a written evacuation order.
    pub fn add(&mut self, domain: id::FailureDomain) -> Option<Change> {
        let is_new = self.0.insert(domain.clone());
        is_new.then_some(Change::Evacuated(domain))
    }

    /// Applies the withdrawal of an evacuation order.
    pub fn remove(&mut self, domain: id::FailureDomain) -> Option<Change> {
        let was_evacuated = self.0.remove(&domain);
        was_evacuated.then_some(Change::Reinstated(domain))
    }

    /// Applies a read of all orders; those that are not in it are withdrawn.
    pub fn replace(&mut self, domains: impl IntoIterator<Item = id::FailureDomain>) -> Changes {
        let ordered: BTreeSet<id::FailureDomain> = domains.into_iter().collect();
        let withdrawn: Vec<_> = self.0.difference(&ordered).cloned().collect();
        let mut changes: Changes = withdrawn
            .into_iter()
            .filter_map(|domain| self.remove(domain))
            .collect();
        changes.extend(ordered.into_iter().filter_map(|domain| self.add(domain)));
        changes
    }

    /// Returns whether a failure domain is evacuated.
    pub fn covers(&self, domain: &str) -> bool {
        self.0.contains(domain)
    }

    /// Returns the evacuated failure domains in order.
    pub fn domains(&self) -> impl Iterator<Item = &id::FailureDomain> {
        self.0.iter()
    }
}
