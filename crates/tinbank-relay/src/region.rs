//! Regions in which requests may run and be stored.
//!
//! Routes and customers may restrict their requests to some regions, for example by law. See `docs/design/regions.md`.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tinbank_base::id;

/// Names of regions.
pub type Names = SmallVec<[id::Region; 2]>;

/// The regions in which a request may run and be stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Allowed(Option<Names>);

impl Allowed {
    /// Combines the restrictions of a route and of a customer, each of which is `None` if it allows all regions. Only regions
    /// that both allow remain.
    pub fn new(route: Option<&Names>, customer: Option<&Names>) -> Self {
        match (route, customer) {
            (Some(route), Some(customer)) => {
                let both = route.iter().filter(|it| customer.contains(it));
                Self(Some(both.cloned().collect()))
            }
            (one, other) => Self(one.or(other).cloned()),
        }
    }

    /// Adds a restriction.
    pub fn restrict(self, names: &Names) -> Self {
        Self::new(self.0.as_ref(), Some(names))
    }

    /// Returns whether all regions are allowed.
    pub fn is_all(&self) -> bool {
        self.0.is_none()
    }

    /// Returns whether all regions allowed here are allowed by another restriction as well.
    pub fn is_within(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(names), Some(others)) => names.iter().all(|it| others.contains(it)),
        }
    }

    /// Returns whether a region is allowed. An unknown region is not, if there is any restriction.
    pub fn permits(&self, region: Option<&id::Region>) -> bool {
        match (&self.0, region) {
            (None, _) => true,
            (Some(names), Some(region)) => names.contains(region),
            (Some(_), None) => false,
        }
    }
}

impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            None => f.write_str("all"),
            Some(names) => f.write_str(&names.join(",")),
        }
    }
}

/// The region of each failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Regions(BTreeMap<id::FailureDomain, id::Region>);

impl Regions {
    /// Creates the map from failure domains and their regions.
    pub fn new(regions: impl IntoIterator<Item = (id::FailureDomain, id::Region)>) -> Self {
        Self(regions.into_iter().collect())
    }

    /// Returns whether a request may run in any failure domain.
    pub fn permits_any(&self, allowed: &Allowed) -> bool {
        allowed.is_all() || self.0.values().any(|region| allowed.permits(Some(region)))
    }

    /// Returns whether a request may run and be stored in a failure domain.
    pub fn permits(&self, allowed: &Allowed, failure_domain: &str) -> bool {
        allowed.permits(self.0.get(failure_domain))
    }

    /// Returns whether a host of `other` may handle a request whose caller connected to a host of `own`: it is in an allowed
    /// region or in the caller's.
    pub fn permits_host(&self, allowed: &Allowed, own: &str, other: &str) -> bool {
        let same = self.0.contains_key(own) && self.0.get(own) == self.0.get(other);
        allowed.is_all() || own == other || same || self.permits(allowed, other)
    }
}
