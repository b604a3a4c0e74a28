//! The artifacts that the configuration requires on the engines of each pool.

use std::collections::{BTreeMap, BTreeSet};

use tinbank_base::{id, platform::weights::Artifact};
use tinbank_configuration::Snapshot;

/// Artifacts by pool. They are ordered, so that all lease holders derive the same orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DesiredArtifacts {
    pools: BTreeMap<id::Pool, BTreeSet<Artifact>>,
}

impl DesiredArtifacts {
    /// Collects the artifacts of the services of all customers.
    pub fn from_snapshot(snapshot: &Snapshot) -> Self {
        let mut desired = Self::default();
        let services = snapshot
            .customers
            .values()
            .flat_map(|customer| customer.services.values());
        for service in services {
            if let Some(artifact) = &service.artifact {
                desired.add(&service.pool, artifact);
            }
        }
        desired
    }

    /// Adds an artifact to a pool.
    pub fn add(&mut self, pool: &str, artifact: &Artifact) {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.to_owned(), BTreeSet::new());
        }
        if let Some(artifacts) = self.pools.get_mut(pool) {
            artifacts.insert(artifact.clone());
        }
    }

    /// Returns the artifacts that an engine in these pools should have loaded.
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
