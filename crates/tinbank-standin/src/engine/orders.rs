//! Orders to load and unload, and the fencing number.

use smallvec::SmallVec;
use tinbank_base::{
    id,
    platform::{
        upstream::{Order, Verdict},
        weights::Artifact,
    },
};

/// What an engine has loaded and is loading. Pure: the edge waits out the loading.
#[derive(Debug)]
pub(crate) struct Orders {
    checks_fence: bool,
    seen: id::Fence,
    wanted: SmallVec<[Artifact; 2]>,
    loaded: SmallVec<[Artifact; 2]>,
}

/// What becomes of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// It is taken, and these are to be fetched.
    Taken { fetch: SmallVec<[Artifact; 2]> },
    /// Its fencing number is stale.
    Stale { seen: id::Fence },
    /// It has too few tickets for what is to be fetched.
    Tickets { needed: usize },
}

impl Orders {
    pub fn new(checks_fence: bool, loaded: SmallVec<[Artifact; 2]>) -> Self {
        Self {
            checks_fence,
            seen: 0,
            wanted: loaded.clone(),
            loaded,
        }
    }

    pub fn loaded(&self) -> &SmallVec<[Artifact; 2]> {
        &self.loaded
    }

    pub fn seen(&self) -> id::Fence {
        self.seen
    }

    /// Takes an order: unloads at once, and tells what is to be fetched.
    pub fn take(&mut self, order: Order) -> Decision {
        if self.checks_fence && order.fence < self.seen {
            return Decision::Stale { seen: self.seen };
        }
        let missing = |artifact: &&Artifact| !self.loaded.contains(artifact);
        let fetch: SmallVec<[Artifact; 2]> = order.loaded.iter().filter(missing).cloned().collect();
        let new = fetch
            .iter()
            .filter(|artifact| !self.wanted.contains(artifact))
            .count();
        if order.tickets.len() < new {
            return Decision::Tickets { needed: new };
        }
        self.seen = self.seen.max(order.fence);
        self.loaded
            .retain(|artifact| order.loaded.contains(artifact));
        self.wanted = order.loaded;
        Decision::Taken { fetch }
    }

    /// An artifact has been fetched; it is dropped if a later order does not want it.
    pub fn fetched(&mut self, artifact: Artifact) {
        if self.wanted.contains(&artifact) && !self.loaded.contains(&artifact) {
            self.loaded.push(artifact);
        }
    }
}

impl From<&Decision> for Option<Verdict> {
    fn from(decision: &Decision) -> Self {
        match decision {
            Decision::Taken { .. } => Some(Verdict::Taken),
            Decision::Stale { seen } => Some(Verdict::Stale { seen: *seen }),
            Decision::Tickets { .. } => None,
        }
    }
}
