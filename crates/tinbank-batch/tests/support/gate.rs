//! A gate whose passes can be withdrawn, to simulate a burst of online requests.

use std::{
    sync::{Arc, Mutex},
    time::Instant,
};

use tinbank_admission::{Gate, Pass};
use tinbank_base::id;
use tinbank_batch::runner::concurrency_gate::ConcurrencyGate;
use tokio::sync::watch;

/// Admits eight items to each engine, and none after [`WithdrawableGate::withdraw`].
#[derive(Clone, Debug)]
pub struct WithdrawableGate {
    gate: ConcurrencyGate,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    closed: bool,
    passes: Vec<watch::Sender<bool>>,
}

impl Default for WithdrawableGate {
    fn default() -> Self {
        Self {
            gate: ConcurrencyGate::new(8),
            state: Arc::default(),
        }
    }
}

impl WithdrawableGate {
    /// Withdraws all passes and admits no further items.
    pub fn withdraw(&self) {
        let mut state = self.state.lock().unwrap();
        state.closed = true;
        for pass in state.passes.drain(..) {
            pass.send_replace(true);
        }
    }

    pub fn reopen(&self) {
        self.state.lock().unwrap().closed = false;
    }
}

impl Gate for WithdrawableGate {
    fn enter(&self, upstream: id::Upstream, customer: &str, now: Instant) -> Option<Pass> {
        let mut state = self.state.lock().unwrap();
        if state.closed {
            return None;
        }
        let pass = self.gate.enter(upstream, customer, now)?;
        let (withdraw, withdrawn) = watch::channel(false);
        state.passes.push(withdraw);
        Some(Pass { withdrawn, ..pass })
    }

    fn request_credits(&self, _: id::Upstream, _: &str, _: u16, _: Instant, _: Instant) {}
}
