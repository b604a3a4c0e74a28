//! The edge of admission control: frames, clock and members around the state machines.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use tinbank_base::{
    frame::credit,
    id,
    peer::{Directory, Peers},
    record::Writer,
};
use tokio::sync::mpsc;

use crate::gate::{Gate, Pass};

/// An engine that batch may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Which engine.
    pub upstream: id::Upstream,
    /// Requests it runs at once.
    pub slots: u16,
}

/// Parameters of admission control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Part of a learned burst that is kept free, in per cent: 100 keeps room for the largest rise seen lately, 0
    /// keeps none. See `docs/design/admission.md` for the curve.
    pub lean: u16,
}

impl Default for Settings {
    fn default() -> Self {
        Self { lean: 100 }
    }
}

/// Admission control in a batch process: controller of the engines it is first for, and holder of its own credits.
#[derive(Clone, Debug)]
pub struct Service {
    events: mpsc::UnboundedSender<Event>,
}

#[derive(Debug)]
#[expect(dead_code, reason = "the control task lands next")]
enum Event {
    Told(Writer, credit::Message),
    Engines(Vec<Engine>),
    Shares(BTreeMap<id::Customer, u32>),
}

impl Service {
    /// Starts admission control on the current runtime.
    pub fn start(
        _settings: Settings,
        _own: Writer,
        _peers: Arc<dyn Peers>,
        _directory: Arc<dyn Directory>,
    ) -> Self {
        let (events, _) = mpsc::unbounded_channel();
        Self { events }
    }

    /// Takes in a datagram; call it from [`tinbank_base::peer::Answer::told`].
    pub fn told(&self, from: Writer, message: credit::Message) {
        self.event(Event::Told(from, message));
    }

    /// Says which engines there are; those left out get no batch.
    pub fn set_engines(&self, engines: Vec<Engine>) {
        self.event(Event::Engines(engines));
    }

    /// Says the customers' weights in the sharing of batch capacity; a customer left out has weight 1.
    pub fn set_shares(&self, shares: BTreeMap<id::Customer, u32>) {
        self.event(Event::Shares(shares));
    }

    fn event(&self, event: Event) {
        // The control task ends only with the process.
        let _ = self.events.send(event);
    }
}

impl Gate for Service {
    fn enter(&self, _upstream: id::Upstream, _customer: &str, _now: Instant) -> Option<Pass> {
        None
    }

    fn wish(
        &self,
        _upstream: id::Upstream,
        _customer: &str,
        _wanted: u16,
        _due: Instant,
        _now: Instant,
    ) {
    }
}

/// Admission control in an online process: tells controllers how many online requests are in each engine.
#[derive(Clone, Debug)]
pub struct Teller {
    loads: mpsc::UnboundedSender<credit::Load>,
}

impl Teller {
    /// Starts to tell on the current runtime.
    pub fn start(_peers: Arc<dyn Peers>, _directory: Arc<dyn Directory>) -> Self {
        let (loads, _) = mpsc::unbounded_channel();
        Self { loads }
    }

    /// Says how many online requests this process has in an engine, whenever that changes. Never blocks.
    pub fn online(&self, upstream: id::Upstream, in_flight: u16) {
        let load = credit::Load {
            upstream,
            online: in_flight,
        };
        let _ = self.loads.send(load);
    }
}
