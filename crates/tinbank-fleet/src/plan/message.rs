//! What the plan takes in and gives out.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use smallvec::SmallVec;
use tinbank_base::{
    id,
    platform::{
        upstream::{Order, Report},
        weights::Artifact,
    },
};

/// Reports older than this say nothing of what an engine holds now.
pub const REPORT_VALID: Duration = Duration::from_secs(15);

/// An engine as the edge sees it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Which engine.
    pub upstream: id::Upstream,
    /// The pools it belongs to.
    pub pools: SmallVec<[id::Pool; 2]>,
    /// Whether it is leaving; it gets no orders then.
    pub leaving: bool,
    /// Its last report, and when we read it.
    pub report: Option<Seen>,
}

/// A report and when it was read.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What the engine said.
    pub report: Report,
    /// When we read it, on our clock.
    pub at: Instant,
}

/// Leave to give orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Offset of the lease record: the fencing number of all orders of the term.
    pub fence: id::Fence,
    /// No order is sent after this time: it lies well before the lease can be taken by another.
    pub stop_at: Instant,
}

/// What the edge should do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the weight store for leave to load an artifact on an engine.
    Ask {
        /// For which engine.
        upstream: id::Upstream,
        /// What.
        artifact: Artifact,
    },
    /// Give an engine an order, if the deadline has not passed when it is about to be sent.
    Send {
        /// To which engine.
        upstream: id::Upstream,
        /// The order.
        order: Order,
        /// The term's last moment for sending.
        stop_at: Instant,
    },
}

impl Engine {
    /// What it holds, if its report is fresh enough to act on.
    pub(super) fn loaded(&self, now: Instant) -> Option<BTreeSet<Artifact>> {
        let seen = self.report.as_ref()?;
        let fresh = now.saturating_duration_since(seen.at) < REPORT_VALID;
        fresh.then(|| seen.report.loaded.iter().cloned().collect())
    }
}
