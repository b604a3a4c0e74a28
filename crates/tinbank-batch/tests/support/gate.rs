//! A gate whose passes can be withdrawn, as for a burst of online requests.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

use tinbank_admission::{Gate, Pass};
use tinbank_base::id;
use tinbank_batch::runner::concurrency_gate::ConcurrencyGate;
use tokio::sync::watch;

/// Lets eight items into each engine, and none after [`Valve::withdraw`].
#[derive(Clone, Debug)]
pub struct Valve {
    gate: ConcurrencyGate,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    closed: bool,
    given: Vec<watch::Sender<bool>>,
}

impl Default for Valve {
    fn default() -> Self {
        Self {
            gate: ConcurrencyGate::new(8),
            state: Arc::default(),
        }
    }
}

impl Valve {
    /// Takes back all passes and gives none.
    pub fn withdraw(&self) {
        let mut state = self.state.lock().unwrap();
        state.closed = true;
        for given in state.given.drain(..) {
            given.send_replace(true);
        }
    }

    pub fn reopen(&self) {
        self.state.lock().unwrap().closed = false;
    }
}

impl Gate for Valve {
    fn enter(&self, upstream: id::Upstream, customer: &str, now: Instant) -> Option<Pass> {
        let mut state = self.state.lock().unwrap();
        if state.closed {
            return None;
        }
        let pass = self.gate.enter(upstream, customer, now)?;
        let (given, withdrawn) = watch::channel(false);
        state.given.push(given);
        Some(Pass { withdrawn, ..pass })
    }

    fn wish(&self, _: id::Upstream, _: &str, _: u16, _: Instant, _: Instant) {}
}
