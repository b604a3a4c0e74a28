//! What the configuration wants loaded on the engines of each pool.

use std::collections::{BTreeMap, BTreeSet};

use tinbank_base::{id, platform::weights::Artifact};
use tinbank_configuration::Snapshot;

/// Artifacts by pool. Ordered, so that every holder of the lease arrives at the same orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    pools: BTreeMap<id::Pool, BTreeSet<Artifact>>,
}

impl Wanted {
    /// Collects what the services of all customers need.
    pub fn from_snapshot(snapshot: &Snapshot) -> Self {
        let mut wanted = Self::default();
        let services = snapshot
            .customers
            .values()
            .flat_map(|customer| customer.services.values());
        for service in services {
            if let Some(artifact) = &service.artifact {
                wanted.add(&service.pool, artifact);
            }
        }
        wanted
    }

    /// Adds one artifact to a pool.
    pub fn add(&mut self, pool: &str, artifact: &Artifact) {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.to_owned(), BTreeSet::new());
        }
        if let Some(artifacts) = self.pools.get_mut(pool) {
            artifacts.insert(artifact.clone());
        }
    }

    /// What an engine that belongs to these pools should have loaded.
    pub fn of_pools<'a>(
        &self,
        pools: impl IntoIterator<Item = &'a id::Pool>,
    ) -> BTreeSet<Artifact> {
        pools
            .into_iter()
            .filter_map(|pool| self.pools.get(pool))
            .flatten()
            .cloned()
            .collect()
    }
}
