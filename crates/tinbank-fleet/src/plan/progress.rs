//! How far one engine's orders are.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use tinbank_base::platform::{
    upstream::Order,
    weights::{Artifact, Ticket},
};

/// How long an order has to show in the engine's report before it is given again.
pub const REPEAT_AFTER: Duration = Duration::from_secs(20);
/// An engine that was given the same order so often without effect no longer keeps others from loading.
pub const STUCK_AFTER: u32 = 15;

/// What is known of one engine's orders.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress {
    pub tickets: BTreeMap<Artifact, Ticket>,
    pub asked: BTreeSet<Artifact>,
    pub sent: Option<Sent>,
}

#[derive(Clone, Debug)]
pub(super) struct Sent {
    order: Order,
    pub repeat_at: Instant,
    times: u32,
}

impl Progress {
    pub fn send(&mut self, order: Order, now: Instant) {
        let before = self.sent.as_ref().filter(|sent| sent.order == order);
        let times = before.map_or(0, |sent| sent.times) + 1;
        self.sent = Some(Sent {
            order,
            repeat_at: now + REPEAT_AFTER,
            times,
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
            .is_some_and(|sent| sent.times >= STUCK_AFTER)
    }

    pub fn is_waiting(&self, order: &Order, now: Instant) -> bool {
        self.sent
            .as_ref()
            .is_some_and(|sent| sent.order == *order && now < sent.repeat_at)
    }
}
