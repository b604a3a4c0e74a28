//! Reports of hosts that an upstream is leaving, and when the allocator acts on them.
//!
//! A host may know before its allocator that an upstream leaves, in particular while the allocator can't reach the platform.
//! After an outage of the platform's store a host may also take healthy upstreams for gone. Each report therefore states its
//! evidence. See `docs/hard-load.md`, part Q.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use tinbank_base::id;

use crate::allocator::Upstream;

/// Position in the platform's list of upstreams, the same at all hosts.
pub type Position = u64;

/// Why a host takes an upstream for leaving or gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// The upstream itself said so to the host.
    Reply,
    /// The list at this position says so.
    List(Position),
}

/// An upstream that the allocator's list has as missing: its entry was absent from the store, which may have been away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missing {
    /// The upstream.
    pub upstream: id::Instance,
    /// Position of the last list that had its entry.
    pub listed_at: Position,
}

/// Why a report is not acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// The allocator's own list, at this position, is as new as the one of the report and has the upstream's entry.
    NotNewer {
        /// Position of the allocator's list.
        own: Position,
    },
    /// No other upstream of the service would be left. Reports alone never make the allocator deny all requests of a service.
    LastOfService,
}

/// What the allocator decides on a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    Remove,
    Keep(Doubt),
}

/// The reports since the last list.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    /// Position of the allocator's own list; `None` until it was read.
    position: Option<Position>,
    missing: Vec<Missing>,
    /// Upstreams that the lists up to a position must not bring back.
    withheld: HashMap<id::Instance, Position>,
    /// Upstreams of which a refused report was logged since the last list.
    doubted: HashSet<id::Instance>,
}

impl Reports {
    /// Sets the position of the allocator's list, and which upstreams it has as missing. Reports up to the position are decided by
    /// the list, except those of missing upstreams.
    pub fn set_list(&mut self, position: Position, missing: Vec<Missing>) {
        let is_same = self.position.replace(position) == Some(position);
        if is_same && self.missing == missing {
            return;
        }
        self.missing = missing;
        let mut withheld = std::mem::take(&mut self.withheld);
        withheld.retain(|upstream, reported| self.listed_at(upstream) < Some(*reported));
        self.withheld = withheld;
        self.doubted.clear();
    }

    /// Returns the position of the last own list that had the entry of an upstream, if it is in the list.
    fn listed_at(&self, upstream: &id::Instance) -> Option<Position> {
        let missing = self.missing.iter().find(|it| it.upstream == *upstream);
        missing.map(|it| it.listed_at).or(self.position)
    }

    /// Decides on a report of an upstream, of whose service `others` more upstreams are known.
    pub fn decide(
        &mut self,
        upstream: &id::Instance,
        evidence: Evidence,
        others: usize,
    ) -> Decision {
        if let (Evidence::List(reported), Some(own)) = (evidence, self.listed_at(upstream))
            && reported <= own
        {
            return Decision::Keep(Doubt::NotNewer { own });
        }
        if others == 0 {
            return Decision::Keep(Doubt::LastOfService);
        }
        if let Evidence::List(reported) = evidence {
            self.withheld.insert(upstream.clone(), reported);
        }
        Decision::Remove
    }

    /// Returns whether a refused report of this upstream is the first since the last list, and so worth a log line.
    pub fn is_first_doubt(&mut self, upstream: &id::Instance) -> bool {
        self.doubted.insert(upstream.clone())
    }

    /// Removes the upstreams that newer lists of other hosts report as leaving, unless no other one of the service is left.
    /// Returns whether any were removed.
    pub fn withhold(&self, upstreams: &mut Vec<Upstream>) -> bool {
        let is_withheld = |it: &Upstream| self.withheld.contains_key(&it.instance);
        let others = upstreams.iter().filter(|it| !is_withheld(it));
        let served: HashSet<id::Service> = others.map(|it| it.service.clone()).collect();
        let before = upstreams.len();
        upstreams.retain(|it| !is_withheld(it) || !served.contains(&it.service));
        upstreams.len() < before
    }
}
