//! Progress of the orders to an engine.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use tinbank_base::platform::{
    upstream::Order,
    weights::{Artifact, Ticket},
};

/// An order is repeated if the engine's report does not show its effect within this time.
pub const REPEAT_AFTER: Duration = Duration::from_secs(20);
/// Once the same order was sent this many times without effect, its engine no longer prevents others from loading.
pub const STUCK_AFTER: u32 = 15;

/// Tickets and the last order of an engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    pub tickets: BTreeMap<Artifact, Ticket>,
    pub requested: BTreeSet<Artifact>,
    pub sent: Option<SentOrder>,
}

#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    order: Order,
    pub repeat_at: Instant,
    attempts: u32,
}

impl Progress {
    pub fn record_sent(&mut self, order: Order, now: Instant) {
        let previous = self.sent.as_ref().filter(|sent| sent.order == order);
        let attempts = previous.map_or(0, |sent| sent.attempts) + 1;
        self.sent = Some(SentOrder {
            order,
            repeat_at: now + REPEAT_AFTER,
            attempts,
        });
    }

    pub fn has_tickets(&self, artifacts: &BTreeSet<Artifact>) -> bool {
        artifacts
            .iter()
            .all(|artifact| self.tickets.contains_key(artifact))
    }

    pub fn is_stuck(&self) -> bool {
        self.sent
            .as_ref()
            .is_some_and(|sent| sent.attempts >= STUCK_AFTER)
    }

    pub fn is_pending(&self, order: &Order, now: Instant) -> bool {
        self.sent
            .as_ref()
            .is_some_and(|sent| sent.order == *order && now < sent.repeat_at)
    }
}
