//! Which builds have served, as the platform's store keeps it.
//!
//! The list of upstreams says which builds serve now. Where nobody remembers the origin of a stream, because all hosts were killed,
//! the stream may still go on if only one build can have begun it. So the store keeps for each failure domain when a build was last
//! listed there. A build is written when it appears and when it is gone, which is rare.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, SystemTime},
};

use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};
use tinbank_base::id;

use crate::{Origin, RETENTION};

/// Time for which a build that is gone is kept in the store. Longer than [`RETENTION`], since the clocks of hosts differ.
const KEPT: Duration = Duration::from_secs(300);

/// A build of a service in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// The failure domain.
    pub failure_domain: id::FailureDomain,
    /// The service and the build.
    pub origin: Origin,
}

/// When a build was listed in a failure domain.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The build and the failure domain.
    pub place: Place,
    /// When the last upstream of the build left; `None` while one is listed.
    #[serde_as(as = "Option<TimestampMilliSeconds<i64>>")]
    pub gone_at: Option<SystemTime>,
}

/// A change to the entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An entry is new or has changed.
    Put(Entry),
    /// An entry says nothing any more.
    Remove(Place),
}

/// All entries, as last read.
#[derive(Clone, Debug, Default)]
pub struct History {
    entries: BTreeMap<Place, Option<SystemTime>>,
}

impl History {
    /// Applies a change that was read or written.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Put(entry) => drop(self.entries.insert(entry.place, entry.gone_at)),
            Change::Remove(place) => drop(self.entries.remove(&place)),
        }
    }

    /// Replaces all entries.
    pub fn replace(&mut self, entries: impl IntoIterator<Item = Entry>) {
        let entries = entries.into_iter();
        self.entries = entries.map(|it| (it.place, it.gone_at)).collect();
    }

    /// Returns all entries.
    pub fn entries(&self) -> Vec<Entry> {
        let entries = self.entries.iter();
        let entry = |(place, gone_at): (&Place, &Option<SystemTime>)| Entry {
            place: place.clone(),
            gone_at: *gone_at,
        };
        entries.map(entry).collect()
    }

    /// Returns the only build that may have begun a stream of some services that is still resumed, if there is just one.
    pub fn sole_build(&self, services: &[&str], now: SystemTime) -> Option<&id::Build> {
        let recent = self.entries.iter().filter(|(place, gone_at)| {
            services.contains(&place.origin.service.as_str())
                && gone_at.is_none_or(|at| now < at + RETENTION)
        });
        let mut builds = recent.map(|(place, _)| &place.origin.build);
        let first = builds.next()?;
        builds.all(|it| it == first).then_some(first)
    }

    /// Returns whether upstreams of a build are listed in any failure domain.
    pub fn is_listed(&self, origin: &Origin) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|(place, gone_at)| place.origin == *origin && gone_at.is_none())
    }

    /// Returns the failure domains in which builds are listed.
    pub fn listed_domains(&self) -> impl Iterator<Item = &id::FailureDomain> {
        let listed = self.entries.iter().filter(|(_, gone_at)| gone_at.is_none());
        listed.map(|(place, _)| &place.failure_domain)
    }

    /// Returns whether upstreams of some services are listed in any failure domain, other than those of an origin.
    pub fn lists_others(&self, services: &[&str], origin: &Origin) -> bool {
        let listed = self.entries.iter().filter(|(_, gone_at)| gone_at.is_none());
        let mut origins = listed.map(|(place, _)| &place.origin);
        origins.any(|it| services.contains(&&*it.service) && it != origin)
    }

    /// Returns what to write for a failure domain in which these builds are listed.
    pub fn changes(
        &self,
        failure_domain: &str,
        listed: &BTreeSet<Origin>,
        now: SystemTime,
    ) -> Vec<Change> {
        let place = |origin: &Origin| Place {
            failure_domain: failure_domain.to_owned(),
            origin: origin.clone(),
        };
        let put = |place: Place, gone_at| Change::Put(Entry { place, gone_at });
        let places = listed.iter().map(place);
        let added = places.filter(|it| self.entries.get(it).is_none_or(Option::is_some));
        let added = added.map(|place| put(place, None));
        let own = self.entries.iter().filter(|(place, _)| {
            place.failure_domain == failure_domain && !listed.contains(&place.origin)
        });
        let gone = own.filter_map(|(place, gone_at)| match gone_at {
            None => Some(put(place.clone(), Some(now))),
            Some(at) if now > *at + KEPT => Some(Change::Remove(place.clone())),
            Some(_) => None,
        });
        added.chain(gone).collect()
    }
}
