//! Inputs and outputs of the planner.

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

/// Reports that are this old are not used any more.
pub const REPORT_VALID: Duration = Duration::from_secs(15);

/// An engine with its last report.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Id of the engine.
    pub upstream: id::Upstream,
    /// The pools it belongs to.
    pub pools: SmallVec<[id::Pool; 2]>,
    /// Whether it is leaving. Leaving engines get no orders.
    pub leaving: bool,
    /// Its last report.
    pub report: Option<ReceivedReport>,
}

/// A report and the time at which it was received.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// The report of the engine.
    pub report: Report,
    /// Time of receipt, by the local clock.
    pub received_at: Instant,
}

/// Permission to send orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Offset of the lease record, used as the fencing number of all orders of the term.
    pub fence: id::Fence,
    /// No order is sent after this time, which is well before another process can take the lease.
    pub stop_at: Instant,
}

/// An action for the control loop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Request a ticket from the weight store to load an artifact onto an engine.
    RequestTicket {
        /// The engine.
        upstream: id::Upstream,
        /// The artifact.
        artifact: Artifact,
    },
    /// Send an order to an engine, unless the deadline has passed by then.
    SendOrder {
        /// The engine.
        upstream: id::Upstream,
        /// The order.
        order: Order,
        /// Deadline for sending the order.
        stop_at: Instant,
    },
}

impl Engine {
    /// Returns the loaded artifacts, if the last report is recent enough.
    pub(super) fn loaded(&self, now: Instant) -> Option<BTreeSet<Artifact>> {
        let received = self.report.as_ref()?;
        let is_recent = now.saturating_duration_since(received.received_at) < REPORT_VALID;
        is_recent.then(|| received.report.loaded.iter().cloned().collect())
    }
}
